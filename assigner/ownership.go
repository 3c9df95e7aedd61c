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
// released, and no instance with an earlier configuration can still decide
// otherwise.
//
// The last condition fences changes of the configuration. Two instances that
// have the same view but different target lists can name different owners. The
// instance with the later list waits: a target counts from the generation at
// which this instance first had to be its owner, and is used only once all
// other instances that could own it have reported that generation. The
// instance with the earlier list keeps the target until it follows. A target
// keeps its generation while the owners under the view in force and the open
// views stay the same from one generation to the next. After a new view, or
// if generations were skipped, all targets count from the latest change, since
// the owners in between are not known.
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

// table is the ownership under one view and one target list.
type table struct {
	epoch      jujubegate.Epoch
	generation jujubegate.Generation
	changed    jujubegate.Generation
	assignment Assignment
	entries    map[jujubegate.Address]entry
}

// entry is what is known of one target.
type entry struct {
	own bool
	// since is the generation that all instances must have.
	since jujubegate.Generation
	owner leaser.ID
	// before lists the owners under the open views that aren't this instance.
	before []previous
}

// previous is the owner of a target under an open view.
type previous struct {
	owner leaser.ID
	epoch jujubegate.Epoch
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
	if !s.Owns(now) {
		return false
	}
	e, ok := t.entries[address]
	if !ok || !e.own || s.Agreed < e.since {
		return false
	}
	for _, b := range e.before {
		if !yielded(s, b, t.generation, now) {
			return false
		}
	}
	return true
}

// yielded reports whether a previous owner can no longer act.
func yielded(s *leaser.State, b previous, generation jujubegate.Generation, now time.Time) bool {
	for _, open := range s.Open {
		if open.View.Epoch == b.epoch {
			return s.Yielded(b.owner, open, generation, now)
		}
	}
	return true
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
	step = step && last.epoch == s.View.Epoch
	t := &table{
		epoch: s.View.Epoch, generation: o.generation, changed: o.changed,
		assignment: Assign(s.View, o.targets),
		entries:    make(map[jujubegate.Address]entry, len(o.targets)),
	}
	before := make([]Assignment, len(s.View.Open))
	for i, v := range s.View.Open {
		before[i] = Assign(v, o.targets)
	}
	moved := 0
	for _, target := range o.targets {
		e := entry{since: o.changed}
		if m, ok := t.assignment.Owner(target.Address); ok {
			e.owner = m.ID()
			e.own = e.owner == s.Self.ID()
		}
		for i, v := range s.View.Open {
			if m, ok := before[i].Owner(target.Address); ok && m.ID() != s.Self.ID() {
				e.before = append(e.before, previous{m.ID(), v.Epoch})
			}
		}
		was, known := last.entries[target.Address]
		if known && step && was.sameOwners(e) {
			e.since = was.since
		}
		if e.own && !was.own {
			moved++
		}
		t.entries[target.Address] = e
	}
	o.table.Store(t)
	o.logger.Info("assigner: targets assigned", zap.Int64("epoch", int64(t.epoch)),
		zap.Int64("generation", int64(t.generation)), zap.Int("targets", len(o.targets)),
		zap.Int("own", len(t.assignment.Owned(s.Self.Instance))), zap.Int("taken", moved))
	return t
}

// sameOwners reports whether the owners under all views are the same.
func (e entry) sameOwners(f entry) bool {
	return e.owner == f.owner && slices.Equal(e.before, f.before)
}

// sameTargets reports whether two target lists assign alike. The version of a
// target has no influence.
func sameTargets(a, b []jujubegate.Target) bool {
	return slices.EqualFunc(a, b, func(x, y jujubegate.Target) bool {
		x.Version, y.Version = "", ""
		return x == y
	})
}
