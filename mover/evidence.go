package mover

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"jujubegate.example/jujubegate"
)

const (
	// maxCells bounds the memory of a tally against callers that invent routes.
	maxCells = 4096
	// maxTargets bounds the number of targets whose warm-up is remembered.
	maxTargets = 16384
	// warmUp is the longest time during which the slow answers of a target that
	// has not been warm yet are ignored.
	warmUp = time.Minute
)

// CellKey identifies a cell of evidence.
type CellKey struct {
	Service jujubegate.Service
	Version jujubegate.Version
	Route   jujubegate.Route
	Load    jujubegate.LoadLevel
}

// KeyOf returns the cell that a count belongs to.
func KeyOf(c jujubegate.RouteCount) CellKey {
	return CellKey{c.Service, c.Version, c.Route, c.Load}
}

func compareKeys(a, b CellKey) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version),
		cmp.Compare(a.Route, b.Route), cmp.Compare(a.Load, b.Load))
}

func compareCounts(a, b jujubegate.RouteCount) int { return compareKeys(KeyOf(a), KeyOf(b)) }

type cell struct {
	mu    sync.Mutex
	count jujubegate.RouteCount
}

// Tally counts the ends of the sub-requests that this instance sent to its
// targets, since the start of the process. It is safe for concurrent use.
type Tally struct {
	warm    func(jujubegate.Address) bool
	mu      sync.Mutex
	cells   atomic.Pointer[map[CellKey]*cell]
	targets atomic.Pointer[map[jujubegate.Address]*warming]
}

// warming is the first warm-up of a target.
type warming struct {
	since time.Time
	over  atomic.Bool
}

// NewTally returns an empty tally. The function reports whether the owner takes
// a target for warm. Service times count only from then on, because the targets
// of a good version answer slowly too until they are warm; nil counts all. A
// target that turns cold again is not excluded, since a version may make it slow.
func NewTally(warm func(jujubegate.Address) bool) *Tally {
	t := &Tally{warm: warm}
	t.cells.Store(&map[CellKey]*cell{})
	t.targets.Store(&map[jujubegate.Address]*warming{})
	return t
}

// Observe counts the end of a sub-request. The number of requests that ran at
// the target when it started includes the request itself. A request that was
// cancelled while it ran counts with the time until then, or a slow version
// would lose its slowest requests to hedges.
func (t *Tally) Observe(
	target jujubegate.Target, route jujubegate.Route, inFlight int, failed bool, took time.Duration, now time.Time,
) {
	key := CellKey{target.Service, target.Version, route, jujubegate.Alone}
	if inFlight > 1 {
		key.Load = jujubegate.Loaded
	}
	c := (*t.cells.Load())[key]
	if c == nil {
		if c = t.add(key); c == nil {
			return
		}
	}
	timed := !failed && t.warmed(target.Address, now)
	bucket := Bucket(took)
	c.mu.Lock()
	c.count.Answers++
	switch {
	case failed:
		c.count.Errors++
	case timed:
		c.count.Latency[bucket]++
	}
	c.mu.Unlock()
}

// warmed reports whether the first warm-up of a target is over.
func (t *Tally) warmed(a jujubegate.Address, now time.Time) bool {
	if t.warm == nil {
		return true
	}
	w := (*t.targets.Load())[a]
	if w == nil {
		if w = t.addTarget(a, now); w == nil {
			return true
		}
	}
	if w.over.Load() {
		return true
	}
	if t.warm(a) || now.Sub(w.since) >= warmUp {
		w.over.Store(true)
		return true
	}
	return false
}

// addTarget starts the warm-up of a target, or returns nil if there are too
// many.
func (t *Tally) addTarget(a jujubegate.Address, now time.Time) *warming {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := *t.targets.Load()
	if w := old[a]; w != nil || len(old) >= maxTargets {
		return w
	}
	next := maps.Clone(old)
	w := &warming{since: now}
	next[a] = w
	t.targets.Store(&next)
	return w
}

// add returns a new cell, or nil if there are too many.
func (t *Tally) add(key CellKey) *cell {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := *t.cells.Load()
	if c := old[key]; c != nil {
		return c
	}
	if len(old) >= maxCells {
		return nil
	}
	next := maps.Clone(old)
	c := &cell{count: jujubegate.RouteCount{
		Service: key.Service, Version: key.Version, Route: key.Route, Load: key.Load,
	}}
	next[key] = c
	t.cells.Store(&next)
	return c
}

// Counts returns the counts of all cells since the start of the process, by
// service, version, route and load level. The count of one cell is consistent.
func (t *Tally) Counts() []jujubegate.RouteCount {
	cells := *t.cells.Load()
	list := make([]jujubegate.RouteCount, 0, len(cells))
	for _, c := range cells {
		c.mu.Lock()
		list = append(list, c.count)
		c.mu.Unlock()
	}
	slices.SortFunc(list, compareCounts)
	return list
}

// CountsOf returns Counts of the services for which the function returns
// true. Heartbeats need those with a move that runs or is watched, see
// Mover.Watches, and stay small otherwise.
func (t *Tally) CountsOf(include func(jujubegate.Service) bool) []jujubegate.RouteCount {
	return slices.DeleteFunc(t.Counts(), func(c jujubegate.RouteCount) bool { return !include(c.Service) })
}
