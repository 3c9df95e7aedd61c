package configurator

import (
	"fmt"
	"maps"
	"time"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/parser"
)

// draft is a configuration that a batch is changing.
type draft struct {
	Configuration
	at       time.Time
	findings jujubegate.Findings
	// takeOuts are the data centres that this batch takes out without
	// accepting a loss of coverage.
	takeOuts []*parser.TakeOutDataCentre
}

func newDraft(c Configuration, at time.Time) *draft {
	c.services = clone(c.services)
	c.routes = clone(c.routes)
	c.targets = clone(c.targets)
	c.dataCentres = clone(c.dataCentres)
	c.moves = clone(c.moves)
	c.takenBack = clone(c.takenBack)
	return &draft{Configuration: c, at: at}
}

// clone copies a map; unlike maps.Clone it never returns nil.
func clone[K comparable, V any](m map[K]V) map[K]V {
	copied := make(map[K]V, len(m))
	maps.Copy(copied, m)
	return copied
}

// report adds a finding at a position.
func (d *draft) report(at jujubegate.Position, format string, arguments ...any) {
	d.findings = append(d.findings, jujubegate.Finding{Position: at, Message: fmt.Sprintf(format, arguments...)})
}

// known returns a service, or reports that it is not declared.
func (d *draft) known(at jujubegate.Position, name jujubegate.Service) (ServiceSpec, bool) {
	s, ok := d.services[name]
	if !ok {
		d.report(at, "service %s is not declared", name)
	}
	return s, ok
}
