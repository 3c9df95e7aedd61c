package configurator

import (
	"testing"
	"time"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/parser"
)

// BenchmarkApply is the cost of one change at the future size, on each node.
func BenchmarkApply(b *testing.B) {
	c := futureConfiguration(b)
	batch, _ := parser.Parse("", "TakeOut DataCentre DataCentre3; BringIn DataCentre DataCentre3;")
	b.ReportAllocs()
	for b.Loop() {
		if _, findings := c.Apply(batch, time.Unix(0, 0)); len(findings) > 0 {
			b.Fatal(findings)
		}
	}
}

// BenchmarkServing is the cost of choosing targets for one query.
func BenchmarkServing(b *testing.B) {
	c := futureConfiguration(b)
	b.ReportAllocs()
	for b.Loop() {
		if len(c.Serving("DispatchDesk3", OldVersion, nil)) != 620 {
			b.Fatal("targets are missing")
		}
	}
}

// BenchmarkRestore is the cost of a start from a snapshot.
func BenchmarkRestore(b *testing.B) {
	text := parser.Join(futureConfiguration(b).Statements())
	for b.Loop() {
		if _, _, err := Restore(text); err != nil {
			b.Fatal(err)
		}
	}
}

func futureConfiguration(b *testing.B) Configuration {
	batch, findings := parser.ParseWithLimit("", futureSize(), 2*parser.MaxInput)
	if len(findings) > 0 {
		b.Fatal(findings)
	}
	c, findings := Configuration{}.Apply(batch, time.Unix(0, 0))
	if len(findings) > 0 {
		b.Fatal(findings)
	}
	if c.Generation() != jujubegate.Generation(1) {
		b.Fatal("generation", c.Generation())
	}
	return c
}
