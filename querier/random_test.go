package querier

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/leaser"
)

// caseCount returns the number of random cases: JUJUBEGATE_CASES, or the default if
// that is not set.
func caseCount(defaultCount int) int {
	if n, err := strconv.Atoi(os.Getenv("JUJUBEGATE_CASES")); err == nil && n > 0 {
		return n
	}
	return defaultCount
}

// queriesPerFleet is the number of queries per fleet. They share one querier.
const queriesPerFleet = 40

// stats counts the results of queries, to show that the test covers all of them.
type stats struct {
	queries, answered, partial, refused, notRun int
	hedges, retries, reruns, dropped            int
}

// runFleet runs queries against a random fleet, four at a time, and returns an error
// if a check failed. setup changes the fleet before the run.
func runFleet(t *testing.T, seed uint64, setup func(f *fleet), s *stats) (failure error) {
	synctest.Test(t, func(*testing.T) {
		random := rand.New(rand.NewPCG(seed, 1))
		f := newFleet(seed, random)
		setup(f)
		q := newFake(f.currentTopology, clockwork.NewRealClock(), 1+random.IntN(6))
		q.Report, q.ObserveReports, q.Dispatch = f.reports.Get, f.reports.Put, f.dispatch
		q.topology = f.topology
		owner := q.Owner
		q.Owner = func(a jujubegate.Address) (leaser.Member, bool) { return f.owner(a, owner) }
		ids := uint64(0)
		q.NewID = func() string { return fmt.Sprintf("%d-%d", seed, atomic.AddUint64(&ids, 1)) }
		q.Violation = func(name, detail string) { failure = fmt.Errorf("violation of %s: %s", name, detail) }
		for range queriesPerFleet / 4 {
			if err := f.runQueries(q, random, s); err != nil && failure == nil {
				failure = err
			}
			if random.IntN(3) == 0 {
				f.advance(random)
			}
		}
		synctest.Wait()
		if err := f.verifyEnd(q); err != nil && failure == nil {
			failure = err
		}
	})
	return failure
}

// runQueries runs four queries concurrently, and at random a change of the fleet
// meanwhile.
func (f *fleet) runQueries(q *Querier, random *rand.Rand, s *stats) error {
	var group sync.WaitGroup
	var mu sync.Mutex
	var errs error
	if random.IntN(2) == 0 {
		advanceRandom := rand.New(rand.NewPCG(random.Uint64(), 2))
		group.Go(func() {
			time.Sleep(time.Duration(advanceRandom.IntN(20)) * time.Millisecond)
			f.advance(advanceRandom)
		})
	}
	for range 4 {
		request := Request{Service: fakeService, Route: fakeRoute, Caller: "zora", AllowPartial: random.IntN(2) == 0}
		pause := time.Duration(random.IntN(20)) * time.Millisecond
		cancelAfter := time.Duration(random.IntN(100)) * time.Millisecond
		cancels := random.IntN(10) == 0
		group.Go(func() {
			time.Sleep(pause)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if cancels {
				defer time.AfterFunc(cancelAfter, cancel).Stop()
			}
			start := time.Now()
			answer, refusal := q.Query(ctx, request)
			err := f.verify(request, answer, refusal, time.Since(start))
			mu.Lock()
			defer mu.Unlock()
			s.add(answer, refusal)
			errs = errors.Join(errs, err)
			if refusal != nil && refusal.Outcome == jujubegate.NotRun {
				f.mu.Lock()
				f.notRun = append(f.notRun, answer.QueryID)
				f.mu.Unlock()
			}
		})
	}
	group.Wait()
	return errs
}

// verifyEnd checks what is only known when all targets are done: the violations, the
// NotRun outcomes and the counts of outstanding work.
func (f *fleet) verifyEnd(q *Querier) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range f.notRun {
		if f.ran[id] > 0 {
			return fmt.Errorf("query %s was refused as not run but ran on %d targets", id, f.ran[id])
		}
	}
	if len(f.violations) > 0 {
		return errors.New(f.violations[0])
	}
	for _, t := range f.currentTopology.targets {
		if n := q.Balancer.Replica(t.Address).Outstanding(); n != 0 {
			return fmt.Errorf("target %s has %d outstanding sub-requests", t.Address, n)
		}
	}
	if n := q.Admitter.InFlight(); n != 0 {
		return fmt.Errorf("%d queries in flight", n)
	}
	return nil
}

func (s *stats) add(answer Answer, refusal *jujubegate.Refusal) {
	s.queries++
	switch {
	case refusal == nil && answer.Coverage.Whole():
		s.answered++
	case refusal == nil:
		s.partial++
	case refusal.Outcome == jujubegate.NotRun:
		s.notRun++
	default:
		s.refused++
	}
	s.hedges += answer.Hedges
	s.retries += answer.Retries
	s.reruns += answer.Reruns
	s.dropped += answer.Dropped
}

func TestQueriesOverRandomFleets(t *testing.T) {
	// Guards against mixed snapshots, wrong coverage, rows of other queries, wrong
	// outcomes of refusals, late sub-requests and leaked counts, under random faults
	// of owners and targets.
	var s stats
	for i := range max(caseCount(8000)/queriesPerFleet, 1) {
		if err := runFleet(t, uint64(i), func(*fleet) {}, &s); err != nil {
			t.Fatalf("seed %d: %v", i, err)
		}
	}
	t.Logf("%+v", s)
	if s.queries >= 8000 && (s.partial == 0 || s.notRun == 0 || s.hedges == 0 || s.retries == 0 || s.reruns == 0 || s.dropped == 0) {
		t.Fatal("the cases did not cover all situations")
	}
}

func TestChecksCatchFalseResults(t *testing.T) {
	// Negative control: the checks of the random test must detect a false result that
	// the querier can't detect.
	cases := []struct {
		name  string
		setup func(f *fleet)
	}{
		{"another snapshot under the query's number", func(f *fleet) {
			f.faultPercent = 60
			f.corrupt = func(r *jujubegate.SubResult) {
				if r.Refusal == nil {
					r.Snapshot = f.newest
				}
			}
		}},
		{"rows of another query", func(f *fleet) {
			f.corrupt = func(r *jujubegate.SubResult) {
				*r = answerOf("another query", jujubegate.SubRequest{Shard: r.Shard, Attempt: r.Attempt, Target: r.Target}, r.Snapshot, r.Range)
			}
		}},
		{"false refusals", func(f *fleet) {
			f.corrupt = func(r *jujubegate.SubResult) {
				r.Refusal = &jujubegate.Refusal{Reason: jujubegate.Shed, Outcome: jujubegate.NotRun}
			}
		}},
		{"a key range that differs from that of the rows", func(f *fleet) {
			f.corrupt = func(r *jujubegate.SubResult) {
				if r.Range.Start += jujubegate.KeySpace / keySlots; !r.Range.Valid() {
					r.Range.Start = 0
				}
			}
		}},
	}
	for _, c := range cases {
		var err error
		for i := 0; i < 200 && err == nil; i++ {
			err = runFleet(t, uint64(i), c.setup, &stats{})
		}
		if err == nil {
			t.Errorf("%s: not detected", c.name)
		}
		t.Logf("%s: %v", c.name, err)
	}
}
