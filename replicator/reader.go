package replicator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"jujubegate.example/jujubegate"
)

const (
	// watchWait is how long a watch waits. A watch can miss changes without an
	// error, which the next one finds out.
	watchWait = 700 * time.Millisecond
	// followWait is the wait of a watch whose changes are there already.
	followWait = time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed call.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
	// readCheckPeriod is the time between two looks whether it is this instance's
	// turn to read.
	readCheckPeriod = 250 * time.Millisecond
)

// Reader reads the store for all kinds. It watches one of them; the revision of
// the store, which each change of any kind raises, tells when to read the others.
type Reader struct {
	clock jujubegate.Clock
	// readAfter returns the age of the newest confirmation from which on this
	// instance reads the store itself.
	readAfter func() time.Duration
	lead      *Replicator
	others    []*Replicator
}

// NewReader returns a reader that watches the lead and follows the others.
func NewReader(clock jujubegate.Clock, readAfter func() time.Duration, lead *Replicator, others ...*Replicator) *Reader {
	return &Reader{clock: clock, readAfter: readAfter, lead: lead, others: others}
}

// Complete reports whether all kinds have a state.
func (rd *Reader) Complete() bool {
	for _, r := range rd.others {
		if r.State() == nil {
			return false
		}
	}
	return rd.lead.State() != nil
}

// Age returns how long ago the store was last confirmed to hold the states, or
// for how long a state has been missing.
func (rd *Reader) Age() time.Duration {
	age := rd.lead.Age()
	for _, r := range rd.others {
		if r.State() == nil {
			age = max(age, r.Age())
		}
	}
	return age
}

// Run reads the store whenever it is this instance's turn, until the context ends.
func (rd *Reader) Run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		if delay := rd.readAfter() - rd.Age(); delay > 0 {
			rd.sleep(ctx, min(delay, readCheckPeriod))
			continue
		}
		err := rd.read(ctx)
		switch {
		case err == nil:
			rd.lead.recovered()
			backoff = minBackoff
		case ctx.Err() != nil:
			return
		default:
			rd.lead.failed(err)
			rd.sleep(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

// read watches the lead, then reads the kinds that may have changed.
func (rd *Reader) read(ctx context.Context) error {
	if err := rd.lead.read(ctx, watchWait); err != nil {
		return fmt.Errorf("read %s: %w", rd.lead.Kind(), err)
	}
	at := rd.lead.position()
	for _, r := range rd.others {
		if r.confirmAt(at) || r.withinPause() {
			continue
		}
		if err := r.read(ctx, followWait); err != nil {
			return fmt.Errorf("read %s: %w", r.Kind(), err)
		}
	}
	return nil
}

func (rd *Reader) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-rd.clock.After(d):
	case <-ctx.Done():
	}
}
