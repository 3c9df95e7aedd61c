package commander

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"unicode/utf8"

	"jujubegate.example/jujubegate"
)

// printer writes answers for people or for programs.
type printer struct {
	*Command

	json bool
}

// Outcome is the JSON output of the run command.
type Outcome struct {
	Response
	// InForce is the answer to --wait.
	InForce *InForce `json:",omitempty"`
}

// outcome prints the result of the run command.
func (p printer) outcome(o Outcome) {
	if p.json {
		p.value(o)
		return
	}
	p.findings(o.Findings)
	if o.Error != nil && o.Error.Code != CodeBadStatement {
		p.warnf("%s: %s\n", o.Error.Code, o.Error.Message)
	}
	accepted := 0
	for _, r := range o.Results {
		if r.Kind == KindTable {
			p.table(r.Columns, r.Rows)
		} else {
			accepted++
		}
	}
	if accepted > 0 {
		p.printf("%d statements, generation %d\n", accepted, o.Generation)
	}
	if o.InForce != nil {
		p.inForce(o.Generation, *o.InForce)
	}
}

func (p printer) inForce(g jujubegate.Generation, state InForce) {
	if state.InForce {
		p.printf("generation %d is in force on %d instances, %d more take no new work\n",
			g, len(state.Confirmed), len(state.Expired))
		return
	}
	p.warnf("generation %d is not in force in time; missing: %s\n", g, joinInstances(state.Missing))
}

func joinInstances(instances []jujubegate.Instance) string {
	if len(instances) == 0 {
		return "unknown, no instance answered"
	}
	words := make([]string, len(instances))
	for i, name := range instances {
		words[i] = string(name)
	}
	return strings.Join(words, ", ")
}

func (p printer) findings(findings []Finding) {
	for _, f := range findings {
		p.warnf("%s\n", f)
	}
}

func (p printer) table(columns []string, rows [][]string) {
	lines := append([][]string{columns}, rows...)
	var widths []int
	for _, row := range lines {
		for i, cell := range row {
			if i == len(widths) {
				widths = append(widths, 0)
			}
			widths[i] = max(widths[i], utf8.RuneCountInString(printable(cell)))
		}
	}
	for _, row := range lines {
		var line strings.Builder
		for i, cell := range row {
			fmt.Fprintf(&line, "%-*s  ", widths[i], printable(cell))
		}
		p.printf("%s\n", strings.TrimRight(line.String(), " "))
	}
}

// printable replaces characters that would break a table.
func printable(cell string) string {
	if cell == "" {
		return "-"
	}
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return ' '
		}
		return r
	}, cell)
}

func (p printer) value(v any) {
	var text bytes.Buffer
	encoder := json.NewEncoder(&text)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(v); err != nil {
		p.warnf("jujubectl: %v\n", err)
	}
	p.printf("%s", text.String())
}
