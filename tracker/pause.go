package tracker

import (
	"time"

	"go.uber.org/zap"

	"jujubegate.example/jujubegate/connector"
)

const (
	// maxReturning is the number of requests at once up to which a target is approached
	// after a pause. It doubles with each answer, from one.
	maxReturning = 64
	// returnDelay is how long a request waits while others are at a target that returns:
	// about one service time.
	returnDelay = 20 * time.Millisecond
)

// pause is the pause that a target has asked this instance for, and its return
// afterwards.
type pause struct {
	until time.Time
	// allowed is the number of requests that may be at the target at once after the
	// pause, and sent those that are.
	allowed, sent int
}

// delay returns how long a request would wait.
func (p *pause) delay(now time.Time) time.Duration {
	switch {
	case now.Before(p.until):
		return p.until.Sub(now)
	case p.sent >= p.allowed:
		return returnDelay
	}
	return 0
}

// observePause begins or prolongs a pause and reports whether it began.
func (r *Replica) observePause(d time.Duration, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	began := r.pause == nil || !now.Before(r.pause.until)
	if r.pause == nil {
		r.pause = &pause{}
	}
	if until := now.Add(d); until.After(r.pause.until) {
		r.pause.until = until
	}
	r.pause.allowed = 1
	r.paused.Store(true)
	return began
}

// inheritPause takes over the pause that the process of an earlier replica asked for.
func (r *Replica) inheritPause(earlier *Replica) {
	earlier.mu.Lock()
	defer earlier.mu.Unlock()
	if earlier.pause == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pause = &pause{until: earlier.pause.until, allowed: 1}
	r.paused.Store(true)
}

// EndPermitted records the end of an attempt that Permit has permitted. An answer after
// a pause lets twice as many requests at the target.
func (r *Replica) EndPermitted(now time.Time, answered bool) {
	if !r.paused.Load() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pause
	if p == nil {
		return
	}
	p.sent = max(p.sent-1, 0)
	if !answered || now.Before(p.until) {
		return
	}
	if p.allowed *= 2; p.allowed > maxReturning {
		r.pause = nil
		r.paused.Store(false)
	}
}

// ObservePause records the pause that a target asks for in an answer.
func (t *Tracker) ObservePause(r *Replica, p connector.Pause) {
	target := []zap.Field{zap.String("Target", r.Entry().ID), zap.String("Service", string(r.Entry().Service))}
	switch now := t.settings.Clock.Now(); {
	case !p.Valid:
		t.counters.pausesUnreadable.Add(1)
		t.settings.Log.Warn("tracker: pause that the target asks for cannot be read", target...)
	case p.For > 0 && r.observePause(p.For, now):
		t.counters.pauses.Add(1)
		t.settings.Log.Info("tracker: target asks for a pause", append(target, zap.Duration("For", p.For))...)
	}
}
