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

// countsPerMember is the number of route counts of a member with 5 targets: 2
// services with 2 versions each at 2 load levels.
const countsPerMember = 8

func newCounts(answers uint64) []jujubegate.RouteCount {
	counts := make([]jujubegate.RouteCount, countsPerMember)
	for i := range counts {
		counts[i] = jujubegate.RouteCount{
			Service: jujubegate.Service(fmt.Sprintf("Service%d", i/4)), Version: jujubegate.Version(fmt.Sprintf("v%d", i/2%2)),
			Route: "Search", Load: jujubegate.LoadLevel(i % 2), Answers: answers,
		}
	}
	return counts
}

// measureRouteCounts measures the memory and the merging of the route counts of all
// members, which an instance keeps to decide on version moves.
func measureRouteCounts(ctx context.Context) ([]CapacityFigure, error) {
	memory := CapacityFigure{Role: "runner of moves", Name: "counts of all members", Unit: "MB", Per: "members", Future: futureMembers, Budget: budgetMemoryMB}
	processor := CapacityFigure{Role: "runner of moves", Name: "merge of one count message from each member", Unit: "µs of processor", Per: "members", Future: futureMembers}
	for _, members := range tableSizes {
		before := memoryInUse()
		f := mover.NewFleetTally()
		answers, now := uint64(0), time.Now()
		round := func() error {
			answers++
			counts := newCounts(answers)
			for i := range members {
				f.Merge(newMember(i, 1).Instance, "a", counts, now)
			}
			_ = f.Totals()
			return nil
		}
		_ = round()
		memory.Samples = append(memory.Samples, Sample{float64(members), []float64{memoryInUse() - before}})
		values, err := processorTimePerRun(10, round)
		if err != nil {
			return nil, err
		}
		processor.Samples = append(processor.Samples, Sample{float64(members), values})
		runtime.KeepAlive(f)
	}
	return []CapacityFigure{memory, processor}, ctx.Err()
}

// instanceOrderWrites is the limit on order writes per second of each simulated
// instance. In a fleet, package assembler sets the limit of each instance.
const instanceOrderWrites = 40

func newOrderer(store storer.Store, clock jujubegate.Clock, writes rate.Limit) *orderer.Orderer {
	o := orderer.New(store, nil, clock, writes, zap.NewNop())
	o.Serving = func(time.Time) bool { return true }
	o.Place = func(time.Time, string, jujubegate.Service, jujubegate.Route, jujubegate.Caller, func(int) int) (querier.Placement, *jujubegate.Refusal) {
		return querier.Placement{
			Service: configurator.ServiceSpec{Name: "Invoicing", Shards: 1, Deadline: time.Second}, Owner: newMember(1, 1), Generation: 1,
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
	for i := range 6 { // sets the timestamp of the UUID to the time of the clock
		id[i] = byte(milliseconds >> (40 - 8*i))
	}
	_, refusal := o.Order(ctx, orderer.Request{
		Service: "Invoicing", Route: "Book", Caller: "desk", ID: id, Key: "k", Body: []byte(`{}`), First: true,
	})
	return refusal
}

// measureOrders counts the store calls of orders, and the writes per second that
// the limits of all instances admit together when each is offered more orders.
func measureOrders(ctx context.Context) ([]CapacityFigure, error) {
	writes := CapacityFigure{Role: "holder of order records", Name: "store writes", Unit: "1/s", Per: "orders a second", Future: 100, Budget: budgetWrites}
	reads := CapacityFigure{Role: "holder of order records", Name: "store reads", Unit: "1/s", Per: "orders a second", Future: 100, Budget: budgetReads}
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
	admitted := CapacityFigure{Role: "store", Name: "order writes that the instances' own limits admit", Unit: "1/s", Per: "members", Future: futureMembers, Budget: budgetWrites}
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
					_ = placeOrder(ctx, o, clock) // orders above the limit are refused
				}
			}
		}
		offer() // uses up the burst
		before := store.Calls().Puts
		clock.Advance(time.Second)
		offer()
		admitted.Samples = append(admitted.Samples, Sample{float64(members), []float64{float64(store.Calls().Puts - before)}})
	}
	return []CapacityFigure{writes, reads, admitted}, ctx.Err()
}

const (
	// pushFanOut is the number of peers to which an instance pushes a change after
	// applying it; package assembler has the same number.
	pushFanOut = 3
	// messageLatency is the assumed latency of a message between regions, for which
	// the design states no figure. Within a region it is 0.5 ms.
	messageLatency = 100 * time.Millisecond
	// propagationBudget is the time in seconds within which all members must have
	// applied a change.
	propagationBudget = 7.0
)

// simulatePush simulates the pushes of a change in rounds: each member that
// received the change in the last round pushes it once to random other members. It
// returns the number of rounds in which a member was reached for the first time,
// and the number of members reached.
func simulatePush(members int, random *rand.Rand) (rounds, reached int) {
	has := make([]bool, members)
	has[0] = true
	reached = 1
	for last := []int{0}; len(last) > 0; {
		var next []int
		for _, from := range last {
			for _, to := range random.Perm(members)[:min(pushFanOut+1, members)] {
				if to != from && !has[to] {
					has[to] = true
					next = append(next, to)
				}
			}
		}
		if len(next) > 0 {
			rounds++
		}
		reached += len(next)
		last = next
	}
	return rounds, reached
}

// applyTime returns the time that an instance takes to apply a change of the list
// of targets, before it pushes the change.
func applyTime(members int) (time.Duration, error) {
	targets := fleetTargets(targetCount(members))
	f := configurator.New(storer.NewMemory(clockwork.NewRealClock(), 1).Store, clockwork.NewRealClock(), zap.NewNop())
	state := &leaser.State{Self: newMember(0, futureDataCentres), View: newView(members, futureDataCentres)}
	o := assigner.NewOwnership(func() *leaser.State { return state }, zap.NewNop())
	var elapsed time.Duration
	for i, text := range append(batches(declarations(targets)), "Drop Target "+fmt.Sprintf("%q", targets[0].Address)+";") {
		start := time.Now()
		g := jujubegate.Generation(i + 1)
		if err := f.Apply([]configurator.Change{{Generation: g, Token: fmt.Sprintf("t-%d", g), At: time.Unix(1700000000, 0).UTC(), Statements: text}}); err != nil {
			return 0, err
		}
		o.SetTargets(g, f.Current().Targets())
		elapsed = time.Since(start)
	}
	return elapsed, nil
}

// measurePropagation computes the time until the last member has applied a change:
// the rounds of pushes, then a heartbeat to the members that no push reached, and
// their fetch of the change.
func measurePropagation(ctx context.Context) ([]CapacityFigure, error) {
	pushRounds := CapacityFigure{Role: "watcher, all", Name: "rounds of push", Unit: "rounds", Per: "members", Future: futureMembers}
	unreachedMembers := CapacityFigure{Role: "watcher, all", Name: "members that no push reaches", Unit: "%", Per: "members", Future: futureMembers}
	propagation := CapacityFigure{Role: "all", Name: "change to in force everywhere, one cell, 100 ms a message, store not counted", Unit: "s", Per: "members", Future: futureMembers, Budget: propagationBudget}
	apply := CapacityFigure{Role: "all", Name: "put a change of the target list in force", Unit: "ms", Per: "members", Future: futureMembers}
	random := rand.New(rand.NewPCG(seed, seed))
	for _, members := range tableSizes {
		applyDuration, err := applyTime(members)
		if err != nil {
			return nil, err
		}
		var rounds, unreached, times []float64
		for range 20 {
			n, reached := simulatePush(members, random)
			rounds = append(rounds, float64(n))
			unreached = append(unreached, 100*float64(members-reached)/float64(members))
			// The heartbeat is sent at most one interval and one tick after the last
			// round. The heartbeat, its answer, the fetch and its answer are 4 messages.
			elapsed := time.Duration(n)*(applyDuration+messageLatency) + leaser.DefaultTiming().Heartbeat + leaser.DefaultTiming().Tick + 4*messageLatency + applyDuration
			times = append(times, elapsed.Seconds())
		}
		size := float64(members)
		pushRounds.Samples = append(pushRounds.Samples, Sample{size, rounds})
		unreachedMembers.Samples = append(unreachedMembers.Samples, Sample{size, unreached})
		propagation.Samples = append(propagation.Samples, Sample{size, times})
		apply.Samples = append(apply.Samples, Sample{size, []float64{float64(applyDuration.Microseconds()) / 1000}})
	}
	return []CapacityFigure{pushRounds, unreachedMembers, apply, propagation}, ctx.Err()
}
