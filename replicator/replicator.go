// Package replicator keeps a copy of the store's objects of one kind, from the
// store itself or, while that is out of reach, from other instances.
package replicator

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
)

const (
	// maxConfirmationInterval is the time between two confirmations from which on the store
	// may have been away: a watch, its pause and a round of gossip take less.
	maxConfirmationInterval = 1500 * time.Millisecond
	// gapRetention is how long after its end a gap still explains missing objects:
	// owners that live write them again within about two seconds.
	gapRetention = 3 * time.Second
	// historyLength is the number of changes kept for instances that are behind.
	historyLength = 1024
)

// Settings are the dependencies of a Replicator.
type Settings struct {
	Kind   string
	Source Source
	Clock  jujubegate.Clock
	Log    *zap.Logger
	// Pause is the least time between two reads, in which changes are collected:
	// each read is one paid call.
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
	// SeenAt is when the state before was last confirmed: objects that are missing
	// now have been in the store until then at least.
	SeenAt time.Time
	// Gap is the newest time without a confirmation.
	Gap Gap
}

// Gap is a time without confirmations, in which objects can lapse although
// their owners live. It is zero if there was none a moment before.
type Gap struct {
	Length  time.Duration
	EndedAt time.Time
}

// Replicator keeps the copy of one kind. It is safe for concurrent use.
type Replicator struct {
	settings Settings
	state    atomic.Pointer[State]
	failing  atomic.Bool

	mu sync.Mutex
	// confirmedAt is when some instance last read from the store that nothing
	// newer than the state exists.
	confirmedAt time.Time
	gap         Gap
	// history holds the newest changes, each with the revision it led to;
	// since is the revision that they follow on.
	history      []historyEntry
	historyStart int64
	// cursor is the revision up to which the state is known to be unchanged.
	cursor int64
	readAt time.Time
}

// historyEntry is the changes between two revisions of the history.
type historyEntry struct {
	changes  []Change
	revision int64
}

// New returns a replicator without a state.
func New(settings Settings) *Replicator {
	return &Replicator{settings: settings, confirmedAt: settings.Clock.Now()}
}

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

// Age returns how long ago some instance last read from the store that the
// state is the newest.
func (r *Replicator) Age() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.settings.Clock.Now().Sub(r.confirmedAt)
}

// Failing reports whether this instance's last call to the store failed.
func (r *Replicator) Failing() bool { return r.failing.Load() }

// read makes one paid call: a watch that waits so long for changes, or a listing
// if there is no state yet or the history is gone.
func (r *Replicator) read(ctx context.Context, wait time.Duration) error {
	defer r.recordRead()
	if revision := r.position(); revision > 0 {
		c, err := r.settings.Source.Watch(ctx, r.settings.Kind, revision, wait)
		if err == nil {
			r.Apply(revision, c, 0)
			return nil
		}
		if !errors.Is(err, ErrHistoryGone) {
			return err
		}
		r.settings.Log.Info("replicator: history is gone, listing again", zap.String("Kind", r.settings.Kind), zap.Int64("Revision", revision))
	}
	l, err := r.settings.Source.List(ctx, r.settings.Kind)
	if err != nil {
		return err
	}
	r.Replace(l, 0, false)
	return nil
}

func (r *Replicator) recordRead() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readAt = r.settings.Clock.Now()
}

// withinPause reports whether the kind was read a moment ago.
func (r *Replicator) withinPause() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Load() != nil && r.settings.Clock.Now().Sub(r.readAt) < r.settings.Pause
}

// position is the revision up to which the state is known; 0 without a state.
func (r *Replicator) position() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.positionLocked()
}

func (r *Replicator) positionLocked() int64 {
	if r.state.Load() == nil {
		return 0
	}
	return max(r.cursor, r.Revision())
}

// confirmAt notes that the store is at a revision. It reports whether the state
// is the newest one at that revision.
func (r *Replicator) confirmAt(revision int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state.Load() == nil || r.positionLocked() < revision {
		return false
	}
	r.confirm(r.settings.Clock.Now())
	return true
}

func (r *Replicator) failed(err error) {
	if !r.failing.Swap(true) {
		r.settings.Log.Warn("replicator: store lost", zap.String("Kind", r.settings.Kind),
			zap.Int64("Revision", r.Revision()), zap.Duration("Age", r.Age()), zap.Error(err))
	}
}

func (r *Replicator) recovered() {
	if r.failing.Swap(false) {
		r.settings.Log.Info("replicator: store is back", zap.String("Kind", r.settings.Kind), zap.Int64("Revision", r.Revision()))
	}
}

// Confirm notes that a peer which holds the same revision confirmed it so long
// ago.
func (r *Replicator) Confirm(revision int64, age time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state.Load() != nil && revision == r.Revision() {
		r.confirm(r.settings.Clock.Now().Add(-age))
	}
}

func (r *Replicator) confirm(at time.Time) {
	if !at.After(r.confirmedAt) {
		return
	}
	if length := at.Sub(r.confirmedAt); length > maxConfirmationInterval {
		r.gap = Gap{Length: length, EndedAt: r.settings.Clock.Now()}
	}
	r.confirmedAt = at
}

// recentGap returns the newest gap, or none if that is long over.
func (r *Replicator) recentGap() Gap {
	if r.settings.Clock.Now().Sub(r.gap.EndedAt) >= gapRetention {
		return Gap{}
	}
	return r.gap
}

// Replace takes over a listing that was confirmed so long ago, unless the state
// is newer.
func (r *Replicator) Replace(l Listing, age time.Duration, fromPeer bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.state.Load()
	if old != nil && l.Revision < old.Revision {
		return
	}
	seenAt := r.confirmedAt
	r.confirm(r.settings.Clock.Now().Add(-age))
	if old != nil && l.Revision == old.Revision {
		return
	}
	objects := make(map[string]Object, len(l.Objects))
	for _, o := range l.Objects {
		objects[o.Name] = o
	}
	r.history, r.historyStart = nil, l.Revision
	r.publish(&State{Revision: l.Revision, Objects: objects, FromPeer: fromPeer, SeenAt: seenAt})
}

// Apply takes in the changes after a revision that the state has reached;
// repeated ones change nothing.
func (r *Replicator) Apply(after int64, c Changes, age time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.state.Load()
	if old == nil || after > max(old.Revision, r.cursor) || c.Revision < old.Revision {
		return
	}
	seenAt := r.confirmedAt
	r.confirm(r.settings.Clock.Now().Add(-age))
	r.cursor = max(r.cursor, c.Revision)
	if len(c.Changes) == 0 || c.Revision == old.Revision {
		// Changes of other kinds raise the store's revision too; keeping that
		// of the state spares all instances a transfer.
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
	r.appendHistory(c)
	r.publish(&State{Revision: c.Revision, Objects: objects, FromPeer: age > 0, SeenAt: seenAt})
}

func (r *Replicator) appendHistory(c Changes) {
	r.history = append(r.history, historyEntry{c.Changes, c.Revision})
	total := 0
	for i := len(r.history) - 1; i >= 0; i-- {
		if total += len(r.history[i].changes); total > historyLength {
			r.historyStart = r.history[i].revision
			r.history = slices.Clone(r.history[i+1:])
			return
		}
	}
}

// Since returns the changes after a revision, false if they are not known.
func (r *Replicator) Since(revision int64) (Changes, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.state.Load()
	if state == nil || revision < r.historyStart {
		return Changes{}, false
	}
	c := Changes{Revision: state.Revision}
	for _, s := range r.history {
		if s.revision > revision {
			c.Changes = append(c.Changes, s.changes...)
		}
	}
	return c, true
}

func (r *Replicator) publish(s *State) {
	s.Gap = r.recentGap()
	r.state.Store(s)
	r.settings.Log.Info("replicator: state taken over", zap.String("Kind", r.settings.Kind),
		zap.Int64("Revision", s.Revision), zap.Int("Objects", len(s.Objects)), zap.Bool("FromPeer", s.FromPeer), zap.Duration("Gap", s.Gap.Length))
	r.settings.Changed(s)
}
