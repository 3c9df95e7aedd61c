// Package demonstrator runs a fleet of separate processes on one machine, sends it
// queries and orders, and checks the guarantees of the query tier on the results.
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
	queryCount  = 1000
	orderCount  = 100
	concurrency = 4
	// movedDataCentre is the data centre that is taken out and brought in again
	// while queries run.
	movedDataCentre = "Sliven"
	// takeOutAfter and bringInAfter are the numbers of finished queries after
	// which the statements are run.
	takeOutAfter = queryCount / 4
	bringInAfter = queryCount * 3 / 4
	// lastNewWorkLimit is the guaranteed limit on the time from the acceptance of a
	// TakeOut statement to the last new request to its targets.
	lastNewWorkLimit = 3 * time.Second
	// requestTimeout limits one query or order of the demo.
	requestTimeout = 5 * time.Second
	// prepareTimeout limits the time until the first whole answer.
	prepareTimeout = 30 * time.Second
	// querySpacing is the time between two queries of a worker. It makes the
	// queries last long enough that the data centre is out of service for more
	// than lastNewWorkLimit meanwhile.
	querySpacing = 40 * time.Millisecond
	// orderSpacing is the time between two orders. It keeps the orders within the
	// budget of store writes.
	orderSpacing = 60 * time.Millisecond
)

// Demo runs queries and orders through a fleet and collects their results.
type Demo struct {
	fleet *launcher.Fleet
	out   io.Writer
	asker *asker.Asker

	mu      sync.Mutex
	tally   Tally
	latency *hdrhistogram.Histogram
	err     error

	finished   atomic.Int64
	takenOutAt time.Time
}

// Run starts a fleet, runs the demo and prints its report. It returns an error if a
// guarantee was violated or the demo could not run.
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
		asker:   asker.New(fleet.CallerAddresses, jujubegate.DataCentre(spec.DataCentres[0]), "demo", clockwork.NewRealClock()),
		latency: hdrhistogram.New(1, requestTimeout.Microseconds(), 3),
	}
	if err := d.prepare(ctx); err != nil {
		return err
	}
	d.run(ctx)
	if d.err != nil {
		return d.err
	}
	if err := d.readCounters(ctx); err != nil {
		return err
	}
	d.printSummary()
	return d.tally.Err(spec.Target.Connections)
}

// prepare declares the service and sends queries until the first whole answer, as
// all targets start cold for their new owners.
func (d *Demo) prepare(ctx context.Context) error {
	fmt.Fprintf(d.out, "declaring service %s with %d shards of %d targets\n", d.fleet.Spec.Service(), d.fleet.Spec.Shards, d.fleet.Spec.Replicas)
	if err := d.fleet.RunStatements(ctx, d.fleet.Declarations()); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, prepareTimeout)
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
			return oops.In("demonstrator").Wrapf(errors.Join(ctx.Err(), err), "no whole answer in %v", prepareTimeout)
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// awaitAddresses repeats the lookup until it returns the addresses of all
// instances. An instance is ready before it has joined the others.
func (d *Demo) awaitAddresses(ctx context.Context) ([]string, error) {
	for {
		addresses, err := d.asker.Addresses(ctx)
		if err != nil || len(addresses) == d.fleet.Spec.Instances {
			return addresses, err
		}
		select {
		case <-ctx.Done():
			return nil, oops.In("demonstrator").Wrapf(ctx.Err(), "the look-up returns only %d of %d addresses", len(addresses), d.fleet.Spec.Instances)
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

// run sends the queries and orders and, at the same time, the operator's statements.
func (d *Demo) run(ctx context.Context) {
	fmt.Fprintf(d.out, "running %d queries and %d orders\n", queryCount, orderCount)
	var work sync.WaitGroup
	var next atomic.Int64
	for range concurrency {
		work.Go(func() {
			for n := next.Add(1); n <= queryCount; n = next.Add(1) {
				d.query(ctx, int(n))
				time.Sleep(querySpacing)
			}
		})
	}
	work.Go(func() {
		for n := range orderCount {
			d.order(ctx, n)
			time.Sleep(orderSpacing)
		}
	})
	work.Go(func() { d.moveDataCentre(ctx) })
	work.Wait()
}

func (d *Demo) query(ctx context.Context, n int) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	start := time.Now()
	answer, err := d.asker.Query(ctx, d.searchRequest(n))
	latency := time.Since(start)
	d.finished.Add(1)
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
		_ = d.latency.RecordValue(latency.Microseconds())
	default:
		d.tally.Partial++
		fmt.Fprintf(d.out, "  query %d partial: %.0f%% covered\n", n, 100*answer.Coverage.Fraction)
	}
	if err == nil {
		d.tally.checkCoverage(answer, d.fleet.Spec.Shards)
	}
}

func (d *Demo) order(ctx context.Context, n int) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	id, err := uuid.NewV7()
	if err != nil {
		d.addError(oops.In("demonstrator").Wrap(err))
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

// moveDataCentre takes a data centre out of service and brings it back in by
// statements.
func (d *Demo) moveDataCentre(ctx context.Context) {
	for _, step := range []struct {
		after     int64
		statement string
	}{
		{takeOutAfter, "TakeOut DataCentre " + movedDataCentre + ` { Reason = "power work"; };`},
		{bringInAfter, "BringIn DataCentre " + movedDataCentre + ";"},
	} {
		for d.finished.Load() < step.after && ctx.Err() == nil {
			time.Sleep(10 * time.Millisecond)
		}
		if step.after == bringInAfter {
			if err := d.readLastNewWork(ctx); err != nil {
				d.addError(err)
				return
			}
		}
		start := time.Now()
		if err := d.fleet.RunStatements(ctx, step.statement); err != nil {
			d.addError(err)
			return
		}
		// The statement was accepted between start and now; start makes the check
		// stricter.
		if step.after == takeOutAfter {
			d.takenOutAt = start
		}
		fmt.Fprintf(d.out, "  %s in force everywhere after %v\n", step.statement, time.Since(start).Round(time.Millisecond))
	}
}

func (d *Demo) addError(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.err = errors.Join(d.err, err)
}

// readLastNewWork records the time of the last new request to the data centre that
// was taken out.
func (d *Demo) readLastNewWork(ctx context.Context) error {
	all, err := d.fleet.Stats(ctx)
	if err != nil {
		return err
	}
	d.tally.OutDuration = time.Since(d.takenOutAt)
	for _, s := range all {
		if s.DataCentre == movedDataCentre && s.LastNewWork.After(d.takenOutAt) {
			d.tally.LastNewWork = max(d.tally.LastNewWork, s.LastNewWork.Sub(d.takenOutAt))
		}
	}
	return nil
}

// readCounters adds the counters of the targets and the metrics of the instances to
// the tally.
func (d *Demo) readCounters(ctx context.Context) error {
	all, err := d.fleet.Stats(ctx)
	if err != nil {
		return err
	}
	for _, s := range all {
		d.tally.addTargetStats(s)
	}
	for i := range d.fleet.CallerAddresses {
		metrics, err := d.fleet.Metrics(ctx, i)
		if err != nil {
			return err
		}
		if err := d.tally.addMetrics(metrics); err != nil {
			return err
		}
	}
	return nil
}
