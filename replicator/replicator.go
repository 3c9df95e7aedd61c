// Package replicator keeps a copy of the store's objects of one kind. It reads
// them from the store or, while that is unreachable, gets them from peers.
package replicator

import (
	"context"
	"errors"
	"fmt"
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
	// Rewriting says what counts after the store came back from an older copy.
	Rewriting Rewriting
	// Failures is shared by the replicators of all kinds; if it is nil, the replicator has
	// its own.
	Failures *Failures
	// Changed is called with each new state, never concurrently.
	Changed func(*State)
}

// State holds the objects of a kind at a position of the store. It is immutable.
type State struct {
	Position
	Objects map[string]Object
	// FromPeer is set if the state came from a peer.
	FromPeer bool
	// SeenAt is when the previous state was last confirmed. Objects that are missing
	// from this state were in the store at least until then.
	SeenAt time.Time
	// Gap is the latest gap; zero if there was none recently.
	Gap Gap
	// Restored is set for the first state after the store came back from an older
	// copy, in which objects can be missing although their owners are live.
	Restored bool
}

// Reading says how the content of a state or a confirmation became known.
type Reading struct {
	// At is a time that is not after the read of the store. The answer to a call
	// can be delayed for any time, so it is when the call was sent and not when its
	// answer arrived.
	At time.Time
	// FromPeer is set if a peer read the store.
	FromPeer bool
	// OutageEndedAt is when a recent outage of the store ended, as far as the peer
	// knows; zero if there was none.
	OutageEndedAt time.Time
}

// Replicator keeps the copy of one kind and a short history of its changes. It is
// safe for concurrent use.
type Replicator struct {
	settings Settings
	state    atomic.Pointer[State]
	failing  atomic.Bool

	mu sync.Mutex
	// confirmedAt is the Reading.At of the latest read of the store, by any instance,
	// that found nothing newer than the state. Without a state it is when this
	// replicator was created.
	confirmedAt time.Time
	// gap is the latest gap, and gapBeganAt the confirmation before it.
	gap        Gap
	gapBeganAt time.Time
	// history holds the latest changes; historyStart is the revision before them.
	history      []historyEntry
	historyStart int64
	// cursor is the revision of the store, in the era of the state, up to which changes
	// have been applied, also if there were none of this kind.
	cursor int64
	// stored holds the objects in the store, overrides what counts instead of them by
	// name, and removed the objects that were removed lately.
	stored     map[string]Object
	overrides  map[string]override
	removed    map[string]removal
	eraBeganAt time.Time
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
	if settings.Failures == nil {
		settings.Failures = NewFailures("", settings.Clock, func() {})
	}
	now := settings.Clock.Now()
	return &Replicator{
		settings: settings, confirmedAt: now, eraBeganAt: now,
		stored: make(map[string]Object), overrides: make(map[string]override), removed: make(map[string]removal),
	}
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

// Position returns the position of the newest state; zero before the first one.
func (r *Replicator) Position() Position {
	if s := r.state.Load(); s != nil {
		return s.Position
	}
	return Position{}
}

// Age returns the time since some instance last read the store and found nothing
// newer than the state. It is never too short, but too long by the time that calls
// to the store and to peers took.
func (r *Replicator) Age() time.Duration {
	return r.Holding().Age
}

// Holding describes the newest state.
type Holding struct {
	Position
	Age time.Duration
	// Gap is the latest gap; zero if there was none recently.
	Gap Gap
	// Kept is the number of objects for which the state differs from the store, as
	// this came back from an older copy; 0 if the time for that is over.
	Kept int
}

// Holding describes the newest state. The position is zero before the first one.
func (r *Replicator) Holding() Holding {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Holding{r.Position(), r.settings.Clock.Now().Sub(r.confirmedAt), r.recentGap(), len(r.overrides)}
}

// Behind reports whether a peer with the given holding has objects that are missing
// here.
func (r *Replicator) Behind(peer Holding) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	own := r.Position()
	position := peer.withDefaultEra(own.Era)
	return own.Before(position) || own == position && peer.Kept > len(r.overrides) && !r.rewritingOver()
}

// Failing reports whether this instance's last call to the store failed.
func (r *Replicator) Failing() bool { return r.failing.Load() }

// confirmation says that the store was at a position at the given time or later.
type confirmation struct {
	Position
	at time.Time
}

// read makes one billed call: a watch that waits at most the given time for changes,
// or a listing if there is no state in the store's era yet. If the store no longer
// holds the history or has begun another era, a listing follows the watch. It returns
// what the answer says about the store.
func (r *Replicator) read(ctx context.Context, wait time.Duration, era int64) (confirmation, error) {
	defer r.recordRead()
	if p := r.position(); p.Revision > 0 && era <= p.Era {
		read, done, err := r.watch(ctx, p, wait)
		if done || err != nil {
			return read, err
		}
	}
	reading := Reading{At: r.settings.Clock.Now()}
	l, err := r.settings.Source.List(ctx, r.settings.Kind)
	if err != nil {
		return confirmation{}, err
	}
	own := r.Position()
	position := l.withDefaultEra(own.Era)
	if position.Before(own) {
		return confirmation{}, fmt.Errorf("%w: listing at era %d, revision %d, and the state is at era %d, revision %d", ErrOutdated, l.Era, l.Revision, own.Era, own.Revision)
	}
	r.Replace(l, reading)
	return confirmation{position, reading.At}, nil
}

// watch watches the store from a position and applies the changes. It returns false
// if the kind must be listed.
func (r *Replicator) watch(ctx context.Context, from Position, wait time.Duration) (read confirmation, done bool, err error) {
	reading := Reading{At: r.settings.Clock.Now()}
	c, err := r.settings.Source.Watch(ctx, r.settings.Kind, from.Revision, wait)
	position := c.withDefaultEra(from.Era)
	switch era := position.Era; {
	case errors.Is(err, ErrHistoryGone):
		r.settings.Log.Info("replicator: store no longer holds the history, listing all objects", zap.String("Kind", r.settings.Kind), zap.Int64("Revision", from.Revision))
		return confirmation{}, false, nil
	case err != nil:
		return confirmation{}, false, err
	case era > from.Era:
		// The revision from which it was watched is another one in this era.
		return confirmation{}, false, nil
	case era < from.Era:
		return confirmation{}, false, fmt.Errorf("%w: changes of era %d, and the state is of era %d", ErrOutdated, era, from.Era)
	}
	r.Apply(from.Revision, c, reading)
	return confirmation{position, reading.At}, true, nil
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

// position returns the position up to which the state is known to be current; a zero
// one without a state.
func (r *Replicator) position() Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.positionLocked()
}

// positionLocked returns the position of position. The caller holds mu.
func (r *Replicator) positionLocked() Position {
	p := r.Position()
	if r.state.Load() != nil {
		p.Revision = max(p.Revision, r.cursor)
	}
	return p
}

// confirmWith records a confirmation that comes from the read of another kind. It
// returns false if the state is not known to be current at its position.
func (r *Replicator) confirmWith(c confirmation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if own := r.positionLocked(); r.state.Load() == nil || own.Era != c.Era || own.Revision < c.Revision {
		return false
	}
	r.confirm(Reading{At: c.at})
	return true
}

func (r *Replicator) recordFailure(err error) {
	if !errors.Is(err, ErrOutdated) {
		r.settings.Failures.Record()
	}
	if !r.failing.Swap(true) {
		r.settings.Log.Warn("replicator: store read failed", zap.String("Kind", r.settings.Kind),
			zap.Int64("Revision", r.Revision()), zap.Duration("Age", r.Age()), zap.Error(err))
	}
}

func (r *Replicator) recordSuccess() {
	r.settings.Failures.EndSeries()
	if r.failing.Swap(false) {
		r.settings.Log.Info("replicator: store reads succeed again", zap.String("Kind", r.settings.Kind), zap.Int64("Revision", r.Revision()))
	}
}

// Confirm records that a peer's state at a position was confirmed by a reading. It has
// no effect if the state here has another position.
func (r *Replicator) Confirm(p Position, reading Reading) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if own := r.Position(); r.state.Load() != nil && p.withDefaultEra(own.Era) == own {
		r.confirm(reading)
	}
}

// confirm records a confirmation, and a gap if the one before was too long ago.
// The caller holds mu.
func (r *Replicator) confirm(reading Reading) {
	if !reading.At.After(r.confirmedAt) {
		return
	}
	before := r.confirmedAt
	r.confirmedAt = reading.At
	if length := reading.At.Sub(before); length > maxConfirmationInterval {
		r.recordGap(before, length, reading)
	}
}

// Replace applies a listing, unless the state is newer.
func (r *Replicator) Replace(l Listing, reading Reading) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.state.Load()
	position := l.Position
	if old != nil {
		position = position.withDefaultEra(old.Era)
	}
	if old != nil && position.Before(old.Position) {
		r.settings.Log.Info("replicator: listing is older than the state, ignored", zap.String("Kind", r.settings.Kind), zap.Int64("Era", l.Era),
			zap.Int64("Revision", l.Revision), zap.Int64("StateEra", old.Era), zap.Int64("StateRevision", old.Revision), zap.Bool("FromPeer", reading.FromPeer))
		return
	}
	seenAt := r.confirmedAt
	if old == nil {
		// Until now the age was the time without a state. The state may be older.
		r.confirmedAt = reading.At
	}
	r.confirm(reading)
	if old != nil && position == old.Position {
		if r.adopt(l.Kept) {
			r.publish(&State{Position: position, FromPeer: reading.FromPeer, SeenAt: seenAt})
		}
		return
	}
	stored := make(map[string]Object, len(l.Objects))
	for _, o := range l.Objects {
		stored[o.Name] = o
	}
	restored := old != nil && old.Era > 0 && position.Era > old.Era
	if restored {
		r.beginEra(old, stored, position, reading.FromPeer)
		r.cursor = 0
	} else {
		for name, o := range r.stored {
			if _, ok := stored[name]; !ok {
				r.remember(o)
			}
		}
	}
	r.stored = stored
	if !restored {
		for name := range r.overrides {
			r.reviewOverride(name)
		}
	}
	r.adopt(l.Kept)
	r.history, r.historyStart = nil, l.Revision
	r.publish(&State{Position: position, FromPeer: reading.FromPeer, SeenAt: seenAt, Restored: restored})
}

// Apply applies the changes after a revision of their era. They are ignored if the
// state is of another era or has not reached that revision; applying changes again has
// no effect.
func (r *Replicator) Apply(after int64, c Changes, reading Reading) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.state.Load()
	if old == nil || c.Position.withDefaultEra(old.Era).Era != old.Era || after > max(old.Revision, r.cursor) || c.Revision < old.Revision {
		return
	}
	seenAt := r.confirmedAt
	r.confirm(reading)
	r.cursor = max(r.cursor, c.Revision)
	if len(c.Changes) == 0 || c.Revision == old.Revision {
		// Changes of other kinds raise the store's revision too. The state keeps
		// its own, so that peers do not fetch it again.
		return
	}
	r.stored = maps.Clone(r.stored)
	for _, change := range c.Changes {
		r.setStored(change.Object, change.Removed)
	}
	r.appendHistory(c)
	r.publish(&State{Position: Position{old.Era, c.Revision}, FromPeer: reading.FromPeer, SeenAt: seenAt})
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

// Since returns the changes after a position, or false if it is of another era or the
// history does not reach back to it.
func (r *Replicator) Since(p Position) (Changes, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.state.Load()
	if state == nil || p.withDefaultEra(state.Era).Era != state.Era || p.Revision < r.historyStart {
		return Changes{}, false
	}
	c := Changes{Position: state.Position}
	for _, s := range r.history {
		if s.revision > p.Revision {
			c.Changes = append(c.Changes, s.changes...)
		}
	}
	return c, true
}

// Whole returns what the store holds and what counts instead of it, for a peer.
func (r *Replicator) Whole() Listing {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := Listing{Position: r.Position()}
	for _, o := range r.stored {
		l.Objects = append(l.Objects, o)
	}
	for _, o := range r.overrides {
		l.Kept = append(l.Kept, Change{Object: o.known, Removed: o.removed})
	}
	return l
}

// publish completes a state and reports it. The caller holds mu.
func (r *Replicator) publish(s *State) {
	s.Objects = r.stored
	if len(r.overrides) > 0 {
		s.Objects = r.effective()
	}
	s.Gap = r.recentGap()
	if s.Restored {
		s.Gap.EndedAt = r.settings.Clock.Now()
	}
	r.state.Store(s)
	r.settings.Log.Info("replicator: state applied", zap.String("Kind", r.settings.Kind),
		zap.Int64("Era", s.Era), zap.Int64("Revision", s.Revision), zap.Int("Objects", len(s.Objects)), zap.Int("Kept", len(r.overrides)),
		zap.Bool("FromPeer", s.FromPeer), zap.Duration("Gap", s.Gap.Length), zap.Bool("StoreAway", s.Gap.StoreAway()))
	r.settings.Changed(s)
}
