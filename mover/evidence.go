package mover

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"jujubegate.example/jujubegate"
)

// maxCells bounds the memory of a tally against callers that invent routes.
const maxCells = 4096

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
	mu    sync.Mutex
	cells atomic.Pointer[map[CellKey]*cell]
}

// NewTally returns an empty tally.
func NewTally() *Tally {
	t := &Tally{}
	t.cells.Store(&map[CellKey]*cell{})
	return t
}

// Observe counts the end of a sub-request. The number of requests that ran at
// the target when it started includes the request itself. A request that was
// cancelled while it ran counts with the time until then, or a slow version
// would lose its slowest requests to hedges.
func (t *Tally) Observe(
	target jujubegate.Target, route jujubegate.Route, inFlight int, failed bool, took time.Duration, _ time.Time,
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
	bucket := Bucket(took)
	c.mu.Lock()
	c.count.Answers++
	if failed {
		c.count.Errors++
	} else {
		c.count.Latency[bucket]++
	}
	c.mu.Unlock()
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
	next := make(map[CellKey]*cell, len(old)+1)
	for k, c := range old {
		next[k] = c
	}
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
// true. Heartbeats carry only services with a move, to stay small.
func (t *Tally) CountsOf(include func(jujubegate.Service) bool) []jujubegate.RouteCount {
	return slices.DeleteFunc(t.Counts(), func(c jujubegate.RouteCount) bool { return !include(c.Service) })
}
