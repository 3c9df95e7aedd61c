package dispatcher

import (
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/configurator"
	"jujubegate.example/jujubegate/dialer"
	"jujubegate.example/jujubegate/limiter"
	"jujubegate.example/jujubegate/scheduler"
)

// lane is one owned target: its limit, its queue and its link.
type lane struct {
	dispatcher *Dispatcher
	link       Link

	mu        sync.Mutex
	target    jujubegate.Target
	spec      configurator.ServiceSpec
	limiter   *limiter.Limiter
	queue     *scheduler.Queue[*task]
	retired   bool
	bound     int
	wanted    int
	snapshots []jujubegate.Snapshot
	// idle is closed when a retired lane has no more requests in flight, which
	// sets ended, or when it is revived.
	idle  chan struct{}
	ended bool

	reported reported
}

func (d *Dispatcher) newLane(t jujubegate.Target, spec configurator.ServiceSpec, now time.Time) *lane {
	l := &lane{dispatcher: d, target: t, spec: spec, queue: scheduler.New[*task](0)}
	l.limiter = limiter.New(bounds(spec), now)
	l.limiter.Violation = d.settings.Violation
	l.limiter.Changed = l.changed
	l.limiter.SetExpectedTime(d.normal.get(t.Service))
	l.queue.Dropped = func(e scheduler.Entry[*task], reason jujubegate.Reason) {
		l.logPlacement(e.Payload, string(reason), l.dispatcher.settings.Clock.Now())
		e.Payload.end(refused(reason, "dropped from the queue"))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.link = d.settings.Open(t, spec.Connections, Events{Loaded: l.loaded, Broken: l.broken, Restarted: l.restarted})
	l.adjust(now)
	return l
}

func bounds(s configurator.ServiceSpec) limiter.Settings {
	return limiter.Settings{Slots: s.Slots, ColdLimit: s.ColdLimit, Connections: s.Connections}
}

// changed logs a change of state; it runs under the lock.
func (l *lane) changed(from, to jujubegate.TargetState, why string) {
	l.dispatcher.settings.Log.Info("dispatcher: target changed",
		zap.String("Target", string(l.target.Address)), zap.Stringer("From", from), zap.Stringer("To", to),
		zap.String("Why", why))
}

// update replaces the declaration. A target that is another process starts cold.
func (l *lane) update(t jujubegate.Target, spec configurator.ServiceSpec, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	replaced := l.target.Version != t.Version || l.target.Service != t.Service || l.target.Shard != t.Shard
	l.declare(t, spec)
	if replaced {
		l.limiter.Restarted(now)
	}
	if r := l.dispatcher.permit(t, now); r != nil {
		l.refuseQueue(r, now)
	}
	l.pump(now)
}

// refuseQueue refuses everything that waits.
func (l *lane) refuseQueue(r *jujubegate.Refusal, now time.Time) {
	l.queue.Clear(func(e scheduler.Entry[*task]) {
		l.logPlacement(e.Payload, string(r.Reason), now)
		e.Payload.end(r)
	})
}

func (l *lane) declare(t jujubegate.Target, spec configurator.ServiceSpec) {
	if spec.Connections != l.spec.Connections {
		l.link.SetConnections(spec.Connections)
	}
	l.target, l.spec = t, spec
	l.limiter.SetSettings(bounds(spec))
}

// retire refuses the queue and lets the requests in flight end. The returned
// channel is closed when they have ended, or when the lane is revived.
func (l *lane) retire(now time.Time) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retired = true
	l.refuseQueue(refused(jujubegate.NotOwner, "this instance gave up the target"), now)
	idle := make(chan struct{})
	l.idle = idle
	l.checkIdle(now)
	return idle
}

// revive takes a retired lane back. It starts cold like any added target.
func (l *lane) revive(t jujubegate.Target, spec configurator.ServiceSpec, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.idle == nil {
		return false
	}
	l.retired = false
	close(l.idle)
	l.idle = nil
	l.declare(t, spec)
	l.limiter.Reset(now)
	l.adjust(now)
	return true
}

func (l *lane) hasEnded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ended
}

// checkIdle ends the wait for a retired lane without requests in flight.
func (l *lane) checkIdle(now time.Time) {
	if l.retired && l.idle != nil && l.limiter.InFlight(now) == 0 {
		close(l.idle)
		l.idle, l.ended = nil, true
	}
}

func (l *lane) inFlight(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limiter.InFlight(now)
}

// loaded takes a load report.
func (l *lane) loaded(load dialer.Load, err error) {
	now := l.dispatcher.settings.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil:
		l.snapshots = load.Snapshots
		l.limiter.Report(load.State, now)
		l.shareNormal()
	case errors.Is(err, dialer.ErrUnreachable):
		l.limiter.Unreachable(now)
	}
	if err != nil {
		l.dispatcher.settings.Log.Debug("dispatcher: no load report",
			zap.String("Target", string(l.target.Address)), zap.Error(err))
	}
	l.pump(now)
}

// shareNormal passes the service time of a warm target to others of its service.
func (l *lane) shareNormal() {
	normal := &l.dispatcher.normal
	if known := l.limiter.NormalTime(); known > 0 {
		normal.set(l.target.Service, known)
	} else {
		l.limiter.SetExpectedTime(normal.get(l.target.Service))
	}
}

// drain takes the news, from elsewhere than the target, that it leaves.
func (l *lane) drain() {
	now := l.dispatcher.settings.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.Drain(now)
	l.pump(now)
}

// broken takes the news that the target has closed a connection, which may be
// the beginning of a restart.
func (l *lane) broken() {
	now := l.dispatcher.settings.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.Suspect(now)
}

// restarted takes the news that the target has closed all connections.
func (l *lane) restarted() {
	now := l.dispatcher.settings.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.Restarted(now)
	l.pump(now)
}

// pump starts queued sub-requests while the limit allows it, and refuses the
// queue of a target that takes none.
func (l *lane) pump(now time.Time) {
	for l.queue.Len() > 0 && l.limiter.Available(now) > 0 {
		e, ok := l.queue.Pop(now, l.load(now).ServiceTime)
		if !ok {
			break
		}
		if r := l.dispatcher.permit(l.target, now); r != nil {
			l.logPlacement(e.Payload, string(r.Reason), now)
			e.Payload.end(r)
			continue
		}
		l.start(e.Payload, now)
		l.logPlacement(e.Payload, "Sent", now)
	}
	if l.queue.Len() > 0 && l.limiter.Limit(now) == 0 {
		l.refuseQueue(l.closedRefusal(now), now)
	}
	l.adjust(now)
	l.checkIdle(now)
}

// closedRefusal is the refusal of a target that takes no requests now.
func (l *lane) closedRefusal(now time.Time) *jujubegate.Refusal {
	if l.limiter.State(now) == jujubegate.Draining {
		return refused(jujubegate.TargetDraining, "the target leaves")
	}
	r := refused(jujubegate.TargetDown, "the target is ejected")
	r.RetryAfter = l.limiter.RetryAfter(now)
	return r
}

// adjust passes a changed connection bound to the link.
func (l *lane) adjust(now time.Time) {
	bound, wanted := l.limiter.ConnectionBound(), l.limiter.ConnectionsWanted(now)
	if bound != l.bound || wanted != l.wanted {
		l.bound, l.wanted = bound, wanted
		l.link.SetBound(bound, wanted)
	}
}

// load is what the queue needs to estimate a wait. An idle target has no
// estimate: otherwise one slow spell could refuse everything, and the estimate
// would never be corrected.
func (l *lane) load(now time.Time) scheduler.Load {
	load := scheduler.Load{Limit: l.limiter.Limit(now), InFlight: l.limiter.InFlight(now)}
	if load.InFlight > 0 {
		load.ServiceTime = l.limiter.Latency()
	}
	return load
}

func refused(reason jujubegate.Reason, detail string) *jujubegate.Refusal {
	return &jujubegate.Refusal{Reason: reason, Outcome: jujubegate.NotRun, Detail: detail}
}
