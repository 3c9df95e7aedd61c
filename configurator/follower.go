package configurator

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/storer"
)

const (
	// watchWait is the length of one long poll.
	watchWait = 30 * time.Second
	// idlePause is the pause, before jitter, after a watch that returned early
	// without a new change, and between calls of Watcher while it returns false.
	idlePause = time.Second
	// snapshotInterval is the number of generations between two snapshots.
	snapshotInterval = 64
)

// Follower holds the newest generation of the configuration and applies changes
// from the store and from peers. The function fields may be set before the first
// method call; nil functions are not called.
type Follower struct {
	// IsWatcher reports whether this instance watches the store.
	IsWatcher func() bool
	// OnChange receives the changes that were applied, in order, to push them to
	// peers. It must not block for long.
	OnChange func(changes []Change)
	// OnViolation receives violated invariants: a DivergenceError or an
	// InvalidChangeError.
	OnViolation func(err error)
	// NewToken returns a unique token.
	NewToken func() string

	log    *Log
	clock  jujubegate.Clock
	logger *zap.Logger
	waiter waiter

	// proposing is a semaphore that allows one proposal of this instance at a
	// time, so that its proposals do not conflict with each other.
	proposing chan struct{}

	mutex    sync.Mutex // serialises changes of current and revision
	current  atomic.Pointer[state]
	revision int64
	loaded   atomic.Bool
	// confirmed is the result of ConfirmedAt in Unix nanoseconds, 0 for never.
	confirmed atomic.Int64
	// storedSnapshot is the generation of the newest snapshot seen in the store.
	storedSnapshot atomic.Int64
}

// New returns a follower at generation 0.
func New(store storer.Store, clock jujubegate.Clock, logger *zap.Logger) *Follower {
	f := &Follower{
		NewToken:  uuid.NewString,
		log:       NewLog(store, clock, rand.Float64),
		clock:     clock,
		logger:    logger,
		waiter:    waiter{clock: clock, random: rand.Float64},
		proposing: make(chan struct{}, 1),
	}
	f.current.Store(&state{})
	return f
}

// Current returns the newest known configuration. Its generation never
// decreases from one call to the next.
func (f *Follower) Current() Configuration { return f.current.Load().configuration }

// After returns the changes after a generation for a peer, oldest first. If not
// all of them are kept, it returns one change that holds a snapshot.
func (f *Follower) After(g jujubegate.Generation) []Change { return f.current.Load().after(g) }

// ConfirmedAt returns the latest time at which the store is known to have had
// no newer generation, or the zero time.
func (f *Follower) ConfirmedAt() time.Time {
	if n := f.confirmed.Load(); n != 0 {
		return time.Unix(0, n)
	}
	return time.Time{}
}

// Apply applies changes from a peer in the order of their generations and
// ignores known ones. It returns a GapError if changes before an offered one are
// missing.
func (f *Follower) Apply(changes []Change) error {
	applied, err := f.applyChanges(changes, 0)
	f.notifyChange(applied)
	return err
}

// applyChanges applies changes in the order of their generations, and returns
// those that were new. Revision is the store revision that they reach, or 0.
func (f *Follower) applyChanges(changes []Change, revision int64) ([]Change, error) {
	changes = slices.Clone(changes)
	slices.SortStableFunc(changes, func(a, b Change) int { return int(a.Generation - b.Generation) })
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var applied []Change
	for _, change := range changes {
		s := f.current.Load()
		have := s.configuration.generation
		if change.Generation <= have {
			f.checkDivergence(s, change)
			continue
		}
		next, err := s.apply(change)
		if err != nil {
			var gap *GapError
			if !errors.As(err, &gap) {
				f.reportViolation(&InvalidChangeError{Generation: change.Generation, Cause: err})
			}
			return applied, err
		}
		f.current.Store(next)
		applied = append(applied, change)
		f.logger.Info("configurator: generation applied", zap.Int64("Generation", int64(change.Generation)),
			zap.String("Author", change.Author))
	}
	f.revision = max(f.revision, revision)
	return applied, nil
}

// checkDivergence reports a violation if a change differs from the known one of
// the same generation.
func (f *Follower) checkDivergence(s *state, change Change) {
	if isSnapshotText(change.Statements) {
		return
	}
	if known, ok := s.recentChange(change.Generation); ok && !known.Equal(change) {
		f.reportViolation(&DivergenceError{Generation: change.Generation, Known: known.Token, Received: change.Token})
	}
}

func (f *Follower) reportViolation(err error) {
	f.logger.Error("configurator: invariant violated", zap.Error(err))
	if f.OnViolation != nil {
		f.OnViolation(err)
	}
}

// notifyChange passes applied changes to OnChange, except snapshots: a peer that
// needs one requests it.
func (f *Follower) notifyChange(applied []Change) {
	applied = slices.DeleteFunc(applied, func(c Change) bool { return isSnapshotText(c.Statements) })
	if len(applied) > 0 && f.OnChange != nil {
		f.OnChange(applied)
	}
}

// Load reads the newest generation from the store: the snapshot and the
// changes after it. It does not call OnChange, because peers already have these
// changes.
func (f *Follower) Load(ctx context.Context) error {
	snapshot, _, err := f.log.ReadSnapshot(ctx)
	if err != nil {
		return err
	}
	if snapshot.Generation > 0 {
		f.storedSnapshot.Store(int64(snapshot.Generation))
		if _, err := f.applyChanges([]Change{snapshot}, 0); err != nil {
			return err
		}
	}
	// Reads the change of the current generation again to learn its revision.
	if _, err := f.catchUp(ctx, max(0, f.Current().Generation()-1)); err != nil {
		return err
	}
	f.loaded.Store(true)
	return nil
}

// catchUp reads and applies all changes after a generation, and returns those
// that were new.
func (f *Follower) catchUp(ctx context.Context, after jujubegate.Generation) ([]Change, error) {
	var all []Change
	for {
		start := f.clock.Now()
		page, more, err := f.log.Read(ctx, after)
		if err != nil {
			return all, err
		}
		applied, err := f.applyChanges(page.Changes, page.Revision)
		all = append(all, applied...)
		if err != nil {
			return all, err
		}
		if !more {
			f.setConfirmed(start)
			return all, nil
		}
		after = page.Changes[len(page.Changes)-1].Generation
	}
}

// setConfirmed records a time at which the store had no newer generation. An
// earlier time than the recorded one is ignored.
func (f *Follower) setConfirmed(at time.Time) {
	for {
		before := f.confirmed.Load()
		if at.UnixNano() <= before || f.confirmed.CompareAndSwap(before, at.UnixNano()) {
			return
		}
	}
}
