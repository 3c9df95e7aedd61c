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

// tailTargets are targets with slots and a first-come queue, of which some
// straggle, stall or refuse.
type tailTargets struct {
	random *rand.Rand
	mu     sync.Mutex
	slots  map[jujubegate.Address]chan struct{}
	start  time.Time
	// slowShare is the share of sub-requests that take 20 times as long.
	slowShare float64
	// stalled answers nothing from 5 s to 15 s; down refuses from 5 s on.
	stalled []jujubegate.Address
	down    jujubegate.Address
	sent    int
	// maxWaiting refuses sub-requests of a target with a longer queue; 0: never.
	maxWaiting int
	waiting    map[jujubegate.Address]int
	shards     int
}

func newTailTargets(f *fakeTopology) *tailTargets {
	w := &tailTargets{
		random: rand.New(rand.NewPCG(1, 2)), start: time.Now(), slots: make(map[jujubegate.Address]chan struct{}),
		waiting: make(map[jujubegate.Address]int), shards: f.spec.Shards,
	}
	for _, t := range f.targets {
		w.slots[t.Address] = make(chan struct{}, tailSlots)
	}
	return w
}

// do runs one sub-request and reports whether it was answered.
func (w *tailTargets) do(ctx context.Context, target jujubegate.Address) (*jujubegate.Refusal, error) {
	w.mu.Lock()
	w.sent++
	took := 5*time.Millisecond + time.Duration(w.random.Int64N(int64(10*time.Millisecond)))
	if w.random.Float64() < w.slowShare {
		took *= 20
	}
	full := w.maxWaiting > 0 && w.waiting[target] >= w.maxWaiting
	if !full {
		w.waiting[target]++
	}
	w.mu.Unlock()
	if full {
		return &jujubegate.Refusal{Reason: jujubegate.Overloaded, Outcome: jujubegate.NotRun}, nil
	}
	defer func() {
		w.mu.Lock()
		w.waiting[target]--
		w.mu.Unlock()
	}()
	elapsed := time.Since(w.start)
	if target == w.down && elapsed > 5*time.Second {
		return &jujubegate.Refusal{Reason: jujubegate.TargetDown, Outcome: jujubegate.NotRun}, nil
	}
	if slices.Contains(w.stalled, target) && elapsed > 5*time.Second && elapsed < 15*time.Second {
		took = time.Hour
	}
	select {
	case w.slots[target] <- struct{}{}:
		defer func() { <-w.slots[target] }()
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

// dispatch gives every sub-request a context that Cancel ends, as an owner does.
func (w *tailTargets) dispatch(cancels *sync.Map) Dispatch {
	return func(ctx context.Context, _ leaser.Member, b jujubegate.Batch,
		deliver func([]jujubegate.SubResult, []jujubegate.TargetReport),
	) error {
		var group sync.WaitGroup
		var mu sync.Mutex
		for _, sub := range b.SubRequests {
			own, cancel := context.WithCancel(ctx)
			cancels.Store(fmt.Sprint(b.QueryID, sub), cancel)
			group.Go(func() {
				defer cancel()
				refusal, err := w.do(own, sub.Target)
				if err != nil {
					return
				}
				result := goodResult(&b, sub, w.shards)
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

// tailResult is what a run of queries met.
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

// runTail sends queries at a constant rate, through the querier or the naive way:
// round robin, one retry on failure.
func runTail(t *testing.T, naive bool, change func(w *tailTargets)) *tailResult {
	result := &tailResult{}
	synctest.Test(t, func(*testing.T) {
		f := newTopology(tailShards, 2)
		f.spec.Deadline = 500 * time.Millisecond
		q := newFake(f, clockwork.NewRealClock(), 8)
		w := newTailTargets(f)
		change(w)
		var cancels sync.Map
		q.Dispatch = w.dispatch(&cancels)
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
					complete = w.naiveQuery(n, f.spec.Deadline)
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
		result.sent = w.sent
		result.extra = int(q.Counters.Hedges.Load() + q.Counters.Retries.Load())
	})
	return result
}

func (w *tailTargets) naiveQuery(n int, deadline time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var group sync.WaitGroup
	answered := make([]bool, tailShards)
	for shard := range tailShards {
		group.Go(func() {
			for try := range 2 {
				refusal, err := w.do(ctx, address(shard, (n+try)%2))
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
	// Guards against a hedging or ejection rule that no longer shortens the
	// tail, or does so with more extra load than allowed.
	cases := []struct {
		name     string
		change   func(w *tailTargets)
		quantile float64
		ratio    float64
		complete float64
	}{
		{"1 in 100 sub-requests 20 times slower", func(w *tailTargets) { w.slowShare = 0.01 }, 0.99, 0.4, 0.999},
		{"one target stalls for 10 s", func(w *tailTargets) { w.stalled = []jujubegate.Address{address(3, 0)} }, 0.999, 0.3, 0.999},
		{"an instance with 5 targets hangs for 10 s", func(w *tailTargets) {
			for shard := 0; shard < tailShards; shard += 4 {
				w.stalled = append(w.stalled, address(shard, 0))
			}
		}, 0.99, 0.3, 0.99},
		{"one target is down", func(w *tailTargets) { w.down = address(3, 0) }, 0.99, 1.5, 0.999},
	}
	for _, c := range cases {
		naive := runTail(t, true, c.change)
		own := runTail(t, false, c.change)
		ratio := float64(own.quantile(c.quantile)) / float64(naive.quantile(c.quantile))
		extra := float64(own.extra) / float64(own.sent)
		complete := float64(own.complete) / tailQueries
		t.Logf("%s: p%g %v, naive %v, ratio %.2f; extra load %.3f; complete %.4f, naive %.4f", c.name, 100*c.quantile,
			own.quantile(c.quantile), naive.quantile(c.quantile), ratio, extra, complete, float64(naive.complete)/tailQueries)
		if ratio > c.ratio || extra > 0.05 || complete < c.complete {
			t.Errorf("%s: ratio %.2f of %.2f, extra %.3f, complete %.4f", c.name, ratio, c.ratio, extra, complete)
		}
	}
}
