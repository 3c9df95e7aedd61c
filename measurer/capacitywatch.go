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
	// watchersPerCell is the number of watchers of the store, as in assembler.
	watchersPerCell = 2
	// watchTime is the simulated time for which watches are counted.
	watchTime = 5 * time.Minute
)

// watches counts the store calls of the followers of a cell over simulated
// time in which nothing changes, without those at their start. Members that
// hear no majority watch the store as well.
func watches(ctx context.Context) ([]Capacity, error) {
	var figures []Capacity
	for _, k := range []struct {
		name     string
		watchers func(members int) int
	}{
		{"calls of the followers of one cell, nothing changes", func(int) int { return watchersPerCell }},
		{"calls of the followers of one cell, no majority", func(members int) int { return members }},
	} {
		c := Capacity{Role: "watcher", Name: k.name, Unit: "1/s", Per: "members", Future: futureMembers, Budget: budgetReads}
		for _, members := range []int{8, 32, futureCell} {
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

// countWatches returns the store calls a second.
func countWatches(ctx context.Context, members, watchers int) (float64, error) {
	clock := clockwork.NewFakeClock()
	store := storer.NewMemory(clock, 1)
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	for i := range members {
		f := configurator.New(store.Store, clock, zap.NewNop())
		f.Watcher = func() bool { return i < watchers }
		running.Go(func() { _ = f.Run(ctx) }) // it returns no error but that of the context
	}
	const step = 500 * time.Millisecond
	var before storer.Calls
	for n := range int(watchTime / step) {
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
	return float64(calls) / watchTime.Seconds(), nil
}
