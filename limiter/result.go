package limiter

import "time"

// Kind says how a request ended.
type Kind uint8

// Kinds of ends.
const (
	// Answered is an answer, also one that reports an error of the target.
	Answered Kind = iota
	// Refused is a typed refusal that says nothing about load.
	Refused
	// Shed is a refusal for load.
	Shed
	// Draining is a refusal because the target leaves.
	Draining
	// BadAnswer is an answer to another request, or garbage.
	BadAnswer
	// Broken is a connection that broke after the request was written.
	Broken
	// Unreachable is a connection that could not be opened.
	Unreachable
	// TimedOut is a request without an answer by its deadline.
	TimedOut
	// Cancelled is a request that this side no longer needs.
	Cancelled
	// NotSent is a request that was never written.
	NotSent
)

// Result is the end of a request.
type Result struct {
	Kind Kind
	// Latency is the time from sending to the end; 0 if it is unknown.
	Latency time.Duration
}

// learn draws the conclusions from the end of a request.
func (l *Limiter) learn(started time.Time, r Result, now time.Time) {
	switch r.Kind {
	case Answered:
		l.answered(started, r.Latency, now)
		l.ejection.succeeded()
	case Refused:
		l.ejection.succeeded()
	case Shed:
		l.ramp.shed(now, "shed a request")
		l.failed(now)
	case Draining:
		l.drain.start(now)
	case BadAnswer:
		l.failed(now)
	case Broken:
		l.ramp.shed(now, "connection broke")
		l.failed(now)
	case Unreachable:
		l.Unreachable(now)
	case TimedOut:
		// In an overload, requests start with little time left. One that timed
		// out within the normal service time says nothing about its target.
		if r.Latency > 0 && l.latency.warm != 0 && l.latency.normal(r.Latency) {
			return
		}
		l.ramp.sign(started, now)
		l.failed(now)
	case Cancelled:
		if l.latency.warm != 0 && !l.latency.normal(r.Latency) {
			l.ramp.sign(started, now)
		}
	case NotSent:
	}
}

func (l *Limiter) answered(started time.Time, d time.Duration, now time.Time) {
	cold := l.ramp.phase == phaseCold
	improved := l.latency.observe(d, cold)
	switch {
	case !l.latency.normal(d):
		l.ramp.sign(started, now)
	case improved && cold:
		l.ramp.restartStreak()
	default:
		l.ramp.normal(started, d, now, &l.latency)
	}
	if cold {
		l.ramp.relearn(d, now, &l.latency)
	}
}

// failed counts a failure towards ejection.
func (l *Limiter) failed(now time.Time) {
	if l.ejection.failed(now) {
		l.ramp.turnCold(now, "recovered from ejection")
	}
}

// probed ends a probe of an ejected target. A probe that succeeds readmits
// the target as a cold one; one that fails has prolonged the ejection.
func (l *Limiter) probed(t Ticket, k Kind, now time.Time) {
	if !l.ejection.active || l.ejection.probing != t {
		return
	}
	l.ejection.probing = Ticket{}
	if k == Answered || k == Refused {
		l.ejection.recover()
		l.ramp.turnCold(now, "recovered from ejection")
	}
}
