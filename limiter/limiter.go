// Package limiter decides how many requests one target may run at once: as many
// as its slots when it is warm, none when it is draining or ejected. A cold target
// starts at its cold limit, which an adaptive ramp raises to the slots. The package
// does no I/O; the methods take the current time as an argument.
package limiter

import (
	"fmt"
	"time"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/recorder"
)

// DefaultGrace is the time after which an abandoned request no longer counts as
// running, although the target has neither answered nor closed the connection.
const DefaultGrace = time.Second

// Settings are the declared bounds of one target.
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

// Limiter limits the requests in flight at one target. It is not safe for
// concurrent use.
type Limiter struct {
	// Violation is called when more requests run than the limit allows; nil ignores it.
	Violation func(name, detail string)
	// Changed is called after each change of state; nil ignores it.
	Changed func(from, to jujubegate.TargetState, why string)

	settings Settings
	requests requestTable
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

// SetSettings replaces the bounds after a changed declaration. The ramp
// continues within the new bounds.
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

// RetryAfter returns the time until a request can start at an ejected target; 0
// if the target is not ejected.
func (l *Limiter) RetryAfter(now time.Time) time.Duration {
	if !l.ejection.active {
		return 0
	}
	return max(l.ejection.until.Sub(now), 0)
}

// InFlight returns the number of requests that may still run at the target,
// including abandoned ones within their grace period.
func (l *Limiter) InFlight(now time.Time) int {
	l.requests.expire(now)
	return l.requests.count
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
	t := l.requests.add(now)
	if l.ejection.active {
		l.ejection.startProbe(t)
	}
	l.checkLimit(now)
	return t, true
}

// checkLimit reports a violation if more requests are in flight than the limit
// allows.
func (l *Limiter) checkLimit(now time.Time) {
	if l.Violation == nil {
		return
	}
	running, limit := l.requests.recount(), l.Limit(now)
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

// Finish ends a request that was answered or whose connection broke. The result
// of a request that was abandoned before is ignored.
func (l *Limiter) Finish(t Ticket, r Result, now time.Time) {
	started, counted := l.requests.finish(t)
	if !counted {
		return
	}
	l.recordResult(started, r, now)
	l.endProbe(t, r.Kind, now)
	l.notifyState(now)
}

// Abandon ends a request on this side while the target may still run it. It
// counts as in flight until Closed, or until the grace period has passed. A
// request that timed out is a sign of a cold or unresponsive target, unless it
// ran only for the normal service time; a cancelled one only if it was slow.
func (l *Limiter) Abandon(t Ticket, r Result, now time.Time) {
	started, ok := l.requests.abandon(t, now.Add(l.settings.Grace))
	if !ok {
		return
	}
	l.recordResult(started, r, now)
	l.endProbe(t, r.Kind, now)
	l.notifyState(now)
}

// Closed frees an abandoned request when the target has answered or closed the
// connection.
func (l *Limiter) Closed(t Ticket, _ time.Time) { l.requests.finish(t) }

// Restarted records a restart of the target: all its connections broke.
func (l *Limiter) Restarted(now time.Time) {
	l.drain.recordRestart()
	l.ramp.turnCold(now, "restarted")
	l.notifyState(now)
}

// Reset starts the target cold when this instance owns it again. The states of
// draining and of ejection are kept.
func (l *Limiter) Reset(now time.Time) {
	l.ramp.turnCold(now, "new to this owner")
	l.notifyState(now)
}

// ConnectionLost records that the target has closed a connection. Since this may
// be the beginning of a restart, the target stays at its cold limit until a normal
// answer.
func (l *Limiter) ConnectionLost(now time.Time) {
	l.ramp.coldSigns, l.ramp.lastSign = max(l.ramp.coldSigns, 1), now
}

// Unreachable records that a connection to the target could not be opened. The
// target starts cold when it can be reached again.
func (l *Limiter) Unreachable(now time.Time) {
	l.drain.recordRestart()
	l.ramp.turnCold(now, "unreachable")
	l.recordFailure(now)
	l.notifyState(now)
}

// Drain records that the target is draining: no more requests are sent to it.
func (l *Limiter) Drain(now time.Time) {
	l.drain.start(now)
	l.notifyState(now)
}

// Report records the state in a load report. Since a report can be stale or
// wrong, Cold and Draining are applied at once, whereas Warm only allows the
// ramp to continue.
func (l *Limiter) Report(state jujubegate.TargetState, now time.Time) {
	switch state {
	case jujubegate.Draining:
		l.drain.start(now)
	case jujubegate.Cold, jujubegate.Warm:
		if l.drain.endByReport(now) {
			l.ramp.turnCold(now, "returned")
		}
		l.ramp.report(state, now)
	}
	l.notifyState(now)
}

// State returns the state of the target.
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

// notifyState calls Changed if the state has changed.
func (l *Limiter) notifyState(now time.Time) {
	state := l.State(now)
	if state == l.state {
		return
	}
	from := l.state
	l.state = state
	if l.Changed != nil {
		l.Changed(from, state, l.stateReason(state))
	}
}

func (l *Limiter) stateReason(state jujubegate.TargetState) string {
	switch state {
	case jujubegate.Draining:
		return "the target leaves"
	case jujubegate.Ejected:
		return "consecutive failures"
	}
	return l.ramp.reason
}

// NormalTime returns the learned service time of the warm target; 0 if it is
// unknown.
func (l *Limiter) NormalTime() time.Duration { return l.latency.warm }

// SetExpectedTime sets the normal service time to that of similar targets, if
// none is known for this target.
func (l *Limiter) SetExpectedTime(normal time.Duration) {
	if l.latency.warm == 0 && normal > 0 {
		l.latency.setWarm(normal)
	}
}

// Latency returns the smoothed service time; 0 before the first answer.
func (l *Limiter) Latency() time.Duration { return l.latency.smoothed }

// ConnectionBound returns how many connections may be open: the declared number
// when the target is warm, the limit of the ramp plus one for the load report
// when it is cold.
func (l *Limiter) ConnectionBound() int {
	if l.ramp.phase == phaseCold {
		return min(l.ramp.allowed+1, l.settings.Connections)
	}
	return l.settings.Connections
}

// ConnectionsWanted returns how many connections are opened in advance: one for
// each request that may run and one for the load report.
func (l *Limiter) ConnectionsWanted(now time.Time) int {
	return min(max(l.Limit(now), 1)+1, l.ConnectionBound())
}
