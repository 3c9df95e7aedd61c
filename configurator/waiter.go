package configurator

import (
	"context"
	"time"

	"jujubegate.example/jujubegate"
)

// Backoff delays double with each attempt, up to the maximum.
const (
	resolveBackoffBase = 50 * time.Millisecond
	resolveBackoffMax  = 2 * time.Second
	watchBackoffBase   = 200 * time.Millisecond
	watchBackoffMax    = 10 * time.Second
)

// waiter waits between attempts.
type waiter struct {
	clock jujubegate.Clock
	// random returns a number in [0, 1).
	random func() float64
}

// backoff waits before the next attempt. The delay starts at base, doubles with
// each attempt up to limit, and is reduced at random by up to a half so that
// instances do not call at the same time. It fails when the context ends.
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
