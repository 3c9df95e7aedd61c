package balancer

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"jujubegate.example/jujubegate"
)

// herdEnd is the end of a request in the simulation.
type herdEnd struct {
	at     time.Time
	root   int
	target int
	took   time.Duration
}

type herdEnds []herdEnd

func (h herdEnds) Len() int           { return len(h) }
func (h herdEnds) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h herdEnds) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *herdEnds) Push(x any)        { *h = append(*h, x.(herdEnd)) }
func (h *herdEnds) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// herdCase is a number of roots over two targets of two slots each.
type herdCase struct {
	roots int
	// renewal is the age at which the reports are replaced.
	renewal time.Duration
	// cold is set if the first target has one slot only.
	cold bool
	// byCoin replaces Choose by a fair coin.
	byCoin bool
}

// herd sends requests at 0.7 of the capacity and returns the latencies.
func herd(c herdCase) []time.Duration {
	const targets, slots, service, seconds = 2, 2, 10 * time.Millisecond, 60
	capacity, limit := targets*slots, slots
	if c.cold {
		capacity, limit = capacity-1, 1
	}
	perSecond := 0.7 * float64(capacity) / service.Seconds()
	random := newRandom()
	own := make([][]*Replica, c.roots)
	for r := range own {
		own[r] = []*Replica{{}, {}}
	}
	free := make([][]time.Time, targets)
	for i := range free {
		free[i] = make([]time.Time, slots)
	}
	reports := []Option{warm(0, limit, service), warm(0, slots, service)}
	if c.cold {
		reports[0].State = jujubegate.Cold
	}
	inFlight := make([]int, targets)
	var ends herdEnds
	var latencies []time.Duration
	now, renewed := start, start
	for now.Before(start.Add(seconds * time.Second)) {
		now = now.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		for len(ends) > 0 && !ends[0].at.After(now) {
			e := heap.Pop(&ends).(herdEnd)
			own[e.root][e.target].Done(e.at, Answered, e.took)
			inFlight[e.target]--
			latencies = append(latencies, e.took)
		}
		if now.Sub(renewed) >= c.renewal {
			renewed = now
			for i := range reports {
				reports[i].Load = inFlight[i]
			}
		}
		root := random.IntN(c.roots)
		options := slices.Clone(reports)
		for i := range options {
			options[i].Replica = own[root][i]
		}
		target := random.IntN(targets)
		if !c.byCoin {
			target = Choose(now, options, 0, random)
		}
		own[root][target].Begin()
		inFlight[target]++
		heap.Push(&ends, serve(now, free[target], target == 0 && c.cold, root, target, service, random))
	}
	return latencies
}

// serve queues a request at a target; a cold one has one slot.
func serve(now time.Time, slots []time.Time, cold bool, root, target int, service time.Duration, random *rand.Rand) herdEnd {
	first := 0
	if !cold && slots[1].Before(slots[0]) {
		first = 1
	}
	begin := now
	if slots[first].After(begin) {
		begin = slots[first]
	}
	slots[first] = begin.Add(service/2 + time.Duration(random.Int64N(int64(service))))
	return herdEnd{at: slots[first], root: root, target: target, took: slots[first].Sub(now)}
}

func quantile(latencies []time.Duration, q float64) time.Duration {
	slices.Sort(latencies)
	return latencies[int(q*float64(len(latencies)))]
}

func TestSeveralRootsWithStaleReports(t *testing.T) {
	// Guards against roots that all follow the same old report: with the
	// reported queue at any age, the p99 was six times that of a coin.
	for _, c := range []struct {
		herdCase
		ratio float64
	}{
		{herdCase{roots: 8, renewal: 10 * time.Millisecond}, 0.75},
		{herdCase{roots: 8, renewal: 500 * time.Millisecond}, 0.75},
		{herdCase{roots: 64, renewal: 10 * time.Millisecond}, 0.9},
		{herdCase{roots: 64, renewal: 500 * time.Millisecond}, 0.9},
		{herdCase{roots: 8, renewal: 10 * time.Millisecond, cold: true}, 0.1},
		{herdCase{roots: 8, renewal: 500 * time.Millisecond, cold: true}, 0.1},
		{herdCase{roots: 64, renewal: 500 * time.Millisecond, cold: true}, 0.1},
	} {
		own := quantile(herd(c.herdCase), 0.99)
		c.byCoin = true
		coin := quantile(herd(c.herdCase), 0.99)
		ratio := float64(own) / float64(coin)
		t.Logf("%d roots, reports every %v, cold %v: p99 %v, coin %v, ratio %.2f", c.roots, c.renewal, c.cold, own, coin, ratio)
		if ratio > c.ratio {
			t.Errorf("ratio %.2f, want at most %.2f", ratio, c.ratio)
		}
	}
}
