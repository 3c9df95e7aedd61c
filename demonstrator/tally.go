package demonstrator

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/samber/oops"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/asker"
	"jujubegate.example/jujubegate/standin/target"
)

// Tally counts the results of a demo.
type Tally struct {
	Whole   int
	Partial int
	Refused int
	Failed  int
	// FalseCoverage counts answers whose stated coverage doesn't match their rows.
	FalseCoverage int

	// Outcomes maps order IDs to the outcomes reported to the caller.
	Outcomes map[string]string
	// OrdersRunOnce is the number of different orders that the targets ran,
	// OrdersRunTwice the number of repeated runs.
	OrdersRunOnce  int
	OrdersRunTwice int

	// LastNewWork is the time from the TakeOut statement to the last new request
	// to the data centre, OutDuration the time for which it was out of service.
	LastNewWork time.Duration
	OutDuration time.Duration

	// ColdOverloads counts the times that load made a cold target fail.
	ColdOverloads    int64
	MaxConnections   int
	Violations       int64
	SubRequests      int64
	ExtraSubRequests int64
}

// checkCoverage compares the stated coverage of an answer with its rows. A stand-in
// returns one row per shard, and all shards hold equal parts of the key space.
func (t *Tally) checkCoverage(answer asker.QueryAnswer, shards int) {
	var rows []json.RawMessage
	err := json.Unmarshal(answer.Rows, &rows)
	stated := answer.Coverage.Fraction * float64(shards)
	if err != nil || stated < float64(len(rows))-0.5 || stated > float64(len(rows))+0.5 {
		t.FalseCoverage++
	}
}

func (t *Tally) addOrder(id, outcome string) {
	if t.Outcomes == nil {
		t.Outcomes = make(map[string]string)
	}
	t.Outcomes[id] = outcome
}

func (t *Tally) addTargetStats(s target.Stats) {
	t.ColdOverloads += s.ColdOverload
	t.MaxConnections = max(t.MaxConnections, s.MaxConnections)
	t.OrdersRunTwice += int(s.DoubleRuns)
	t.OrdersRunOnce += int(s.Orders - s.DoubleRuns)
}

// addMetrics adds the metrics of one instance.
func (t *Tally) addMetrics(metrics map[string]json.RawMessage) error {
	for name, raw := range metrics {
		var sum *int64
		switch {
		case strings.HasPrefix(name, "Violations."):
			sum = &t.Violations
		case name == "SubRequests":
			sum = &t.SubRequests
		case name == "SubRequestsHedged" || name == "SubRequestsRetried":
			sum = &t.ExtraSubRequests
		default:
			continue
		}
		var value int64
		if err := json.Unmarshal(raw, &value); err != nil {
			return oops.In("demonstrator").Wrapf(err, "metric %s", name)
		}
		*sum += value
	}
	return nil
}

// countOutcome returns the number of orders for which the outcome was reported.
func (t *Tally) countOutcome(outcome jujubegate.Outcome) int {
	count := 0
	for _, o := range t.Outcomes {
		if o == outcome.String() {
			count++
		}
	}
	return count
}

// Err returns the violated guarantees joined as one error, or nil. connections is
// the number of connections that a target accepts.
func (t *Tally) Err(connections int) error {
	var violations []error
	for _, guarantee := range []struct {
		holds     bool
		violation string
	}{
		{t.OrdersRunTwice == 0, "an order ran twice"},
		{t.OrdersRunOnce >= t.countOutcome(jujubegate.Ran), "an order was reported as run but did not run"},
		{t.OrdersRunOnce <= t.countOutcome(jujubegate.Ran)+t.countOutcome(jujubegate.Unknown), "an order was reported as not run but ran"},
		{t.FalseCoverage == 0, "an answer misstated its coverage"},
		{t.OutDuration > lastNewWorkLimit, "the data centre was out of service for too short a time to check"},
		{t.LastNewWork <= lastNewWorkLimit, "a data centre that was taken out got new requests after the limit"},
		{t.ColdOverloads == 0, "a cold target was overloaded"},
		{t.MaxConnections <= connections, "a target got too many connections"},
		{t.Violations == 0, "an instance counted a violated invariant"},
		{t.Failed == 0, "a query got neither an answer nor a refusal"},
		{t.Whole+t.Partial+t.Refused+t.Failed == queryCount, "a query was lost"},
		{len(t.Outcomes) == orderCount, "an order was lost"},
		{t.Whole > 0 && t.OrdersRunOnce > 0, "no query or no order succeeded"},
	} {
		if !guarantee.holds {
			violations = append(violations, errors.New(guarantee.violation))
		}
	}
	return errors.Join(violations...)
}

// printSummary prints the table at the end of the report.
func (d *Demo) printSummary() {
	t := &d.tally
	w := tabwriter.NewWriter(d.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w)
	row := func(name, format string, values ...any) {
		fmt.Fprintf(w, "%s\t%s\n", name, fmt.Sprintf(format, values...))
	}
	row("answers whole / partial / refused", "%d / %d / %d", t.Whole, t.Partial, t.Refused)
	row("answers that misstate their coverage", "%d", t.FalseCoverage)
	row("orders run once / twice / never", "%d / %d / %d", t.OrdersRunOnce, t.OrdersRunTwice, orderCount-t.OrdersRunOnce)
	row("orders told run / not run / unknown", "%d / %d / %d",
		t.countOutcome(jujubegate.Ran), t.countOutcome(jujubegate.NotRun), t.countOutcome(jujubegate.Unknown))
	row("last new work in "+movedDataCentre+" after the statement", "%v (out for %v)",
		t.LastNewWork.Round(time.Millisecond), t.OutDuration.Round(time.Millisecond))
	row("overloads of cold targets", "%d", t.ColdOverloads)
	row("most connections to a target", "%d of %d", t.MaxConnections, d.fleet.Spec.Target.Connections)
	row("extra sub-requests", "%.2f%% of %d", 100*float64(t.ExtraSubRequests)/float64(max(t.SubRequests, 1)), t.SubRequests)
	row("violated invariants", "%d", t.Violations)
	row("latency p50 / p99 of whole answers", "%v / %v", microseconds(d.latency.ValueAtQuantile(50)), microseconds(d.latency.ValueAtQuantile(99)))
	// The report goes to the terminal, so an error of writing can't be reported.
	_ = w.Flush()
}

func microseconds(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
