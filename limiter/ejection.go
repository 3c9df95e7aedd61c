package limiter

import "time"

const (
	// ejectAfter is the number of consecutive failures that eject a target.
	ejectAfter = 5
	// ejectBase is the first time of ejection; each further one doubles it.
	ejectBase = 500 * time.Millisecond
	// ejectMax bounds the time of ejection.
	ejectMax = 15 * time.Second
)

// ejection keeps requests from a target that fails. Once its time is over,
// single probes go out until one succeeds.
type ejection struct {
	active   bool
	until    time.Time
	time     time.Duration
	failures int
	// probing is the ticket of the probe; its serial is 0 if none runs.
	probing Ticket
}

// limit returns the number of requests that may run: one probe after the time.
func (e *ejection) limit(now time.Time) int {
	if now.Before(e.until) || e.probing.serial != 0 {
		return 0
	}
	return 1
}

func (e *ejection) probe(t Ticket) { e.probing = t }

// failed counts a failure and reports whether it ejects the target. A failure
// after the time of ejection, such as an unreachable load report, prolongs it.
func (e *ejection) failed(now time.Time) bool {
	e.failures++
	if e.active {
		if !now.Before(e.until) {
			e.eject(now)
		}
		return false
	}
	if e.failures < ejectAfter {
		return false
	}
	e.eject(now)
	return true
}

// eject starts or prolongs an ejection.
func (e *ejection) eject(now time.Time) {
	e.active = true
	e.time = min(max(e.time*2, ejectBase), ejectMax)
	e.until = now.Add(e.time)
}

// succeeded ends a run of failures. The time of ejection is forgotten only by
// an answer outside an ejection.
func (e *ejection) succeeded() {
	e.failures = 0
	if !e.active {
		e.time /= 2
	}
}

func (e *ejection) recover() { e.active, e.failures, e.probing = false, 0, Ticket{} }
