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

// ownedTarget is the state of one owned target: its limiter, its queue and its
// link.
type ownedTarget struct {
	dispatcher *Dispatcher
	link       Link

	mu                sync.Mutex
	target            jujubegate.Target
	spec              configurator.ServiceSpec
	limiter           *limiter.Limiter
	queue             *scheduler.Queue[*task]
	retired           bool
	connectionBound   int
	connectionsWanted int
	snapshots         []jujubegate.Snapshot
	// idle is set while the target is retired. It gets true when the last request
	// in flight has ended, or false when the target is revived.
	idle chan bool

	reported reported
}

func (d *Dispatcher) newOwnedTarget(t jujubegate.Target, spec configurator.ServiceSpec, now time.Time) *ownedTarget {
	o := &ownedTarget{dispatcher: d, target: t, spec: spec, queue: scheduler.New[*task](0)}
	o.limiter = limiter.New(limiterSettings(spec), now)
	o.limiter.Violation = d.settings.Violation
	o.limiter.Changed = o.logStateChange
	o.limiter.SetExpectedTime(d.normalTimes.get(t.Service))
	o.queue.Dropped = func(e scheduler.Entry[*task], reason jujubegate.Reason) {
		o.logPlacement(e.Payload, string(reason), o.dispatcher.settings.Clock.Now())
		e.Payload.refuse(newRefusal(reason, "dropped from the queue"))
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.link = d.settings.Open(t, spec.Connections, Events{Loaded: o.handleLoad, ConnectionLost: o.handleConnectionLost, Restarted: o.handleRestarted})
	o.updateConnections(now)
	return o
}

func limiterSettings(s configurator.ServiceSpec) limiter.Settings {
	return limiter.Settings{Slots: s.Slots, ColdLimit: s.ColdLimit, Connections: s.Connections}
}

// logStateChange logs a state change of the target. The caller holds the lock.
func (o *ownedTarget) logStateChange(from, to jujubegate.TargetState, why string) {
	o.dispatcher.settings.Log.Info("dispatcher: target state changed",
		zap.String("Target", string(o.target.Address)), zap.Stringer("From", from), zap.Stringer("To", to),
		zap.String("Why", why))
}

// update applies a new declaration. If the version, service or shard changed,
// another process runs at the address and the target starts cold.
func (o *ownedTarget) update(t jujubegate.Target, spec configurator.ServiceSpec, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	replaced := o.target.Version != t.Version || o.target.Service != t.Service || o.target.Shard != t.Shard
	o.applySpec(t, spec)
	if replaced {
		o.limiter.Restarted(now)
	}
	if r := o.dispatcher.permit(t, now); r != nil {
		o.refuseQueue(r, now)
	}
	o.startQueued(now)
}

// refuseQueue refuses all queued sub-requests.
func (o *ownedTarget) refuseQueue(r *jujubegate.Refusal, now time.Time) {
	o.queue.Clear(func(e scheduler.Entry[*task]) {
		o.logPlacement(e.Payload, string(r.Reason), now)
		e.Payload.refuse(r)
	})
}

func (o *ownedTarget) applySpec(t jujubegate.Target, spec configurator.ServiceSpec) {
	if spec.Connections != o.spec.Connections {
		o.link.SetConnections(spec.Connections)
	}
	o.target, o.spec = t, spec
	o.limiter.SetSettings(limiterSettings(spec))
}

// retire refuses the queued sub-requests and lets the requests in flight end.
// The returned channel gets true when they have ended, or false when the target is
// revived.
func (o *ownedTarget) retire(now time.Time) <-chan bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.retired = true
	o.refuseQueue(newRefusal(jujubegate.NotOwner, "this instance gave up the target"), now)
	idle := make(chan bool, 1)
	o.idle = idle
	o.checkIdle(now)
	return idle
}

// revive makes a retired target an owned one again, and reports false if its
// last request has ended already. It starts cold like any added target.
func (o *ownedTarget) revive(t jujubegate.Target, spec configurator.ServiceSpec, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.idle == nil {
		return false
	}
	o.retired = false
	o.idle <- false
	o.idle = nil
	o.applySpec(t, spec)
	o.limiter.Reset(now)
	o.updateConnections(now)
	return true
}

// checkIdle reports the end of a retired target that has no requests in flight.
func (o *ownedTarget) checkIdle(now time.Time) {
	if o.retired && o.idle != nil && o.limiter.InFlight(now) == 0 {
		o.idle <- true
		o.idle = nil
	}
}

func (o *ownedTarget) inFlight(now time.Time) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.limiter.InFlight(now)
}

// handleLoad passes a load report to the limiter.
func (o *ownedTarget) handleLoad(load dialer.Load, err error) {
	now := o.dispatcher.settings.Clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case err == nil:
		o.snapshots = load.Snapshots
		o.limiter.Report(load.State, now)
		o.shareNormalTime()
	case errors.Is(err, dialer.ErrUnreachable):
		o.limiter.Unreachable(now)
	}
	if err != nil {
		o.dispatcher.settings.Log.Debug("dispatcher: no load report",
			zap.String("Target", string(o.target.Address)), zap.Error(err))
	}
	o.startQueued(now)
}

// shareNormalTime stores the normal service time that the limiter has learned from
// this target, for other targets of the service. If it has learned none yet, the
// limiter gets the one that is stored for the service.
func (o *ownedTarget) shareNormalTime() {
	normal := &o.dispatcher.normalTimes
	if known := o.limiter.NormalTime(); known > 0 {
		normal.set(o.target.Service, known)
	} else {
		o.limiter.SetExpectedTime(normal.get(o.target.Service))
	}
}

// drain stops new requests to the target.
func (o *ownedTarget) drain() {
	now := o.dispatcher.settings.Clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.limiter.Drain(now)
	o.startQueued(now)
}

// handleConnectionLost handles a connection that the target has closed, which may be
// the beginning of a restart.
func (o *ownedTarget) handleConnectionLost() {
	now := o.dispatcher.settings.Clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.limiter.ConnectionLost(now)
}

// handleRestarted handles a restart: the target has closed all connections.
func (o *ownedTarget) handleRestarted() {
	now := o.dispatcher.settings.Clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.limiter.Restarted(now)
	o.startQueued(now)
}

// startQueued starts queued sub-requests while the limit allows it, and refuses
// them if the limit is 0.
func (o *ownedTarget) startQueued(now time.Time) {
	for o.queue.Len() > 0 && o.limiter.Available(now) > 0 {
		e, ok := o.queue.Pop(now, o.load(now).ServiceTime)
		if !ok {
			break
		}
		if r := o.dispatcher.permit(o.target, now); r != nil {
			o.logPlacement(e.Payload, string(r.Reason), now)
			e.Payload.refuse(r)
			continue
		}
		o.start(e.Payload, now)
		o.logPlacement(e.Payload, "Sent", now)
	}
	if o.queue.Len() > 0 && o.limiter.Limit(now) == 0 {
		o.refuseQueue(o.unavailableRefusal(now), now)
	}
	o.updateConnections(now)
	o.checkIdle(now)
}

// unavailableRefusal returns the refusal for a target whose limit is 0.
func (o *ownedTarget) unavailableRefusal(now time.Time) *jujubegate.Refusal {
	if o.limiter.State(now) == jujubegate.Draining {
		return newRefusal(jujubegate.TargetDraining, "the target leaves")
	}
	r := newRefusal(jujubegate.TargetDown, "the target is ejected")
	r.RetryAfter = o.limiter.RetryAfter(now)
	return r
}

// updateConnections passes changed connection bounds to the link.
func (o *ownedTarget) updateConnections(now time.Time) {
	bound, wanted := o.limiter.ConnectionBound(), o.limiter.ConnectionsWanted(now)
	if bound != o.connectionBound || wanted != o.connectionsWanted {
		o.connectionBound, o.connectionsWanted = bound, wanted
		o.link.SetBound(bound, wanted)
	}
}

// load returns what the queue needs to estimate a wait. The service time of an
// idle target is left out: otherwise an estimate that was raised by a slow
// period could refuse all sub-requests, and no answer would ever correct it.
func (o *ownedTarget) load(now time.Time) scheduler.Load {
	load := scheduler.Load{Limit: o.limiter.Limit(now), InFlight: o.limiter.InFlight(now)}
	if load.InFlight > 0 {
		load.ServiceTime = o.limiter.Latency()
	}
	return load
}

// newRefusal returns a refusal with the outcome NotRun.
func newRefusal(reason jujubegate.Reason, detail string) *jujubegate.Refusal {
	return &jujubegate.Refusal{Reason: reason, Outcome: jujubegate.NotRun, Detail: detail}
}
