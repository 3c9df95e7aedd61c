package measurer

import (
	"context"
	"fmt"
	"time"

	"jujubegate.example/jujubegate/launcher"
	"jujubegate.example/jujubegate/standin/target"
)

// measurements lists the measurements in the order in which they run.
var measurements = []Measurement{
	{"Straggler20", func(ctx context.Context, binaries string) ([]Figure, error) { return measureTail(ctx, binaries, 20) }},
	{"Straggler30", func(ctx context.Context, binaries string) ([]Figure, error) { return measureTail(ctx, binaries, 30) }},
	{"Stall", measureStall},
	{"Down", measureTargetDown},
	{"Overload", measureOverload},
	{"Cold", measureColdTargets},
	{"DataCentre", measureDataCentreMove},
	{"Version", measureVersionMoves},
	{"Crash", measureCrash},
	{"Pause", measurePause},
	{"Leave", measureGracefulStop},
	{"StoreOutage", measureStoreOutage},
	{"LeavingTarget", measureLeavingTargets},
	{"Processor", measureProcessorTime},
}

const (
	loadTime    = 8 * time.Second
	loadTimeout = 3 * time.Second
	maxInFlight = 2000
	seed        = 1
)

// deskSpec returns the spec of the dispatch desk with the given number of shards.
func deskSpec(shards int) launcher.Spec {
	spec := launcher.DispatchDesk()
	spec.Shards = shards
	spec.LogLevel = "warn"
	return spec
}

// moderateLoad returns a load of about a fifth of the capacity of a shard, whose two
// targets have 2 slots each and take 5 ms per request.
func moderateLoad() Load {
	return Load{Rate: 150, Duration: loadTime, Timeout: loadTimeout, Seed: seed, MaxInFlight: maxInFlight}
}

// compare calls prepare and runs the load, first through the naive tier and then
// through the query tier.
func (b *bench) compare(ctx context.Context, l Load, prepare func() error) (queryTier, naive *LoadResult, err error) {
	if err := prepare(); err != nil {
		return nil, nil, err
	}
	naive = l.Run(ctx, b.naive.query)
	b.naive.close()
	if err := prepare(); err != nil {
		return nil, nil, err
	}
	queryTier = l.Run(ctx, b.queryPartial)
	return queryTier, naive, ctx.Err()
}

// measureTail compares the p99 of both tiers when 1 in 100 sub-requests takes 20
// times as long, and measures the extra sub-requests that this causes.
func measureTail(ctx context.Context, binaries string, shards int) ([]Figure, error) {
	spec := deskSpec(shards)
	return withBench(ctx, binaries, spec, func(ctx context.Context, b *bench) ([]Figure, error) {
		err := b.controlAll(ctx, settingsControl(`{"StraggleShare":0.01,"StraggleFactor":20}`))
		if err != nil {
			return nil, err
		}
		extraBefore, firstBefore, err := b.countAttempts(ctx)
		if err != nil {
			return nil, err
		}
		queryTier, naive, err := b.compare(ctx, moderateLoad(), func() error { return nil })
		if err != nil {
			return nil, err
		}
		extra, first, err := b.countAttempts(ctx)
		if err != nil {
			return nil, err
		}
		ratio := queryTier.Quantile(99).Seconds() / naive.Quantile(99).Seconds()
		share := float64(extra-extraBefore) / float64(first-firstBefore)
		return []Figure{
			{
				Name: fmt.Sprintf("p99, 1 in 100 sub-requests 20 times slower, fan-out %d", shards), Value: ratio, Unit: "of naive",
				Naive: "1", Target: "at most 0.4", Met: ratio <= 0.4, Detail: describeResults(queryTier, naive, 99),
			},
			{
				Name: fmt.Sprintf("extra sub-requests, fan-out %d", shards), Value: 100 * share, Unit: "%",
				Target: "at most 5", Met: share <= 0.05, Detail: fmt.Sprintf("%d of %d", extra-extraBefore, first-firstBefore),
			},
		}, nil
	})
}

// describeResults returns a text with the median, the q-th percentile and the number
// of whole answers for both tiers.
func describeResults(queryTier, naive *LoadResult, q float64) string {
	return fmt.Sprintf("p50 %v and %v, p%v %v and %v, whole %d of %d and %d of %d, partial %d, refused %v",
		queryTier.Quantile(50), naive.Quantile(50), q, queryTier.Quantile(q), naive.Quantile(q), queryTier.Whole, queryTier.Sent,
		naive.Whole, naive.Sent, queryTier.Partial, queryTier.Reasons)
}

// measureStall stalls one target for a quarter of the load.
func measureStall(ctx context.Context, binaries string) ([]Figure, error) {
	return withBench(ctx, binaries, deskSpec(20), func(ctx context.Context, b *bench) ([]Figure, error) {
		queryTier, naive, err := b.compare(ctx, moderateLoad(), func() error {
			b.scheduleControls(ctx, loadTime/4, loadTime/2, settingsControl(`{"Stalled":true}`), settingsControl(`{"Stalled":false}`))
			return nil
		})
		if err != nil {
			return nil, err
		}
		ratio := queryTier.Quantile(99.9).Seconds() / naive.Quantile(99.9).Seconds()
		return []Figure{{
			Name: "p99.9, one target stalled, then recovered", Value: ratio, Unit: "of naive", Naive: "1",
			Target: "at most 0.3", Met: ratio <= 0.3, Detail: describeResults(queryTier, naive, 99.9),
		}}, nil
	})
}

// scheduleControls sends the first control message to target 0 after firstAfter and
// the second one after secondAfter.
func (b *bench) scheduleControls(ctx context.Context, firstAfter, secondAfter time.Duration, first, second target.Control) {
	go func() {
		start := time.Now()
		time.Sleep(firstAfter)
		// A failure shows in the figure of the naive tier.
		_ = b.Control(ctx, 0, first)
		time.Sleep(secondAfter - time.Since(start))
		_ = b.Control(ctx, 0, second)
	}()
}

// measureTargetDown takes one target of a shard down after a quarter of the load. A
// target that is down accepts no further control message, so the target taken down
// for the naive tier is still down when the query tier is measured after it.
func measureTargetDown(ctx context.Context, binaries string) ([]Figure, error) {
	return withBench(ctx, binaries, deskSpec(20), func(ctx context.Context, b *bench) ([]Figure, error) {
		next := 0
		queryTier, naive, err := b.compare(ctx, moderateLoad(), func() error {
			index := next
			next += b.Spec.Replicas
			go func() {
				time.Sleep(loadTime / 4)
				// A failure shows in the figure of the naive tier, which then has no fault.
				_ = b.Control(ctx, index, settingsControl(`{"Down":true}`))
			}()
			return nil
		})
		if err != nil {
			return nil, err
		}
		share := 100 * queryTier.WholeShare()
		return []Figure{{
			Name: "whole answers, one target of a shard goes down", Value: share, Unit: "%",
			Naive: number(100 * naive.WholeShare()), Target: "at least 99.9", Met: share >= 99.9, Detail: describeResults(queryTier, naive, 99),
		}}, nil
	})
}

// measureOverload determines the capacity as the largest goodput under a rising
// load, and then offers twice as much.
func measureOverload(ctx context.Context, binaries string) ([]Figure, error) {
	spec := deskSpec(20)
	// The longer service time makes the slots the bottleneck rather than this machine.
	spec.Target.ServiceTimeMs = 20
	return withBench(ctx, binaries, spec, func(ctx context.Context, b *bench) ([]Figure, error) {
		l := Load{Duration: loadTime / 2, Timeout: loadTimeout, Seed: seed, MaxInFlight: maxInFlight}
		capacity := 0.0
		for rate := 80.0; rate <= 240; rate += 40 {
			l.Rate = rate
			capacity = max(capacity, l.Run(ctx, b.queryWhole).Goodput())
		}
		l.Duration, l.Rate = loadTime, capacity
		atCapacity := l.Run(ctx, b.queryWhole)
		extraBefore, firstBefore, err := b.countAttempts(ctx)
		if err != nil {
			return nil, err
		}
		l.Rate = 2 * capacity
		overCapacity := l.Run(ctx, b.queryWhole)
		extra, first, err := b.countAttempts(ctx)
		if err != nil {
			return nil, err
		}
		naiveAtCapacity := Load{Rate: capacity, Duration: loadTime, Timeout: loadTimeout, Seed: seed, MaxInFlight: maxInFlight}.Run(ctx, b.naive.query)
		naiveOverCapacity := l.Run(ctx, b.naive.query)
		ratio := overCapacity.Goodput() / atCapacity.Goodput()
		share := 100 * float64(extra-extraBefore) / float64(max(first-firstBefore, 1))
		return []Figure{
			{
				Name: "goodput at 2 times capacity", Value: ratio, Unit: "of that at capacity",
				Naive:  number(naiveOverCapacity.Goodput() / naiveAtCapacity.Goodput()),
				Target: "at least 0.95", Met: ratio >= 0.95,
				Detail: fmt.Sprintf("%.0f/s of %.0f/s at capacity, %.0f/s of %.0f/s offered over it, refused %v",
					atCapacity.Goodput(), capacity, overCapacity.Goodput(), 2*capacity, overCapacity.Reasons),
			},
			{
				Name: "extra sub-requests in overload", Value: share, Unit: "%", Target: "at most 1", Met: share <= 1,
				Detail: fmt.Sprintf("%d of %d", extra-extraBefore, first-firstBefore),
			},
		}, ctx.Err()
	})
}

// measureColdTargets restarts all targets one after another while a load runs, so
// that each is cold for a while, first for the query tier and then for the naive one.
func measureColdTargets(ctx context.Context, binaries string) ([]Figure, error) {
	return withBench(ctx, binaries, deskSpec(20), func(ctx context.Context, b *bench) ([]Figure, error) {
		restart := func() {
			go func() {
				for i := range b.Targets {
					time.Sleep(loadTime / time.Duration(2*len(b.Targets)))
					_ = b.Control(ctx, i, target.Control{Restart: true})
				}
			}()
		}
		countColdOverloads := func() (int64, error) {
			all, err := b.Stats(ctx)
			var sum int64
			for _, s := range all {
				sum += s.ColdOverload
			}
			return sum, err
		}
		restart()
		queryTier := moderateLoad().Run(ctx, b.queryPartial)
		count, err := countColdOverloads()
		if err != nil {
			return nil, err
		}
		restart()
		naive := moderateLoad().Run(ctx, b.naive.query)
		total, err := countColdOverloads()
		if err != nil {
			return nil, err
		}
		return []Figure{{
			Name: "falls of cold targets, all restarted one after another", Value: float64(count), Unit: "falls",
			Naive: number(float64(total - count)), Target: "0", Met: count == 0, Detail: describeResults(queryTier, naive, 99),
		}}, nil
	})
}
