package admitter

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"jujubegate.example/jujubegate"
)

// simulation simulates a service whose shards have a few slots each. A query
// needs all shards. A shard refuses a sub-request that would miss the deadline.
type simulation struct {
	random     *rand.Rand
	slotFreeAt [][]time.Time // per shard, when each slot is free
	roots      []*Admitter   // none: every query is admitted
}

const (
	simShards   = 20
	simSlots    = 4
	simService  = 10 * time.Millisecond
	simDeadline = 160 * time.Millisecond
	simDuration = 45 * time.Second
	// simCapacity is the rate in queries per second that keeps every slot busy.
	simCapacity = float64(simSlots) / 0.010
)

func newSimulation(roots int) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(1, 2)), slotFreeAt: make([][]time.Time, simShards)}
	for i := range s.slotFreeAt {
		s.slotFreeAt[i] = make([]time.Time, simSlots)
	}
	for range roots {
		s.roots = append(s.roots, New())
	}
	return s
}

// completion is the end of a query.
type completion struct {
	at     time.Time
	root   int
	ticket Ticket
	result Result
	source int
}

type completions []completion

func (c completions) Len() int           { return len(c) }
func (c completions) Less(i, j int) bool { return c[i].at.Before(c[j].at) }
func (c completions) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *completions) Push(x any)        { *c = append(*c, x.(completion)) }
func (c *completions) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// source is one stream of queries.
type source struct {
	caller   jujubegate.Caller
	priority int
	rate     float64
}

// run sends queries for simDuration and returns the rate of good queries of each
// source. The first third is a warm-up and does not count.
func (s *simulation) run(sources []source) []float64 {
	now := start
	good := make([]float64, len(sources))
	var done completions
	total := 0.0
	for _, src := range sources {
		total += src.rate
	}
	measureFrom := start.Add(simDuration / 3)
	for now.Before(start.Add(simDuration)) {
		now = now.Add(time.Duration(s.random.ExpFloat64() / total * float64(time.Second)))
		for len(done) > 0 && !done[0].at.After(now) {
			c := heap.Pop(&done).(completion)
			if len(s.roots) > 0 {
				s.roots[c.root].Done(c.at, c.ticket, c.result)
			}
			if c.result == Good && c.at.After(measureFrom) {
				good[c.source]++
			}
		}
		source := s.pick(sources, total)
		c := completion{source: source}
		if len(s.roots) > 0 {
			c.root = s.random.IntN(len(s.roots))
			var refusal *jujubegate.Refusal
			c.ticket, refusal = s.roots[c.root].Admit(now, "Repairs", simShards, sources[source].priority, sources[source].caller)
			if refusal != nil {
				continue
			}
		}
		c.at, c.result = s.query(now)
		heap.Push(&done, c)
	}
	for i := range good {
		good[i] /= (simDuration * 2 / 3).Seconds()
	}
	return good
}

// pick returns a random source, weighted by the rates.
func (s *simulation) pick(sources []source, total float64) int {
	draw := s.random.Float64() * total
	for i, src := range sources {
		if draw -= src.rate; draw < 0 {
			return i
		}
	}
	return len(sources) - 1
}

// query runs a query on all shards and returns its end. If a shard refuses, the
// others still do their work.
func (s *simulation) query(now time.Time) (time.Time, Result) {
	result, end := Good, now
	for shard := range s.slotFreeAt {
		slots := s.slotFreeAt[shard]
		first := 0
		for i := range slots {
			if slots[i].Before(slots[first]) {
				first = i
			}
		}
		begin := now
		if slots[first].After(begin) {
			begin = slots[first]
		}
		if begin.Add(simService).After(now.Add(simDeadline)) {
			result = Congested
			continue
		}
		slots[first] = begin.Add(simService/2 + time.Duration(s.random.Int64N(int64(simService))))
		if slots[first].After(end) {
			end = slots[first]
		}
	}
	if end.After(now.Add(simDeadline)) {
		return now.Add(simDeadline), Congested
	}
	return end, result
}

func TestGoodputUnderOverload(t *testing.T) {
	// Guards against the collapse of goodput in an overload: without admission,
	// some shard refuses a sub-request of almost every query, and the work of the
	// other shards is wasted.
	best := 0.0
	for _, load := range []float64{0.85, 0.9, 0.95} {
		good := newSimulation(0).run([]source{{"a", 2, load * simCapacity}})[0]
		best = max(best, good)
	}
	unlimited := newSimulation(0).run([]source{{"a", 2, 2 * simCapacity}})[0]
	t.Logf("without admission: at best %.0f queries/s, at twice the capacity %.0f", best, unlimited)
	cases := []struct {
		name  string
		roots int
		load  float64
		least float64
	}{
		{"one root at twice the capacity", 1, 2, 0.95},
		{"8 roots at twice the capacity", 8, 2, 0.95},
		{"8 roots at 1.2 times the capacity", 8, 1.2, 0.95},
		{"8 roots at five times the capacity", 8, 5, 0.95},
	}
	Convey("Goodput as a share of the best", t, func() {
		So(unlimited, ShouldBeLessThan, 0.2*best)
		for _, c := range cases {
			Convey(c.name, func() {
				good := newSimulation(c.roots).run([]source{{"a", 2, c.load * simCapacity}})[0]
				t.Logf("%s: %.0f queries/s, %.3f of the best", c.name, good, good/best)
				So(good/best, ShouldBeGreaterThanOrEqualTo, c.least)
			})
		}
	})
}
