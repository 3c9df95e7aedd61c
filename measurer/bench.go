package measurer

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/samber/oops"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/asker"
	"jujubegate.example/jujubegate/launcher"
	"jujubegate.example/jujubegate/standin/target"
)

// warmUpTimeout limits the time until all targets are warm.
const warmUpTimeout = 60 * time.Second

// bench is a running fleet with a client of the query tier (asker) and the naive
// tier to compare it with.
type bench struct {
	*launcher.Fleet
	asker *asker.Asker
	naive *naiveTier
}

// withBench starts a fleet, declares its service, warms up the targets, runs a
// measurement and stops the fleet. The logs are kept if anything failed.
func withBench(ctx context.Context, binaries string, spec launcher.Spec, measure func(ctx context.Context, b *bench) ([]Figure, error)) (figures []Figure, err error) {
	directory, err := os.MkdirTemp("", "jujubemeasure")
	if err != nil {
		return nil, oops.In("measurer").Wrap(err)
	}
	l := launcher.New(binaries, directory)
	defer func() {
		stopErr := l.StopAll()
		if err == nil {
			err = stopErr
		}
		if err != nil {
			err = oops.In("measurer").Wrapf(err, "logs are in %s", directory)
			return
		}
		_ = os.RemoveAll(directory)
	}()
	fleet, err := l.StartFleet(ctx, spec)
	if err != nil {
		return nil, err
	}
	b := &bench{Fleet: fleet, naive: newNaiveTier(fleet)}
	b.asker = asker.New(fleet.CallerAddresses, jujubegate.DataCentre(spec.DataCentres[0]), "measure", clockwork.NewRealClock())
	defer b.naive.close()
	if err := b.RunStatements(ctx, b.Declarations()); err != nil {
		return nil, err
	}
	if err := b.warmUp(ctx); err != nil {
		return nil, err
	}
	return measure(ctx, b)
}

// warmUp sends queries until the lookup returns as many instances as it can (all,
// but at most 4) and 100 answers in a row were whole.
func (b *bench) warmUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, warmUpTimeout)
	defer cancel()
	const wantedAnswers = 100
	for consecutive := 0; consecutive < wantedAnswers; {
		addresses, err := b.asker.Addresses(ctx)
		whole := false
		if err == nil && len(addresses) == min(b.Spec.Instances, 4) {
			whole, err = b.queryPartial(ctx, 0)
		}
		consecutive++
		if !whole {
			consecutive = 0
			time.Sleep(20 * time.Millisecond)
		}
		if ctx.Err() != nil {
			return oops.In("measurer").Wrapf(ctx.Err(), "fleet did not warm up: %v", err)
		}
	}
	return nil
}

// queryPartial sends a query through the query tier and accepts a partial answer.
func (b *bench) queryPartial(ctx context.Context, _ int) (bool, error) { return b.query(ctx, true) }

// queryWhole sends a query through the query tier and accepts only a whole answer.
func (b *bench) queryWhole(ctx context.Context, _ int) (bool, error) { return b.query(ctx, false) }

func (b *bench) query(ctx context.Context, partial bool) (bool, error) {
	answer, err := b.asker.Query(ctx, asker.QueryRequest{
		Service: b.Spec.Service(), Route: "Search", Body: json.RawMessage(`{}`), AllowPartial: partial,
	})
	return err == nil && answer.Whole(), err
}

// controlAll sends a control message to every target.
func (b *bench) controlAll(ctx context.Context, control target.Control) error {
	for i := range b.Targets {
		if err := b.Control(ctx, i, control); err != nil {
			return err
		}
	}
	return nil
}

// settingsControl returns a control message that changes the settings of a target;
// fields is a JSON object of settings.
func settingsControl(fields string) target.Control {
	return target.Control{Set: json.RawMessage(fields)}
}

// countAttempts returns the numbers of repeats (hedges and retries) and of
// first attempts so far.
func (b *bench) countAttempts(ctx context.Context) (extra, first int64, err error) {
	for _, name := range []string{"SubRequestsHedged", "SubRequestsRetried"} {
		value, err := b.SumMetric(ctx, name)
		if err != nil {
			return 0, 0, err
		}
		extra += value
	}
	all, err := b.SumMetric(ctx, "SubRequests")
	return extra, all - extra, err
}

// Measurement is a named scenario that yields a group of figures.
type Measurement struct {
	Name string
	Run  func(ctx context.Context, binaries string) ([]Figure, error)
}

// Run runs the wanted measurements, or all if wanted is empty, and prints the
// figures of each when it ends.
func Run(ctx context.Context, binaries string, wanted jujubegate.Set[string], out io.Writer) ([]Figure, error) {
	var all []Figure
	for _, m := range measurements {
		if wanted.Len() > 0 && !wanted.Has(m.Name) {
			continue
		}
		figures, err := m.Run(ctx, binaries)
		if err != nil {
			return all, oops.In("measurer").Wrapf(err, "measurement %s", m.Name)
		}
		for _, f := range figures {
			if _, err := fmt.Fprintln(out, f); err != nil {
				return all, err
			}
		}
		all = append(all, figures...)
	}
	return all, nil
}
