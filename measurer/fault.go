package measurer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/google/uuid"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/asker"
	"jujubegate.example/jujubegate/standin/platform"
	"jujubegate.example/jujubegate/standin/target"
)

const (
	// faultLoadTime is the duration of the load; the fault begins after a quarter
	// of it.
	faultLoadTime = 16 * time.Second
	// orderSpacing is the time between the end of an order and the next one; there
	// is only one ordering caller.
	orderSpacing = 50 * time.Millisecond
	orderTimeout = 3 * time.Second
	// leavingLimit is the guaranteed limit on the time between the start of a
	// target's leaving and its last new request.
	leavingLimit = 3 * time.Second
)

// reportedOutcomes holds the outcomes that were reported to the caller, by order ID.
type reportedOutcomes struct {
	byOrder map[string]jujubegate.Outcome
}

func (r reportedOutcomes) count(o jujubegate.Outcome) int {
	n := 0
	for _, outcome := range r.byOrder {
		if outcome == o {
			n++
		}
	}
	return n
}

// underFault runs queries and orders, calls fault after a quarter of the time, and
// returns the results of the queries and the reported outcomes of the orders.
func (b *bench) underFault(ctx context.Context, fault func(ctx context.Context) error) (*LoadResult, reportedOutcomes, error) {
	var work sync.WaitGroup
	var faultErr error
	orders := reportedOutcomes{byOrder: make(map[string]jujubegate.Outcome)}
	end := time.Now().Add(faultLoadTime)
	work.Go(func() {
		time.Sleep(faultLoadTime / 4)
		faultErr = fault(ctx)
	})
	work.Go(func() {
		for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
			id, outcome := b.order(ctx, n)
			orders.byOrder[id] = outcome
			time.Sleep(orderSpacing)
		}
	})
	l := moderateLoad()
	l.Duration = faultLoadTime
	result := l.Run(ctx, b.queryPartial)
	work.Wait()
	return result, orders, errors.Join(faultErr, ctx.Err())
}

func (b *bench) order(ctx context.Context, n int) (string, jujubegate.Outcome) {
	id := uuid.Must(uuid.NewV7()).String()
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	_, err := b.asker.Order(ctx, asker.OrderRequest{
		Service: b.Spec.Service(), Route: "Book", ID: id, Key: strconv.Itoa(n), Body: json.RawMessage(`{}`), First: true,
	})
	var refusal *jujubegate.Refusal
	switch {
	case err == nil:
		return id, jujubegate.Ran
	case errors.As(err, &refusal):
		return id, refusal.Outcome
	}
	return id, jujubegate.Unknown
}

// faultFigures compares the answers and outcomes that callers got with the counters
// of the targets. minWhole is the required percentage of whole answers.
func (b *bench) faultFigures(ctx context.Context, name string, result *LoadResult, orders reportedOutcomes, minWhole float64) ([]Figure, error) {
	all, err := b.Stats(ctx)
	if err != nil {
		return nil, err
	}
	var ran, ranTwice, coldOverloads int64
	var mostInFlight, mostConnections int
	for _, s := range all {
		ran += s.Orders
		ranTwice += s.DoubleRuns
		coldOverloads += s.ColdOverload
		mostInFlight = max(mostInFlight, s.MaxInFlight)
		mostConnections = max(mostConnections, s.MaxConnections)
	}
	ranOnce := ran - ranTwice
	reportedRan, reportedUnknown := int64(orders.count(jujubegate.Ran)), int64(orders.count(jujubegate.Unknown))
	violations := ranTwice + max(0, reportedRan-ranOnce) + max(0, ranOnce-reportedRan-reportedUnknown)
	wholePercent := 100 * result.WholeShare()
	exceeded := float64(coldOverloads) + float64(max(0, mostInFlight-b.Spec.Target.Slots)) + float64(max(0, mostConnections-b.Spec.Target.Connections))
	return []Figure{
		{
			Name: name + ": whole answers", Value: wholePercent, Unit: "%", Target: fmt.Sprintf("at least %v", minWhole), Met: wholePercent >= minWhole,
			Detail: fmt.Sprintf("%d of %d, partial %d, refused %v, p99 %v", result.Whole, result.Sent, result.Partial, result.Reasons, result.Quantile(99)),
		},
		{
			Name: name + ": orders run twice or told falsely", Value: float64(violations), Unit: "orders", Target: "0", Met: violations == 0,
			Detail: fmt.Sprintf("told run %d, not run %d, unknown %d; run %d, twice %d",
				reportedRan, orders.count(jujubegate.NotRun), reportedUnknown, ranOnce, ranTwice),
		},
		{
			Name: name + ": limits of targets exceeded", Value: exceeded, Unit: "times", Target: "0", Met: exceeded == 0,
			Detail: fmt.Sprintf("%d falls of cold targets, at most %d of %d slots and %d of %d connections",
				coldOverloads, mostInFlight, b.Spec.Target.Slots, mostConnections, b.Spec.Target.Connections),
		},
	}, nil
}

// withFault measures the effect of a fault on a fleet of four instances.
func withFault(ctx context.Context, binaries, name string, minWhole float64, fault func(ctx context.Context, b *bench) error) ([]Figure, error) {
	spec := deskSpec(20)
	spec.Instances = 4
	return withBench(ctx, binaries, spec, func(ctx context.Context, b *bench) ([]Figure, error) {
		result, orders, err := b.underFault(ctx, func(ctx context.Context) error { return fault(ctx, b) })
		if err != nil {
			return nil, err
		}
		return b.faultFigures(ctx, name, result, orders, minWhole)
	})
}

// measureCrash kills one of four instances. The required share of whole answers is
// that for the loss of a replica.
func measureCrash(ctx context.Context, binaries string) ([]Figure, error) {
	return withFault(ctx, binaries, "instance killed", 99.9, func(ctx context.Context, b *bench) error {
		if err := b.Kill(0); err != nil {
			return err
		}
		return b.Unlist(ctx, "entry1")
	})
}

// measurePause suspends one instance for longer than its lease and then resumes it.
func measurePause(ctx context.Context, binaries string) ([]Figure, error) {
	return withFault(ctx, binaries, "instance paused for 5 s", 99.9, func(_ context.Context, b *bench) error {
		if err := b.Daemons[0].Signal(syscall.SIGSTOP); err != nil {
			return err
		}
		time.Sleep(5 * time.Second)
		return b.Daemons[0].Signal(syscall.SIGCONT)
	})
}

// measureGracefulStop stops one instance with SIGTERM.
func measureGracefulStop(ctx context.Context, binaries string) ([]Figure, error) {
	return withFault(ctx, binaries, "instance stopped by SIGTERM", 100, func(_ context.Context, b *bench) error {
		return b.Daemons[0].Stop()
	})
}

// measureStoreOutage makes the store hang for half of the time.
func measureStoreOutage(ctx context.Context, binaries string) ([]Figure, error) {
	return withFault(ctx, binaries, "store down for 8 s", 99.9, func(ctx context.Context, b *bench) error {
		if err := b.SetFaults(ctx, platform.Faults{Outage: platform.OutageHang}); err != nil {
			return err
		}
		time.Sleep(faultLoadTime / 2)
		return b.SetFaults(ctx, platform.Faults{})
	})
}

// measureLeavingTargets drains one target by its own signal and another only by the
// platform's list.
func measureLeavingTargets(ctx context.Context, binaries string) ([]Figure, error) {
	return withBench(ctx, binaries, deskSpec(20), func(ctx context.Context, b *bench) ([]Figure, error) {
		var start time.Time
		result, _, err := b.underFault(ctx, func(ctx context.Context) error {
			start = time.Now()
			entry := platform.Entry{Name: b.Targets[2].Address, Kind: platform.KindTarget, Leaving: true}
			return errors.Join(b.Control(ctx, 0, target.Control{Set: json.RawMessage(`{"Draining":true}`)}), b.List(ctx, entry))
		})
		if err != nil {
			return nil, err
		}
		all, err := b.Stats(ctx)
		if err != nil {
			return nil, err
		}
		var figures []Figure
		for _, c := range []struct {
			name  string
			index int
		}{{"by its own signal", 0}, {"by the platform's list", 2}} {
			last := max(0, all[c.index].LastNewWork.Sub(start))
			figures = append(figures, Figure{
				Name: "last new work of a target that leaves " + c.name, Value: last.Seconds(), Unit: "s",
				Target: "none after 3", Met: last <= leavingLimit,
				Detail: fmt.Sprintf("load goes on for 12 s after it; %d of %d answers whole", result.Whole, result.Sent),
			})
		}
		return figures, nil
	})
}
