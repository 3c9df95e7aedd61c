package configurator

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/parser"
)

// Table is the result of a Show statement.
type Table struct {
	Columns []string
	Rows    [][]string
}

// Show evaluates a Show statement. The rows of Instances come from the
// function, in the order of parser.Columns; it may be nil.
func (c Configuration) Show(s *parser.Show, instances func() [][]string) Table {
	table := Table{Columns: parser.Columns(s.Kind), Rows: [][]string{}}
	for _, row := range c.rows(s.Kind, instances) {
		if meets(table.Columns, row, s.Conditions) {
			table.Rows = append(table.Rows, row)
		}
	}
	return table
}

// meets reports whether a row meets all conditions.
func meets(columns, row []string, conditions []parser.Condition) bool {
	for _, condition := range conditions {
		i := slices.Index(columns, condition.Column)
		if i < 0 || i >= len(row) || (row[i] == condition.Value) == condition.Negated {
			return false
		}
	}
	return true
}

func (c Configuration) rows(kind string, instances func() [][]string) [][]string {
	switch kind {
	case parser.KindServices:
		return mapped(c.Services(), c.serviceRow)
	case parser.KindRoutes:
		return mapped(c.Routes(), func(r RouteSpec) []string {
			return []string{string(r.Service), string(r.Name), strconv.FormatBool(r.Idempotent)}
		})
	case parser.KindTargets:
		return mapped(c.Targets(), c.targetRow)
	case parser.KindDataCentres:
		return mapped(c.DataCentres(), c.dataCentreRow)
	case parser.KindVersions:
		return mapped(c.Versions(), versionRow)
	case parser.KindMoves:
		return mapped(c.Moves(), moveRow)
	case parser.KindInstances:
		if instances != nil {
			return instances()
		}
	}
	return nil
}

func mapped[T any](values []T, row func(T) []string) [][]string {
	rows := make([][]string, len(values))
	for i, v := range values {
		rows[i] = row(v)
	}
	return rows
}

func (c Configuration) serviceRow(s ServiceSpec) []string {
	targets := c.countTargets(func(t jujubegate.Target) bool { return t.Service == s.Name })
	covered, _ := c.Coverage(s.Name, OldVersion)
	return []string{
		string(s.Name), strconv.Itoa(s.Shards), strconv.Itoa(s.Slots), strconv.Itoa(s.Connections),
		strconv.Itoa(s.ColdLimit), parser.FormatDuration(s.Deadline), s.Priority.String(), string(s.Version),
		strconv.Itoa(targets), strconv.Itoa(len(c.serving[s.Name].old)),
		fmt.Sprintf("%.1f%%", 100*float64(covered)/float64(s.Shards)),
	}
}

// serves reports whether a target may receive new work now.
func (c Configuration) serves(t jujubegate.Target) bool {
	return !c.dataCentres[t.DataCentre].Out && slices.Contains(c.usedVersions(t.Service), t.Version)
}

func (c Configuration) countTargets(match func(jujubegate.Target) bool) int {
	n := 0
	for _, t := range c.targets {
		if match(t) {
			n++
		}
	}
	return n
}

func (c Configuration) targetRow(t jujubegate.Target) []string {
	return []string{
		string(t.Address), string(t.Service), strconv.Itoa(t.Shard), string(t.DataCentre), string(t.Version),
		strconv.FormatBool(c.serves(t)),
	}
}

func (c Configuration) dataCentreRow(d DataCentreSpec) []string {
	in := func(t jujubegate.Target) bool { return t.DataCentre == d.Name }
	return []string{
		string(d.Name), strconv.FormatBool(d.Out), d.Reason, formatMoment(d.Since), formatMoment(d.Until),
		strconv.Itoa(c.countTargets(in)),
		strconv.Itoa(c.countTargets(func(t jujubegate.Target) bool { return in(t) && c.serves(t) })),
	}
}

func formatMoment(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return parser.FormatTime(t)
}

func versionRow(v VersionStatus) []string {
	return []string{
		string(v.Service), string(v.Version), string(v.State), strconv.Itoa(v.Share), strconv.Itoa(v.Targets), v.Reason,
	}
}

func moveRow(m MoveSpec) []string {
	return []string{
		string(m.Service), string(m.From), string(m.To), string(m.State), strconv.Itoa(m.Share),
		formatMoment(m.Started), formatMoment(m.Deadline), string(m.OnMissed), m.Reason,
	}
}
