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

// incarnation is the state of the slots between two restarts. Each request returns
// its slot to the incarnation that granted it, which may have ended since then.
type incarnation struct {
	// ended is closed at the restart.
	ended   chan struct{}
	inUse   int
	waiting []*waiter
}

// waiter is a request in the queue. ready is closed when it gets a slot.
type waiter struct {
	ready   chan struct{}
	granted bool
}

func newIncarnation() *incarnation { return &incarnation{ended: make(chan struct{})} }

// load returns the number of requests that run or wait for a slot.
func (i *incarnation) load() int { return i.inUse + len(i.waiting) }

// limiter grants slots, queues requests for them and tracks the cold start.
type limiter struct {
	clock jujubegate.Clock
	// onColdOverload is called when a cold target is overloaded. The lock is not
	// held during the call.
	onColdOverload func()

	mu        sync.Mutex
	current   *incarnation
	cold      bool
	coldSince time.Time
	// answered is the number of answered requests since coldSince.
	answered int
	// downUntil is the end of the last restart.
	downUntil time.Time
}

// admission is the slot of one request.
type admission struct {
	limiter     *limiter
	incarnation *incarnation
	cold        bool
	// inFlight is the number of running requests at admission, including this one.
	inFlight int
}

func newLimiter(clock jujubegate.Clock, s *Settings, onColdOverload func()) *limiter {
	return &limiter{
		clock:          clock,
		onColdOverload: onColdOverload,
		current:        newIncarnation(),
		cold:           s.ColdLimit > 0,
		coldSince:      clock.Now(),
	}
}

// acquire waits for a slot until the deadline. Its error is a *Refusal,
// errRestarted or errCancelled.
func (l *limiter) acquire(ctx context.Context, s *Settings, deadline time.Time) (*admission, error) {
	l.mu.Lock()
	l.warmUpLocked(s)
	if l.clock.Now().Before(l.downUntil) {
		l.mu.Unlock()
		return nil, errRestarted
	}
	if l.cold && l.current.load() >= s.ColdLimit {
		l.restartLocked(s)
		l.mu.Unlock()
		l.onColdOverload()
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

// await waits until the waiter gets a slot, or removes it from the queue.
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
		l.releaseLocked(i)
	default:
		i.waiting = slices.DeleteFunc(i.waiting, func(other *waiter) bool { return other == w })
	}
	return nil, err
}

func (l *limiter) admit(i *incarnation) *admission {
	return &admission{limiter: l, incarnation: i, cold: l.cold, inFlight: i.inUse}
}

// release returns the slot. An answered request counts towards the end of the
// cold start.
func (a *admission) release(s *Settings, answered bool) {
	l := a.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	l.releaseLocked(a.incarnation)
	if answered && a.incarnation == l.current && l.cold {
		l.answered++
		l.warmUpLocked(s)
	}
}

// releaseLocked gives the slot to the first waiter, or frees it. The caller holds
// the lock.
func (l *limiter) releaseLocked(i *incarnation) {
	if len(i.waiting) == 0 {
		i.inUse--
		return
	}
	w := i.waiting[0]
	i.waiting = i.waiting[1:]
	w.granted = true
	close(w.ready)
}

// warmUpLocked ends the cold start if a criterion is met. The caller holds the lock.
func (l *limiter) warmUpLocked(s *Settings) {
	switch {
	case !l.cold:
	case s.ColdLimit == 0,
		s.WarmAfterAnswers > 0 && l.answered >= s.WarmAfterAnswers,
		s.WarmAfterMs > 0 && l.clock.Since(l.coldSince) >= milliseconds(s.WarmAfterMs):
		l.cold = false
	}
}

// restartLocked ends the incarnation and starts a new one, which is cold unless
// ColdLimit is 0. The caller holds the lock.
func (l *limiter) restartLocked(s *Settings) {
	close(l.current.ended)
	l.current = newIncarnation()
	l.downUntil = l.clock.Now().Add(milliseconds(s.RestartMs))
	l.cold, l.coldSince, l.answered = s.ColdLimit > 0, l.downUntil, 0
}

// setCold makes the target cold or warm without a restart.
func (l *limiter) setCold(cold bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cold, l.coldSince, l.answered = cold, l.clock.Now(), 0
}

// restart ends the incarnation, which aborts all requests in flight.
func (l *limiter) restart(s *Settings) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.restartLocked(s)
}

// restarting reports whether the target is restarting.
func (l *limiter) restarting() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.clock.Now().Before(l.downUntil)
}

// state returns whether the target is cold, the number of slots in use and the
// length of the queue.
func (l *limiter) state(s *Settings) (cold bool, inUse, queued int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.warmUpLocked(s)
	return l.cold, l.current.inUse, len(l.current.waiting)
}
