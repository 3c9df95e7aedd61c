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
	// that one step of the ramp needs. The number is learned: it doubles when
	// a ramp fails and halves when one succeeds.
	minStreak = 4
	maxStreak = 64
	// newStreak is the streak, and newReports the number of consecutive Warm
	// reports, of a target without a known service time, since nothing tells
	// its slow cold answers from normal ones. A simulation with one wrong
	// report in 50 exceeded the bound while one Warm report was enough.
	newStreak  = 16
	newReports = 3
	// unreportedFactor multiplies the streak of a target without a load report.
	unreportedFactor = 8
	// reportValidity is how long a load report is believed; reports are read
	// once a second.
	reportValidity = 5 * time.Second
	// signsOfCold is the number of consecutive slow answers or time-outs after
	// which a warm target is cold. The first one already clamps the limit, so
	// that a larger number admits no more requests. With 2, pairs of stragglers
	// turned targets cold and let queues of 100 ms build up.
	signsOfCold = 4
	// relearnAfter is the number of answers above the known service time after
	// which that of a target that reports Warm is learned anew: its data has
	// grown. Without a report it takes unreportedFactor times as many. An answer
	// within the known service time takes back relearnBack of them.
	relearnAfter = 256
	relearnBack  = 2
)

// ramp is the limit between the cold limit and the slots.
type ramp struct {
	settings Settings
	phase    phase
	allowed  int
	// streak counts normal answers in a row, total sums their times.
	streak int
	total  time.Duration
	// stalled counts the answers above the known service time.
	stalled int
	// needed is the learned streak of one step.
	needed int
	// signs counts signs of cold in a row; the last came at signed.
	signs  int
	signed time.Time
	// since is the time of the last change to cold; older reports are void.
	since    time.Time
	reported time.Time
	// warmReports counts consecutive Warm reports since the change to cold.
	warmReports int
	latest      jujubegate.TargetState
	why         string
}

func newRamp(s Settings, now time.Time) ramp {
	return ramp{settings: s, allowed: s.ColdLimit, needed: newStreak, since: now, why: "new to this owner"}
}

func (r *ramp) setBounds(s Settings) {
	r.settings = s
	if r.phase == phaseWarm {
		r.allowed = s.Slots
	}
	r.allowed = min(max(r.allowed, s.ColdLimit), s.Slots)
}

// limit returns the number of requests that may run. A target with one sign of
// cold is held at the cold limit until a normal answer.
func (r *ramp) limit() int {
	if r.signs > 0 {
		return r.settings.ColdLimit
	}
	return r.allowed
}

// turnCold restarts the ramp.
func (r *ramp) turnCold(now time.Time, why string) {
	r.phase, r.allowed = phaseCold, r.settings.ColdLimit
	r.restartStreak()
	r.stalled, r.signs, r.warmReports = 0, 0, 0
	r.since, r.latest, r.why = now, 0, why
}

// report records a load report.
func (r *ramp) report(state jujubegate.TargetState, now time.Time) {
	r.latest, r.reported = state, now
	r.warmReports++
	if state != jujubegate.Warm {
		r.warmReports = 0
	}
	if state == jujubegate.Cold && (r.phase == phaseWarm || r.allowed > r.settings.ColdLimit) {
		r.turnCold(now, "reported cold")
		r.latest = state
	}
}

func (r *ramp) restartStreak() { r.streak, r.total = 0, 0 }

// normal handles an answer within the normal service time.
func (r *ramp) normal(started time.Time, d time.Duration, now time.Time, y *latency) {
	if !started.Before(r.signed) {
		r.signs = 0
	}
	if r.phase == phaseWarm || started.Before(r.since) {
		return
	}
	r.streak++
	r.total += d
	if r.streak < r.neededNow(now, y) {
		return
	}
	mean := r.total / time.Duration(r.streak)
	r.restartStreak()
	if y.ready(mean) {
		r.grow(y, mean)
	}
}

// grow takes one step of the ramp, by half of the limit and at least one.
func (r *ramp) grow(y *latency, mean time.Duration) {
	r.stalled = 0
	r.allowed = min(r.allowed+max(1, r.allowed/2), r.settings.Slots)
	if r.allowed < r.settings.Slots {
		return
	}
	r.phase, r.why = phaseWarm, "normal answers"
	r.needed = max(r.needed/2, minStreak)
	if y.warm == 0 {
		y.settle(mean)
	}
}

// relearn forgets the known service time if the answers have been above it for
// long.
func (r *ramp) relearn(d time.Duration, now time.Time, y *latency) {
	if r.phase != phaseCold || y.warm == 0 {
		return
	}
	if y.ready(d) {
		r.stalled = max(r.stalled-relearnBack, 0)
		return
	}
	r.stalled++
	after := relearnAfter
	if !r.reportValid(now) {
		after *= unreportedFactor
	} else if r.latest != jujubegate.Warm {
		return
	}
	if r.stalled >= after {
		r.stalled = 0
		r.needed = max(r.needed, newStreak)
		y.forget()
	}
}

func (r *ramp) reportValid(now time.Time) bool {
	return r.latest != 0 && now.Sub(r.reported) <= reportValidity
}

// neededNow returns the streak of the next step. A target that reports Cold
// never leaves the cold limit; one without a report needs more answers.
func (r *ramp) neededNow(now time.Time, y *latency) int {
	if !r.reportValid(now) {
		return r.needed * unreportedFactor
	}
	if r.latest != jujubegate.Warm || (y.warm == 0 && r.warmReports < newReports) {
		return math.MaxInt
	}
	return r.needed
}

// sign handles a slow answer or a time-out. The first one clamps the limit,
// since a straggler is no cold start; the next one in a row is.
func (r *ramp) sign(started, now time.Time) {
	r.signs++
	r.signed = now
	if r.signs < signsOfCold {
		r.streak, r.total = r.streak/2, r.total/2
		return
	}
	r.restartStreak()
	switch {
	case r.phase == phaseWarm:
		r.turnCold(now, "latency far above normal")
	case r.allowed > r.settings.ColdLimit && !started.Before(r.since):
		r.shrink()
		r.turnCold(now, "latency far above normal")
	}
}

// shed handles a refusal for load or a broken connection. The owner alone
// sends to the target, so a warm one has no reason to shed.
func (r *ramp) shed(now time.Time, why string) {
	r.shrink()
	r.turnCold(now, why)
}

// shrink makes the ramp slower if it had begun.
func (r *ramp) shrink() {
	if r.phase == phaseCold && r.allowed > r.settings.ColdLimit {
		r.needed = min(r.needed*2, maxStreak)
		r.allowed = r.settings.ColdLimit
	}
}
