package measurer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/samber/oops"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/assigner"
	"jujubegate.example/jujubegate/configurator"
	"jujubegate.example/jujubegate/leaser"
	"jujubegate.example/jujubegate/mover"
	"jujubegate.example/jujubegate/orderer"
	"jujubegate.example/jujubegate/querier"
	"jujubegate.example/jujubegate/storer"
)

// countsPerMember is the number of counts of one member: 2 services with 2
// versions at 2 load levels each, from 5 targets.
const countsPerMember = 8

func countsOf(answers uint64) []jujubegate.RouteCount {
	counts := make([]jujubegate.RouteCount, countsPerMember)
	for i := range counts {
		counts[i] = jujubegate.RouteCount{
			Service: jujubegate.Service(fmt.Sprintf("Service%d", i/4)), Version: jujubegate.Version(fmt.Sprintf("v%d", i/2%2)),
			Route: "Search", Load: jujubegate.LoadLevel(i % 2), Answers: answers,
		}
	}
	return counts
}

// moveCounts measures the sum of the counts of all members, which an instance
// keeps to judge version moves.
func moveCounts(ctx context.Context) ([]Capacity, error) {
	memory := Capacity{Role: "runner of moves", Name: "counts of all members", Unit: "MB", Per: "members", Future: futureMembers, Budget: budgetMemory}
	took := Capacity{Role: "runner of moves", Name: "merge of one count message from each member", Unit: "µs of processor", Per: "members", Future: futureMembers}
	for _, members := range tableSizes {
		before := memoryInUse()
		f := mover.NewFleetTally()
		answers, now := uint64(0), time.Now()
		round := func() error {
			answers++
			counts := countsOf(answers)
			for i := range members {
				f.Merge(member(i, 1).Instance, "a", counts, now)
			}
			_ = f.Totals()
			return nil
		}
		_ = round()
		memory.Samples = append(memory.Samples, Sample{float64(members), []float64{memoryInUse() - before}})
		values, err := processorPer(10, round)
		if err != nil {
			return nil, err
		}
		took.Samples = append(took.Samples, Sample{float64(members), values})
		runtime.KeepAlive(f)
	}
	return []Capacity{memory, took}, ctx.Err()
}

// instanceOrderWrites is the write rate that assembler gives each instance.
const instanceOrderWrites = 40

func newOrderer(store storer.Store, clock jujubegate.Clock, writes rate.Limit) *orderer.Orderer {
	o := orderer.New(store, nil, clock, writes, zap.NewNop())
	o.Serving = func(time.Time) bool { return true }
	o.Place = func(time.Time, string, jujubegate.Service, jujubegate.Route, jujubegate.Caller, func(int) int) (querier.Placement, *jujubegate.Refusal) {
		return querier.Placement{
			Service: configurator.ServiceSpec{Name: "Invoicing", Shards: 1, Deadline: time.Second}, Owner: member(1, 1), Generation: 1,
			SubRequest: jujubegate.SubRequest{Target: "10.12.1.1:9000", Attempt: 1}, Snapshot: 1,
		}, nil
	}
	o.Dispatch = func(_ context.Context, _ leaser.Member, b jujubegate.Batch, deliver func([]jujubegate.SubResult, []jujubegate.TargetReport)) error {
		s := b.SubRequests[0]
		deliver([]jujubegate.SubResult{{
			Shard: s.Shard, Attempt: s.Attempt, Target: s.Target, Snapshot: b.Snapshot,
			Range: jujubegate.KeyRange{End: jujubegate.KeySpace}, Rows: []byte(`[{"Number":1}]`),
		}}, nil)
		return nil
	}
	return o
}

func placeOrder(ctx context.Context, o *orderer.Orderer, clock jujubegate.Clock) *jujubegate.Refusal {
	id := uuid.Must(uuid.NewV7())
	milliseconds := clock.Now().UnixMilli()
	for i := range 6 { // the time of the ID is that of the clock
		id[i] = byte(milliseconds >> (40 - 8*i))
	}
	_, refusal := o.Order(ctx, orderer.Request{
		Service: "Invoicing", Route: "Book", Caller: "desk", ID: id, Key: "k", Body: []byte(`{}`), First: true,
	})
	return refusal
}

// orders counts the store calls of orders, and the writes that the limits of
// all instances admit in a second when each is offered more.
func orders(ctx context.Context) ([]Capacity, error) {
	writes := Capacity{Role: "holder of order records", Name: "store writes", Unit: "1/s", Per: "orders a second", Future: 100, Budget: budgetWrites}
	reads := Capacity{Role: "holder of order records", Name: "store reads", Unit: "1/s", Per: "orders a second", Future: 100, Budget: budgetReads}
	for _, count := range []int{8, 64, 256} {
		clock := clockwork.NewRealClock()
		store := storer.NewMemory(clock, 1)
		o := newOrderer(store.Store, clock, rate.Inf)
		for range count {
			if refusal := placeOrder(ctx, o, clock); refusal != nil {
				return nil, oops.Errorf("order refused: %v", refusal)
			}
		}
		calls := store.Calls()
		writes.Samples = append(writes.Samples, Sample{float64(count), []float64{float64(calls.Puts)}})
		reads.Samples = append(reads.Samples, Sample{float64(count), []float64{float64(calls.Gets + calls.Lists)}})
	}
	admitted := Capacity{Role: "store", Name: "order writes that the instances' own limits admit", Unit: "1/s", Per: "members", Future: futureMembers, Budget: budgetWrites}
	for _, members := range []int{8, 32, 110} {
		clock := clockwork.NewFakeClockAt(time.Now())
		store := storer.NewMemory(clock, 1)
		var all []*orderer.Orderer
		for range members {
			all = append(all, newOrderer(store.Store, clock, instanceOrderWrites))
		}
		offer := func() {
			for _, o := range all {
				for range instanceOrderWrites {
					_ = placeOrder(ctx, o, clock) // the refusals are the point
				}
			}
		}
		offer() // uses up the burst
		before := store.Calls().Puts
		clock.Advance(time.Second)
		offer()
		admitted.Samples = append(admitted.Samples, Sample{float64(members), []float64{float64(store.Calls().Puts - before)}})
	}
	return []Capacity{writes, reads, admitted}, ctx.Err()
}

const (
	// pushTo is the number of peers that an instance pushes a change to once
	// it has applied it, as in assembler.
	pushTo = 3
	// hopTime is the assumed time of one message between regions; the design
	// gives none. Inside a region it is 0.5 ms.
	hopTime = 100 * time.Millisecond
	// spreadBudget is the time in which a change must be in force.
	spreadBudget = 7.0
)

// pushSteps runs the push rule in rounds: each member that received the change
// in the last round pushes it to random others, once. It returns the rounds
// until no push is new, and the members reached.
func pushSteps(members int, random *rand.Rand) (steps, reached int) {
	has := make([]bool, members)
	has[0] = true
	reached = 1
	for last := []int{0}; len(last) > 0; {
		var next []int
		for _, from := range last {
			for _, to := range random.Perm(members)[:min(pushTo+1, members)] {
				if to != from && !has[to] {
					has[to] = true
					next = append(next, to)
				}
			}
		}
		if len(next) > 0 {
			steps++
		}
		reached += len(next)
		last = next
	}
	return steps, reached
}

// stepTime returns the time in which one instance puts a change of the target
// list in force, before it pushes the change.
func stepTime(members int) (time.Duration, error) {
	targets := fleetTargets(targetsFor(members))
	f := configurator.New(storer.NewMemory(clockwork.NewRealClock(), 1).Store, clockwork.NewRealClock(), zap.NewNop())
	state := &leaser.State{Self: member(0, futureCentres), View: view(members, futureCentres)}
	o := assigner.NewOwnership(func() *leaser.State { return state }, zap.NewNop())
	var took time.Duration
	for i, text := range append(batches(declarations(targets)), "Drop Target "+fmt.Sprintf("%q", targets[0].Address)+";") {
		start := time.Now()
		g := jujubegate.Generation(i + 1)
		if err := f.Offer([]configurator.Change{{Generation: g, Token: fmt.Sprintf("t-%d", g), At: time.Unix(1700000000, 0).UTC(), Statements: text}}); err != nil {
			return 0, err
		}
		o.SetTargets(g, f.Current().Targets())
		took = time.Since(start)
	}
	return took, nil
}

// spread works out when a change is in force at the last member: the rounds of
// push, then a heartbeat to those that no push reached, and their fetch.
func spread(ctx context.Context) ([]Capacity, error) {
	steps := Capacity{Role: "watcher, all", Name: "rounds of push", Unit: "rounds", Per: "members", Future: futureMembers}
	missed := Capacity{Role: "watcher, all", Name: "members that no push reaches", Unit: "%", Per: "members", Future: futureMembers}
	inForce := Capacity{Role: "all", Name: "change to in force everywhere, one cell, 100 ms a message, store not counted", Unit: "s", Per: "members", Future: futureMembers, Budget: spreadBudget}
	apply := Capacity{Role: "all", Name: "put a change of the target list in force", Unit: "ms", Per: "members", Future: futureMembers}
	random := rand.New(rand.NewPCG(seed, seed))
	for _, members := range tableSizes {
		step, err := stepTime(members)
		if err != nil {
			return nil, err
		}
		var rounds, left, times []float64
		for range 20 {
			n, reached := pushSteps(members, random)
			rounds = append(rounds, float64(n))
			left = append(left, 100*float64(members-reached)/float64(members))
			// The last heartbeat leaves an interval after the last round; the
			// heartbeat, its answer, the fetch and its answer are 4 messages.
			end := time.Duration(n)*(step+hopTime) + leaser.DefaultTiming().Heartbeat + leaser.DefaultTiming().Tick + 4*hopTime + step
			times = append(times, end.Seconds())
		}
		size := float64(members)
		steps.Samples = append(steps.Samples, Sample{size, rounds})
		missed.Samples = append(missed.Samples, Sample{size, left})
		inForce.Samples = append(inForce.Samples, Sample{size, times})
		apply.Samples = append(apply.Samples, Sample{size, []float64{float64(step.Microseconds()) / 1000}})
	}
	return []Capacity{steps, missed, apply, inForce}, ctx.Err()
}
