package measurer

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// lastNewWorkLimit is the guaranteed limit on the time between the statement and
// the last new request to the data centre.
const lastNewWorkLimit = 3 * time.Second

// measureDataCentreMove takes a data centre out of service and brings it back in,
// both under load.
func measureDataCentreMove(ctx context.Context, binaries string) ([]Figure, error) {
	spec := deskSpec(20)
	spec.Instances = 8
	return withBench(ctx, binaries, spec, func(ctx context.Context, b *bench) ([]Figure, error) {
		name := spec.DataCentres[0]
		// The first load is discarded, as the targets have only just become warm.
		moderateLoad().Run(ctx, b.queryPartial)
		before := moderateLoad().Run(ctx, b.queryPartial)
		takeOut, takeOutTiming, err := b.runLoadWithStatement(ctx, "TakeOut DataCentre "+name+` { Reason = "measurement"; };`)
		if err != nil {
			return nil, err
		}
		all, err := b.Stats(ctx)
		if err != nil {
			return nil, err
		}
		var last time.Duration
		for _, s := range all {
			if s.DataCentre == name {
				last = max(last, s.LastNewWork.Sub(takeOutTiming.start))
			}
		}
		bringIn, bringInTiming, err := b.runLoadWithStatement(ctx, "BringIn DataCentre "+name+";")
		if err != nil {
			return nil, err
		}
		slowest := max(takeOutTiming.elapsed, bringInTiming.elapsed)
		ratio := func(r *LoadResult) float64 { return r.Quantile(99).Seconds() / before.Quantile(99).Seconds() }
		return []Figure{
			{
				Name: "last new work in a data centre after the statement", Value: last.Seconds(), Unit: "s",
				Target: "none after 3", Met: last <= lastNewWorkLimit, Detail: "8 instances, from the start of jujubectl",
			},
			{
				Name: "statement to in force on 8 instances", Value: slowest.Seconds(), Unit: "s", Naive: "10 (poll)",
				Target: "at most 2", Met: slowest <= 2*time.Second, Detail: "worse of 2 statements, whole run of jujubectl",
			},
			{
				Name: "p99 while a data centre leaves", Value: ratio(takeOut), Unit: "of before", Target: "at most 1.2",
				Met: ratio(takeOut) <= 1.2, Detail: describeResults(takeOut, before, 99),
			},
			{
				Name: "p99 while a data centre returns", Value: ratio(bringIn), Unit: "of before", Target: "at most 1.2",
				Met: ratio(bringIn) <= 1.2, Detail: describeResults(bringIn, before, 99),
			},
		}, nil
	})
}

// statementTiming is the time at which a statement was sent, and the time until all
// instances had applied it.
type statementTiming struct {
	start   time.Time
	elapsed time.Duration
}

// runLoadWithStatement runs a moderate load and, after a quarter of it, a statement.
func (b *bench) runLoadWithStatement(ctx context.Context, statement string) (*LoadResult, statementTiming, error) {
	var timing statementTiming
	var err error
	var running sync.WaitGroup
	running.Go(func() {
		time.Sleep(loadTime / 4)
		timing.start = time.Now()
		err = b.RunStatements(ctx, statement)
		timing.elapsed = time.Since(timing.start)
	})
	result := moderateLoad().Run(ctx, b.queryPartial)
	running.Wait()
	if err != nil {
		return nil, statementTiming{}, fmt.Errorf("statement %s: %w", statement, err)
	}
	return result, timing, nil
}
