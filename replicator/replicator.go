// Package replicator keeps a copy of the store's objects of one kind. It reads
// them from the store or, while that is unreachable, gets them from peers.
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
	// maxConfirmationInterval is the longest time between two confirmations during
	// normal operation: a watch, its pause and a round of gossip take less. After a
	// longer one the store may have been unreachable.
	maxConfirmationInterval = 1500 * time.Millisecond
	// gapRetention is how long after its end a gap still explains missing objects:
	// live owners write them again within about two seconds.
	gapRetention = 3 * time.Second
	// historyLength is the number of changes kept for peers that are behind.
	historyLength = 1024
)

// Settings are the dependencies of a Replicator.
type Settings struct {
	Kind   string
	Source Source
	Clock  jujubegate.Clock
	Log    *zap.Logger
	// Pause is the minimum time between two reads. One read, which is a billed call,
	// then returns all changes that accumulated in the pause.
	Pause time.Duration
	// Changed is called with each new state, never concurrently.
	Changed func(*State)
}

// State holds the objects of a kind at a revision. It is immutable.
type State struct {
	Revision int64
	Objects  map[string]Object
	// FromPeer is set if the state came from a peer.
	FromPeer bool
	// SeenAt is when the previous state was last confirmed. Objects that are missing
	// from this state were in the store at least until then.
	SeenAt time.Time
	// Gap is the latest gap; zero if there was none recently.
	Gap Gap
}

// Reading says how the content of a state or a confirmation became known.
type Reading struct {
	// At is a time that is not after the read of the store. The answer to a call
	// can be delayed for any time, so it is when the call was sent and not when its
	// answer arrived.
	At time.Time
	// FromPeer is set if a peer read the store.
	FromPeer bool
}

// Gap is an interval without confirmations. Objects can expire in it although
// their owners are live.
type Gap struct {
	Length  time.Duration
	EndedAt time.Time
}

// Replicator keeps the copy of one kind and a short history of its changes. It is
// safe for concurrent use.
type Replicator struct {
	settings Settings
	state    atomic.Pointer[State]
	failing  atomic.Bool
	// era is the one that the store named last.
	era atomic.Int64

	mu sync.Mutex
	// confirmedAt is the Reading.At of the latest read of the store, by any instance,
	// that found nothing newer than the state. Without a state it is when this
	// replicator was created.
	confirmedAt time.Time
	gap         Gap
	// history holds the latest changes; historyStart is the revision before them.
	history      []historyEntry
	historyStart int64
	// cursor is the revision of the store up to which changes have been applied, also
	// if there were none of this kind.
	cursor int64
	// readAt is when this instance last read the kind from the store.
	readAt time.Time
}

// historyEntry holds the changes that led to a revision from the one before it.
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

// State returns the newest state; nil before the first one.
func (r *Replicator) State() *State { return r.state.Load() }

// Revision returns the revision of the newest state; 0 before the first one.
func (r *Replicator) Revision() int64 {
	if s := r.state.Load(); s != nil {
		return s.Revision
	}
	return 0
}

// Age returns the time since some instance last read the store and found nothing
// newer than the state. It is never too short, but too long by the time that calls
// to the store and to peers took.
func (r *Replicator) Age() time.Duration {
	_, age := r.Holding()
	return age
}

// Holding returns the revision of the newest state, as Revision does, and its age.
func (r *Replicator) Holding() (int64, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Revision(), r.settings.Clock.Now().Sub(r.confirmedAt)
}

// Failing reports whether this instance's last call to the store failed.
func (r *Replicator) Failing() bool { return r.failing.Load() }

// read makes one billed call: a watch that waits at most the given time for changes,
// or a listing if there is no state yet. If the store no longer holds the history,
// a listing follows the watch.
func (r *Replicator) read(ctx context.Context, wait time.Duration) error {
	defer r.recordRead()
	reading := Reading{At: r.settings.Clock.Now()}
	if revision, _ := r.position(); revision > 0 {
		c, err := r.settings.Source.Watch(ctx, r.settings.Kind, revision, wait)
		if err == nil {
			r.observeEra(c.Era)
			r.Apply(revision, c, reading)
			return nil
		}
		if !errors.Is(err, ErrHistoryGone) {
			return err
		}
		r.settings.Log.Info("replicator: store no longer holds the history, listing all objects", zap.String("Kind", r.settings.Kind), zap.Int64("Revision", revision))
	}
	reading.At = r.settings.Clock.Now()
	l, err := r.settings.Source.List(ctx, r.settings.Kind)
	if err != nil {
		return err
	}
	r.observeEra(l.Era)
	r.Replace(l, reading)
	return nil
}

// observeEra logs a change of the era that the store names.
func (r *Replicator) observeEra(era int64) {
	if last := r.era.Swap(era); last != era {
		r.settings.Log.Info("replicator: store names another era", zap.String("Kind", r.settings.Kind), zap.Int64("Era", era), zap.Int64("Before", last),
			zap.Int64("StateRevision", r.Revision()))
	}
}

func (r *Replicator) recordRead() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readAt = r.settings.Clock.Now()
}

// withinPause reports whether there is a state and the last read of the kind is
// less than Pause ago.
func (r *Replicator) withinPause() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Load() != nil && r.settings.Clock.Now().Sub(r.readAt) < r.settings.Pause
}

// position returns the revision up to which the state is known to be current, and
// since when; 0 without a state.
func (r *Replicator) position() (int64, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.positionLocked(), r.confirmedAt
}

// positionLocked returns the revision of position. The caller holds mu.
func (r *Replicator) positionLocked() int64 {
	if r.state.Load() == nil {
		return 0
	}
	return max(r.cursor, r.Revision())
}

// confirmAt records that the store was at a revision at the given time. It returns
// false if the state is not known to be current at that revision.
func (r *Replicator) confirmAt(revision int64, at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state.Load() == nil || r.positionLocked() < revision {
		return false
	}
	r.confirm(at)
	return true
}

func (r *Replicator) recordFailure(err error) {
	if !r.failing.Swap(true) {
		r.settings.Log.Warn("replicator: store read failed", zap.String("Kind", r.settings.Kind),
			zap.Int64("Revision", r.Revision()), zap.Duration("Age", r.Age()), zap.Error(err))
	}
}

func (r *Replicator) recordSuccess() {
	if r.failing.Swap(false) {
		r.settings.Log.Info("replicator: store reads succeed again", zap.String("Kind", r.settings.Kind), zap.Int64("Revision", r.Revision()))
	}
}

// Confirm records that a peer's state at a revision was confirmed at the given time.
// It has no effect if the state here has another revision.
func (r *Replicator) Confirm(revision int64, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state.Load() != nil && revision == r.Revision() {
		r.confirm(at)
	}
}

// confirm records a confirmation, and a gap if the one before was too long ago.
// The caller holds mu.
func (r *Replicator) confirm(at time.Time) {
	if !at.After(r.confirmedAt) {
		return
	}
	if length := at.Sub(r.confirmedAt); length > maxConfirmationInterval {
		r.gap = Gap{Length: length, EndedAt: r.settings.Clock.Now()}
	}
	r.confirmedAt = at
}

// recentGap returns the latest gap, or a zero one if it ended gapRetention ago or
// earlier.
func (r *Replicator) recentGap() Gap {
	if r.settings.Clock.Now().Sub(r.gap.EndedAt) >= gapRetention {
		return Gap{}
	}
	return r.gap
}

// Replace applies a listing, unless the state is newer.
func (r *Replicator) Replace(l Listing, reading Reading) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.state.Load()
	if old != nil && l.Revision < old.Revision {
		r.settings.Log.Warn("replicator: listing is older than the state, ignored", zap.String("Kind", r.settings.Kind), zap.Int64("Era", l.Era),
			zap.Int64("Revision", l.Revision), zap.Int64("StateRevision", old.Revision), zap.Int("Objects", len(l.Objects)), zap.Bool("FromPeer", reading.FromPeer))
		return
	}
	seenAt := r.confirmedAt
	if old == nil {
		// Until now the age was the time without a state. The state may be older.
		r.confirmedAt = reading.At
	}
	r.confirm(reading.At)
	if old != nil && l.Revision == old.Revision {
		return
	}
	objects := make(map[string]Object, len(l.Objects))
	for _, o := range l.Objects {
		objects[o.Name] = o
	}
	r.history, r.historyStart = nil, l.Revision
	r.publish(&State{Revision: l.Revision, Objects: objects, FromPeer: reading.FromPeer, SeenAt: seenAt})
}

// Apply applies the changes after a revision. They are ignored if the state has not
// reached that revision; applying changes again has no effect.
func (r *Replicator) Apply(after int64, c Changes, reading Reading) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.state.Load()
	if old == nil || after > max(old.Revision, r.cursor) || c.Revision < old.Revision {
		return
	}
	seenAt := r.confirmedAt
	r.confirm(reading.At)
	r.cursor = max(r.cursor, c.Revision)
	if len(c.Changes) == 0 || c.Revision == old.Revision {
		// Changes of other kinds raise the store's revision too. The state keeps
		// its own, so that peers do not fetch it again.
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
	r.publish(&State{Revision: c.Revision, Objects: objects, FromPeer: reading.FromPeer, SeenAt: seenAt})
}

// appendHistory adds changes to the history and drops the oldest entries beyond
// historyLength.
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

// Since returns the changes after a revision, or false if the history does not
// reach back to it.
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
	r.settings.Log.Info("replicator: state applied", zap.String("Kind", r.settings.Kind),
		zap.Int64("Revision", s.Revision), zap.Int("Objects", len(s.Objects)), zap.Bool("FromPeer", s.FromPeer), zap.Duration("Gap", s.Gap.Length))
	r.settings.Changed(s)
}
