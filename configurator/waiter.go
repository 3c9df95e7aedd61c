package configurator

import (
	"context"
	"time"

	"jujubegate.example/jujubegate"
)

// Delays between attempts double from base to cap.
const (
	settleBase = 50 * time.Millisecond
	settleCap  = 2 * time.Second
	watchBase  = 200 * time.Millisecond
	watchCap   = 10 * time.Second
)

// waiter waits between attempts.
type waiter struct {
	clock jujubegate.Clock
	// random returns a number from 0 to 1.
	random func() float64
}

// backoff waits before the next attempt, from half to the whole of the
// doubled delay, so that instances do not call at the same time. It fails
// when the context ends.
func (w waiter) backoff(ctx context.Context, attempt int, base, limit time.Duration) error {
	delay := limit
	if attempt < 16 {
		delay = min(limit, base<<attempt)
	}
	return w.pause(ctx, delay/2+time.Duration(w.random()*float64(delay/2)))
}

// pause waits for a duration, or fails when the context ends.
func (w waiter) pause(ctx context.Context, d time.Duration) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-w.clock.After(d):
		return nil
	}
}
