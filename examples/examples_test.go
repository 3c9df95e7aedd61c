// Package examples contains example statements and settings. Its tests check that
// they are valid.
package examples

import (
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/configurator"
	"jujubegate.example/jujubegate/loader"
	"jujubegate.example/jujubegate/parser"
)

// serviceSize is the size that an example declares for a service. slots and
// connections are the limits per target.
type serviceSize struct {
	shards, targets, slots, connections int
}

var statementFiles = []struct {
	file        string
	dataCentres []jujubegate.DataCentre
	sizes       map[jujubegate.Service]serviceSize
}{
	{
		file:        "pechka.jgs",
		dataCentres: []jujubegate.DataCentre{"Haskovo", "Kardzhali", "Sliven", "Smolyan"},
		sizes: map[jujubegate.Service]serviceSize{
			"DispatchDesk": {20, 40, 2, 25},
			"Invoicing":    {30, 60, 2, 25},
			"Scheduler":    {1, 10, 3, 100},
			"PelletOrders": {1, 5, 3, 100},
		},
	},
	{
		file:        "zandloper.jgs",
		dataCentres: []jujubegate.DataCentre{"Amersfoort", "Utrecht", "Zeist"},
		sizes: map[jujubegate.Service]serviceSize{
			"PartsFinder":   {20, 40, 2, 25},
			"MembersPortal": {30, 60, 2, 25},
			"RepairLog":     {1, 10, 2, 35},
			"InvoicingDesk": {1, 5, 2, 35},
		},
	},
	{
		file:        "start.jgs",
		dataCentres: []jujubegate.DataCentre{"Sliven"},
		sizes:       map[jujubegate.Service]serviceSize{"DispatchDesk": {2, 4, 2, 25}},
	},
}

// applyFile returns the configuration that the statements in the file declare, and
// the text of the file.
func applyFile(file string) (configurator.Configuration, string) {
	text, err := os.ReadFile(file)
	So(err, ShouldBeNil)
	batch, findings := parser.Parse(file, string(text))
	So(findings, ShouldBeEmpty)
	c, findings := configurator.Configuration{}.Apply(batch, time.Unix(0, 0))
	So(findings, ShouldBeEmpty)
	return c, string(text)
}

func TestStatements(t *testing.T) {
	// Guards against examples that the parser or the rules of the configuration
	// reject, or whose sizes differ from those of the design page.
	for _, example := range statementFiles {
		Convey(example.file, t, func() {
			c, text := applyFile(example.file)

			Convey("is in canonical form", func() {
				formatted, findings := parser.Format(text)
				So(findings, ShouldBeEmpty)
				So(formatted, ShouldEqual, text)
			})
			Convey("declares the services with their sizes", func() {
				sizes := make(map[jujubegate.Service]serviceSize)
				for _, s := range c.Services() {
					targets := c.Serving(s.Name, configurator.OldVersion, nil)
					sizes[s.Name] = serviceSize{s.Shards, len(targets), s.Slots, s.Connections}
				}
				So(sizes, ShouldResemble, example.sizes)
			})
			Convey("covers every shard", func() {
				for _, s := range c.Services() {
					covered, missing := c.Coverage(s.Name, configurator.OldVersion)
					So(covered, ShouldEqual, s.Shards)
					So(missing, ShouldBeEmpty)
				}
			})
			Convey("has both kinds of routes for each service", func() {
				type kind struct {
					service    jujubegate.Service
					idempotent bool
				}
				kinds := make(map[kind]int)
				for _, r := range c.Routes() {
					kinds[kind{r.Service, r.Idempotent}]++
				}
				for _, s := range c.Services() {
					So(kinds[kind{s.Name, true}], ShouldBeGreaterThan, 0)
					So(kinds[kind{s.Name, false}], ShouldBeGreaterThan, 0)
				}
			})
			Convey("uses all data centres", func() {
				used := make(map[jujubegate.DataCentre]bool)
				for _, target := range c.Targets() {
					used[target.DataCentre] = true
				}
				So(slices.Sorted(maps.Keys(used)), ShouldResemble, example.dataCentres)
			})
		})
	}
}

func TestCoverageAfterDataCentreTakenOut(t *testing.T) {
	// Guards against examples in which a data centre can't be taken out because it
	// contains both targets of a shard.
	for _, example := range statementFiles[:2] {
		for _, removed := range example.dataCentres {
			Convey(example.file+" without "+string(removed), t, func() {
				c, _ := applyFile(example.file)
				batch, findings := parser.Parse("", "TakeOut DataCentre "+string(removed)+";")
				So(findings, ShouldBeEmpty)
				c, findings = c.Apply(batch, time.Unix(0, 0))
				So(findings, ShouldBeEmpty)
				for _, s := range c.Services() {
					_, missing := c.Coverage(s.Name, configurator.OldVersion)
					So(missing, ShouldBeEmpty)
				}
			})
		}
	}
}

func TestSettings(t *testing.T) {
	// Guards against a settings file that the daemon rejects.
	Convey("jujubegated.toml loads", t, func() {
		s, err := loader.Load("jujubegated.toml")
		So(err, ShouldBeNil)
		So(s.Instance, ShouldEqual, jujubegate.Instance("entry1"))
		So(s.Lookup.ValidFor, ShouldEqual, 30*time.Second)
		So(s.FatalChecks, ShouldBeFalse)
	})
}
