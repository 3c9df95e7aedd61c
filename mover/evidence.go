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
	// maxCells limits the memory of a tally, because callers may send arbitrary
	// route names.
	maxCells = 4096
	// maxTargets limits the number of targets whose warm-up state is kept.
	maxTargets = 16384
	// maxWarmUp is the time after which the service times of a target count even
	// if it has never been warm.
	maxWarmUp = time.Minute
)

// CellKey identifies a cell: the service, version, route and load level whose
// answers are counted together.
type CellKey struct {
	Service jujubegate.Service
	Version jujubegate.Version
	Route   jujubegate.Route
	Load    jujubegate.LoadLevel
}

// KeyOf returns the key of the cell that a count belongs to.
func KeyOf(c jujubegate.RouteCount) CellKey {
	return CellKey{c.Service, c.Version, c.Route, c.Load}
}

func compareKeys(a, b CellKey) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version),
		cmp.Compare(a.Route, b.Route), cmp.Compare(a.Load, b.Load))
}

func compareCounts(a, b jujubegate.RouteCount) int { return compareKeys(KeyOf(a), KeyOf(b)) }

// cell holds the count of one cell. Each cell has a lock of its own, so that
// attempts on different cells do not wait for each other.
type cell struct {
	mu    sync.Mutex
	count jujubegate.RouteCount
}

// Tally counts the results of the attempts that this instance has sent to its
// targets since the process started. It is safe for concurrent use.
type Tally struct {
	isWarm  func(jujubegate.Address) bool
	mu      sync.Mutex
	cells   atomic.Pointer[map[CellKey]*cell]
	targets atomic.Pointer[map[jujubegate.Address]*warmUpState]
}

// warmUpState is the state of a target's first warm-up.
type warmUpState struct {
	since time.Time
	over  atomic.Bool
}

// NewTally returns an empty tally. isWarm reports whether the owner of a target
// considers it warm; nil means always. Service times of a target count only
// after it was first warm, because cold targets are slow even with a good
// version. They continue to count when a target turns cold again, since the
// version may be what makes it slow.
func NewTally(isWarm func(jujubegate.Address) bool) *Tally {
	t := &Tally{isWarm: isWarm}
	t.cells.Store(&map[CellKey]*cell{})
	t.targets.Store(&map[jujubegate.Address]*warmUpState{})
	return t
}

// Observe counts the result of an attempt. inFlight is the number of requests
// in flight at the target when the attempt started, including the attempt
// itself. A cancelled attempt counts with the time it had run; otherwise
// hedging would hide the slowest attempts of a slow version.
func (t *Tally) Observe(
	target jujubegate.Target, route jujubegate.Route, inFlight int, failed bool, took time.Duration, now time.Time,
) {
	key := CellKey{target.Service, target.Version, route, jujubegate.Unloaded}
	if inFlight > 1 {
		key.Load = jujubegate.Loaded
	}
	c := (*t.cells.Load())[key]
	if c == nil {
		if c = t.add(key); c == nil {
			return
		}
	}
	timed := !failed && t.warmUpOver(target.Address, now)
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

// warmUpOver reports whether the first warm-up of a target has ended.
func (t *Tally) warmUpOver(a jujubegate.Address, now time.Time) bool {
	if t.isWarm == nil {
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
	if t.isWarm(a) || now.Sub(w.since) >= maxWarmUp {
		w.over.Store(true)
		return true
	}
	return false
}

// addTarget returns the warm-up state of a target and adds it if it is missing.
// It returns nil if the limit on targets is reached.
func (t *Tally) addTarget(a jujubegate.Address, now time.Time) *warmUpState {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := *t.targets.Load()
	if w := old[a]; w != nil || len(old) >= maxTargets {
		return w
	}
	next := maps.Clone(old)
	w := &warmUpState{since: now}
	next[a] = w
	t.targets.Store(&next)
	return w
}

// add returns the cell of a key and adds it if it is missing. It returns nil if
// the limit on cells is reached.
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

// Counts returns the counts of all cells since the process started, sorted by
// service, version, route and load level. Each cell is read under its lock, so
// that its count is consistent.
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

// CountsOf returns the counts of the services for which include returns true.
// Heartbeats carry only the services that Mover.Watches selects, to stay small.
func (t *Tally) CountsOf(include func(jujubegate.Service) bool) []jujubegate.RouteCount {
	return slices.DeleteFunc(t.Counts(), func(c jujubegate.RouteCount) bool { return !include(c.Service) })
}
