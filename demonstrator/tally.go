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

// Tally counts what a demo saw.
type Tally struct {
	Whole   int
	Partial int
	Refused int
	Failed  int
	// FalseCoverage counts answers whose stated coverage differs from the rows.
	FalseCoverage int

	// Outcomes maps order IDs to what the caller was told.
	Outcomes map[string]string
	// RunsOnce and RunsTwice count orders by what the targets counted.
	RunsOnce  int
	RunsTwice int

	// LastNewWork is the time from the statement to the last new work in the
	// data centre that was taken out, and OutFor the time that it was out.
	LastNewWork time.Duration
	OutFor      time.Duration

	ColdOverloads  int64
	MaxConnections int
	Violations     int64
	SubRequests    int64
	Extra          int64
}

// check compares the stated coverage of an answer with its rows: a stand-in
// returns one row per shard, and a shard holds an equal part of the keys.
func (t *Tally) check(answer asker.QueryAnswer, shards int) {
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

func (t *Tally) addTarget(s target.Stats) {
	t.ColdOverloads += s.ColdOverload
	t.MaxConnections = max(t.MaxConnections, s.MaxConnections)
	t.RunsTwice += int(s.DoubleRuns)
	t.RunsOnce += int(s.Orders - s.DoubleRuns)
}

// addVars adds the counters of one daemon.
func (t *Tally) addVars(vars map[string]json.RawMessage) error {
	for name, raw := range vars {
		var sum *int64
		switch {
		case strings.HasPrefix(name, "Violations."):
			sum = &t.Violations
		case name == "SubRequests":
			sum = &t.SubRequests
		case name == "SubRequestsHedged" || name == "SubRequestsRetried":
			sum = &t.Extra
		default:
			continue
		}
		var value int64
		if err := json.Unmarshal(raw, &value); err != nil {
			return oops.In("demonstrator").Wrapf(err, "variable %s", name)
		}
		*sum += value
	}
	return nil
}

// told returns the number of orders with an outcome.
func (t *Tally) told(outcome jujubegate.Outcome) int {
	count := 0
	for _, o := range t.Outcomes {
		if o == outcome.String() {
			count++
		}
	}
	return count
}

// Err returns the broken promises, or nil. Connections is the number that a
// target accepts.
func (t *Tally) Err(connections int) error {
	var broken []error
	for _, promise := range []struct {
		kept   bool
		broken string
	}{
		{t.RunsTwice == 0, "an order ran twice"},
		{t.RunsOnce >= t.told(jujubegate.Ran), "an order was reported as run but did not run"},
		{t.RunsOnce <= t.told(jujubegate.Ran)+t.told(jujubegate.Unknown), "an order was reported as not run but ran"},
		{t.FalseCoverage == 0, "an answer misstated its coverage"},
		{t.OutFor > outLimit, "the data centre was out too briefly to check"},
		{t.LastNewWork <= outLimit, "a data centre that was taken out got new work"},
		{t.ColdOverloads == 0, "a cold target got more than it can bear"},
		{t.MaxConnections <= connections, "a target got too many connections"},
		{t.Violations == 0, "a daemon counted a violated invariant"},
		{t.Failed == 0, "a query got neither an answer nor a refusal"},
		{t.Whole+t.Partial+t.Refused+t.Failed == queries, "a query was lost"},
		{len(t.Outcomes) == orders, "an order was lost"},
		{t.Whole > 0 && t.RunsOnce > 0, "no query or no order succeeded"},
	} {
		if !promise.kept {
			broken = append(broken, errors.New(promise.broken))
		}
	}
	return errors.Join(broken...)
}

// print writes the closing table.
func (d *Demo) print() {
	t := &d.tally
	w := tabwriter.NewWriter(d.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w)
	row := func(name, format string, values ...any) {
		fmt.Fprintf(w, "%s\t%s\n", name, fmt.Sprintf(format, values...))
	}
	row("answers whole / partial / refused", "%d / %d / %d", t.Whole, t.Partial, t.Refused)
	row("answers that misstate their coverage", "%d", t.FalseCoverage)
	row("orders run once / twice / never", "%d / %d / %d", t.RunsOnce, t.RunsTwice, orders-t.RunsOnce)
	row("orders told run / not run / unknown", "%d / %d / %d",
		t.told(jujubegate.Ran), t.told(jujubegate.NotRun), t.told(jujubegate.Unknown))
	row("last new work in "+takenOut+" after the statement", "%v (out for %v)",
		t.LastNewWork.Round(time.Millisecond), t.OutFor.Round(time.Millisecond))
	row("overloads of cold targets", "%d", t.ColdOverloads)
	row("most connections to a target", "%d of %d", t.MaxConnections, d.fleet.Spec.Target.Connections)
	row("extra sub-requests", "%.2f%% of %d", 100*float64(t.Extra)/float64(max(t.SubRequests, 1)), t.SubRequests)
	row("violated invariants", "%d", t.Violations)
	row("latency p50 / p99 of whole answers", "%v / %v", microseconds(d.latency.ValueAtQuantile(50)), microseconds(d.latency.ValueAtQuantile(99)))
	// The report goes to the terminal; a failed write has nowhere to be reported.
	_ = w.Flush()
}

func microseconds(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
