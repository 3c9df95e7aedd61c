package mover

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/configurator"
)

// Halt blocks new work to a version until an operator brings it in again.
type Halt struct {
	Service jujubegate.Service
	Version jujubegate.Version
	// Started is the start time of the move that the halt belongs to.
	Started time.Time
	Reason  string
}

type haltKey struct {
	service jujubegate.Service
	version jujubegate.Version
}

// Halts is the set of halts known to this instance. It is safe for concurrent
// use; Halted takes no lock.
type Halts struct {
	mu      sync.Mutex
	current atomic.Pointer[map[haltKey]Halt]
	// moves holds the latest known move of each service.
	moves map[jujubegate.Service]configurator.MoveSpec
}

// NewHalts returns an empty set.
func NewHalts() *Halts {
	h := &Halts{moves: make(map[jujubegate.Service]configurator.MoveSpec)}
	h.current.Store(&map[haltKey]Halt{})
	return h
}

// Halted reports whether a version must not receive new work.
func (h *Halts) Halted(service jujubegate.Service, version jujubegate.Version) bool {
	_, ok := (*h.current.Load())[haltKey{service, version}]
	return ok
}

// List returns all halts, sorted by service and version.
func (h *Halts) List() []Halt {
	return slices.SortedFunc(maps.Values(*h.current.Load()), func(a, b Halt) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	})
}

// Merge adds halts of this instance or of a peer. A halt of an earlier move
// than the known one is ignored. One of a later move is added although that
// move is not known yet.
func (h *Halts) Merge(list []Halt) {
	if len(list) == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	next := maps.Clone(*h.current.Load())
	changed := false
	for _, halt := range list {
		key := haltKey{halt.Service, halt.Version}
		known, ok := next[key]
		if h.obsolete(halt) || (ok && !halt.Started.After(known.Started)) {
			continue
		}
		next[key] = halt
		changed = true
	}
	if changed {
		h.current.Store(&next)
	}
}

// ApplyMoves applies the moves of a configuration. It drops halts that an
// operator's statement has overruled and halts of moves that are done.
func (h *Halts) ApplyMoves(c configurator.Configuration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range c.Moves() {
		h.moves[m.Service] = m
	}
	old := *h.current.Load()
	next := maps.Clone(old)
	maps.DeleteFunc(next, func(_ haltKey, halt Halt) bool { return h.obsolete(halt) })
	if len(next) != len(old) {
		h.current.Store(&next)
	}
}

// obsolete reports whether a halt belongs to an earlier move than the known
// one, names another version than that move, or belongs to a move that is done.
// After the move is done, a bad version is taken back by statement only, since a
// halt would leave the service without any version.
func (h *Halts) obsolete(halt Halt) bool {
	m, ok := h.moves[halt.Service]
	if !ok {
		return false
	}
	if !halt.Started.Equal(m.Started) {
		return halt.Started.Before(m.Started)
	}
	return m.State == configurator.Done || m.To != halt.Version
}
