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

// Halt stops new work to a version until an operator brings it in again.
type Halt struct {
	Service jujubegate.Service
	Version jujubegate.Version
	// Started is the start of the move that the halt belongs to.
	Started time.Time
	Reason  string
}

type haltKey struct {
	service jujubegate.Service
	version jujubegate.Version
}

// Halts is the set of halts that this instance knows. It is safe for
// concurrent use; Halted takes no lock.
type Halts struct {
	mu      sync.Mutex
	current atomic.Pointer[map[haltKey]Halt]
	// moves holds the latest move of each service that is known here.
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

// List returns all halts, by service and version.
func (h *Halts) List() []Halt {
	return slices.SortedFunc(maps.Values(*h.current.Load()), func(a, b Halt) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	})
}

// Merge adds halts of this instance or of a peer. A halt of an earlier start
// of a move than the one known here is ignored; one of a later start counts
// although its move is not known yet.
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
		if h.void(halt) || (ok && !halt.Started.After(known.Started)) {
			continue
		}
		next[key] = halt
		changed = true
	}
	if changed {
		h.current.Store(&next)
	}
}

// ApplyMoves takes over the moves of a configuration. It drops the halts that an
// operator's statement has overruled and those of moves that ended.
func (h *Halts) ApplyMoves(c configurator.Configuration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range c.Moves() {
		h.moves[m.Service] = m
	}
	old := *h.current.Load()
	next := maps.Clone(old)
	maps.DeleteFunc(next, func(_ haltKey, halt Halt) bool { return h.void(halt) })
	if len(next) != len(old) {
		h.current.Store(&next)
	}
}

// void reports whether a halt belongs to an earlier move than the known one,
// or to one that is done. A version that serves alone is taken back by
// statement only, since a halt would leave the service without a version.
func (h *Halts) void(halt Halt) bool {
	m, ok := h.moves[halt.Service]
	if !ok {
		return false
	}
	if !halt.Started.Equal(m.Started) {
		return halt.Started.Before(m.Started)
	}
	return m.State == configurator.Done || m.To != halt.Version
}
