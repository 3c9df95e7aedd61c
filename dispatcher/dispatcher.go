// Package dispatcher sends sub-requests to the targets that this instance
// owns. No other instance sends to them, so that the dispatcher can queue
// sub-requests and limit how many run at a target at once.
package dispatcher

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/configurator"
	"jujubegate.example/jujubegate/connector"
	"jujubegate.example/jujubegate/dialer"
)

const (
	// coalesceTime is how long a result waits for others to be delivered with.
	coalesceTime = time.Millisecond
	// orderGrace is how long after its deadline the answer to an order is
	// awaited, since a late answer is worth more than an unknown outcome.
	orderGrace = time.Second
	// orderCloseDelay is how long after orderGrace the connection of an order
	// stays open, since closing it would cancel the order at the target. It
	// bounds how long an unresponsive target can hold a connection.
	orderCloseDelay = 10 * time.Second
)

// Names that are passed to Settings.Count.
const (
	CountSent      = "Sent"
	CountQueued    = "Queued"
	CountAnswered  = "Answered"
	CountRefused   = "Refused"
	CountCancelled = "Cancelled"
)

// Link holds the connections to one target and sends requests over them.
type Link struct {
	// Send makes one attempt and must call Request.Permit right before it writes.
	Send func(ctx context.Context, r dialer.Request) dialer.Result
	// SetBound sets how many connections may be open (bound) and how many of
	// them are opened before they are needed (wanted).
	SetBound func(bound, wanted int)
	// SetConnections sets how many connections the target accepts.
	SetConnections func(connections int)
	Close          func()
}

// Events are the callbacks by which a Link reports about its target.
type Events struct {
	// Loaded is called with each load report, or with the error of a failed one.
	Loaded func(dialer.Load, error)
	// ConnectionLost is called when the target has closed a connection, Restarted
	// when it has closed all of them.
	ConnectionLost func()
	Restarted      func()
}

// Settings are the dependencies of a Dispatcher.
type Settings struct {
	// MaySend reports whether this instance owns the target now.
	MaySend func(address jujubegate.Address, now time.Time) bool
	// Allowed reports whether the configuration allows requests to the target.
	Allowed func(target jujubegate.Target) bool
	// Open opens the link to a target; nil means a dialer over TCP.
	Open func(target jujubegate.Target, connections int, events Events) Link
	// Count adds to a counter; nil ignores it.
	Count func(name string, delta int64)
	// Finished is called when a request that reached its target has ended, with
	// the number of requests that ran there when it started (itself included),
	// whether it failed, and its service time. The service time of a cancelled
	// request is a lower bound. nil ignores the call.
	Finished func(target jujubegate.Target, route jujubegate.Route, running int, failed bool, took time.Duration)
	// Violation is called when an invariant is broken; nil ignores it.
	Violation func(name, detail string)
	// Memory bounds the large answers of targets that are held at once; nil means no
	// bound.
	Memory *connector.Memory
	Clock  jujubegate.Clock
	Log    *zap.Logger
}

// Dispatcher sends sub-requests to the targets that this instance owns. It is
// safe for concurrent use.
type Dispatcher struct {
	settings Settings

	mu      sync.RWMutex
	targets map[jujubegate.Address]*ownedTarget
	// retired holds the removed targets that still have requests in flight.
	retired map[jujubegate.Address]*ownedTarget
	closing bool
	// calls counts the running calls of Do, closers the goroutines that close
	// links.
	calls   sync.WaitGroup
	closers sync.WaitGroup

	runs        runIndex
	normalTimes normalTimes

	markMu sync.Mutex
	// mark is that of the latest change to the reports.
	mark Mark
}

// New returns a dispatcher without targets.
func New(settings Settings) *Dispatcher {
	if settings.Log == nil {
		settings.Log = zap.NewNop()
	}
	if settings.Count == nil {
		settings.Count = func(string, int64) {}
	}
	if settings.Finished == nil {
		settings.Finished = func(jujubegate.Target, jujubegate.Route, int, bool, time.Duration) {}
	}
	if settings.Open == nil {
		settings.Open = func(t jujubegate.Target, connections int, e Events) Link {
			return dialTarget(t, connections, e, settings)
		}
	}
	return &Dispatcher{
		settings: settings,
		targets:  make(map[jujubegate.Address]*ownedTarget),
		retired:  make(map[jujubegate.Address]*ownedTarget),
		runs:     newRunIndex(),
	}
}

func dialTarget(t jujubegate.Target, connections int, e Events, s Settings) Link {
	d := dialer.New(dialer.Settings{
		Target: t, Connections: connections, Clock: s.Clock, Memory: s.Memory, Loaded: e.Loaded,
		ConnectionLost: e.ConnectionLost, Restarted: e.Restarted,
	})
	return Link{Send: d.Send, SetBound: d.SetBound, SetConnections: d.SetConnections, Close: d.Close}
}

// Update sets the owned targets and the declarations of their services. An
// added target starts cold. A removed target receives no new requests, and its
// connections are closed when its requests in flight have ended.
func (d *Dispatcher) Update(targets []jujubegate.Target, specs []configurator.ServiceSpec) {
	byName := make(map[jujubegate.Service]configurator.ServiceSpec, len(specs))
	for _, s := range specs {
		byName[s.Name] = s
	}
	now := d.settings.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closing {
		return
	}
	owned := make(map[jujubegate.Address]struct{}, len(targets))
	for _, t := range targets {
		owned[t.Address] = struct{}{}
		d.addOrUpdate(t, byName[t.Service], now)
	}
	for address, o := range d.targets {
		if _, ok := owned[address]; !ok {
			d.retire(address, o, now)
		}
	}
}

// addOrUpdate adds a target, revives a retired one, or updates the declaration
// of a target that is already owned.
func (d *Dispatcher) addOrUpdate(t jujubegate.Target, spec configurator.ServiceSpec, now time.Time) {
	if o, ok := d.targets[t.Address]; ok {
		o.update(t, spec, now)
		return
	}
	if o, ok := d.retired[t.Address]; ok && o.revive(t, spec, now) {
		delete(d.retired, t.Address)
		d.targets[t.Address] = o
		return
	}
	d.targets[t.Address] = d.newOwnedTarget(t, spec, now)
	d.settings.Log.Info("dispatcher: target added", zap.String("Target", string(t.Address)))
}

// retire removes a target. Its state is kept until its last request has ended,
// so that these requests count against the limit if the target is added again.
func (d *Dispatcher) retire(address jujubegate.Address, o *ownedTarget, now time.Time) {
	d.settings.Log.Info("dispatcher: target removed", zap.String("Target", string(address)))
	delete(d.targets, address)
	d.retired[address] = o
	idle := o.retire(now)
	d.closers.Go(func() {
		if ended := <-idle; !ended {
			return
		}
		o.link.Close()
		d.mu.Lock()
		if d.retired[address] == o {
			delete(d.retired, address)
		}
		d.mu.Unlock()
	})
}

// Drain stops new requests to a target that is known to be draining from
// another source than the target itself.
func (d *Dispatcher) Drain(address jujubegate.Address) {
	d.mu.RLock()
	o := d.targets[address]
	d.mu.RUnlock()
	if o != nil {
		o.drain()
	}
}

// permit returns a refusal if the target may not receive new requests now.
func (d *Dispatcher) permit(t jujubegate.Target, now time.Time) *jujubegate.Refusal {
	if !d.settings.MaySend(t.Address, now) {
		return &jujubegate.Refusal{
			Reason: jujubegate.NotOwner, Outcome: jujubegate.NotRun, Detail: "this instance does not own the target",
		}
	}
	if !d.settings.Allowed(t) {
		return &jujubegate.Refusal{
			Reason: jujubegate.OutOfService, Outcome: jujubegate.NotRun,
			Detail: "the target's data centre or version is out of service",
		}
	}
	return nil
}

// InFlight returns the number of requests that may still run at targets.
func (d *Dispatcher) InFlight() int {
	now := d.settings.Clock.Now()
	d.mu.RLock()
	defer d.mu.RUnlock()
	n := 0
	for _, o := range d.targets {
		n += o.inFlight(now)
	}
	for _, o := range d.retired {
		n += o.inFlight(now)
	}
	return n
}

// InFlightAt returns the number of requests that may still run at one target,
// also after the target was removed. A removed target can be released when it
// returns 0.
func (d *Dispatcher) InFlightAt(address jujubegate.Address) int {
	now := d.settings.Clock.Now()
	d.mu.RLock()
	defer d.mu.RUnlock()
	n := 0
	for _, all := range []map[jujubegate.Address]*ownedTarget{d.targets, d.retired} {
		if o, ok := all[address]; ok {
			n += o.inFlight(now)
		}
	}
	return n
}

// Close refuses new batches, waits until the running ones have ended, and
// closes all connections. If the context ends first, running sub-requests are
// cancelled except for orders, which are still awaited.
func (d *Dispatcher) Close(ctx context.Context) {
	d.mu.Lock()
	d.closing = true
	d.mu.Unlock()
	done := make(chan struct{})
	go func() {
		d.calls.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		d.runs.cancelAll()
		<-done
	}
	now := d.settings.Clock.Now()
	d.mu.Lock()
	for address, o := range d.targets {
		d.retire(address, o, now)
	}
	d.mu.Unlock()
	d.closers.Wait()
}
