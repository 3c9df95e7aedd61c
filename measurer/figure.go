// Package measurer measures the query tier and compares it with a naive one. Both
// run against the same loopback stand-ins in one run. It also measures how costs
// grow with the size of the fleet.
package measurer

import (
	"fmt"
	"io"
	"strings"
)

// Verdict tells whether a figure meets its target.
type Verdict string

// The verdicts: Pass if the figure meets its target, Red if it doesn't.
const (
	Pass Verdict = "Pass"
	Red  Verdict = "Red"
)

// Figure is a measured value with its target and the value of the naive tier.
type Figure struct {
	Name  string
	Value float64
	Unit  string
	// Naive is the value of the naive tier; empty if it wasn't measured.
	Naive  string
	Target string
	Met    bool
	// Detail lists the numbers behind the value.
	Detail string
}

// Verdict returns Pass or Red.
func (f Figure) Verdict() Verdict {
	if f.Met {
		return Pass
	}
	return Red
}

// String returns the figure on one line.
func (f Figure) String() string {
	return fmt.Sprintf("%s: %s %s, naive %s, target %s, %s (%s)",
		f.Name, number(f.Value), f.Unit, dash(f.Naive), f.Target, f.Verdict(), f.Detail)
}

func number(v float64) string {
	return strings.TrimSuffix(strings.TrimRight(fmt.Sprintf("%.3f", v), "0"), ".")
}

func dash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// WriteMarkdown writes the figures as a Markdown page.
func WriteMarkdown(w io.Writer, figures []Figure) error {
	var page strings.Builder
	page.WriteString("# Measurements\n\nWritten by `make measure`: loopback stand-ins, fixed seeds, both sides in one run.\n" +
		"The machine is shared, so that only ratios of one run are comparable. Naive: round robin over the\n" +
		"replicas, one retry on failure, static split of the limits among the instances.\n\n" +
		"| figure | value | unit | naive | target | verdict | from |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, f := range figures {
		fmt.Fprintf(&page, "| %s | %s | %s | %s | %s | %s | %s |\n",
			f.Name, number(f.Value), f.Unit, dash(f.Naive), f.Target, f.Verdict(), f.Detail)
	}
	_, err := io.WriteString(w, page.String())
	return err
}
