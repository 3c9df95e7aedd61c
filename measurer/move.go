package measurer

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// outLimit is the promised time from the statement to the last new work.
const outLimit = 3 * time.Second

// dataCentre takes a data centre out and back in under load.
func dataCentre(ctx context.Context, binaries string) ([]Figure, error) {
	spec := desk(20)
	spec.Instances = 8
	return withBench(ctx, binaries, spec, func(ctx context.Context, b *bench) ([]Figure, error) {
		name := spec.DataCentres[0]
		// The first load finds targets that have just become warm.
		moderate().Run(ctx, b.ask)
		before := moderate().Run(ctx, b.ask)
		leave, accepted, err := b.moderateDuring(ctx, "TakeOut DataCentre "+name+` { Reason = "measurement"; };`)
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
				last = max(last, s.LastNewWork.Sub(accepted.start))
			}
		}
		back, returned, err := b.moderateDuring(ctx, "BringIn DataCentre "+name+";")
		if err != nil {
			return nil, err
		}
		inForce := max(accepted.took, returned.took)
		ratio := func(o *Outcome) float64 { return o.Quantile(99).Seconds() / before.Quantile(99).Seconds() }
		return []Figure{
			{
				Name: "last new work in a data centre after the statement", Value: last.Seconds(), Unit: "s",
				Target: "none after 3", Met: last <= outLimit, Detail: "8 instances, from the start of jujubectl",
			},
			{
				Name: "statement to in force on 8 instances", Value: inForce.Seconds(), Unit: "s", Naive: "10 (poll)",
				Target: "at most 2", Met: inForce <= 2*time.Second, Detail: "worse of 2 statements, whole run of jujubectl",
			},
			{
				Name: "p99 while a data centre leaves", Value: ratio(leave), Unit: "of before", Target: "at most 1.2",
				Met: ratio(leave) <= 1.2, Detail: describe(leave, before, 99),
			},
			{
				Name: "p99 while a data centre returns", Value: ratio(back), Unit: "of before", Target: "at most 1.2",
				Met: ratio(back) <= 1.2, Detail: describe(back, before, 99),
			},
		}, nil
	})
}

// timed is when a statement was sent and how long it took to be in force.
type timed struct {
	start time.Time
	took  time.Duration
}

// moderateDuring runs a load and, a quarter into it, a statement.
func (b *bench) moderateDuring(ctx context.Context, statement string) (*Outcome, timed, error) {
	var result timed
	var err error
	var done sync.WaitGroup
	done.Go(func() {
		time.Sleep(loadTime / 4)
		result.start = time.Now()
		err = b.Statement(ctx, statement)
		result.took = time.Since(result.start)
	})
	outcome := moderate().Run(ctx, b.ask)
	done.Wait()
	if err != nil {
		return nil, timed{}, fmt.Errorf("statement %s: %w", statement, err)
	}
	return outcome, result, nil
}
