package querier

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/leaser"
)

const (
	tailShards  = 20
	tailSlots   = 2
	tailRate    = 30 // queries per second
	tailQueries = 600
)

// tailTargets simulates targets with a number of slots and a FIFO queue. Some of them
// are slow, are unresponsive or refuse sub-requests.
type tailTargets struct {
	random *rand.Rand
	mu     sync.Mutex
	slots  map[jujubegate.Address]chan struct{}
	start  time.Time
	// slowFraction is the fraction of sub-requests that take 20 times as long.
	slowFraction float64
	// unresponsive lists the targets that do not answer from 5 s to 15 s after the
	// start. The target down refuses from 5 s on.
	unresponsive []jujubegate.Address
	down         jujubegate.Address
	sent         int
	// maxWaiting is the number of waiting and running sub-requests at which a target
	// refuses; 0 stands for no limit.
	maxWaiting int
	waiting    map[jujubegate.Address]int
	shards     int
}

func newTailTargets(f *fakeTopology) *tailTargets {
	targets := &tailTargets{
		random: rand.New(rand.NewPCG(1, 2)), start: time.Now(), slots: make(map[jujubegate.Address]chan struct{}),
		waiting: make(map[jujubegate.Address]int), shards: f.spec.Shards,
	}
	for _, t := range f.targets {
		targets.slots[t.Address] = make(chan struct{}, tailSlots)
	}
	return targets
}

// serve runs a sub-request. It returns a refusal, an error if the context ended, or
// neither if the target answered.
func (targets *tailTargets) serve(ctx context.Context, target jujubegate.Address) (*jujubegate.Refusal, error) {
	targets.mu.Lock()
	targets.sent++
	took := 5*time.Millisecond + time.Duration(targets.random.Int64N(int64(10*time.Millisecond)))
	if targets.random.Float64() < targets.slowFraction {
		took *= 20
	}
	full := targets.maxWaiting > 0 && targets.waiting[target] >= targets.maxWaiting
	if !full {
		targets.waiting[target]++
	}
	targets.mu.Unlock()
	if full {
		return &jujubegate.Refusal{Reason: jujubegate.Overloaded, Outcome: jujubegate.NotRun}, nil
	}
	defer func() {
		targets.mu.Lock()
		targets.waiting[target]--
		targets.mu.Unlock()
	}()
	elapsed := time.Since(targets.start)
	if target == targets.down && elapsed > 5*time.Second {
		return &jujubegate.Refusal{Reason: jujubegate.TargetDown, Outcome: jujubegate.NotRun}, nil
	}
	if slices.Contains(targets.unresponsive, target) && elapsed > 5*time.Second && elapsed < 15*time.Second {
		took = time.Hour
	}
	select {
	case targets.slots[target] <- struct{}{}:
		defer func() { <-targets.slots[target] }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case <-time.After(took):
		return nil, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// dispatch returns a Dispatch that runs every sub-request with a context of its own.
// The cancel functions are stored in cancels for Cancel.
func (targets *tailTargets) dispatch(cancels *sync.Map) Dispatch {
	return func(ctx context.Context, _ leaser.Member, b jujubegate.Batch,
		deliver func([]jujubegate.SubResult, []jujubegate.TargetReport),
	) error {
		var group sync.WaitGroup
		var mu sync.Mutex
		for _, sub := range b.SubRequests {
			subCtx, cancel := context.WithCancel(ctx)
			cancels.Store(fmt.Sprint(b.QueryID, sub), cancel)
			group.Go(func() {
				defer cancel()
				refusal, err := targets.serve(subCtx, sub.Target)
				if err != nil {
					return
				}
				result := goodResult(&b, sub, targets.shards)
				result.Refusal = refusal
				mu.Lock()
				defer mu.Unlock()
				deliver([]jujubegate.SubResult{result}, nil)
			})
		}
		group.Wait()
		return nil
	}
}

// tailResult holds the measurements of a run.
type tailResult struct {
	latencies []time.Duration
	complete  int
	sent      int
	extra     int
}

func (r *tailResult) quantile(q float64) time.Duration {
	slices.Sort(r.latencies)
	return r.latencies[min(int(q*float64(len(r.latencies))), len(r.latencies)-1)]
}

// runTail sends queries at a constant rate, through the querier or with naiveQuery.
func runTail(t *testing.T, naive bool, change func(targets *tailTargets)) *tailResult {
	result := &tailResult{}
	synctest.Test(t, func(*testing.T) {
		f := newTopology(tailShards, 2)
		f.spec.Deadline = 500 * time.Millisecond
		q := newFake(f, clockwork.NewRealClock(), 8)
		targets := newTailTargets(f)
		change(targets)
		var cancels sync.Map
		q.Dispatch = targets.dispatch(&cancels)
		q.Cancel = func(_ leaser.Member, id string, subs []jujubegate.SubRequest) {
			for _, sub := range subs {
				if cancel, ok := cancels.LoadAndDelete(fmt.Sprint(id, sub)); ok {
					cancel.(context.CancelFunc)()
				}
			}
		}
		var group sync.WaitGroup
		var mu sync.Mutex
		for n := range tailQueries {
			time.Sleep(time.Second / tailRate)
			group.Go(func() {
				start := time.Now()
				var complete bool
				if naive {
					complete = targets.naiveQuery(n, f.spec.Deadline)
				} else {
					_, refusal := q.Query(context.Background(), Request{Service: fakeService, Route: fakeRoute, Caller: "zora"})
					complete = refusal == nil
				}
				mu.Lock()
				defer mu.Unlock()
				result.latencies = append(result.latencies, time.Since(start))
				if complete {
					result.complete++
				}
			})
		}
		group.Wait()
		synctest.Wait()
		result.sent = targets.sent
		result.extra = int(q.Counters.Hedges.Load() + q.Counters.Retries.Load())
	})
	return result
}

// naiveQuery runs a query with the replicas in turn, one retry after a failure and no
// hedges, and reports whether all shards answered.
func (targets *tailTargets) naiveQuery(n int, deadline time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var group sync.WaitGroup
	answered := make([]bool, tailShards)
	for shard := range tailShards {
		group.Go(func() {
			for attempt := range 2 {
				refusal, err := targets.serve(ctx, address(shard, (n+attempt)%2))
				if answered[shard] = refusal == nil && err == nil; answered[shard] {
					return
				}
			}
		})
	}
	group.Wait()
	return !slices.Contains(answered, false)
}

func TestTailLatency(t *testing.T) {
	// Guards against hedging and ejection rules that no longer reduce the tail
	// latency, or that cause more additional load than allowed.
	cases := []struct {
		name     string
		change   func(targets *tailTargets)
		quantile float64
		ratio    float64
		complete float64
	}{
		{"1 in 100 sub-requests 20 times slower", func(targets *tailTargets) { targets.slowFraction = 0.01 }, 0.99, 0.4, 0.999},
		{"one target is unresponsive for 10 s", func(targets *tailTargets) { targets.unresponsive = []jujubegate.Address{address(3, 0)} }, 0.999, 0.3, 0.999},
		{"an instance with 5 targets is unresponsive for 10 s", func(targets *tailTargets) {
			for shard := 0; shard < tailShards; shard += 4 {
				targets.unresponsive = append(targets.unresponsive, address(shard, 0))
			}
		}, 0.99, 0.3, 0.99},
		{"one target is down", func(targets *tailTargets) { targets.down = address(3, 0) }, 0.99, 1.5, 0.999},
	}
	for _, c := range cases {
		naive := runTail(t, true, c.change)
		hedged := runTail(t, false, c.change)
		ratio := float64(hedged.quantile(c.quantile)) / float64(naive.quantile(c.quantile))
		extra := float64(hedged.extra) / float64(hedged.sent)
		complete := float64(hedged.complete) / tailQueries
		t.Logf("%s: p%g %v, naive %v, ratio %.2f; extra load %.3f; complete %.4f, naive %.4f", c.name, 100*c.quantile,
			hedged.quantile(c.quantile), naive.quantile(c.quantile), ratio, extra, complete, float64(naive.complete)/tailQueries)
		if ratio > c.ratio || extra > 0.05 || complete < c.complete {
			t.Errorf("%s: ratio %.2f of %.2f, extra %.3f, complete %.4f", c.name, ratio, c.ratio, extra, complete)
		}
	}
}
