package assigner

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/leaser"
)

// Ownership decides whether this instance may send to a target now.
//
// It may if all of these hold:
//   - The serving lease holds.
//   - This instance is the owner in the assignment under the current view.
//   - Every open view with another owner is closed, or that owner has released
//     the target.
//   - No instance with another configuration can decide otherwise.
//
// The last condition fences changes of the configuration. Two instances that
// have the same view but different target lists can compute different owners. For
// the current view and each open one, the table holds the generation since which
// the owner of the target is the same. An instance uses the target only once all
// members that may act under that view have reported this generation, so the one
// with the later list waits. The one with the earlier list keeps the target until
// it applies the later list. For a view that is new to this instance, or if
// generations were skipped, the generation of the latest change of the list is
// used instead.
type Ownership struct {
	state  func() *leaser.State
	logger *zap.Logger

	mu      sync.Mutex
	table   atomic.Pointer[table]
	targets []jujubegate.Target
	// generation is that of the target list, and changedGeneration the latest one
	// that changed the list.
	generation, changedGeneration jujubegate.Generation
}

// table holds the owners of the targets under a view and its open views, for one
// target list. The first entry of a target is that under the view itself.
type table struct {
	epoch      jujubegate.Epoch
	generation jujubegate.Generation
	assignment Assignment
	entries    map[jujubegate.Address][]ownerEntry
}

// ownerEntry is the owner of a target under one view.
type ownerEntry struct {
	epoch jujubegate.Epoch
	owner leaser.ID
	// since is the generation since which the owner is known to be the same.
	since jujubegate.Generation
}

// NewOwnership returns an Ownership without targets. state returns the state of
// the leaser, which must be immutable.
func NewOwnership(state func() *leaser.State, logger *zap.Logger) *Ownership {
	if logger == nil {
		logger = zap.NewNop()
	}
	o := &Ownership{state: state, logger: logger}
	o.table.Store(&table{})
	return o
}

// SetTargets applies the target list of a configuration generation. It should be
// called for each generation in sequence, and ignores a generation that isn't
// later than the last one.
func (o *Ownership) SetTargets(generation jujubegate.Generation, targets []jujubegate.Target) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if generation <= o.generation {
		return
	}
	if generation != o.generation+1 || !sameTargets(o.targets, targets) {
		o.changedGeneration = generation
	}
	consecutive := generation == o.generation+1
	o.generation = generation
	o.targets = append([]jujubegate.Target(nil), targets...)
	o.rebuild(o.state(), consecutive)
}

// Generation returns the generation on which ownership is based. Heartbeats must
// report this generation: an instance that reported a generation must no longer
// decide by an earlier one.
func (o *Ownership) Generation() jujubegate.Generation {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.generation
}

// MaySend reports whether this instance may send to the target now. It must be
// called immediately before each send.
func (o *Ownership) MaySend(address jujubegate.Address, now time.Time) bool {
	s, t := o.current()
	if !s.MayOwnTargets(now) {
		return false
	}
	owners := t.entries[address]
	if len(owners) == 0 {
		return false
	}
	current := owners[0]
	if current.owner != s.Self.ID() || s.Agreed < current.since {
		return false
	}
	for _, o := range owners[1:] {
		if !yielded(s, o, t.generation, now) {
			return false
		}
	}
	return true
}

// yielded reports whether no other instance can act on the target under the open
// view of the entry.
func yielded(s *leaser.State, o ownerEntry, generation jujubegate.Generation, now time.Time) bool {
	for _, open := range s.Open {
		if open.View.Epoch == o.epoch {
			return open.Closed(now) || open.Agreed >= o.since && s.Yielded(o.owner, open, generation, now)
		}
	}
	return true
}

// UsableFrom returns the time from which this instance may use a target that the
// current view assigns to it, provided that its lease holds. This is now if the
// target is usable already; if previous owners release it, the target becomes
// usable before the returned time. UsableFrom returns false if another instance
// owns the target, an open view has no closing time yet, or a member has not
// reported the configuration.
func (o *Ownership) UsableFrom(address jujubegate.Address, now time.Time) (time.Time, bool) {
	s, t := o.current()
	owners := t.entries[address]
	if len(owners) == 0 || owners[0].owner != s.Self.ID() || s.Agreed < owners[0].since {
		return time.Time{}, false
	}
	from := now
	for _, e := range owners[1:] {
		if yielded(s, e, t.generation, now) {
			continue
		}
		i := slices.IndexFunc(s.Open, func(v leaser.OpenView) bool { return v.View.Epoch == e.epoch })
		if s.Open[i].ClosesAt.IsZero() {
			return time.Time{}, false
		}
		if s.Open[i].ClosesAt.After(from) {
			from = s.Open[i].ClosesAt
		}
	}
	return from, true
}

// Owner returns the member that owns the target under the current view of this
// instance. The owner may still be waiting to take the target over.
func (o *Ownership) Owner(address jujubegate.Address) (leaser.Member, bool) {
	_, t := o.current()
	return t.assignment.Owner(address)
}

// Assignment returns the assignment under the current view of this instance.
func (o *Ownership) Assignment() Assignment {
	_, t := o.current()
	return t.assignment
}

// Owned returns the targets that the current view assigns to this instance. It
// may still be waiting to take some of them over.
func (o *Ownership) Owned() []jujubegate.Target {
	s, t := o.current()
	if !s.View.Has(s.Self.ID()) {
		return nil
	}
	return t.assignment.Owned(s.Self.Instance)
}

// current returns the state of the leaser and the table for its view, which it
// rebuilds if the view has changed.
func (o *Ownership) current() (*leaser.State, *table) {
	if s, t := o.state(), o.table.Load(); t.epoch == s.View.Epoch {
		return s, t
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	// While the lock is held, the view of the table is never later than the state's.
	s := o.state()
	t := o.table.Load()
	if t.epoch != s.View.Epoch {
		t = o.rebuild(s, false)
	}
	return s, t
}

// rebuild computes and stores the table. The caller holds the lock. consecutive
// is set if the generation directly follows that of the last table.
func (o *Ownership) rebuild(s *leaser.State, consecutive bool) *table {
	last := o.table.Load()
	t := &table{
		epoch: s.View.Epoch, generation: o.generation,
		assignment: Assign(s.View, o.targets),
		entries:    make(map[jujubegate.Address][]ownerEntry, len(o.targets)),
	}
	sameHistory := consecutive || last.generation == o.generation
	o.addView(t, last, s.View, t.assignment, sameHistory)
	for _, v := range s.View.Open {
		o.addView(t, last, v, Assign(v, o.targets), sameHistory)
	}
	o.table.Store(t)
	o.logger.Info("assigner: targets assigned", zap.Int64("epoch", int64(t.epoch)),
		zap.Int64("generation", int64(t.generation)), zap.Int("targets", len(o.targets)),
		zap.Int("own", len(t.assignment.Owned(s.Self.Instance))))
	return t
}

// addView adds the owners under one view to the table. If sameHistory is set, that
// is if the last table is of the same or of the preceding generation, and the last
// table has the same owner under this view, the entry keeps its since.
func (o *Ownership) addView(t, last *table, v leaser.View, a Assignment, sameHistory bool) {
	for _, target := range o.targets {
		m, ok := a.Owner(target.Address)
		if !ok {
			continue
		}
		e := ownerEntry{epoch: v.Epoch, owner: m.ID(), since: o.changedGeneration}
		if sameHistory {
			for _, was := range last.entries[target.Address] {
				if was.epoch == e.epoch && was.owner == e.owner {
					e.since = was.since
				}
			}
		}
		t.entries[target.Address] = append(t.entries[target.Address], e)
	}
}

// sameTargets reports whether two target lists are equal, so that their
// assignments are equal as well.
func sameTargets(a, b []jujubegate.Target) bool { return slices.Equal(a, b) }
