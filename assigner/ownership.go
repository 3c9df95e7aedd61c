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
// It may if its serving lease holds, the assignment under the view in force
// names it, every open view that names another owner is closed or that owner
// released, and no instance with another configuration can decide otherwise.
//
// The last condition fences changes of the configuration. Two instances that
// have the same view but different target lists can name different owners. The
// instance with the later list waits: for the view in force and each open one
// it knows the generation since which the owner of the target is the same, and
// it uses the target only once all members that may act under that view have
// reported this generation. The instance with the earlier list keeps the
// target until it follows. Under a view that is new here, or if generations
// were skipped, this is the generation of the latest change of the list.
type Ownership struct {
	state  func() *leaser.State
	logger *zap.Logger

	mu      sync.Mutex
	table   atomic.Pointer[table]
	targets []jujubegate.Target
	// generation is that of the configuration, and changed the latest one in
	// which the target list differs.
	generation, changed jujubegate.Generation
}

// table is the ownership under one view and its open views, for one target list.
type table struct {
	epoch      jujubegate.Epoch
	generation jujubegate.Generation
	assignment Assignment
	entries    map[jujubegate.Address][]owned
}

// owned is the owner of a target under one view.
type owned struct {
	epoch jujubegate.Epoch
	owner leaser.ID
	// since is the generation from which on the owner is known to be the same.
	since jujubegate.Generation
}

// NewOwnership returns an ownership without targets. The state is that of the
// leaser; the result of one call must not change.
func NewOwnership(state func() *leaser.State, logger *zap.Logger) *Ownership {
	if logger == nil {
		logger = zap.NewNop()
	}
	o := &Ownership{state: state, logger: logger}
	o.table.Store(&table{})
	return o
}

// SetTargets puts the target list of a configuration generation in force. It
// should be called for each generation in sequence, and is ignored for one that
// isn't later than the last.
func (o *Ownership) SetTargets(generation jujubegate.Generation, targets []jujubegate.Target) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if generation <= o.generation {
		return
	}
	if generation != o.generation+1 || !sameTargets(o.targets, targets) {
		o.changed = generation
	}
	step := generation == o.generation+1
	o.generation = generation
	o.targets = append([]jujubegate.Target(nil), targets...)
	o.rebuild(o.state(), step)
}

// Generation returns the generation that ownership is decided by. Heartbeats
// must report this one: an instance that reported a generation no longer
// decides by an earlier one.
func (o *Ownership) Generation() jujubegate.Generation {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.generation
}

// MaySend reports whether this instance may send to the target now. It must be
// asked directly before each send.
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

// yielded reports whether no other instance can act on a target under an open view.
func yielded(s *leaser.State, o owned, generation jujubegate.Generation, now time.Time) bool {
	for _, open := range s.Open {
		if open.View.Epoch == o.epoch {
			return open.Closed(now) || open.Agreed >= o.since && s.Yielded(o.owner, open, generation, now)
		}
	}
	return true
}

// UsableFrom returns the moment from which this instance may use a target that
// the view in force gives to it, provided that its lease holds. It is now if
// nothing stands in the way, and earlier than told if previous owners release.
// It returns false if another instance owns the target, or if an open view has
// no end yet or a member has not reported the configuration.
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

// Owner returns the member that owns the target under the view in force here.
// It may still be waiting to take the target over.
func (o *Ownership) Owner(address jujubegate.Address) (leaser.Member, bool) {
	_, t := o.current()
	return t.assignment.Owner(address)
}

// Assignment returns the assignment under the view in force here.
func (o *Ownership) Assignment() Assignment {
	_, t := o.current()
	return t.assignment
}

// Owned returns the targets that the view in force gives to this instance. It
// may still be waiting to take some of them over.
func (o *Ownership) Owned() []jujubegate.Target {
	s, t := o.current()
	if !s.View.Has(s.Self.ID()) {
		return nil
	}
	return t.assignment.Owned(s.Self.Instance)
}

// current returns a state and the table for its view.
func (o *Ownership) current() (*leaser.State, *table) {
	if s, t := o.state(), o.table.Load(); t.epoch == s.View.Epoch {
		return s, t
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	// Under the lock the table is never ahead of the state.
	s := o.state()
	t := o.table.Load()
	if t.epoch != s.View.Epoch {
		t = o.rebuild(s, false)
	}
	return s, t
}

// rebuild computes the table. The caller holds the lock. A step is one to the
// next generation.
func (o *Ownership) rebuild(s *leaser.State, step bool) *table {
	last := o.table.Load()
	t := &table{
		epoch: s.View.Epoch, generation: o.generation,
		assignment: Assign(s.View, o.targets),
		entries:    make(map[jujubegate.Address][]owned, len(o.targets)),
	}
	known := step || last.generation == o.generation
	o.add(t, last, s.View, t.assignment, known)
	for _, v := range s.View.Open {
		o.add(t, last, v, Assign(v, o.targets), known)
	}
	o.table.Store(t)
	o.logger.Info("assigner: targets assigned", zap.Int64("epoch", int64(t.epoch)),
		zap.Int64("generation", int64(t.generation)), zap.Int("targets", len(o.targets)),
		zap.Int("own", len(t.assignment.Owned(s.Self.Instance))))
	return t
}

// add records the owners under one view. An owner is known to be the same since
// the generation of the last table if that had the view, and the generation is
// the same or the next one.
func (o *Ownership) add(t, last *table, v leaser.View, a Assignment, known bool) {
	for _, target := range o.targets {
		m, ok := a.Owner(target.Address)
		if !ok {
			continue
		}
		e := owned{epoch: v.Epoch, owner: m.ID(), since: o.changed}
		if known {
			for _, was := range last.entries[target.Address] {
				if was.epoch == e.epoch && was.owner == e.owner {
					e.since = was.since
				}
			}
		}
		t.entries[target.Address] = append(t.entries[target.Address], e)
	}
}

// sameTargets reports whether two target lists assign alike.
func sameTargets(a, b []jujubegate.Target) bool { return slices.Equal(a, b) }
