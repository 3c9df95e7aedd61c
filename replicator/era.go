package replicator

import (
	"time"

	"go.uber.org/zap"
)

// removalRetention is how long a removal is remembered. A copy from which the store
// comes back is some seconds old and can contain what was removed since.
const removalRetention = time.Minute

// Rewriting says how the writers of a kind write again what the store lost when it
// came back from an older copy.
type Rewriting struct {
	// Later reports whether a is a later word of the object's writer than b; nil if
	// that cannot be told from the objects.
	Later func(a, b Object) bool
	// KeepMissing keeps the objects that are missing in the copy.
	KeepMissing bool
	// Within is the time in which the writers write again. What is known from the
	// earlier era counts until then, or until they have written if Within is 0.
	Within time.Duration
}

// override is what is known of an object from an earlier era and counts instead of
// what the store holds.
type override struct {
	known Object
	// removed is set if the object is known to be removed.
	removed bool
	// stored is the object in the store; nil if there is none.
	stored *Object
}

// removal is an object that was removed.
type removal struct {
	object Object
	at     time.Time
}

// overridesOf returns what counts of an earlier era after the store has come back
// with the stored objects.
func (w *Rewriting) overridesOf(known map[string]Object, removed map[string]removal, stored map[string]Object) map[string]override {
	overrides := make(map[string]override)
	for name, o := range known {
		s, ok := stored[name]
		switch {
		case !ok && w.KeepMissing:
			overrides[name] = override{known: o}
		case ok && w.Later != nil && w.Later(o, s):
			overrides[name] = override{known: o, stored: &s}
		}
	}
	for name, r := range removed {
		if s, ok := stored[name]; ok && w.predates(s, r.object) {
			overrides[name] = override{known: r.object, removed: true, stored: &s}
		}
	}
	return overrides
}

// predates reports whether a stored object is one that was removed, and was not
// written again since.
func (w *Rewriting) predates(stored, removed Object) bool {
	if w.Later != nil {
		return !w.Later(stored, removed)
	}
	return stored.Created == removed.Created && stored.Revision <= removed.Revision
}

// persists reports whether the override still counts when the store holds an object,
// or none if stored is nil.
func (w *Rewriting) persists(o override, stored *Object) bool {
	switch {
	case stored == nil:
		return o.stored == nil && !o.removed
	case o.removed && w.Later != nil:
		return !w.Later(*stored, o.known)
	case w.Later != nil:
		return w.Later(o.known, *stored)
	}
	return o.stored != nil && o.stored.Revision == stored.Revision
}

// beginEra replaces the overrides after the store has come back with the stored
// objects. The caller holds mu.
func (r *Replicator) beginEra(old *State, stored map[string]Object, position Position, fromPeer bool) {
	r.overrides = r.settings.Rewriting.overridesOf(old.Objects, r.removed, stored)
	r.eraBeganAt = r.settings.Clock.Now()
	r.settings.Log.Warn("replicator: store came back from an older copy", zap.String("Kind", r.settings.Kind),
		zap.Int64("Era", position.Era), zap.Int64("Revision", position.Revision), zap.Int64("BeforeEra", old.Era), zap.Int64("BeforeRevision", old.Revision),
		zap.Int("Objects", len(stored)), zap.Int("Kept", len(r.overrides)), zap.Bool("FromPeer", fromPeer))
}

// adopt adds overrides that a peer reported, unless the time for them is over or
// this instance knows a later word. It returns whether there were any. The caller
// holds mu.
func (r *Replicator) adopt(kept []Change) bool {
	if r.rewritingOver() {
		return false
	}
	w, adopted := &r.settings.Rewriting, false
	for _, c := range kept {
		name := c.Object.Name
		if own, ok := r.overrides[name]; ok && (w.Later == nil || !w.Later(c.Object, own.known)) {
			continue
		}
		o := override{known: c.Object, removed: c.Removed}
		if s, ok := r.stored[name]; ok {
			o.stored = &s
		}
		if o.stored != nil && w.Later != nil && !w.persists(o, o.stored) || o.removed && o.stored == nil {
			continue
		}
		r.overrides[name] = o
		adopted = true
	}
	return adopted
}

// rewritingOver reports whether nothing of an earlier era counts any more. The caller
// holds mu.
func (r *Replicator) rewritingOver() bool {
	within := r.settings.Rewriting.Within
	return within > 0 && r.settings.Clock.Since(r.eraBeganAt) >= within
}

// endRewriting drops the overrides when the writers have had the time to write again.
func (r *Replicator) endRewriting() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.overrides) == 0 || !r.rewritingOver() {
		return
	}
	r.settings.Log.Warn("replicator: objects were not written again after the store came back", zap.String("Kind", r.settings.Kind),
		zap.Int64("Era", r.state.Load().Era), zap.Int("Kept", len(r.overrides)))
	clear(r.overrides)
	old := r.state.Load()
	r.publish(&State{Position: old.Position, FromPeer: old.FromPeer, SeenAt: r.confirmedAt})
}

// setStored records that the store holds an object, or none if removed is set.
// The caller holds mu.
func (r *Replicator) setStored(o Object, removed bool) {
	if removed {
		if last, ok := r.stored[o.Name]; ok {
			r.remember(last)
		}
		delete(r.stored, o.Name)
	} else {
		r.stored[o.Name] = o
	}
	r.reviewOverride(o.Name)
	if _, ok := r.overrides[o.Name]; !removed && !ok {
		delete(r.removed, o.Name)
	}
}

// reviewOverride drops the override of a name if it no longer counts. The caller
// holds mu.
func (r *Replicator) reviewOverride(name string) {
	o, ok := r.overrides[name]
	if !ok {
		return
	}
	var stored *Object
	if s, ok := r.stored[name]; ok {
		stored = &s
	}
	if !r.settings.Rewriting.persists(o, stored) {
		delete(r.overrides, name)
		r.settings.Log.Info("replicator: object was written again after the store came back", zap.String("Kind", r.settings.Kind), zap.String("Name", name))
		return
	}
	o.stored = stored
	r.overrides[name] = o
}

// remember records the removal of an object, and forgets old removals. The caller
// holds mu.
func (r *Replicator) remember(o Object) {
	now := r.settings.Clock.Now()
	for name, old := range r.removed {
		if now.Sub(old.at) > removalRetention {
			delete(r.removed, name)
		}
	}
	r.removed[o.Name] = removal{o, now}
}

// effective returns the objects that count: those in the store and the overrides.
// The caller holds mu.
func (r *Replicator) effective() map[string]Object {
	objects := make(map[string]Object, len(r.stored)+len(r.overrides))
	for name, o := range r.stored {
		objects[name] = o
	}
	for name, o := range r.overrides {
		if delete(objects, name); !o.removed {
			objects[name] = o.known
		}
	}
	return objects
}
