package limiter

import (
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
	// unreportedFactor multiplies the streak of a target without a load report.
	unreportedFactor = 8
	// reportValidity is how long a load report is believed; reports are read
	// once a second.
	reportValidity = 5 * time.Second
	// signsOfCold is the number of consecutive slow answers or time-outs after
	// which a warm target is cold. The first one already clamps the limit.
	signsOfCold = 2
	// relearnStreak is the number of consecutive slow answers of a target that
	// reports Warm after which its service time is learned anew.
	relearnStreak = 64
)

// ramp is the limit between the cold limit and the slots.
type ramp struct {
	settings Settings
	phase    phase
	allowed  int
	// streak counts normal answers in a row, slow counts slow ones.
	streak, slow int
	// needed is the learned streak of one step.
	needed int
	// signs counts signs of cold in a row while warm; the last came at signed.
	signs  int
	signed time.Time
	// since is the time of the last change to cold; older reports are void.
	since    time.Time
	reported time.Time
	latest   jujubegate.TargetState
	why      string
}

func newRamp(s Settings, now time.Time) ramp {
	return ramp{settings: s, allowed: s.ColdLimit, needed: minStreak, since: now, why: "new to this owner"}
}

func (r *ramp) setBounds(s Settings) {
	r.settings = s
	if r.phase == phaseWarm {
		r.allowed = s.Slots
	}
	r.allowed = min(max(r.allowed, s.ColdLimit), s.Slots)
}

// limit returns the number of requests that may run. A warm target with one
// sign of cold is held at the cold limit until a normal answer.
func (r *ramp) limit() int {
	if r.signs > 0 {
		return r.settings.ColdLimit
	}
	return r.allowed
}

// turnCold restarts the ramp.
func (r *ramp) turnCold(now time.Time, why string) {
	r.phase, r.allowed = phaseCold, r.settings.ColdLimit
	r.streak, r.slow, r.signs = 0, 0, 0
	r.since, r.latest, r.why = now, 0, why
}

// report records a load report.
func (r *ramp) report(state jujubegate.TargetState, now time.Time) {
	r.latest, r.reported = state, now
	if state == jujubegate.Cold && (r.phase == phaseWarm || r.allowed > r.settings.ColdLimit) {
		r.turnCold(now, "reported cold")
		r.latest = state
	}
}

// grown handles an answer within the normal service time.
func (r *ramp) grown(started, now time.Time, y *latency) {
	r.slow = 0
	if r.phase == phaseWarm {
		if !started.Before(r.signed) {
			r.signs = 0
		}
		return
	}
	if started.Before(r.since) {
		return
	}
	r.streak++
	if r.streak < r.neededNow(now) {
		return
	}
	r.streak = 0
	r.allowed = min(r.allowed+max(1, r.allowed/2), r.settings.Slots)
	if r.allowed == r.settings.Slots {
		r.phase, r.why = phaseWarm, "normal answers"
		r.needed = max(r.needed/2, minStreak)
		if y.warm == 0 {
			y.settle()
		}
	}
}

// neededNow returns the streak of the next step. A target that reports Cold
// never leaves the cold limit; one without a report needs more answers.
func (r *ramp) neededNow(now time.Time) int {
	if r.latest == 0 || now.Sub(r.reported) > reportValidity {
		return r.needed * unreportedFactor
	}
	if r.latest != jujubegate.Warm {
		return int(^uint(0) >> 1)
	}
	return r.needed
}

// sign handles a slow answer or a time-out.
func (r *ramp) sign(started, now time.Time, y *latency) {
	r.streak = 0
	if r.phase == phaseWarm {
		r.signs++
		r.signed = now
		if r.signs >= signsOfCold {
			r.turnCold(now, "latency far above normal")
		}
		return
	}
	if started.Before(r.since) {
		return
	}
	r.shrink()
	if r.slow++; r.slow >= relearnStreak && r.latest == jujubegate.Warm {
		r.slow = 0
		y.settle()
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
