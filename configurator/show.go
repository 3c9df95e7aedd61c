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

// Show evaluates a Show statement. The function instances returns the rows of
// Instances, with the columns in the order of parser.Columns; it may be nil.
func (c Configuration) Show(s *parser.Show, instances func() [][]string) Table {
	table := Table{Columns: parser.Columns(s.Kind), Rows: [][]string{}}
	for _, row := range c.rows(s.Kind, instances) {
		if matchesAll(table.Columns, row, s.Conditions) {
			table.Rows = append(table.Rows, row)
		}
	}
	return table
}

// matchesAll reports whether a row matches all conditions.
func matchesAll(columns, row []string, conditions []parser.Condition) bool {
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
		return mapRows(c.Services(), c.serviceRow)
	case parser.KindRoutes:
		return mapRows(c.Routes(), func(r RouteSpec) []string {
			return []string{string(r.Service), string(r.Name), strconv.FormatBool(r.Idempotent)}
		})
	case parser.KindTargets:
		return mapRows(c.Targets(), c.targetRow)
	case parser.KindDataCentres:
		return mapRows(c.DataCentres(), c.dataCentreRow)
	case parser.KindVersions:
		return mapRows(c.Versions(), versionRow)
	case parser.KindMoves:
		return mapRows(c.Moves(), moveRow)
	case parser.KindInstances:
		if instances != nil {
			return instances()
		}
	}
	return nil
}

func mapRows[T any](values []T, row func(T) []string) [][]string {
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

// serves reports whether a target may receive new requests.
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
		string(d.Name), strconv.FormatBool(d.Out), d.Reason, formatTime(d.Since), formatTime(d.Until),
		strconv.Itoa(c.countTargets(in)),
		strconv.Itoa(c.countTargets(func(t jujubegate.Target) bool { return in(t) && c.serves(t) })),
	}
}

func formatTime(t time.Time) string {
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
		formatTime(m.Started), formatTime(m.Deadline), string(m.OnMissed), m.Reason,
	}
}
