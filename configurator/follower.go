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
	// idlePause is the shortest time between two watches that bring nothing,
	// and the interval at which an instance asks whether it is a watcher.
	idlePause = time.Second
	// snapshotInterval is the number of generations between two snapshots.
	snapshotInterval = 64
)

// Follower keeps the newest generation of the configuration. The function
// fields may be set before the first call; nil ones are not called.
type Follower struct {
	// Watcher reports whether this instance watches the store.
	Watcher func() bool
	// OnChange receives changes that were applied, in sequence, to push them
	// to peers. It must not block for long.
	OnChange func(changes []Change)
	// OnViolation receives broken invariants: a change that differs from the
	// known one of its generation, or that cannot be applied.
	OnViolation func(err error)
	// NewToken returns a unique token.
	NewToken func() string

	log    *Log
	clock  jujubegate.Clock
	logger *zap.Logger
	wait   waiter

	// proposing holds one element while a proposal of this instance runs, so
	// that proposals of one instance do not conflict with each other.
	proposing chan struct{}

	mutex    sync.Mutex // serialises changes of current and revision
	current  atomic.Pointer[state]
	revision int64
	loaded   atomic.Bool
	// confirmed is in nanoseconds since 1970, 0 for never.
	confirmed atomic.Int64
	// stored is the generation of the newest snapshot seen in the store.
	stored atomic.Int64
}

// New returns a follower at generation 0.
func New(store storer.Store, clock jujubegate.Clock, logger *zap.Logger) *Follower {
	f := &Follower{
		NewToken:  uuid.NewString,
		log:       NewLog(store, clock, rand.Float64),
		clock:     clock,
		logger:    logger,
		wait:      waiter{clock: clock, random: rand.Float64},
		proposing: make(chan struct{}, 1),
	}
	f.current.Store(&state{})
	return f
}

// Current returns the newest configuration known, never an older one than in
// an earlier call.
func (f *Follower) Current() Configuration { return f.current.Load().configuration }

// After returns the changes after a generation for a peer, oldest first. If
// the generation is too old it returns one change that holds a snapshot.
func (f *Follower) After(g jujubegate.Generation) []Change { return f.current.Load().after(g) }

// ConfirmedAt returns the latest time at which the store is known to have had
// no newer generation, or the zero time.
func (f *Follower) ConfirmedAt() time.Time {
	if n := f.confirmed.Load(); n != 0 {
		return time.Unix(0, n)
	}
	return time.Time{}
}

// Offer applies changes from a peer in sequence and ignores known ones. It
// returns a GapError if changes before an offered one are missing.
func (f *Follower) Offer(changes []Change) error {
	applied, err := f.advance(changes, 0)
	f.announce(applied)
	return err
}

// advance applies changes and returns those that were new.
func (f *Follower) advance(changes []Change, revision int64) ([]Change, error) {
	changes = slices.Clone(changes)
	slices.SortStableFunc(changes, func(a, b Change) int { return int(a.Generation - b.Generation) })
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var applied []Change
	for _, change := range changes {
		s := f.current.Load()
		have := s.configuration.generation
		if change.Generation <= have {
			f.compare(s, change)
			continue
		}
		next, err := s.with(change)
		if err != nil {
			var gap *GapError
			if !errors.As(err, &gap) {
				f.violation(&InvalidChangeError{Generation: change.Generation, Cause: err})
			}
			return applied, err
		}
		f.current.Store(next)
		applied = append(applied, change)
		f.logger.Info("configurator: generation in force", zap.Int64("Generation", int64(change.Generation)),
			zap.String("Author", change.Author))
	}
	f.revision = max(f.revision, revision)
	return applied, nil
}

// compare reports a change that differs from the known one.
func (f *Follower) compare(s *state, change Change) {
	if isSnapshotText(change.Statements) {
		return
	}
	if known, ok := s.known(change.Generation); ok && !known.Equal(change) {
		f.violation(&DivergenceError{Generation: change.Generation, Known: known.Token, Offered: change.Token})
	}
}

func (f *Follower) violation(err error) {
	f.logger.Error("configurator: invariant violated", zap.Error(err))
	if f.OnViolation != nil {
		f.OnViolation(err)
	}
}

// announce passes changes on to peers. Snapshots are not passed on: a peer
// that lacks one asks for it.
func (f *Follower) announce(applied []Change) {
	applied = slices.DeleteFunc(applied, func(c Change) bool { return isSnapshotText(c.Statements) })
	if len(applied) > 0 && f.OnChange != nil {
		f.OnChange(applied)
	}
}

// Load reads the newest generation from the store: the snapshot and the
// changes after it. It does not call OnChange, as peers have these already.
func (f *Follower) Load(ctx context.Context) error {
	snapshot, _, err := f.log.ReadSnapshot(ctx)
	if err != nil {
		return err
	}
	if snapshot.Generation > 0 {
		f.stored.Store(int64(snapshot.Generation))
		if _, err := f.advance([]Change{snapshot}, 0); err != nil {
			return err
		}
	}
	// The change of the current generation is read again for its revision.
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
		applied, err := f.advance(page.Changes, page.Revision)
		all = append(all, applied...)
		if err != nil {
			return all, err
		}
		if !more {
			f.confirm(start)
			return all, nil
		}
		after = page.Changes[len(page.Changes)-1].Generation
	}
}

// confirm notes that the store had no newer generation at a time.
func (f *Follower) confirm(at time.Time) {
	for {
		before := f.confirmed.Load()
		if at.UnixNano() <= before || f.confirmed.CompareAndSwap(before, at.UnixNano()) {
			return
		}
	}
}
