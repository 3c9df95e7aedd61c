// Package replicator keeps a copy of the store's objects of one kind, from the
// store itself or, while that is out of reach, from other instances.
package replicator

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
)

const (
	// watchWait is how long a watch waits; each wait is one paid call.
	watchWait = 28 * time.Second
	// minBackoff and maxBackoff bound the pause after a failed call.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
)

// Settings are the dependencies of a Replicator.
type Settings struct {
	Kind   string
	Source Source
	Clock  jujubegate.Clock
	Log    *zap.Logger
	// Pause is the time between two watches, in which changes are collected:
	// each watch that returns is one paid call.
	Pause time.Duration
	// Changed is called with each new state, one at a time.
	Changed func(*State)
}

// State is the objects of a kind at a revision. It is immutable.
type State struct {
	Revision int64
	Objects  map[string]Object
	// FromPeer says that another instance told the state.
	FromPeer bool
}

// Replicator keeps the copy of one kind. It is safe for concurrent use.
type Replicator struct {
	settings Settings
	state    atomic.Pointer[State]
	// failing is set while the store does not answer, failedAt the time of the
	// last failure in Unix nanoseconds.
	failing  atomic.Bool
	failedAt atomic.Int64

	mu sync.Mutex
}

// New returns a replicator without a state.
func New(settings Settings) *Replicator { return &Replicator{settings: settings} }

// Kind returns the kind of the objects.
func (r *Replicator) Kind() string { return r.settings.Kind }

// State returns the newest state, nil before the first one.
func (r *Replicator) State() *State { return r.state.Load() }

// Revision returns that of the newest state, 0 before the first one.
func (r *Replicator) Revision() int64 {
	if s := r.state.Load(); s != nil {
		return s.Revision
	}
	return 0
}

// Failing reports whether the store did not answer the last call.
func (r *Replicator) Failing() bool { return r.failing.Load() }

// FailedWithin reports whether a call to the store failed in the time just past.
func (r *Replicator) FailedWithin(d time.Duration) bool {
	at := r.failedAt.Load()
	return at != 0 && r.settings.Clock.Now().Sub(time.Unix(0, at)) < d
}

// Run follows the store until the context ends.
func (r *Replicator) Run(ctx context.Context) {
	backoff := minBackoff
	listed := false
	for ctx.Err() == nil {
		var err error
		if !listed {
			err = r.list(ctx)
			listed = err == nil
		} else {
			err = r.watch(ctx)
		}
		switch {
		case err == nil:
			r.recovered()
			backoff = minBackoff
			r.sleep(ctx, r.settings.Pause)
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrHistoryGone):
			r.settings.Log.Info("replicator: history is gone, listing again", zap.String("Kind", r.settings.Kind), zap.Int64("Revision", r.Revision()))
			listed = false
		default:
			r.failed(err)
			r.sleep(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

func (r *Replicator) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-r.settings.Clock.After(d):
	case <-ctx.Done():
	}
}

func (r *Replicator) failed(err error) {
	r.failedAt.Store(r.settings.Clock.Now().UnixNano())
	if !r.failing.Swap(true) {
		r.settings.Log.Warn("replicator: store lost", zap.String("Kind", r.settings.Kind), zap.Int64("Revision", r.Revision()), zap.Error(err))
	}
}

func (r *Replicator) recovered() {
	if r.failing.Swap(false) {
		r.settings.Log.Info("replicator: store is back", zap.String("Kind", r.settings.Kind), zap.Int64("Revision", r.Revision()))
	}
}

func (r *Replicator) list(ctx context.Context) error {
	l, err := r.settings.Source.List(ctx, r.settings.Kind)
	if err != nil {
		return err
	}
	r.replace(l, false)
	return nil
}

func (r *Replicator) watch(ctx context.Context) error {
	c, err := r.settings.Source.Watch(ctx, r.settings.Kind, r.Revision(), watchWait)
	if err != nil {
		return err
	}
	r.apply(c)
	return nil
}

// Adopt takes over the state of another instance if it is newer.
func (r *Replicator) Adopt(l Listing) { r.replace(l, true) }

func (r *Replicator) replace(l Listing, fromPeer bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.state.Load()
	if old != nil && l.Revision < old.Revision || fromPeer && old != nil && l.Revision == old.Revision {
		return
	}
	objects := make(map[string]Object, len(l.Objects))
	for _, o := range l.Objects {
		objects[o.Name] = o
	}
	r.publish(&State{Revision: l.Revision, Objects: objects, FromPeer: fromPeer})
}

// apply takes in the changes since a revision that the state has reached or
// passed; repeated ones change nothing.
func (r *Replicator) apply(c Changes) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.state.Load()
	if old == nil || c.Revision <= old.Revision {
		return
	}
	objects := maps.Clone(old.Objects)
	for _, change := range c.Changes {
		if change.Removed {
			delete(objects, change.Object.Name)
			continue
		}
		objects[change.Object.Name] = change.Object
	}
	r.publish(&State{Revision: c.Revision, Objects: objects})
}

func (r *Replicator) publish(s *State) {
	r.state.Store(s)
	r.settings.Log.Info("replicator: state taken over", zap.String("Kind", r.settings.Kind),
		zap.Int64("Revision", s.Revision), zap.Int("Objects", len(s.Objects)), zap.Bool("FromPeer", s.FromPeer))
	r.settings.Changed(s)
}
