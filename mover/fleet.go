package mover

import (
	"slices"
	"sync"
	"time"

	"jujubegate.example/jujubegate"
)

// sourceRetention is how long the counts of a silent process are kept. It is
// longer than a partition between regions usually lasts, since a process that
// is forgotten and returns counts from then on only.
const sourceRetention = 2 * time.Hour

// source is one process of an instance.
type source struct {
	instance    jujubegate.Instance
	incarnation string
}

type latest struct {
	counts map[CellKey]jujubegate.RouteCount
	heard  time.Time
}

// FleetTally sums the counts of all instances, those of the own one included. It is
// safe for concurrent use.
type FleetTally struct {
	mu      sync.Mutex
	sources map[source]*latest
	// known are the instances heard of, with the number of their sources.
	known  map[jujubegate.Instance]int
	totals map[CellKey]jujubegate.RouteCount
}

// NewFleetTally returns a sum without counts.
func NewFleetTally() *FleetTally {
	return &FleetTally{
		sources: make(map[source]*latest), known: make(map[jujubegate.Instance]int),
		totals: make(map[CellKey]jujubegate.RouteCount),
	}
}

// Merge adds what the counts of a process have grown by since its last ones.
// The counts of an instance that is heard of for the first time are the point
// to start from, since they were made before this sum was watched; those of an
// instance that restarted count in full. Counts that arrive out of order change
// nothing.
func (f *FleetTally) Merge(
	instance jujubegate.Instance, incarnation string, counts []jujubegate.RouteCount, now time.Time,
) {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := source{instance, incarnation}
	l, ok := f.sources[key]
	first := !ok && f.known[instance] == 0
	if !ok {
		l = &latest{counts: make(map[CellKey]jujubegate.RouteCount)}
		f.sources[key] = l
		f.known[instance]++
		f.forget(now)
	}
	l.heard = now
	for _, c := range counts {
		k := KeyOf(c)
		before := l.counts[k]
		if c.Answers <= before.Answers {
			continue
		}
		l.counts[k] = c
		if !first {
			f.totals[k] = sum(f.totals[k], difference(c, before))
		}
	}
}

// forget drops the processes that have been silent for long.
func (f *FleetTally) forget(now time.Time) {
	for key, l := range f.sources {
		if !l.heard.IsZero() && now.Sub(l.heard) > sourceRetention {
			delete(f.sources, key)
			if f.known[key.instance]--; f.known[key.instance] == 0 {
				delete(f.known, key.instance)
			}
		}
	}
}

// Totals returns the sums since the start of this value, by service, version,
// route and load level. They never shrink.
func (f *FleetTally) Totals() []jujubegate.RouteCount {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]jujubegate.RouteCount, 0, len(f.totals))
	for _, c := range f.totals {
		list = append(list, c)
	}
	slices.SortFunc(list, compareCounts)
	return list
}

// Difference returns what the counts have grown by from one time to a later
// one. A cell without growth is left out.
func Difference(before, after []jujubegate.RouteCount) []jujubegate.RouteCount {
	earlier := make(map[CellKey]jujubegate.RouteCount, len(before))
	for _, c := range before {
		earlier[KeyOf(c)] = c
	}
	var list []jujubegate.RouteCount
	for _, c := range after {
		if d := difference(c, earlier[KeyOf(c)]); d.Answers > 0 {
			list = append(list, d)
		}
	}
	return list
}

// difference returns a-b. Fields are compared one by one, so that a count that
// was changed on the way never yields a huge number.
func difference(a, b jujubegate.RouteCount) jujubegate.RouteCount {
	a.Answers, a.Errors, a.Slow = less(a.Answers, b.Answers), less(a.Errors, b.Errors), less(a.Slow, b.Slow)
	for i := range a.Latency {
		a.Latency[i] = less(a.Latency[i], b.Latency[i])
	}
	return a
}

func less(a, b uint64) uint64 {
	if a < b {
		return 0
	}
	return a - b
}

// sum adds the counts of one cell. The first argument may be zero.
func sum(a, b jujubegate.RouteCount) jujubegate.RouteCount {
	b.Answers += a.Answers
	b.Errors += a.Errors
	b.Slow += a.Slow
	for i := range b.Latency {
		b.Latency[i] += a.Latency[i]
	}
	return b
}
