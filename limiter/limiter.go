// Package limiter decides how many requests one target may run at once: its
// slots when warm, its cold limit and a learned ramp when cold, none when it
// drains or is ejected. It does no I/O; every method takes the time.
package limiter

import (
	"fmt"
	"time"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/recorder"
)

// DefaultGrace is the time after which an abandoned request no longer counts
// as running although neither its answer nor the close of its connection was seen.
const DefaultGrace = time.Second

// Settings are the bounds of one target.
type Settings struct {
	// Slots is the number of requests that the warm target runs at once.
	Slots int
	// ColdLimit is the number of requests that the cold target runs at once.
	ColdLimit int
	// Connections is the number of connections that the target accepts.
	Connections int
	// Grace bounds how long an abandoned request counts; 0 means DefaultGrace.
	Grace time.Duration
}

// normalized returns the settings with every bound at least 1 and the cold
// limit at most the slots.
func (s Settings) normalized() Settings {
	s.Slots = max(s.Slots, 1)
	s.ColdLimit = min(max(s.ColdLimit, 1), s.Slots)
	s.Connections = max(s.Connections, 1)
	if s.Grace <= 0 {
		s.Grace = DefaultGrace
	}
	return s
}

// Limiter is the limit of one target. It is not safe for concurrent use.
type Limiter struct {
	// Violation is called when more requests run than the limit in force; nil ignores it.
	Violation func(name, detail string)
	// Changed is called after each change of state; nil ignores it.
	Changed func(from, to jujubegate.TargetState, why string)

	settings Settings
	flights  flights
	ramp     ramp
	latency  latency
	ejection ejection
	drain    drain
	state    jujubegate.TargetState
}

// New returns the limiter of a target that is new to this owner: it starts cold.
func New(settings Settings, now time.Time) *Limiter {
	l := &Limiter{settings: settings.normalized(), state: jujubegate.Cold}
	l.ramp = newRamp(l.settings, now)
	return l
}

// SetSettings replaces the bounds, for a changed declaration. The ramp goes on
// within the new bounds.
func (l *Limiter) SetSettings(settings Settings) {
	l.settings = settings.normalized()
	l.ramp.setBounds(l.settings)
}

// Limit returns the number of requests that may run now.
func (l *Limiter) Limit(now time.Time) int {
	switch {
	case l.drain.active:
		return 0
	case l.ejection.active:
		return l.ejection.limit(now)
	}
	return l.ramp.limit()
}

// RetryAfter returns how long no request can start because the target is
// ejected; 0 if it is not.
func (l *Limiter) RetryAfter(now time.Time) time.Duration {
	if !l.ejection.active {
		return 0
	}
	return max(l.ejection.until.Sub(now), 0)
}

// InFlight returns the number of requests that may still run at the target,
// including abandoned ones within their grace.
func (l *Limiter) InFlight(now time.Time) int {
	l.flights.reap(now)
	return l.flights.count
}

// Available returns how many more requests may start now.
func (l *Limiter) Available(now time.Time) int {
	return max(l.Limit(now)-l.InFlight(now), 0)
}

// Acquire starts a request if the limit allows it. The ticket must be passed
// to Finish, or to Abandon and then to Closed.
func (l *Limiter) Acquire(now time.Time) (Ticket, bool) {
	if l.Available(now) == 0 {
		return Ticket{}, false
	}
	t := l.flights.start(now)
	if l.ejection.active {
		l.ejection.probe(t)
	}
	l.check(now)
	return t, true
}

// check recounts the requests in flight and compares them with the limit.
func (l *Limiter) check(now time.Time) {
	if l.Violation == nil {
		return
	}
	running, limit := l.flights.recount(), l.Limit(now)
	if limit == 0 && l.ejection.active {
		limit = 1 // the probe itself has used up the limit
	}
	if running > limit {
		name := recorder.Limit
		if l.ramp.phase == phaseCold {
			name = recorder.Cold
		}
		l.Violation(string(name), fmt.Sprintf("%d in flight, limit %d, cold limit %d, state %v",
			running, limit, l.settings.ColdLimit, l.state))
	}
}

// Finish ends a request whose answer, or whose broken connection, was seen.
// A ticket whose grace has passed still teaches, but frees nothing.
func (l *Limiter) Finish(t Ticket, r Result, now time.Time) {
	started, counted := l.flights.finish(t)
	if !counted {
		return
	}
	l.learn(started, r, now)
	l.probed(t, r.Kind, now)
	l.settle(now)
}

// Abandon ends a request on this side while the target may still run it. It
// counts until Closed, or until the grace has passed. A request that timed out
// is a sign of a cold or dead target; a cancelled one is not, unless it was
// already slow.
func (l *Limiter) Abandon(t Ticket, r Result, now time.Time) {
	started, ok := l.flights.abandon(t, now.Add(l.settings.Grace))
	if !ok {
		return
	}
	l.learn(started, r, now)
	l.probed(t, r.Kind, now)
	l.settle(now)
}

// Closed frees an abandoned request once the target's answer or the close of
// its connection has been seen.
func (l *Limiter) Closed(t Ticket, _ time.Time) { l.flights.finish(t) }

// Restarted records that the target's process is new: all its connections
// broke, or it no longer listens.
func (l *Limiter) Restarted(now time.Time) {
	l.drain.restarted()
	l.ramp.turnCold(now, "restarted")
	l.settle(now)
}

// Reset starts the target cold, for an owner that takes it back. What is known
// about its leaving and its failures stays.
func (l *Limiter) Reset(now time.Time) {
	l.ramp.turnCold(now, "new to this owner")
	l.settle(now)
}

// Suspect holds the target at its cold limit until a normal answer, for a sign
// that is too weak for a cold start: it has closed a connection.
func (l *Limiter) Suspect(now time.Time) {
	l.ramp.signs, l.ramp.signed = max(l.ramp.signs, 1), now
}

// Unreachable records that a connection for a load report could not be opened.
func (l *Limiter) Unreachable(now time.Time) {
	l.drain.restarted()
	l.ramp.turnCold(now, "unreachable")
	l.failed(now)
	l.settle(now)
}

// Drain records that the target leaves: nothing more is sent to it.
func (l *Limiter) Drain(now time.Time) {
	l.drain.start(now)
	l.settle(now)
}

// Report records the state in a load report. A report can be stale or wrong:
// Cold and Draining are believed at once, Warm only lets the ramp go on.
func (l *Limiter) Report(state jujubegate.TargetState, now time.Time) {
	switch state {
	case jujubegate.Draining:
		l.drain.start(now)
	case jujubegate.Cold, jujubegate.Warm:
		if l.drain.reportedBack(now) {
			l.ramp.turnCold(now, "returned")
		}
		l.ramp.report(state, now)
	}
	l.settle(now)
}

// State returns the condition of the target.
func (l *Limiter) State(now time.Time) jujubegate.TargetState {
	switch {
	case l.drain.active:
		return jujubegate.Draining
	case l.ejection.active && now.Before(l.ejection.until):
		return jujubegate.Ejected
	case l.ramp.phase == phaseCold || l.ejection.active:
		return jujubegate.Cold
	}
	return jujubegate.Warm
}

// settle reports a change of state.
func (l *Limiter) settle(now time.Time) {
	state := l.State(now)
	if state == l.state {
		return
	}
	from := l.state
	l.state = state
	if l.Changed != nil {
		l.Changed(from, state, l.why(state))
	}
}

func (l *Limiter) why(state jujubegate.TargetState) string {
	switch state {
	case jujubegate.Draining:
		return "the target leaves"
	case jujubegate.Ejected:
		return "consecutive failures"
	}
	return l.ramp.why
}

// NormalTime returns the learned service time of the warm target; 0 if unknown.
func (l *Limiter) NormalTime() time.Duration { return l.latency.warm }

// SetExpectedTime gives the service time of similar targets, which holds until the
// target's own is known.
func (l *Limiter) SetExpectedTime(normal time.Duration) {
	if l.latency.warm == 0 && normal > 0 {
		l.latency.settle(normal)
	}
}

// Latency returns the smoothed service time; 0 before the first answer.
func (l *Limiter) Latency() time.Duration { return l.latency.smoothed }

// ConnectionBound returns how many connections may be open: the declared ones
// when warm, the limit of the ramp plus one for the load report when cold.
func (l *Limiter) ConnectionBound() int {
	if l.ramp.phase == phaseCold {
		return min(l.ramp.allowed+1, l.settings.Connections)
	}
	return l.settings.Connections
}

// ConnectionsWanted returns how many connections are kept open ahead of need:
// one for each request that may run and one for the load report.
func (l *Limiter) ConnectionsWanted(now time.Time) int {
	return min(max(l.Limit(now), 1)+1, l.ConnectionBound())
}
