package mover

import (
	"slices"
	"sync"
	"time"

	"jujubegate.example/jujubegate"
)

// processRetention is how long the counts of a process without updates are
// kept. It is longer than a partition between regions usually lasts: if a
// dropped process returns, its first counts only set a new starting point.
const processRetention = 2 * time.Hour

// process identifies one run of an instance.
type process struct {
	instance    jujubegate.Instance
	incarnation string
}

// processCounts holds the latest counts of a process and when it last sent any.
type processCounts struct {
	counts    map[CellKey]jujubegate.RouteCount
	lastHeard time.Time
}

// FleetTally sums the counts of all instances, including this one. It is safe
// for concurrent use.
type FleetTally struct {
	mu        sync.Mutex
	processes map[process]*processCounts
	// processCount holds the number of known processes of each instance.
	processCount map[jujubegate.Instance]int
	totals       map[CellKey]jujubegate.RouteCount
}

// NewFleetTally returns a tally without counts.
func NewFleetTally() *FleetTally {
	return &FleetTally{
		processes: make(map[process]*processCounts), processCount: make(map[jujubegate.Instance]int),
		totals: make(map[CellKey]jujubegate.RouteCount),
	}
}

// Merge adds the increase of a process's counts since its previous ones to the
// totals. The first counts of an unknown instance only set the starting point,
// since they were made before this tally existed. The counts of a restarted
// instance are added in full. Counts that arrive out of order are ignored.
func (f *FleetTally) Merge(
	instance jujubegate.Instance, incarnation string, counts []jujubegate.RouteCount, now time.Time,
) {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := process{instance, incarnation}
	last, ok := f.processes[key]
	first := !ok && f.processCount[instance] == 0
	if !ok {
		last = &processCounts{counts: make(map[CellKey]jujubegate.RouteCount)}
		f.processes[key] = last
		f.processCount[instance]++
		f.dropSilent(now)
	}
	last.lastHeard = now
	for _, c := range counts {
		k := KeyOf(c)
		previous := last.counts[k]
		if c.Answers <= previous.Answers {
			continue
		}
		last.counts[k] = c
		if !first {
			f.totals[k] = addCounts(f.totals[k], subtractCounts(c, previous))
		}
	}
}

// dropSilent removes the processes without updates for longer than
// processRetention.
func (f *FleetTally) dropSilent(now time.Time) {
	for key, last := range f.processes {
		if !last.lastHeard.IsZero() && now.Sub(last.lastHeard) > processRetention {
			delete(f.processes, key)
			if f.processCount[key.instance]--; f.processCount[key.instance] == 0 {
				delete(f.processCount, key.instance)
			}
		}
	}
}

// Totals returns the sums since this tally was created, sorted by service,
// version, route and load level. They never decrease.
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

// Difference returns the increase of each cell between two lists of counts.
// Cells without an increase are left out.
func Difference(before, after []jujubegate.RouteCount) []jujubegate.RouteCount {
	earlier := make(map[CellKey]jujubegate.RouteCount, len(before))
	for _, c := range before {
		earlier[KeyOf(c)] = c
	}
	var list []jujubegate.RouteCount
	for _, c := range after {
		if d := subtractCounts(c, earlier[KeyOf(c)]); d.Answers > 0 {
			list = append(list, d)
		}
	}
	return list
}

// subtractCounts returns a-b. Each field is bounded below by 0 so that a
// corrupted count cannot wrap around to a huge number.
func subtractCounts(a, b jujubegate.RouteCount) jujubegate.RouteCount {
	a.Answers, a.Errors, a.Slow = saturatingSub(a.Answers, b.Answers), saturatingSub(a.Errors, b.Errors),
		saturatingSub(a.Slow, b.Slow)
	for i := range a.Latency {
		a.Latency[i] = saturatingSub(a.Latency[i], b.Latency[i])
	}
	return a
}

// saturatingSub returns a-b, or 0 if b is larger.
func saturatingSub(a, b uint64) uint64 {
	if a < b {
		return 0
	}
	return a - b
}

// addCounts returns the sum of two counts of one cell, with the key of b. The
// first argument may be zero.
func addCounts(a, b jujubegate.RouteCount) jujubegate.RouteCount {
	b.Answers += a.Answers
	b.Errors += a.Errors
	b.Slow += a.Slow
	for i := range b.Latency {
		b.Latency[i] += a.Latency[i]
	}
	return b
}
