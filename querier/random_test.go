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

func caseCount(small int) int {
	if n, err := strconv.Atoi(os.Getenv("JUJUBEGATE_CASES")); err == nil && n > 0 {
		return n
	}
	return small
}

// queriesPerFleet is the number of queries that share one fleet and one querier.
const queriesPerFleet = 40

// stats sums what the queries of a run met, to show that it exercised the rules.
type stats struct {
	queries, answered, partial, refused, notRun int
	hedges, retries, reruns, dropped            int
}

// runFleet runs queries against one random fleet, several at a time, and
// returns the first broken rule.
func runFleet(t *testing.T, seed uint64, spoil func(f *fleet), s *stats) (broken error) {
	synctest.Test(t, func(*testing.T) {
		random := rand.New(rand.NewPCG(seed, 1))
		f := newFleet(seed, random)
		spoil(f)
		q := newFake(f.topo, clockwork.NewRealClock(), 1+random.IntN(6))
		q.Report, q.ObserveReports, q.Dispatch = f.book.Get, f.book.Put, f.dispatch
		q.topology = f.topology
		owner := q.Owner
		q.Owner = func(a jujubegate.Address) (leaser.Member, bool) { return f.owner(a, owner) }
		ids := uint64(0)
		q.NewID = func() string { return fmt.Sprintf("%d-%d", seed, atomic.AddUint64(&ids, 1)) }
		q.Violation = func(name, detail string) { broken = fmt.Errorf("violation of %s: %s", name, detail) }
		for range queriesPerFleet / 4 {
			if err := f.runQueries(q, random, s); err != nil && broken == nil {
				broken = err
			}
			if random.IntN(3) == 0 {
				f.advance(random)
			}
		}
		synctest.Wait()
		if err := f.verifyEnd(q); err != nil && broken == nil {
			broken = err
		}
	})
	return broken
}

// runQueries runs four queries at a time.
func (f *fleet) runQueries(q *Querier, random *rand.Rand, s *stats) error {
	var group sync.WaitGroup
	var mu sync.Mutex
	var broken error
	if random.IntN(2) == 0 {
		own := rand.New(rand.NewPCG(random.Uint64(), 2))
		group.Go(func() {
			time.Sleep(time.Duration(own.IntN(20)) * time.Millisecond)
			f.advance(own)
		})
	}
	for range 4 {
		request := Request{Service: fakeService, Route: fakeRoute, Caller: "zora", AllowPartial: random.IntN(2) == 0}
		pause := time.Duration(random.IntN(20)) * time.Millisecond
		gone := time.Duration(random.IntN(100)) * time.Millisecond
		cancels := random.IntN(10) == 0
		group.Go(func() {
			time.Sleep(pause)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if cancels {
				defer time.AfterFunc(gone, cancel).Stop()
			}
			start := time.Now()
			answer, refusal := q.Query(ctx, request)
			err := f.verify(request, answer, refusal, time.Since(start))
			mu.Lock()
			defer mu.Unlock()
			s.add(answer, refusal)
			broken = errors.Join(broken, err)
			if refusal != nil && refusal.Outcome == jujubegate.NotRun {
				f.mu.Lock()
				f.notRun = append(f.notRun, answer.QueryID)
				f.mu.Unlock()
			}
		})
	}
	group.Wait()
	return broken
}

// verifyEnd checks what is known only when all targets are done.
func (f *fleet) verifyEnd(q *Querier) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range f.notRun {
		if f.ran[id] > 0 {
			return fmt.Errorf("query %s was refused as not run but ran on %d targets", id, f.ran[id])
		}
	}
	if len(f.faults) > 0 {
		return errors.New(f.faults[0])
	}
	for _, t := range f.topo.targets {
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
	// Guards against mixed snapshots, untrue coverage, rows of other queries,
	// untrue refusals, late sub-requests and leaked counts, for any behaviour
	// of owners and targets.
	var s stats
	for i := range max(caseCount(8000)/queriesPerFleet, 1) {
		if err := runFleet(t, uint64(i), func(*fleet) {}, &s); err != nil {
			t.Fatalf("seed %d: %v", i, err)
		}
	}
	t.Logf("%+v", s)
	if s.queries >= 8000 && (s.partial == 0 || s.notRun == 0 || s.hedges == 0 || s.retries == 0 || s.reruns == 0 || s.dropped == 0) {
		t.Fatal("the cases did not meet all situations")
	}
}

func TestChecksCatchLies(t *testing.T) {
	// Negative control: a lie that the querier can't see must be caught by the
	// checks of the random test.
	cases := []struct {
		name  string
		spoil func(f *fleet)
	}{
		{"another snapshot under the query's number", func(f *fleet) {
			f.hostility = 60
			f.lies = func(r *jujubegate.SubResult) {
				if r.Refusal == nil {
					r.Snapshot = f.newest
				}
			}
		}},
		{"rows of another query", func(f *fleet) {
			f.lies = func(r *jujubegate.SubResult) {
				*r = answerOf("another query", jujubegate.SubRequest{Shard: r.Shard, Attempt: r.Attempt, Target: r.Target}, r.Snapshot, r.Range)
			}
		}},
		{"untrue refusals", func(f *fleet) {
			f.lies = func(r *jujubegate.SubResult) {
				r.Refusal = &jujubegate.Refusal{Reason: jujubegate.Shed, Outcome: jujubegate.NotRun}
			}
		}},
		{"a range that is not the rows' one", func(f *fleet) {
			f.lies = func(r *jujubegate.SubResult) {
				if r.Range.Start += jujubegate.KeySpace / fleetSlots; !r.Range.Valid() {
					r.Range.Start = 0
				}
			}
		}},
	}
	for _, c := range cases {
		var err error
		for i := 0; i < 200 && err == nil; i++ {
			err = runFleet(t, uint64(i), c.spoil, &stats{})
		}
		if err == nil {
			t.Errorf("%s: not caught", c.name)
		}
		t.Logf("%s: %v", c.name, err)
	}
}
