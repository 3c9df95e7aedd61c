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

// Timeouts of calls. That of a heartbeat is below the suspicion time, so that
// an address that doesn't respond holds at most two calls at a time.
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
	// ListInstances reads the platform's list of instances; false if it failed. It may be nil.
	ListInstances func(ctx context.Context) (Listing, bool)
	// Generation returns the configuration generation that this instance
	// decides ownership by; see assigner.Ownership.Generation. It may be nil.
	Generation func() jujubegate.Generation
	// OnGeneration is called when a member reports a later generation. It must
	// not block. It may be nil.
	OnGeneration func(member Member, generation jujubegate.Generation)
	// OnView is called after a view came into force, sometimes twice with the
	// same one. It must not block. It may be nil.
	OnView func(v View)
	// WaitDrained waits until nothing runs on targets that the view gives to
	// others. Leave calls it before the release. It may be nil.
	WaitDrained func(ctx context.Context, v View) error
	Logger      *zap.Logger
}

// Leaser runs the membership protocol for one instance.
type Leaser struct {
	o     Options
	calls sync.WaitGroup
	state atomic.Pointer[State]

	mu      sync.Mutex
	core    *core
	holding bool
	// wake is closed and replaced at every change of the state.
	wake chan struct{}
}

// New returns a leaser; Run starts it.
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
	l := &Leaser{o: o, core: newCore(o.Self, o.Timing), wake: make(chan struct{})}
	l.state.Store(l.core.state())
	return l
}

// Run exchanges heartbeats and keeps the view until the context ends.
func (l *Leaser) Run(ctx context.Context) error {
	defer l.calls.Wait()
	for {
		now := l.o.Clock.Now()
		generation := l.o.Generation()
		l.apply(ctx, func(c *core) effects { return c.tick(now, generation) })
		select {
		case <-ctx.Done():
			return nil
		case <-l.o.Clock.After(l.o.Timing.Tick):
		}
	}
}

// apply runs one input through the core and starts the calls that the core asks
// for. The state is published at each tick and with each view; in between it may
// lack heartbeats, which only makes it more careful.
func (l *Leaser) apply(ctx context.Context, input func(c *core) effects) {
	l.mu.Lock()
	e := input(l.core)
	if e.adopted || e.ticked {
		l.publish()
	}
	var request HeartbeatRequest
	if len(e.heartbeats) > 0 {
		request = l.core.message(l.o.Clock.Now())
	}
	l.mu.Unlock()
	if e.adopted {
		l.report()
	}
	for _, to := range e.heartbeats {
		l.calls.Go(func() { l.heartbeat(ctx, to, request) })
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

// report logs the view in force and hands it to OnView.
func (l *Leaser) report() {
	s := l.State()
	l.o.Logger.Info("leaser: view in force", zap.Int64("epoch", int64(s.View.Epoch)),
		zap.Int("members", len(s.View.Members)), zap.Int("open", len(s.Open)),
		zap.Bool("member", s.View.Has(s.Self.ID())))
	if l.o.OnView != nil {
		l.o.OnView(s.View)
	}
}

// publish makes the state of the core visible to queries. The caller holds the
// lock. A view is visible before any heartbeat acknowledges it, so that an
// acknowledged epoch is one acted by.
func (l *Leaser) publish() {
	s := l.core.state()
	l.state.Store(s)
	close(l.wake)
	l.wake = make(chan struct{})
	if holds := s.MayOwnTargets(l.o.Clock.Now()); holds != l.holding {
		l.holding = holds
		l.o.Logger.Info("leaser: lease changed", zap.Bool("holds", holds), zap.Int64("epoch", int64(s.View.Epoch)))
	}
}

func (l *Leaser) heartbeat(ctx context.Context, to Member, r HeartbeatRequest) {
	call, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	sentAt := l.o.Clock.Now()
	a, err := l.o.Heartbeat(call, to, r)
	if err != nil {
		return
	}
	now := l.o.Clock.Now()
	l.apply(ctx, func(c *core) effects { return c.answer(to, sentAt, now, a) })
	l.notice(a.Receiver, a.Generation)
}

// notice reports a later generation of a peer.
func (l *Leaser) notice(m Member, generation jujubegate.Generation) {
	if l.o.OnGeneration != nil && generation > l.o.Generation() {
		l.o.OnGeneration(m, generation)
	}
}

func (l *Leaser) key() string { return "Views/" + l.o.Cell }

func (l *Leaser) readView(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	r := viewRead{sentAt: l.o.Clock.Now()}
	object, err := l.o.Store.Get(call, l.key())
	switch {
	case errors.Is(err, storer.ErrNotFound):
		r.ok = true
	case err == nil:
		if err = json.Unmarshal(object.Value, &r.view); err != nil {
			l.o.Logger.Error("leaser: view is not valid JSON", zap.Error(oops.Wrapf(err, "decode %s", l.key())))
			break
		}
		r.version, r.ok = object.Version, true
	}
	now := l.o.Clock.Now()
	l.apply(ctx, func(c *core) effects { return c.viewAnswer(r, now) })
}

// writeView writes a view. If the answer is lost, the core reads the view back:
// only the stored view matters, whoever wrote it.
func (l *Leaser) writeView(ctx context.Context, w viewWrite) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	value, err := json.Marshal(w.view)
	if err == nil {
		_, err = l.o.Store.Put(call, l.key(), value, w.version)
	}
	l.o.Logger.Info("leaser: view written", zap.Int64("epoch", int64(w.view.Epoch)),
		zap.Int("members", len(w.view.Members)), zap.Error(err))
	now := l.o.Clock.Now()
	l.apply(ctx, func(c *core) effects { return c.written(w, err == nil, now) })
}

func (l *Leaser) readList(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	listing, ok := l.o.ListInstances(call)
	now := l.o.Clock.Now()
	l.apply(ctx, func(c *core) effects {
		c.list(listing, ok, now)
		return effects{}
	})
}

// HandleHeartbeat takes a heartbeat from a peer and returns the answer.
func (l *Leaser) HandleHeartbeat(r HeartbeatRequest) HeartbeatAnswer {
	l.mu.Lock()
	a := l.core.request(l.o.Clock.Now(), r)
	l.mu.Unlock()
	l.notice(r.Sender, r.Generation)
	return a
}
