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
	errRestarted = errors.New("target restarted")
	errCancelled = errors.New("request was cancelled")
)

// incarnation is the state between two restarts. Requests of an earlier
// one give their slots back to it, not to the current one.
type incarnation struct {
	ended   chan struct{}
	inUse   int
	waiting []*waiter
}

type waiter struct {
	ready   chan struct{}
	granted bool
}

func newIncarnation() *incarnation { return &incarnation{ended: make(chan struct{})} }

// load returns the number of requests that run or wait.
func (i *incarnation) load() int { return i.inUse + len(i.waiting) }

// limiter hands out slots, keeps the short queue and the state of the cold start.
type limiter struct {
	clock jujubegate.Clock
	// overloaded is called, without the lock, when a cold target is overloaded.
	overloaded func()

	mu        sync.Mutex
	current   *incarnation
	cold      bool
	coldSince time.Time
	answers   int
	downUntil time.Time
}

// admission is the permission to run one request.
type admission struct {
	limiter     *limiter
	incarnation *incarnation
	cold        bool
	// inFlight is the number of requests that run, including this one.
	inFlight int
}

func newLimiter(clock jujubegate.Clock, s *Settings, overloaded func()) *limiter {
	return &limiter{
		clock:      clock,
		overloaded: overloaded,
		current:    newIncarnation(),
		cold:       s.ColdLimit > 0,
		coldSince:  clock.Now(),
	}
}

// enter waits for a slot. It returns a *Refusal, errRestarted or errCancelled.
func (l *limiter) enter(ctx context.Context, s *Settings, deadline time.Time) (*admission, error) {
	l.mu.Lock()
	l.warmUp(s)
	if l.clock.Now().Before(l.downUntil) {
		l.mu.Unlock()
		return nil, errRestarted
	}
	if l.cold && l.current.load() >= s.ColdLimit {
		l.restart(s)
		l.mu.Unlock()
		l.overloaded()
		return nil, errRestarted
	}
	i := l.current
	if i.inUse < s.Slots {
		defer l.mu.Unlock()
		i.inUse++
		return l.admit(i), nil
	}
	if len(i.waiting) >= s.QueueLength {
		defer l.mu.Unlock()
		return nil, &Refusal{Refusal: Shed, Detail: "slots and queue are full"}
	}
	w := &waiter{ready: make(chan struct{})}
	i.waiting = append(i.waiting, w)
	l.mu.Unlock()
	return l.await(ctx, i, w, deadline)
}

// await waits until the waiter gets a slot.
func (l *limiter) await(ctx context.Context, i *incarnation, w *waiter, deadline time.Time) (*admission, error) {
	var err error
	select {
	case <-w.ready:
	case <-i.ended:
		err = errRestarted
	case <-ctx.Done():
		err = errCancelled
	case <-l.clock.After(deadline.Sub(l.clock.Now())):
		err = &Refusal{Refusal: DeadlinePassed, Detail: "deadline passed in the queue"}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil:
		return l.admit(i), nil
	case w.granted:
		l.leave(i)
	default:
		i.waiting = slices.DeleteFunc(i.waiting, func(other *waiter) bool { return other == w })
	}
	return nil, err
}

func (l *limiter) admit(i *incarnation) *admission {
	return &admission{limiter: l, incarnation: i, cold: l.cold, inFlight: i.inUse}
}

// release gives the slot back. Answered requests count towards warming up.
func (a *admission) release(s *Settings, answered bool) {
	l := a.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leave(a.incarnation)
	if answered && a.incarnation == l.current && l.cold {
		l.answers++
		l.warmUp(s)
	}
}

// leave passes a slot on to the first waiter. The caller holds the lock.
func (l *limiter) leave(i *incarnation) {
	if len(i.waiting) == 0 {
		i.inUse--
		return
	}
	w := i.waiting[0]
	i.waiting = i.waiting[1:]
	w.granted = true
	close(w.ready)
}

// warmUp ends the cold start if a criterion is met. The caller holds the lock.
func (l *limiter) warmUp(s *Settings) {
	switch {
	case !l.cold:
	case s.ColdLimit == 0,
		s.WarmAfterAnswers > 0 && l.answers >= s.WarmAfterAnswers,
		s.WarmAfterMs > 0 && l.clock.Since(l.coldSince) >= milliseconds(s.WarmAfterMs):
		l.cold = false
	}
}

// restart ends the incarnation and starts a cold one. The caller holds the lock.
func (l *limiter) restart(s *Settings) {
	close(l.current.ended)
	l.current = newIncarnation()
	l.downUntil = l.clock.Now().Add(milliseconds(s.RestartMs))
	l.cold, l.coldSince, l.answers = s.ColdLimit > 0, l.downUntil, 0
}

// setCold starts or ends a cold start without a restart.
func (l *limiter) setCold(cold bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cold, l.coldSince, l.answers = cold, l.clock.Now(), 0
}

// drop ends the incarnation, so that all requests in flight are dropped.
func (l *limiter) drop(s *Settings) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.restart(s)
}

// down reports whether the target is restarting.
func (l *limiter) down() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.clock.Now().Before(l.downUntil)
}

// state returns whether the target is cold, the slots in use and the queue.
func (l *limiter) state(s *Settings) (cold bool, inUse, queued int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.warmUp(s)
	return l.cold, l.current.inUse, len(l.current.waiting)
}
