package balancer

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"jujubegate.example/jujubegate"
)

// completion is the end of a request in the simulation.
type completion struct {
	at       time.Time
	instance int
	target   int
	took     time.Duration
}

type completionHeap []completion

func (h completionHeap) Len() int           { return len(h) }
func (h completionHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h completionHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *completionHeap) Push(x any)        { *h = append(*h, x.(completion)) }
func (h *completionHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// simulation describes instances that share two targets of two slots each.
type simulation struct {
	instances int
	// reportInterval is the time between two reports of the loads.
	reportInterval time.Duration
	// cold is set if the first target is cold and has only one slot.
	cold bool
	// coinFlip chooses targets with equal probability instead of calling Choose.
	coinFlip bool
}

// simulate sends requests at a rate of 0.7 of the capacity for 60 s of simulated
// time and returns the latencies.
func simulate(c simulation) []time.Duration {
	const targets, slots, service, seconds = 2, 2, 10 * time.Millisecond, 60
	capacity, limit := targets*slots, slots
	if c.cold {
		capacity, limit = capacity-1, 1
	}
	perSecond := 0.7 * float64(capacity) / service.Seconds()
	random := newRandom()
	replicas := make([][]*Replica, c.instances)
	for r := range replicas {
		replicas[r] = []*Replica{{}, {}}
	}
	free := make([][]time.Time, targets)
	for i := range free {
		free[i] = make([]time.Time, slots)
	}
	reports := []Option{warmOption(0, limit, service), warmOption(0, slots, service)}
	if c.cold {
		reports[0].State = jujubegate.Cold
	}
	inFlight := make([]int, targets)
	var completions completionHeap
	var latencies []time.Duration
	now, reportedAt := start, start
	for now.Before(start.Add(seconds * time.Second)) {
		now = now.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		for len(completions) > 0 && !completions[0].at.After(now) {
			e := heap.Pop(&completions).(completion)
			replicas[e.instance][e.target].Done(e.at, Answered, e.took)
			inFlight[e.target]--
			latencies = append(latencies, e.took)
		}
		if now.Sub(reportedAt) >= c.reportInterval {
			reportedAt = now
			for i := range reports {
				reports[i].Load = inFlight[i]
			}
		}
		instance := random.IntN(c.instances)
		options := slices.Clone(reports)
		for i := range options {
			options[i].Replica = replicas[instance][i]
		}
		target := random.IntN(targets)
		if !c.coinFlip {
			target = Choose(now, options, 0, random)
		}
		replicas[instance][target].Begin()
		inFlight[target]++
		heap.Push(&completions, enqueue(now, free[target], target == 0 && c.cold, instance, target, service, random))
	}
	return latencies
}

// enqueue assigns a request to the first free slot of a target and returns when it
// ends. A cold target has one slot.
func enqueue(now time.Time, slots []time.Time, cold bool, instance, target int, service time.Duration, random *rand.Rand) completion {
	first := 0
	if !cold && slots[1].Before(slots[0]) {
		first = 1
	}
	begin := now
	if slots[first].After(begin) {
		begin = slots[first]
	}
	slots[first] = begin.Add(service/2 + time.Duration(random.Int64N(int64(service))))
	return completion{at: slots[first], instance: instance, target: target, took: slots[first].Sub(now)}
}

func quantile(latencies []time.Duration, q float64) time.Duration {
	slices.Sort(latencies)
	return latencies[int(q*float64(len(latencies)))]
}

func TestStaleReportsDoNotCauseHerding(t *testing.T) {
	// Guards against instances that all choose the same target because of an old
	// report: when reported queues counted at any age, the p99 was six times that of
	// a random choice.
	for _, c := range []struct {
		simulation
		ratio float64
	}{
		{simulation{instances: 8, reportInterval: 10 * time.Millisecond}, 0.75},
		{simulation{instances: 8, reportInterval: 500 * time.Millisecond}, 0.75},
		{simulation{instances: 64, reportInterval: 10 * time.Millisecond}, 0.9},
		{simulation{instances: 64, reportInterval: 500 * time.Millisecond}, 0.9},
		{simulation{instances: 8, reportInterval: 10 * time.Millisecond, cold: true}, 0.1},
		{simulation{instances: 8, reportInterval: 500 * time.Millisecond, cold: true}, 0.1},
		{simulation{instances: 64, reportInterval: 500 * time.Millisecond, cold: true}, 0.1},
	} {
		p99 := quantile(simulate(c.simulation), 0.99)
		c.coinFlip = true
		randomP99 := quantile(simulate(c.simulation), 0.99)
		ratio := float64(p99) / float64(randomP99)
		t.Logf("%d instances, reports every %v, cold %v: p99 %v, random choice %v, ratio %.2f", c.instances, c.reportInterval, c.cold, p99, randomP99, ratio)
		if ratio > c.ratio {
			t.Errorf("ratio %.2f, want at most %.2f", ratio, c.ratio)
		}
	}
}
