package commander

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"unicode/utf8"

	"jujubegate.example/jujubegate"
)

// printer prints responses as tables or as JSON.
type printer struct {
	*Command

	json bool
}

// Outcome is the JSON output of the run command.
type Outcome struct {
	Response
	// InForce is the last state that --wait received.
	InForce *InForce `json:",omitempty"`
}

// printOutcome prints the result of the run command.
func (p printer) printOutcome(o Outcome) {
	if p.json {
		p.printJSON(o)
		return
	}
	p.printFindings(o.Findings)
	if o.Error != nil && o.Error.Code != CodeBadStatement {
		p.warnf("%s: %s\n", o.Error.Code, o.Error.Message)
	}
	accepted := 0
	for _, r := range o.Results {
		if r.Kind == KindTable {
			p.printTable(r.Columns, r.Rows)
		} else {
			accepted++
		}
	}
	if accepted > 0 {
		p.printf("%d statements, generation %d\n", accepted, o.Generation)
	}
	if o.InForce != nil {
		p.printInForce(o.Generation, *o.InForce)
	}
}

func (p printer) printInForce(g jujubegate.Generation, state InForce) {
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

func (p printer) printFindings(findings []Finding) {
	for _, f := range findings {
		p.warnf("%s\n", f)
	}
}

func (p printer) printTable(columns []string, rows [][]string) {
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

// printable returns the text of a table cell: "-" for an empty one, and control
// characters replaced by spaces.
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

func (p printer) printJSON(v any) {
	var text bytes.Buffer
	encoder := json.NewEncoder(&text)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(v); err != nil {
		p.warnf("jujubectl: %v\n", err)
	}
	p.printf("%s", text.String())
}
