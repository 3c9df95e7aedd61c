package leaser

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/storer"
)

// Timeouts of calls. heartbeatTimeout is twice the default heartbeat interval and
// shorter than the suspicion time, so that an unresponsive address has at most two
// calls pending at a time.
const (
	heartbeatTimeout = time.Second
	storeTimeout     = 2 * time.Second
)

// Options holds the dependencies of a Leaser.
type Options struct {
	Self Member
	// Cell names the group of instances that share a view.
	Cell   string
	Timing Timing
	// Heartbeat sends a request to the peer address of a member.
	Heartbeat func(ctx context.Context, to Member, r HeartbeatRequest) (HeartbeatAnswer, error)
	Store     storer.Store
	Clock     jujubegate.Clock
	// ListInstances reads the platform's list of instances and returns false if
	// that failed. It may be nil.
	ListInstances func(ctx context.Context) (Listing, bool)
	// Generation returns the configuration generation on which this instance
	// bases ownership; see assigner.Ownership.Generation. It may be nil.
	Generation func() jujubegate.Generation
	// OnGeneration is called when a member reports a later generation. It must
	// not block. It may be nil.
	OnGeneration func(member Member, generation jujubegate.Generation)
	// OnView is called after a later view was applied, sometimes twice with the
	// same one. It must not block. It may be nil.
	OnView func(v View)
	// WaitDrained waits until no request of this instance runs on targets that
	// the view assigns to others. Leave calls it before the release. It may be nil.
	WaitDrained func(ctx context.Context, v View) error
	Logger      *zap.Logger
}

// Leaser runs the membership protocol for one instance.
type Leaser struct {
	options Options
	calls   sync.WaitGroup
	state   atomic.Pointer[State]

	mu        sync.Mutex
	core      *core
	leaseHeld bool
	// stateChanged is closed and replaced each time a state is published.
	stateChanged chan struct{}
}

// New returns a leaser that is started by Run.
func New(o Options) *Leaser {
	if o.Timing == (Timing{}) {
		o.Timing = DefaultTiming()
	}
	if o.ListInstances == nil {
		o.ListInstances = func(context.Context) (Listing, bool) { return Listing{}, false }
	}
	if o.Generation == nil {
		o.Generation = func() jujubegate.Generation { return 0 }
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	l := &Leaser{options: o, core: newCore(o.Self, o.Timing), stateChanged: make(chan struct{})}
	l.state.Store(l.core.snapshot())
	return l
}

// Run exchanges heartbeats, renews the lease and updates the view until the
// context ends.
func (l *Leaser) Run(ctx context.Context) error {
	defer l.calls.Wait()
	for {
		now := l.options.Clock.Now()
		generation := l.options.Generation()
		l.handleInput(ctx, func(c *core) effects { return c.tick(now, generation) })
		select {
		case <-ctx.Done():
			return nil
		case <-l.options.Clock.After(l.options.Timing.Tick):
		}
	}
}

// handleInput passes one input to the core and starts the calls that the core
// returns. The state is published at each tick and with each view. The published
// state may lack heartbeats received since, which only makes decisions more
// conservative.
func (l *Leaser) handleInput(ctx context.Context, input func(c *core) effects) {
	l.mu.Lock()
	e := input(l.core)
	if e.viewApplied || e.ticked {
		l.publish()
	}
	var request HeartbeatRequest
	if len(e.heartbeats) > 0 {
		request = l.core.newHeartbeat(l.options.Clock.Now())
	}
	l.mu.Unlock()
	if e.viewApplied {
		l.reportView()
	}
	for _, to := range e.heartbeats {
		l.calls.Go(func() { l.sendHeartbeat(ctx, to, request) })
	}
	if e.readView {
		l.calls.Go(func() { l.readView(ctx) })
	}
	if e.readList {
		l.calls.Go(func() { l.readList(ctx) })
	}
	if e.write != nil {
		l.calls.Go(func() { l.writeView(ctx, *e.write) })
	}
}

// reportView logs the current view and passes it to OnView.
func (l *Leaser) reportView() {
	s := l.State()
	l.options.Logger.Info("leaser: view applied", zap.Int64("epoch", int64(s.View.Epoch)),
		zap.Int("members", len(s.View.Members)), zap.Int("open", len(s.Open)),
		zap.Bool("member", s.View.Has(s.Self.ID())))
	if l.options.OnView != nil {
		l.options.OnView(s.View)
	}
}

// publish makes the state of the core visible to callers of State. The caller
// holds the lock. A view is published before any heartbeat acknowledges it, so
// that an instance that acknowledged an epoch no longer acts under an earlier one.
func (l *Leaser) publish() {
	s := l.core.snapshot()
	l.state.Store(s)
	close(l.stateChanged)
	l.stateChanged = make(chan struct{})
	if holds := s.MayOwnTargets(l.options.Clock.Now()); holds != l.leaseHeld {
		l.leaseHeld = holds
		l.options.Logger.Info("leaser: lease changed", zap.Bool("holds", holds), zap.Int64("epoch", int64(s.View.Epoch)))
	}
}

func (l *Leaser) sendHeartbeat(ctx context.Context, to Member, r HeartbeatRequest) {
	call, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	sentAt := l.options.Clock.Now()
	a, err := l.options.Heartbeat(call, to, r)
	if err != nil {
		return
	}
	now := l.options.Clock.Now()
	l.handleInput(ctx, func(c *core) effects { return c.handleAnswer(to, sentAt, now, a) })
	l.reportGeneration(a.Receiver, a.Generation)
}

// reportGeneration calls OnGeneration if a peer reports a later generation.
func (l *Leaser) reportGeneration(m Member, generation jujubegate.Generation) {
	if l.options.OnGeneration != nil && generation > l.options.Generation() {
		l.options.OnGeneration(m, generation)
	}
}

func (l *Leaser) viewKey() string { return "Views/" + l.options.Cell }

func (l *Leaser) readView(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	r := viewRead{sentAt: l.options.Clock.Now()}
	object, err := l.options.Store.Get(call, l.viewKey())
	switch {
	case errors.Is(err, storer.ErrNotFound):
		r.ok = true
	case err == nil:
		if err = json.Unmarshal(object.Value, &r.view); err != nil {
			l.options.Logger.Error("leaser: stored view is not valid JSON", zap.Error(oops.Wrapf(err, "decode %s", l.viewKey())))
			break
		}
		r.version, r.ok = object.Version, true
	}
	now := l.options.Clock.Now()
	l.handleInput(ctx, func(c *core) effects { return c.handleViewRead(r, now) })
}

// writeView writes a view. If the answer is lost, the core reads the stored view
// and applies it, whichever instance wrote it.
func (l *Leaser) writeView(ctx context.Context, w viewWrite) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	value, err := json.Marshal(w.view)
	if err == nil {
		_, err = l.options.Store.Put(call, l.viewKey(), value, w.version)
	}
	l.options.Logger.Info("leaser: view write finished", zap.Int64("epoch", int64(w.view.Epoch)),
		zap.Int("members", len(w.view.Members)), zap.Error(err))
	now := l.options.Clock.Now()
	l.handleInput(ctx, func(c *core) effects { return c.handleWriteResult(w, err == nil, now) })
}

func (l *Leaser) readList(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	listing, ok := l.options.ListInstances(call)
	now := l.options.Clock.Now()
	l.handleInput(ctx, func(c *core) effects {
		c.handleListing(listing, ok, now)
		return effects{}
	})
}

// HandleHeartbeat handles a heartbeat from a peer and returns the answer.
func (l *Leaser) HandleHeartbeat(r HeartbeatRequest) HeartbeatAnswer {
	l.mu.Lock()
	a := l.core.handleRequest(l.options.Clock.Now(), r)
	l.mu.Unlock()
	l.reportGeneration(r.Sender, r.Generation)
	return a
}
