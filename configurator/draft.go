package configurator

import (
	"fmt"
	"maps"
	"time"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/parser"
)

// draft is a mutable copy of a configuration to which a batch is applied.
type draft struct {
	Configuration
	at       time.Time
	findings jujubegate.Findings
	// takeOuts are the statements of this batch that take a data centre out
	// without AllowLoss.
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

// addFinding adds a finding at a position.
func (d *draft) addFinding(position jujubegate.Position, format string, arguments ...any) {
	d.findings = append(d.findings, jujubegate.Finding{Position: position, Message: fmt.Sprintf(format, arguments...)})
}

// lookupService returns a service, or adds a finding that it is not declared.
func (d *draft) lookupService(position jujubegate.Position, name jujubegate.Service) (ServiceSpec, bool) {
	s, ok := d.services[name]
	if !ok {
		d.addFinding(position, "service %s is not declared", name)
	}
	return s, ok
}
