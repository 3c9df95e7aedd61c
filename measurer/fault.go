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
	// faultTime is the length of the load around a fault, which begins after a
	// quarter of it.
	faultTime = 16 * time.Second
	// orderSpacing is the time between two orders of the one ordering caller.
	orderSpacing = 50 * time.Millisecond
	orderTimeout = 3 * time.Second
	// leavingLimit is the promised time from the start of a target's leaving to
	// its last new work.
	leavingLimit = 3 * time.Second
)

// told counts the outcomes that callers were told.
type told struct {
	outcomes map[string]jujubegate.Outcome
}

func (t told) count(o jujubegate.Outcome) int {
	n := 0
	for _, outcome := range t.outcomes {
		if outcome == o {
			n++
		}
	}
	return n
}

// underFault runs queries and orders, calls fault after a quarter of the time,
// and returns what became of them.
func (b *bench) underFault(ctx context.Context, fault func(ctx context.Context) error) (*Outcome, told, error) {
	var work sync.WaitGroup
	var faultErr error
	orders := told{outcomes: make(map[string]jujubegate.Outcome)}
	ending := time.Now().Add(faultTime)
	work.Go(func() {
		time.Sleep(faultTime / 4)
		faultErr = fault(ctx)
	})
	work.Go(func() {
		for n := 0; time.Now().Before(ending) && ctx.Err() == nil; n++ {
			id, outcome := b.order(ctx, n)
			orders.outcomes[id] = outcome
			time.Sleep(orderSpacing)
		}
	})
	l := moderate()
	l.Duration = faultTime
	outcome := l.Run(ctx, b.ask)
	work.Wait()
	return outcome, orders, errors.Join(faultErr, ctx.Err())
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

// faultFigures compares what callers were told with what the targets counted.
func (b *bench) faultFigures(ctx context.Context, name string, outcome *Outcome, orders told, wanted float64) ([]Figure, error) {
	all, err := b.Stats(ctx)
	if err != nil {
		return nil, err
	}
	var ran, twice, falls int64
	var busiest, connections int
	for _, s := range all {
		ran += s.Orders
		twice += s.DoubleRuns
		falls += s.ColdOverload
		busiest = max(busiest, s.MaxInFlight)
		connections = max(connections, s.MaxConnections)
	}
	ranOnce := ran - twice
	toldRan, toldUnknown := int64(orders.count(jujubegate.Ran)), int64(orders.count(jujubegate.Unknown))
	wrong := twice + max(0, toldRan-ranOnce) + max(0, ranOnce-toldRan-toldUnknown)
	share := 100 * outcome.WholeShare()
	above := float64(falls) + float64(max(0, busiest-b.Spec.Target.Slots)) + float64(max(0, connections-b.Spec.Target.Connections))
	return []Figure{
		{
			Name: name + ": whole answers", Value: share, Unit: "%", Target: fmt.Sprintf("at least %v", wanted), Met: share >= wanted,
			Detail: fmt.Sprintf("%d of %d, partial %d, refused %v, p99 %v", outcome.Whole, outcome.Sent, outcome.Partial, outcome.Reasons, outcome.Quantile(99)),
		},
		{
			Name: name + ": orders run twice or told falsely", Value: float64(wrong), Unit: "orders", Target: "0", Met: wrong == 0,
			Detail: fmt.Sprintf("told run %d, not run %d, unknown %d; run %d, twice %d",
				toldRan, orders.count(jujubegate.NotRun), toldUnknown, ranOnce, twice),
		},
		{
			Name: name + ": limits of targets exceeded", Value: above, Unit: "times", Target: "0", Met: above == 0,
			Detail: fmt.Sprintf("%d falls of cold targets, at most %d of %d slots and %d of %d connections",
				falls, busiest, b.Spec.Target.Slots, connections, b.Spec.Target.Connections),
		},
	}, nil
}

// withFault measures a fault on four instances.
func withFault(ctx context.Context, binaries, name string, wanted float64, fault func(ctx context.Context, b *bench) error) ([]Figure, error) {
	spec := desk(20)
	spec.Instances = 4
	return withBench(ctx, binaries, spec, func(ctx context.Context, b *bench) ([]Figure, error) {
		outcome, orders, err := b.underFault(ctx, func(ctx context.Context) error { return fault(ctx, b) })
		if err != nil {
			return nil, err
		}
		return b.faultFigures(ctx, name, outcome, orders, wanted)
	})
}

// crash kills one of four instances. The target is that of a lost replica.
func crash(ctx context.Context, binaries string) ([]Figure, error) {
	return withFault(ctx, binaries, "instance killed", 99.9, func(ctx context.Context, b *bench) error {
		if err := b.Kill(0); err != nil {
			return err
		}
		return b.Unlist(ctx, "entry1")
	})
}

// pause stops one instance for longer than its lease and lets it go on.
func pause(ctx context.Context, binaries string) ([]Figure, error) {
	return withFault(ctx, binaries, "instance paused for 5 s", 99.9, func(_ context.Context, b *bench) error {
		if err := b.Daemons[0].Signal(syscall.SIGSTOP); err != nil {
			return err
		}
		time.Sleep(5 * time.Second)
		return b.Daemons[0].Signal(syscall.SIGCONT)
	})
}

// leave stops one instance gracefully.
func leave(ctx context.Context, binaries string) ([]Figure, error) {
	return withFault(ctx, binaries, "instance stopped by SIGTERM", 100, func(_ context.Context, b *bench) error {
		return b.Daemons[0].Stop()
	})
}

// storeOutage takes the store down for half of the time.
func storeOutage(ctx context.Context, binaries string) ([]Figure, error) {
	return withFault(ctx, binaries, "store down for 8 s", 99.9, func(ctx context.Context, b *bench) error {
		if err := b.SetFaults(ctx, platform.Faults{Outage: platform.OutageHang}); err != nil {
			return err
		}
		time.Sleep(faultTime / 2)
		return b.SetFaults(ctx, platform.Faults{})
	})
}

// leavingTarget lets one target drain by its own signal and another by the
// platform's list alone.
func leavingTarget(ctx context.Context, binaries string) ([]Figure, error) {
	return withBench(ctx, binaries, desk(20), func(ctx context.Context, b *bench) ([]Figure, error) {
		var start time.Time
		outcome, _, err := b.underFault(ctx, func(ctx context.Context) error {
			start = time.Now()
			listed := platform.Entry{Name: b.Targets[2].Address, Kind: platform.KindTarget, Leaving: true}
			return errors.Join(b.Control(ctx, 0, target.Control{Set: json.RawMessage(`{"Draining":true}`)}), b.List(ctx, listed))
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
				Detail: fmt.Sprintf("load goes on for 12 s after it; %d of %d answers whole", outcome.Whole, outcome.Sent),
			})
		}
		return figures, nil
	})
}
