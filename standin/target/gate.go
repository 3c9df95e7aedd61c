package target

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"jujubegate.example/jujubegate"
)

var (
	errFellOver  = errors.New("target fell over")
	errCancelled = errors.New("request was cancelled")
)

// life is the time between two restarts. Requests of an earlier life give
// their slots back to it, not to the current one.
type life struct {
	over    chan struct{}
	inUse   int
	waiting []*waiter
}

type waiter struct {
	ready   chan struct{}
	granted bool
}

func newLife() *life { return &life{over: make(chan struct{})} }

// load returns the number of requests that run or wait.
func (l *life) load() int { return l.inUse + len(l.waiting) }

// gate hands out slots, keeps the short queue and the state of the cold start.
type gate struct {
	clock jujubegate.Clock
	// fellOver is called, without the lock, when a cold target is overloaded.
	fellOver func()

	mu        sync.Mutex
	life      *life
	cold      bool
	coldSince time.Time
	answers   int
	downUntil time.Time
}

// admission is the permission to run one request.
type admission struct {
	gate *gate
	life *life
	cold bool
	// inFlight is the number of requests that run, including this one.
	inFlight int
}

func newGate(clock jujubegate.Clock, s *Settings, fellOver func()) *gate {
	return &gate{
		clock:     clock,
		fellOver:  fellOver,
		life:      newLife(),
		cold:      s.ColdLimit > 0,
		coldSince: clock.Now(),
	}
}

// enter waits for a slot. It returns a *Refusal, errFellOver or errCancelled.
func (g *gate) enter(ctx context.Context, s *Settings, deadline time.Time) (*admission, error) {
	g.mu.Lock()
	g.warmUp(s)
	if g.clock.Now().Before(g.downUntil) {
		g.mu.Unlock()
		return nil, errFellOver
	}
	if g.cold && g.life.load() >= s.ColdLimit {
		g.restart(s)
		g.mu.Unlock()
		g.fellOver()
		return nil, errFellOver
	}
	l := g.life
	if l.inUse < s.Slots {
		defer g.mu.Unlock()
		l.inUse++
		return g.admit(l), nil
	}
	if len(l.waiting) >= s.QueueLength {
		defer g.mu.Unlock()
		return nil, &Refusal{Refusal: Shed, Detail: "slots and queue are full"}
	}
	w := &waiter{ready: make(chan struct{})}
	l.waiting = append(l.waiting, w)
	g.mu.Unlock()
	return g.await(ctx, l, w, deadline)
}

// await waits until the waiter gets a slot.
func (g *gate) await(ctx context.Context, l *life, w *waiter, deadline time.Time) (*admission, error) {
	var err error
	select {
	case <-w.ready:
	case <-l.over:
		err = errFellOver
	case <-ctx.Done():
		err = errCancelled
	case <-g.clock.After(deadline.Sub(g.clock.Now())):
		err = &Refusal{Refusal: DeadlinePassed, Detail: "deadline passed in the queue"}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case err == nil:
		return g.admit(l), nil
	case w.granted:
		g.leave(l)
	default:
		l.waiting = slices.DeleteFunc(l.waiting, func(other *waiter) bool { return other == w })
	}
	return nil, err
}

func (g *gate) admit(l *life) *admission {
	return &admission{gate: g, life: l, cold: g.cold, inFlight: l.inUse}
}

// release gives the slot back. Answered requests count towards warming up.
func (a *admission) release(s *Settings, answered bool) {
	g := a.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leave(a.life)
	if answered && a.life == g.life && g.cold {
		g.answers++
		g.warmUp(s)
	}
}

// leave passes a slot on to the first waiter. The caller holds the lock.
func (g *gate) leave(l *life) {
	if len(l.waiting) == 0 {
		l.inUse--
		return
	}
	w := l.waiting[0]
	l.waiting = l.waiting[1:]
	w.granted = true
	close(w.ready)
}

// warmUp ends the cold start if a criterion is met. The caller holds the lock.
func (g *gate) warmUp(s *Settings) {
	switch {
	case !g.cold:
	case s.ColdLimit == 0,
		s.WarmAfterAnswers > 0 && g.answers >= s.WarmAfterAnswers,
		s.WarmAfterMs > 0 && g.clock.Since(g.coldSince) >= milliseconds(s.WarmAfterMs):
		g.cold = false
	}
}

// restart ends the life and starts a cold one. The caller holds the lock.
func (g *gate) restart(s *Settings) {
	close(g.life.over)
	g.life = newLife()
	g.downUntil = g.clock.Now().Add(milliseconds(s.RestartMs))
	g.cold, g.coldSince, g.answers = s.ColdLimit > 0, g.downUntil, 0
}

// setCold starts or ends a cold start without a restart.
func (g *gate) setCold(cold bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cold, g.coldSince, g.answers = cold, g.clock.Now(), 0
}

// drop ends the life, so that all requests in flight are dropped.
func (g *gate) drop(s *Settings) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.restart(s)
}

// down reports whether the target is restarting.
func (g *gate) down() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.clock.Now().Before(g.downUntil)
}

// state returns whether the target is cold, the slots in use and the queue.
func (g *gate) state(s *Settings) (cold bool, inUse, queued int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.warmUp(s)
	return g.cold, g.life.inUse, len(g.life.waiting)
}
