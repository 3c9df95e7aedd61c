package replicator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"jujubegate.example/jujubegate"
)

const (
	// watchWait is how long a watch waits for changes. A watch can miss changes
	// without an error; the next one returns them.
	watchWait = 700 * time.Millisecond
	// followWait is how long a watch waits whose changes are in the store already: that
	// of another kind than the lead, or the first one after a gap.
	followWait = time.Millisecond
	// overdueAfter is how long the answer to a call may take beyond its wait before other
	// instances are told that the store does not answer. A slow store takes 0.2 s.
	overdueAfter = 500 * time.Millisecond
	// maxTimerDelay is the longest delay of a timer by load. After a longer one this
	// process was stopped, and the answer may have come long ago.
	maxTimerDelay = 250 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed call.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
	// readCheckPeriod is the time between two checks whether this instance must read
	// the store.
	readCheckPeriod = 250 * time.Millisecond
	// startCheckPeriod replaces it until all kinds have a state.
	startCheckPeriod = 25 * time.Millisecond
)

// Reader reads all kinds from the store. It watches only one of them, the lead.
// Each change of any kind raises the revision of the store, so the result of the
// watch shows whether the others may have changed and must be read.
type Reader struct {
	clock jujubegate.Clock
	// readAfter returns the age of the newest confirmation from which on this
	// instance reads the store itself; before that another instance does.
	readAfter func() time.Duration
	lead      *Replicator
	others    []*Replicator
}

// NewReader returns a reader that watches the lead and reads the others when the
// revision of the store has changed.
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

// Age returns the time since the state of the lead was last confirmed, or the time
// for which another kind has had no state if that is longer.
func (rd *Reader) Age() time.Duration {
	age := rd.lead.Age()
	for _, r := range rd.others {
		if r.State() == nil {
			age = max(age, r.Age())
		}
	}
	return age
}

// Run reads the store whenever Age reaches the result of readAfter, until the
// context ends.
func (rd *Reader) Run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		rd.endRewriting()
		rd.lead.settings.Failures.EndSeriesBefore(rd.clock.Now().Add(-rd.lead.Age()))
		if delay := rd.turnIn(); delay > 0 {
			rd.sleep(ctx, min(delay, rd.checkPeriod()))
			continue
		}
		err := rd.readInTime(ctx)
		switch {
		case err == nil:
			rd.lead.recordSuccess()
			backoff = minBackoff
		case ctx.Err() != nil:
			return
		default:
			rd.lead.recordFailure(err)
			rd.sleep(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

// Turn reports whether it is this instance that reads the store now.
func (rd *Reader) Turn() bool { return rd.turnIn() <= 0 }

// turnIn returns the time until this instance reads the store, if nobody else does.
func (rd *Reader) turnIn() time.Duration { return rd.readAfter() - rd.Age() }

func (rd *Reader) checkPeriod() time.Duration {
	if rd.Complete() {
		return readCheckPeriod
	}
	return startCheckPeriod
}

// readInTime reads all kinds. While the store owes an answer for long, this counts as a
// failure, so that another instance reads meanwhile.
func (rd *Reader) readInTime(ctx context.Context) error {
	wait := watchWait
	if rd.lead.Age() > maxConfirmationInterval {
		// Changes since the last confirmation must be known at once.
		wait = followWait
	}
	due := rd.clock.Now().Add(wait + overdueAfter)
	done := make(chan error, 1)
	go func() { done <- rd.read(ctx, wait) }()
	select {
	case err := <-done:
		return err
	case <-rd.clock.After(wait + overdueAfter):
	}
	if rd.clock.Since(due) < maxTimerDelay {
		rd.lead.recordFailure(errOverdue)
	}
	return <-done
}

// read watches the lead, then reads the other kinds that may have changed.
func (rd *Reader) read(ctx context.Context, wait time.Duration) error {
	read, err := rd.lead.read(ctx, wait, 0)
	if err != nil {
		return fmt.Errorf("read %s: %w", rd.lead.Kind(), err)
	}
	for _, r := range rd.others {
		if r.confirmWith(read) || r.withinPause() {
			continue
		}
		if _, err := r.read(ctx, followWait, read.Era); err != nil {
			return fmt.Errorf("read %s: %w", r.Kind(), err)
		}
	}
	return nil
}

// endRewriting ends the time in which what was known before the store came back from
// an older copy counts.
func (rd *Reader) endRewriting() {
	rd.lead.endRewriting()
	for _, r := range rd.others {
		r.endRewriting()
	}
}

func (rd *Reader) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-rd.clock.After(d):
	case <-ctx.Done():
	}
}
