// Package demonstrator runs the whole path as separate processes on one
// machine and checks the promises on what it saw.
package demonstrator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/samber/oops"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/asker"
	"jujubegate.example/jujubegate/launcher"
)

const (
	queries     = 1000
	orders      = 100
	concurrency = 4
	// takenOut is the data centre that leaves and returns while queries run.
	takenOut = "Sliven"
	// outAfter and inAfter are the numbers of answered queries at which the
	// statements are run.
	outAfter = queries / 4
	inAfter  = queries * 3 / 4
	// outLimit is the promised time from acceptance to the last new work.
	outLimit = 3 * time.Second
	// requestTimeout bounds one query or order of the demo.
	requestTimeout = 5 * time.Second
	// prepareTime bounds the time to the first whole answer.
	prepareTime = 30 * time.Second
	// querySpacing keeps the demo's queries running while the data centre is
	// out for longer than outLimit.
	querySpacing = 40 * time.Millisecond
	// orderSpacing keeps the orders within the budget of writes to the store.
	orderSpacing = 60 * time.Millisecond
)

// Demo runs the whole path and collects what it saw.
type Demo struct {
	fleet *launcher.Fleet
	out   io.Writer
	asker *asker.Asker

	mu      sync.Mutex
	tally   Tally
	latency *hdrhistogram.Histogram
	problem error

	answered atomic.Int64
	accepted time.Time
}

// Run starts a fleet, runs the demo and prints its report. It returns an error
// if a promise was broken or the demo could not run.
func Run(ctx context.Context, l *launcher.Launcher, out io.Writer) (err error) {
	defer func() { err = errors.Join(err, l.StopAll()) }()
	spec := launcher.DispatchDesk()
	fmt.Fprintf(out, "starting %d targets in %d data centres and %d entry instances\n",
		spec.Shards*spec.Replicas, len(spec.DataCentres), spec.Instances)
	fleet, err := l.StartFleet(ctx, spec)
	if err != nil {
		return err
	}
	d := &Demo{
		fleet:   fleet,
		out:     out,
		asker:   asker.New(fleet.Callers, jujubegate.DataCentre(spec.DataCentres[0]), "demo", clockwork.NewRealClock()),
		latency: hdrhistogram.New(1, requestTimeout.Microseconds(), 3),
	}
	if err := d.prepare(ctx); err != nil {
		return err
	}
	d.run(ctx)
	if d.problem != nil {
		return d.problem
	}
	if err := d.inspect(ctx); err != nil {
		return err
	}
	d.print()
	return d.tally.Err(spec.Target.Connections)
}

// prepare declares the service and asks until the first whole answer, because
// all targets start cold for their new owners.
func (d *Demo) prepare(ctx context.Context) error {
	fmt.Fprintf(d.out, "declaring service %s with %d shards of %d targets\n", d.fleet.Spec.Service(), d.fleet.Spec.Shards, d.fleet.Spec.Replicas)
	if err := d.fleet.Statement(ctx, d.fleet.Declarations()); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, prepareTime)
	defer cancel()
	addresses, err := d.awaitAddresses(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(d.out, "addresses for callers: %v\n", addresses)
	for {
		answer, err := d.asker.Query(ctx, d.searchRequest(0))
		if err == nil && answer.Whole() {
			fmt.Fprintf(d.out, "first answer: snapshot %d, coverage %.0f%%, %d bytes of rows\n",
				answer.Snapshot, 100*answer.Coverage.Fraction, len(answer.Rows))
			return nil
		}
		select {
		case <-ctx.Done():
			return oops.In("demonstrator").Wrapf(errors.Join(ctx.Err(), err), "no whole answer in %v", prepareTime)
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// awaitAddresses asks for addresses until all instances are given out. An
// instance is ready before it has joined the others.
func (d *Demo) awaitAddresses(ctx context.Context) ([]string, error) {
	for {
		addresses, err := d.asker.Addresses(ctx)
		if err != nil || len(addresses) == d.fleet.Spec.Instances {
			return addresses, err
		}
		select {
		case <-ctx.Done():
			return nil, oops.In("demonstrator").Wrapf(ctx.Err(), "only %d of %d addresses are given out", len(addresses), d.fleet.Spec.Instances)
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (d *Demo) searchRequest(n int) asker.QueryRequest {
	return asker.QueryRequest{
		Service:      d.fleet.Spec.Service(),
		Route:        "Search",
		Body:         json.RawMessage(`{"Text":"stove ` + strconv.Itoa(n) + `"}`),
		AllowPartial: true,
	}
}

// run sends the queries and orders and, meanwhile, the operators' statements.
func (d *Demo) run(ctx context.Context) {
	fmt.Fprintf(d.out, "running %d queries and %d orders\n", queries, orders)
	var work sync.WaitGroup
	var next atomic.Int64
	for range concurrency {
		work.Go(func() {
			for n := next.Add(1); n <= queries; n = next.Add(1) {
				d.query(ctx, int(n))
				time.Sleep(querySpacing)
			}
		})
	}
	work.Go(func() {
		for n := range orders {
			d.order(ctx, n)
			time.Sleep(orderSpacing)
		}
	})
	work.Go(func() { d.move(ctx) })
	work.Wait()
}

func (d *Demo) query(ctx context.Context, n int) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	start := time.Now()
	answer, err := d.asker.Query(ctx, d.searchRequest(n))
	took := time.Since(start)
	d.answered.Add(1)
	d.mu.Lock()
	defer d.mu.Unlock()
	var refusal *jujubegate.Refusal
	switch {
	case errors.As(err, &refusal):
		d.tally.Refused++
		fmt.Fprintf(d.out, "  query %d refused: %v\n", n, refusal)
	case err != nil:
		d.tally.Failed++
		fmt.Fprintf(d.out, "  query %d failed: %v\n", n, err)
	case answer.Whole():
		d.tally.Whole++
		_ = d.latency.RecordValue(took.Microseconds())
	default:
		d.tally.Partial++
		fmt.Fprintf(d.out, "  query %d partial: %.0f%% covered\n", n, 100*answer.Coverage.Fraction)
	}
	if err == nil {
		d.tally.check(answer, d.fleet.Spec.Shards)
	}
}

func (d *Demo) order(ctx context.Context, n int) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	id, err := uuid.NewV7()
	if err != nil {
		d.fail(oops.In("demonstrator").Wrap(err))
		return
	}
	answer, err := d.asker.Order(ctx, asker.OrderRequest{
		Service: d.fleet.Spec.Service(),
		Route:   "Book",
		ID:      id.String(),
		Key:     "visit " + strconv.Itoa(n),
		Body:    json.RawMessage(`{"Village":"Gela"}`),
		First:   true,
	})
	outcome := answer.Outcome
	var refusal *jujubegate.Refusal
	switch {
	case errors.As(err, &refusal):
		outcome = refusal.Outcome.String()
		fmt.Fprintf(d.out, "  order %d refused: %v\n", n, refusal)
	case err != nil:
		outcome = jujubegate.Unknown.String()
		fmt.Fprintf(d.out, "  order %d failed: %v\n", n, err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tally.addOrder(id.String(), outcome)
}

// move takes a data centre out and brings it back by statements.
func (d *Demo) move(ctx context.Context) {
	for _, step := range []struct {
		after     int64
		statement string
	}{
		{outAfter, "TakeOut DataCentre " + takenOut + ` { Reason = "power work"; };`},
		{inAfter, "BringIn DataCentre " + takenOut + ";"},
	} {
		for d.answered.Load() < step.after && ctx.Err() == nil {
			time.Sleep(10 * time.Millisecond)
		}
		if step.after == inAfter {
			if err := d.lastNewWork(ctx); err != nil {
				d.fail(err)
				return
			}
		}
		start := time.Now()
		if err := d.fleet.Statement(ctx, step.statement); err != nil {
			d.fail(err)
			return
		}
		// Acceptance lies between start and now; start is the stricter choice.
		if step.after == outAfter {
			d.accepted = start
		}
		fmt.Fprintf(d.out, "  %s in force everywhere after %v\n", step.statement, time.Since(start).Round(time.Millisecond))
	}
}

func (d *Demo) fail(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.problem = errors.Join(d.problem, err)
}

// lastNewWork notes when the data centre that was taken out last got new work.
func (d *Demo) lastNewWork(ctx context.Context) error {
	all, err := d.fleet.Stats(ctx)
	if err != nil {
		return err
	}
	d.tally.OutFor = time.Since(d.accepted)
	for _, s := range all {
		if s.DataCentre == takenOut && s.LastNewWork.After(d.accepted) {
			d.tally.LastNewWork = max(d.tally.LastNewWork, s.LastNewWork.Sub(d.accepted))
		}
	}
	return nil
}

// inspect reads what the targets and the daemons counted.
func (d *Demo) inspect(ctx context.Context) error {
	all, err := d.fleet.Stats(ctx)
	if err != nil {
		return err
	}
	for _, s := range all {
		d.tally.addTarget(s)
	}
	for i := range d.fleet.Callers {
		variables, err := d.fleet.Variables(ctx, i)
		if err != nil {
			return err
		}
		if err := d.tally.addVars(variables); err != nil {
			return err
		}
	}
	return nil
}
