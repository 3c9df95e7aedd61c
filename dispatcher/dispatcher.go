// Package dispatcher is the owner side of the request path: it alone talks to
// the targets that this instance owns, and queues, limits and sends every
// sub-request to them.
package dispatcher

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/configurator"
	"jujubegate.example/jujubegate/dialer"
)

const (
	// coalesceTime is how long results are held back to be delivered together.
	coalesceTime = time.Millisecond
	// orderGrace is how long after its deadline an order's answer is awaited,
	// since a late answer is worth more than an unknown outcome.
	orderGrace = time.Second
	// orderLimit is how long after that the connection of an order stays open,
	// since its close would cancel the order at the target. It bounds what a
	// target that hangs can hold.
	orderLimit = 10 * time.Second
)

// Names of the counters.
const (
	CountSent      = "Sent"
	CountQueued    = "Queued"
	CountAnswered  = "Answered"
	CountRefused   = "Refused"
	CountCancelled = "Cancelled"
)

// Link is the way to one target.
type Link struct {
	// Send makes one attempt and must call Request.Permit right before it writes.
	Send func(ctx context.Context, r dialer.Request) dialer.Result
	// SetBound sets how many connections may be open, and are opened ahead.
	SetBound func(bound, wanted int)
	// SetConnections sets how many connections the target accepts.
	SetConnections func(connections int)
	// Close closes the connections.
	Close func()
}

// Events are what a link tells about its target.
type Events struct {
	Loaded func(dialer.Load, error)
	// Broken is called when the target has closed a connection, Restarted when
	// it has closed all of them.
	Broken    func()
	Restarted func()
}

// Settings are the dependencies of a Dispatcher.
type Settings struct {
	// MaySend reports whether this instance owns the target now.
	MaySend func(address jujubegate.Address, now time.Time) bool
	// Allowed reports whether the configuration lets the target receive work.
	Allowed func(target jujubegate.Target) bool
	// Open opens the link to a target; nil means a dialer over TCP.
	Open func(target jujubegate.Target, connections int, events Events) Link
	// Count adds to a counter; nil ignores it.
	Count func(name string, delta int64)
	// Finished takes the end of a request that reached its target: the number
	// that ran there when it started, itself included, whether it failed, and
	// its service time. The time of a cancelled one is a lower bound; nil
	// ignores all.
	Finished func(target jujubegate.Target, route jujubegate.Route, running int, failed bool, took time.Duration)
	// Violation reports a broken invariant; nil ignores it.
	Violation func(name, detail string)
	Clock     jujubegate.Clock
	Log       *zap.Logger
}

// Dispatcher sends sub-requests to the targets that this instance owns. It is
// safe for concurrent use.
type Dispatcher struct {
	settings Settings

	mu    sync.RWMutex
	lanes map[jujubegate.Address]*lane
	// retired lanes were removed and finish their requests in flight.
	retired map[jujubegate.Address]*lane
	closing bool
	// doing counts calls of Do, closers the goroutines that close links.
	doing   sync.WaitGroup
	closers sync.WaitGroup

	runs   runs
	normal normalTimes

	markMu sync.Mutex
	mark   Mark
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
			return dialTarget(t, connections, e, settings.Clock)
		}
	}
	return &Dispatcher{
		settings: settings,
		lanes:    make(map[jujubegate.Address]*lane),
		retired:  make(map[jujubegate.Address]*lane),
		runs:     newRuns(),
	}
}

func dialTarget(t jujubegate.Target, connections int, e Events, clock jujubegate.Clock) Link {
	d := dialer.New(dialer.Settings{
		Target: t, Connections: connections, Clock: clock, Loaded: e.Loaded,
		Broken: e.Broken, Restarted: e.Restarted,
	})
	return Link{Send: d.Send, SetBound: d.SetBound, SetConnections: d.SetConnections, Close: d.Close}
}

// Update sets the owned targets and the declarations of their services. Added
// targets start cold; removed ones finish their requests in flight and close.
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
		d.own(t, byName[t.Service], now)
	}
	for address, l := range d.lanes {
		if _, ok := owned[address]; !ok {
			d.retire(address, l, now)
		}
	}
}

// own adds a target or updates its declaration.
func (d *Dispatcher) own(t jujubegate.Target, spec configurator.ServiceSpec, now time.Time) {
	if l, ok := d.lanes[t.Address]; ok {
		l.update(t, spec, now)
		return
	}
	if l, ok := d.retired[t.Address]; ok && l.revive(t, spec, now) {
		delete(d.retired, t.Address)
		d.lanes[t.Address] = l
		return
	}
	d.lanes[t.Address] = d.newLane(t, spec, now)
	d.settings.Log.Info("dispatcher: target added", zap.String("Target", string(t.Address)))
}

// retire takes a target out. Its lane stays known until its last request has
// ended, so that a target that comes back is never sent more than its limit.
func (d *Dispatcher) retire(address jujubegate.Address, l *lane, now time.Time) {
	d.settings.Log.Info("dispatcher: target removed", zap.String("Target", string(address)))
	delete(d.lanes, address)
	d.retired[address] = l
	idle := l.retire(now)
	d.closers.Go(func() {
		<-idle
		if l.hasEnded() {
			l.link.Close()
			d.mu.Lock()
			if d.retired[address] == l {
				delete(d.retired, address)
			}
			d.mu.Unlock()
		}
	})
}

// Drain stops new work to a target that leaves, for news from elsewhere than
// the target itself.
func (d *Dispatcher) Drain(address jujubegate.Address) {
	d.mu.RLock()
	l := d.lanes[address]
	d.mu.RUnlock()
	if l != nil {
		l.drain()
	}
}

// permit checks that the target may receive new work now.
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
	for _, l := range d.lanes {
		n += l.inFlight(now)
	}
	for _, l := range d.retired {
		n += l.inFlight(now)
	}
	return n
}

// InFlightAt returns the number of requests that may still run at one target,
// also after the target was removed. At 0 a removed target can be released.
func (d *Dispatcher) InFlightAt(address jujubegate.Address) int {
	now := d.settings.Clock.Now()
	d.mu.RLock()
	defer d.mu.RUnlock()
	n := 0
	for _, all := range []map[jujubegate.Address]*lane{d.lanes, d.retired} {
		if l, ok := all[address]; ok {
			n += l.inFlight(now)
		}
	}
	return n
}

// Close refuses new batches, waits until the running ones have ended, and
// closes all connections. If the context ends first, the running idempotent
// sub-requests are cancelled; orders are still awaited.
func (d *Dispatcher) Close(ctx context.Context) {
	d.mu.Lock()
	d.closing = true
	d.mu.Unlock()
	done := make(chan struct{})
	go func() {
		d.doing.Wait()
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
	for address, l := range d.lanes {
		d.retire(address, l, now)
	}
	d.mu.Unlock()
	d.closers.Wait()
}
