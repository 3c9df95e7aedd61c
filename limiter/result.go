package limiter

import "time"

// Kind says how a request ended.
type Kind uint8

// Kinds of results.
const (
	// Answered is an answer, also one that reports an error of the target.
	Answered Kind = iota
	// Refused is a typed refusal that says nothing about load.
	Refused
	// Shed is a refusal for load.
	Shed
	// Draining is a refusal because the target is draining.
	Draining
	// BadAnswer is an invalid answer, or the answer to another request.
	BadAnswer
	// Broken is a connection that broke after the request was written.
	Broken
	// Unreachable is a connection that could not be opened.
	Unreachable
	// TimedOut is a request without an answer by its deadline.
	TimedOut
	// Cancelled is a request that was cancelled by this side.
	Cancelled
	// NotSent is a request that was never written.
	NotSent
)

// Result is the result of a request.
type Result struct {
	Kind Kind
	// Latency is the time from sending to the end; 0 if it is unknown.
	Latency time.Duration
}

// recordResult updates the ramp, the ejection and the drain by the result of a
// request.
func (l *Limiter) recordResult(started time.Time, r Result, now time.Time) {
	switch r.Kind {
	case Answered:
		l.recordAnswer(started, r.Latency, now)
		l.ejection.recordSuccess()
	case Refused:
		l.ejection.recordSuccess()
	case Shed:
		l.ramp.abort(now, "shed a request")
		l.recordFailure(now)
	case Draining:
		l.drain.start(now)
	case BadAnswer:
		l.recordFailure(now)
	case Broken:
		l.ramp.abort(now, "connection broke")
		l.recordFailure(now)
	case Unreachable:
		l.Unreachable(now)
	case TimedOut:
		// In an overload, requests start shortly before their deadline. One that
		// timed out within the normal service time says nothing about its target.
		if r.Latency > 0 && l.latency.warm != 0 && l.latency.isNormal(r.Latency) {
			return
		}
		l.ramp.recordColdSign(started, now)
		l.recordFailure(now)
	case Cancelled:
		if l.latency.warm != 0 && !l.latency.isNormal(r.Latency) {
			l.ramp.recordColdSign(started, now)
		}
	case NotSent:
	}
}

func (l *Limiter) recordAnswer(started time.Time, d time.Duration, now time.Time) {
	cold := l.ramp.phase == phaseCold
	improved := l.latency.observe(d, cold)
	switch {
	case !l.latency.isNormal(d):
		l.ramp.recordColdSign(started, now)
	case improved && cold:
		l.ramp.resetStreak()
	default:
		l.ramp.recordNormal(started, d, now, &l.latency)
	}
	if cold {
		l.ramp.relearn(d, now, &l.latency)
	}
}

// recordFailure counts a failure towards ejection.
func (l *Limiter) recordFailure(now time.Time) {
	if l.ejection.recordFailure(now) {
		l.ramp.turnCold(now, "recovered from ejection")
	}
}

// endProbe ends a probe of an ejected target. After a successful probe the
// target starts cold; a failed one has prolonged the ejection already.
func (l *Limiter) endProbe(t Ticket, k Kind, now time.Time) {
	if !l.ejection.active || l.ejection.probeTicket != t {
		return
	}
	l.ejection.probeTicket = Ticket{}
	if k == Answered || k == Refused {
		l.ejection.recover()
		l.ramp.turnCold(now, "recovered from ejection")
	}
}
