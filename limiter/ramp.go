package limiter

import (
	"math"
	"time"

	"jujubegate.example/jujubegate"
)

type phase uint8

const (
	phaseCold phase = iota
	phaseWarm
)

const (
	// minStreak and maxStreak bound the number of consecutive normal answers
	// after which the limit is raised by one step. The number adapts: it doubles
	// when a ramp fails and halves when one succeeds.
	minStreak = 4
	maxStreak = 64
	// initialStreak and initialWarmReports are the numbers of consecutive normal
	// answers and of consecutive Warm reports that are needed while the normal
	// service time is unknown, since slow answers of a cold target can't be told
	// from normal ones then. With one Warm report, the cold limit was exceeded in
	// a simulation where one report in 50 is wrong.
	initialStreak      = 16
	initialWarmReports = 3
	// unreportedFactor multiplies the answers that are needed while no load
	// report is valid.
	unreportedFactor = 8
	// reportValidity is how long a load report is valid; reports are read once a
	// second.
	reportValidity = 5 * time.Second
	// maxColdSigns is the number of consecutive slow answers or timeouts after
	// which a warm target counts as cold. The first one already reduces the limit
	// to the cold limit, so that a larger number admits no more requests. With 2,
	// pairs of stragglers turned targets cold and queues of 100 ms built up.
	maxColdSigns = 4
	// relearnAfter is the number of answers above the normal service time after
	// which a target that reports Warm learns it again, since its data may have
	// grown. Without a valid report unreportedFactor times as many are needed.
	// An answer within the normal service time reduces the count by
	// relearnDecrement.
	relearnAfter     = 256
	relearnDecrement = 2
)

// ramp raises the limit of a cold target in steps from the cold limit to the
// slots.
type ramp struct {
	settings Settings
	phase    phase
	// allowed is the limit that the ramp has reached.
	allowed int
	// streak counts consecutive normal answers; streakTime is the sum of their
	// service times.
	streak     int
	streakTime time.Duration
	// slowAnswers counts the answers above the normal service time; see
	// relearnAfter.
	slowAnswers int
	// streakNeeded is the number of consecutive normal answers for one step.
	streakNeeded int
	// coldSigns counts consecutive slow answers and timeouts; the last one was
	// at lastSign.
	coldSigns int
	lastSign  time.Time
	// coldSince is the time of the last change to cold. Answers to requests that
	// started before it don't count.
	coldSince  time.Time
	reportedAt time.Time
	// warmReports counts consecutive Warm reports since the change to cold.
	warmReports int
	// lastReport is the last reported state since the change to cold; 0 is none.
	lastReport jujubegate.TargetState
	// reason is the reason for the current phase.
	reason string
}

func newRamp(s Settings, now time.Time) ramp {
	return ramp{settings: s, allowed: s.ColdLimit, streakNeeded: initialStreak, coldSince: now, reason: "new to this owner"}
}

func (r *ramp) setBounds(s Settings) {
	r.settings = s
	if r.phase == phaseWarm {
		r.allowed = s.Slots
	}
	r.allowed = min(max(r.allowed, s.ColdLimit), s.Slots)
}

// limit returns the number of requests that may run. After a sign that the
// target is cold, it is the cold limit until a normal answer.
func (r *ramp) limit() int {
	if r.coldSigns > 0 {
		return r.settings.ColdLimit
	}
	return r.allowed
}

// turnCold marks the target as cold and restarts the ramp.
func (r *ramp) turnCold(now time.Time, reason string) {
	r.phase, r.allowed = phaseCold, r.settings.ColdLimit
	r.resetStreak()
	r.slowAnswers, r.coldSigns, r.warmReports = 0, 0, 0
	r.coldSince, r.lastReport, r.reason = now, 0, reason
}

// report records a load report.
func (r *ramp) report(state jujubegate.TargetState, now time.Time) {
	r.lastReport, r.reportedAt = state, now
	r.warmReports++
	if state != jujubegate.Warm {
		r.warmReports = 0
	}
	if state == jujubegate.Cold && (r.phase == phaseWarm || r.allowed > r.settings.ColdLimit) {
		r.turnCold(now, "reported cold")
		r.lastReport = state
	}
}

func (r *ramp) resetStreak() { r.streak, r.streakTime = 0, 0 }

// recordNormal handles an answer within the normal service time.
func (r *ramp) recordNormal(started time.Time, d time.Duration, now time.Time, lat *latency) {
	if !started.Before(r.lastSign) {
		r.coldSigns = 0
	}
	if r.phase == phaseWarm || started.Before(r.coldSince) {
		return
	}
	r.streak++
	r.streakTime += d
	if r.streak < r.nextStreak(now, lat) {
		return
	}
	mean := r.streakTime / time.Duration(r.streak)
	r.resetStreak()
	if lat.isReady(mean) {
		r.step(lat, mean)
	}
}

// step raises the limit by half, at least by one.
func (r *ramp) step(lat *latency, mean time.Duration) {
	r.slowAnswers = 0
	r.allowed = min(r.allowed+max(1, r.allowed/2), r.settings.Slots)
	if r.allowed < r.settings.Slots {
		return
	}
	r.phase, r.reason = phaseWarm, "normal answers"
	r.streakNeeded = max(r.streakNeeded/2, minStreak)
	if lat.warm == 0 {
		lat.setWarm(mean)
	}
}

// relearn discards the learned service time if many answers have been above it.
func (r *ramp) relearn(d time.Duration, now time.Time, lat *latency) {
	if r.phase != phaseCold || lat.warm == 0 {
		return
	}
	if lat.isReady(d) {
		r.slowAnswers = max(r.slowAnswers-relearnDecrement, 0)
		return
	}
	r.slowAnswers++
	needed := relearnAfter
	if !r.reportValid(now) {
		needed *= unreportedFactor
	} else if r.lastReport != jujubegate.Warm {
		return
	}
	if r.slowAnswers >= needed {
		r.slowAnswers = 0
		r.streakNeeded = max(r.streakNeeded, initialStreak)
		lat.resetWarm()
	}
}

// reportValid reports whether there is a load report since the change to cold
// that is not older than reportValidity.
func (r *ramp) reportValid(now time.Time) bool {
	return r.lastReport != 0 && now.Sub(r.reportedAt) <= reportValidity
}

// nextStreak returns the number of consecutive normal answers for the next step.
// The limit of a target that reports Cold is never raised; without a valid
// report more answers are needed.
func (r *ramp) nextStreak(now time.Time, lat *latency) int {
	if !r.reportValid(now) {
		return r.streakNeeded * unreportedFactor
	}
	if r.lastReport != jujubegate.Warm || (lat.warm == 0 && r.warmReports < initialWarmReports) {
		return math.MaxInt
	}
	return r.streakNeeded
}

// recordColdSign handles a slow answer or a timeout. The first one only reduces
// the limit to the cold limit, since it may be a straggler; maxColdSigns in a
// row turn the target cold.
func (r *ramp) recordColdSign(started, now time.Time) {
	r.coldSigns++
	r.lastSign = now
	if r.coldSigns < maxColdSigns {
		r.streak, r.streakTime = r.streak/2, r.streakTime/2
		return
	}
	r.resetStreak()
	switch {
	case r.phase == phaseWarm:
		r.turnCold(now, "latency far above normal")
	case r.allowed > r.settings.ColdLimit && !started.Before(r.coldSince):
		r.slowDown()
		r.turnCold(now, "latency far above normal")
	}
}

// abort turns the target cold after a refusal for load or a broken connection. A
// warm target has no reason to refuse for load, since only its owner sends to it.
func (r *ramp) abort(now time.Time, reason string) {
	r.slowDown()
	r.turnCold(now, reason)
}

// slowDown doubles the answers that a step needs if the ramp had begun.
func (r *ramp) slowDown() {
	if r.phase == phaseCold && r.allowed > r.settings.ColdLimit {
		r.streakNeeded = min(r.streakNeeded*2, maxStreak)
		r.allowed = r.settings.ColdLimit
	}
}
