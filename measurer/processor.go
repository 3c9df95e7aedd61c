package measurer

import (
	"context"
	"fmt"
	"time"
)

// largeFanOut is the number of targets of a query at the fleet size expected in two
// years.
const largeFanOut = 1100

// measureProcessorTime measures the CPU time of the instances per first
// attempt of a sub-request.
func measureProcessorTime(ctx context.Context, binaries string) ([]Figure, error) {
	spec := deskSpec(largeFanOut)
	spec.Replicas = 1
	spec.Instances = 3
	spec.Target.Connections, spec.Target.Slots = 4, 2
	return withBench(ctx, binaries, spec, func(ctx context.Context, b *bench) ([]Figure, error) {
		sumProcessorTime := func() (time.Duration, error) {
			var sum time.Duration
			for _, d := range b.Daemons {
				t, err := d.ProcessorTime()
				if err != nil {
					return 0, err
				}
				sum += t
			}
			return sum, nil
		}
		_, firstBefore, err := b.countAttempts(ctx)
		if err != nil {
			return nil, err
		}
		before, err := sumProcessorTime()
		if err != nil {
			return nil, err
		}
		l := Load{Rate: 10, Duration: loadTime, Timeout: loadTimeout, Seed: seed, MaxInFlight: maxInFlight}
		result := l.Run(ctx, b.queryPartial)
		after, err := sumProcessorTime()
		if err != nil {
			return nil, err
		}
		_, first, err := b.countAttempts(ctx)
		if err != nil {
			return nil, err
		}
		perSubRequest := (after - before) / time.Duration(max(first-firstBefore, 1))
		return []Figure{{
			Name: "processor time per sub-request, fan-out 1,100, all in", Value: float64(perSubRequest.Nanoseconds()) / 1000, Unit: "µs",
			Target: "at most 20", Met: perSubRequest <= 20*time.Microsecond,
			Detail: fmt.Sprintf("%v for %d sub-requests, %d of %d answers whole, p99 %v",
				(after - before).Round(time.Millisecond), first-firstBefore, result.Whole, result.Sent, result.Quantile(99)),
		}}, nil
	})
}
