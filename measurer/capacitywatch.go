package measurer

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"jujubegate.example/jujubegate/configurator"
	"jujubegate.example/jujubegate/storer"
)

const (
	// watchersPerCell is the number of members that watch the store; package
	// assembler has the same number.
	watchersPerCell = 2
	// watchPeriod is the simulated time over which calls are counted.
	watchPeriod = 5 * time.Minute
)

// measureWatches counts the store calls by which the members of a cell follow the
// configuration, over simulated time in which nothing changes. The calls at their
// start are left out. Without a majority of reachable members, each member watches
// the store itself.
func measureWatches(ctx context.Context) ([]CapacityFigure, error) {
	var figures []CapacityFigure
	for _, k := range []struct {
		name     string
		watchers func(members int) int
	}{
		{"calls of the followers of one cell, nothing changes", func(int) int { return watchersPerCell }},
		{"calls of the followers of one cell, no majority", func(members int) int { return members }},
	} {
		c := CapacityFigure{Role: "watcher", Name: k.name, Unit: "1/s", Per: "members", Future: futureMembers, Budget: budgetReads}
		for _, members := range []int{8, 32, futureCellSize} {
			calls, err := countWatches(ctx, members, k.watchers(members))
			if err != nil {
				return nil, err
			}
			c.Samples = append(c.Samples, Sample{float64(members), []float64{calls}})
		}
		figures = append(figures, c)
	}
	return figures, nil
}

// countWatches returns the number of store calls per second.
func countWatches(ctx context.Context, members, watchers int) (float64, error) {
	clock := clockwork.NewFakeClock()
	store := storer.NewMemory(clock, 1)
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	for i := range members {
		f := configurator.New(store.Store, clock, zap.NewNop())
		f.IsWatcher = func() bool { return i < watchers }
		running.Go(func() { _ = f.Run(ctx) }) // returns only the error of the context
	}
	const step = 500 * time.Millisecond
	var before storer.Calls
	for n := range int(watchPeriod / step) {
		if err := clock.BlockUntilContext(ctx, members); err != nil {
			return 0, err
		}
		if n == 0 {
			before = store.Calls()
		}
		clock.Advance(step)
	}
	if err := clock.BlockUntilContext(ctx, members); err != nil {
		return 0, err
	}
	after := store.Calls()
	calls := after.Gets - before.Gets + after.Lists - before.Lists + after.Watches - before.Watches
	return float64(calls) / watchPeriod.Seconds(), nil
}
