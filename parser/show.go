package parser

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"jujubegate.example/jujubegate"
)

// Kinds of tables that Show lists.
const (
	KindServices    = "Services"
	KindRoutes      = "Routes"
	KindTargets     = "Targets"
	KindDataCentres = "DataCentres"
	KindVersions    = "Versions"
	KindMoves       = "Moves"
	KindInstances   = "Instances"
)

var columns = map[string][]string{
	KindServices: {
		"Service", "Shards", "Slots", "Connections", "ColdLimit", "Deadline", "Priority", "Version",
		"Targets", "Serving", "Coverage",
	},
	KindRoutes:      {"Service", "Route", "Idempotent"},
	KindTargets:     {"Target", "Service", "Shard", "DataCentre", "Version", "Serving"},
	KindDataCentres: {"DataCentre", "Out", "Reason", "Since", "Until", "Targets", "Serving"},
	KindVersions:    {"Service", "Version", "State", "Share", "Targets", "Reason"},
	KindMoves: {
		"Service", "From", "To", "State", "Share", "Started", "Deadline", "OnMissed", "Reason",
	},
	KindInstances: {
		"Instance", "DataCentre", "Address", "State", "Epoch", "Generation", "Targets", "InFlight",
	},
}

// Columns returns the column names of a kind, or nil if the kind is unknown.
func Columns(kind string) []string { return slices.Clone(columns[kind]) }

// Condition compares a column with a value in canonical form.
type Condition struct {
	Position jujubegate.Position
	Column   string
	// Negated is true for != and false for =.
	Negated bool
	Value   string
}

// Show lists the rows of a kind that meet all conditions.
type Show struct {
	positions
	Kind       string
	Conditions []Condition
}

func (s *Show) schema() schema { return schema{"Show", s.Kind, nil, nil} }

// String returns the statement in canonical form.
func (s *Show) String() string {
	var b strings.Builder
	b.WriteString("Show " + s.Kind)
	for i, c := range s.Conditions {
		separator, operator := " And ", " = "
		if i == 0 {
			separator = " Where "
		}
		if c.Negated {
			operator = " != "
		}
		b.WriteString(separator + c.Column + operator + formatValue(c.Value))
	}
	b.WriteString(";")
	return b.String()
}

// formatValue returns a value as a literal, quoted unless it is a single
// identifier, integer, duration or time.
func formatValue(value string) string {
	if tokens, findings := scan("", value); len(findings) == 0 && len(tokens) == 2 {
		switch tokens[0].Type {
		case identType, intType, durationType, timeType:
			return value
		}
	}
	return strconv.Quote(value)
}

// addConditions checks conditions and adds the valid ones to the statement.
func (s *Show) addConditions(list []*condition) jujubegate.Findings {
	var findings jujubegate.Findings
	for _, c := range list {
		if !slices.Contains(columns[s.Kind], c.Column) {
			findings = append(findings, finding(c.Pos, fmt.Sprintf("%s have no column %s; the columns are %s",
				s.Kind, c.Column, strings.Join(columns[s.Kind], ", "))))
			continue
		}
		value, message := canonicalValue(c)
		if message != "" {
			findings = append(findings, finding(c.Value.Pos, message))
			continue
		}
		s.Conditions = append(s.Conditions, Condition{
			Position: position(c.Pos), Column: c.Column, Negated: c.Operator == "!=", Value: value,
		})
	}
	return findings
}

// canonicalValue returns the value of a condition as Show prints it, and an
// error message or "".
func canonicalValue(c *condition) (string, string) {
	switch {
	case c.Value.String != nil:
		return decodeString(c.Column, *c.Value.String)
	case c.Value.Duration != nil:
		d, message := decodeDuration(c.Column, c.Value, 0, MaxMoveDeadline)
		return FormatDuration(d), message
	case c.Value.Time != nil:
		t, message := decodeTime(c.Column, c.Value)
		return FormatTime(t), message
	}
	return c.Value.text(), ""
}
