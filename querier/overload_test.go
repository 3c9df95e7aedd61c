package querier

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/leaser"
)

const (
	loadShards = 6
	// loadCapacity is the number of queries per second that the targets can serve:
	// each shard has two targets with two slots, and a sub-request takes 10 ms.
	loadCapacity = 400
	loadDuration = 10 * time.Second
	loadWarmUp   = 4 * time.Second
)

// loadResult holds the rates after the warm-up of a run at a constant load.
type loadResult struct {
	good  float64 // complete answers per second
	extra float64 // repeats per sub-request
}

// runLoad sends queries at a multiple of the capacity. Targets refuse sub-requests
// while their queue is full.
func runLoad(t *testing.T, load float64) loadResult {
	var result loadResult
	synctest.Test(t, func(*testing.T) {
		f := newTopology(loadShards, 2)
		f.spec.Deadline = 160 * time.Millisecond
		q := newFake(f, clockwork.NewRealClock(), 8)
		targets := newTailTargets(f)
		targets.maxWaiting = 20
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
		var good atomic.Int64
		var sent, extra int64
		start := time.Now()
		random := rand.New(rand.NewPCG(1, 3))
		for time.Since(start) < loadDuration {
			time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / (load * loadCapacity)))
			if sent == 0 && time.Since(start) > loadWarmUp {
				sent, extra = q.Counters.SubRequests.Load(), q.Counters.Hedges.Load()+q.Counters.Retries.Load()
			}
			group.Go(func() {
				begun := time.Since(start)
				_, refusal := q.Query(context.Background(), Request{Service: fakeService, Route: fakeRoute, Caller: "zora"})
				if refusal == nil && begun > loadWarmUp {
					good.Add(1)
				}
			})
		}
		group.Wait()
		synctest.Wait()
		sent = q.Counters.SubRequests.Load() - sent
		extra = q.Counters.Hedges.Load() + q.Counters.Retries.Load() - extra
		result = loadResult{
			good: float64(good.Load()) / (loadDuration - loadWarmUp).Seconds(), extra: float64(extra) / float64(sent),
		}
	})
	return result
}

func TestGoodputOfQueriesUnderOverload(t *testing.T) {
	// Guards against an admission limit that leaves capacity unused or admits queries
	// that then fail, and against hedges that add to an overload.
	at := runLoad(t, 0.9)
	twice := runLoad(t, 2)
	t.Logf("at 0.9 of the capacity: %.0f good queries/s, extra load %.4f; at twice: %.0f, %.4f, ratio %.2f",
		at.good, at.extra, twice.good, twice.extra, twice.good/at.good)
	if twice.good < 0.95*at.good || twice.extra > 0.01 || at.extra > 0.05 {
		t.Errorf("%+v at 0.9 of the capacity, %+v at twice", at, twice)
	}
}
