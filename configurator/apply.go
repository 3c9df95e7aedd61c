package configurator

import (
	"time"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/parser"
)

// Apply applies all statements of the batch in order and returns the next
// generation. If a statement breaks a rule, it returns the configuration
// unchanged, with all findings. Show statements change nothing; a batch that
// holds no others keeps the generation.
func (c Configuration) Apply(
	batch []parser.Statement, at time.Time,
) (Configuration, jujubegate.Findings) {
	d := newDraft(c, at)
	changing := 0
	for _, s := range batch {
		if _, ok := s.(*parser.Show); !ok {
			changing++
			d.applyStatement(s)
		}
	}
	if changing == 0 {
		return c, nil
	}
	d.checkLoss()
	if len(d.findings) > 0 {
		return c, d.findings
	}
	next := d.Configuration
	next.generation++
	next.serving = next.indexServing()
	return next, nil
}

// applyStatement applies one statement, or adds findings.
func (d *draft) applyStatement(s parser.Statement) {
	switch s := s.(type) {
	case *parser.DeclareService:
		d.declareService(s)
	case *parser.AlterService:
		d.alterService(s)
	case *parser.DropService:
		d.dropService(s)
	case *parser.DeclareRoute:
		d.declareRoute(s)
	case *parser.AlterRoute:
		d.alterRoute(s)
	case *parser.DropRoute:
		d.dropRoute(s)
	case *parser.DeclareTarget:
		d.declareTarget(s)
	case *parser.AlterTarget:
		d.alterTarget(s)
	case *parser.DropTarget:
		d.dropTarget(s)
	case *parser.TakeOutDataCentre:
		d.takeOutDataCentre(s)
	case *parser.BringInDataCentre:
		d.bringInDataCentre(s)
	case *parser.BringInVersion:
		d.bringInVersion(s)
	case *parser.AdvanceVersion:
		d.advanceVersion(s)
	case *parser.FinishVersion:
		d.finishVersion(s)
	case *parser.TakeBackVersion:
		d.takeBackVersion(s)
	case *parser.SetDeadlineVersion:
		d.setDeadlineVersion(s)
	default:
		d.addFinding(s.Position(), "Restore statements occur in configuration snapshots only")
	}
}

func (d *draft) declareService(s *parser.DeclareService) {
	if _, ok := d.services[s.Name]; ok {
		d.addFinding(s.Position(), "service %s is declared already", s.Name)
		return
	}
	spec := ServiceSpec{Name: s.Name, Priority: Normal, Version: s.Version.Value}
	d.putService(s.Position(), spec, s.ServiceFields)
}

func (d *draft) alterService(s *parser.AlterService) {
	spec, ok := d.lookupService(s.Position(), s.Name)
	if !ok {
		return
	}
	if s.Shards.Given {
		for _, t := range d.Targets() {
			if t.Service == s.Name && t.Shard >= s.Shards.Value {
				d.addFinding(s.Shards.Position, "target %s holds shard %d, which %d shards do not include",
					t.Address, t.Shard, s.Shards.Value)
				return
			}
		}
	}
	d.putService(s.Position(), spec, s.ServiceFields)
}

var priorities = map[string]Priority{
	parser.PriorityLow: Low, parser.PriorityNormal: Normal, parser.PriorityHigh: High,
}

// putService stores a service with the given fields changed.
func (d *draft) putService(position jujubegate.Position, spec ServiceSpec, fields parser.ServiceFields) {
	spec.Shards = fields.Shards.Or(spec.Shards)
	spec.Slots = fields.Slots.Or(spec.Slots)
	spec.Connections = fields.Connections.Or(spec.Connections)
	spec.ColdLimit = fields.ColdLimit.Or(spec.ColdLimit)
	spec.Deadline = fields.Deadline.Or(spec.Deadline)
	if fields.Priority.Given {
		spec.Priority = priorities[fields.Priority.Value]
	}
	if spec.ColdLimit > spec.Slots {
		d.addFinding(position, "ColdLimit %d is above Slots %d", spec.ColdLimit, spec.Slots)
		return
	}
	if spec.Connections < spec.Slots {
		d.addFinding(position, "Connections %d is below Slots %d; a connection carries one request at a time",
			spec.Connections, spec.Slots)
		return
	}
	d.services[spec.Name] = spec
}

func (d *draft) dropService(s *parser.DropService) {
	if _, ok := d.lookupService(s.Position(), s.Name); !ok {
		return
	}
	targets, routes := 0, 0
	for _, t := range d.targets {
		if t.Service == s.Name {
			targets++
		}
	}
	for key := range d.routes {
		if key.Service == s.Name {
			routes++
		}
	}
	if targets+routes > 0 {
		d.addFinding(s.Position(), "service %s has %d targets and %d routes, which must be dropped first",
			s.Name, targets, routes)
		return
	}
	delete(d.services, s.Name)
	delete(d.moves, s.Name)
	for key := range d.takenBack {
		if key.Service == s.Name {
			delete(d.takenBack, key)
		}
	}
}

func (d *draft) declareRoute(s *parser.DeclareRoute) {
	if _, ok := d.lookupService(s.Position(), s.Service); !ok {
		return
	}
	key := RouteKey{s.Service, s.Name}
	if _, ok := d.routes[key]; ok {
		d.addFinding(s.Position(), "route %s.%s is declared already", s.Service, s.Name)
		return
	}
	d.routes[key] = RouteSpec{Service: s.Service, Name: s.Name, Idempotent: s.Idempotent.Value}
}

func (d *draft) alterRoute(s *parser.AlterRoute) {
	key := RouteKey{s.Service, s.Name}
	if _, ok := d.routes[key]; !ok {
		d.addFinding(s.Position(), "route %s.%s is not declared", s.Service, s.Name)
		return
	}
	d.routes[key] = RouteSpec{Service: s.Service, Name: s.Name, Idempotent: s.Idempotent.Value}
}

func (d *draft) dropRoute(s *parser.DropRoute) {
	key := RouteKey{s.Service, s.Name}
	if _, ok := d.routes[key]; !ok {
		d.addFinding(s.Position(), "route %s.%s is not declared", s.Service, s.Name)
		return
	}
	delete(d.routes, key)
}
