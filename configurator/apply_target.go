package configurator

import (
	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/parser"
)

func (d *draft) declareTarget(s *parser.DeclareTarget) {
	if _, ok := d.targets[s.Address]; ok {
		d.addFinding(s.Position(), "target %s is declared already", s.Address)
		return
	}
	spec, ok := d.lookupService(s.Service.Position, s.Service.Value)
	if !ok || !d.shardInRange(s.Shard, spec) {
		return
	}
	if spec.Version == "" {
		spec.Version = s.Version.Value
		d.services[spec.Name] = spec
	}
	d.targets[s.Address] = jujubegate.Target{
		Address: s.Address, Service: spec.Name, Shard: s.Shard.Value,
		DataCentre: s.DataCentre.Value, Version: s.Version.Value,
	}
}

func (d *draft) alterTarget(s *parser.AlterTarget) {
	t, ok := d.targets[s.Address]
	if !ok {
		d.addFinding(s.Position(), "target %s is not declared", s.Address)
		return
	}
	if s.Shard.Given && !d.shardInRange(s.Shard, d.services[t.Service]) {
		return
	}
	t.Shard = s.Shard.Or(t.Shard)
	t.Version = s.Version.Or(t.Version)
	d.targets[s.Address] = t
}

func (d *draft) shardInRange(shard parser.Field[int], spec ServiceSpec) bool {
	if shard.Value < spec.Shards {
		return true
	}
	d.addFinding(shard.Position, "shard %d is out of range, service %s has shards 0 to %d",
		shard.Value, spec.Name, spec.Shards-1)
	return false
}

func (d *draft) dropTarget(s *parser.DropTarget) {
	if _, ok := d.targets[s.Address]; !ok {
		d.addFinding(s.Position(), "target %s is not declared", s.Address)
		return
	}
	delete(d.targets, s.Address)
}

func (d *draft) takeOutDataCentre(s *parser.TakeOutDataCentre) {
	if !d.hasDataCentre(s.Name) {
		d.addFinding(s.Position(), "no target is in data centre %s", s.Name)
		return
	}
	since := d.at
	if before, ok := d.dataCentres[s.Name]; ok {
		since = before.Since
	}
	d.dataCentres[s.Name] = DataCentreSpec{
		Name: s.Name, Out: true, Reason: s.Reason.Value, Until: s.Until.Value, Since: since,
	}
	if !s.AllowLoss.Value {
		d.takeOuts = append(d.takeOuts, s)
	}
}

// hasDataCentre reports whether a target is in the data centre, or the data
// centre is out.
func (d *draft) hasDataCentre(name jujubegate.DataCentre) bool {
	if _, ok := d.dataCentres[name]; ok {
		return true
	}
	for _, t := range d.targets {
		if t.DataCentre == name {
			return true
		}
	}
	return false
}

func (d *draft) bringInDataCentre(s *parser.BringInDataCentre) {
	if !d.dataCentres[s.Name].Out {
		d.addFinding(s.Position(), "data centre %s is not out", s.Name)
		return
	}
	delete(d.dataCentres, s.Name)
}

// checkLoss adds a finding for each data centre that this batch takes out and
// that leaves a shard without a serving target. It checks the result of the
// whole batch, so that a batch may take one data centre out and bring another
// one in, in any order.
func (d *draft) checkLoss() {
	for _, s := range d.takeOuts {
		if !d.dataCentres[s.Name].Out {
			continue
		}
		for _, spec := range d.Services() {
			for _, version := range d.usedVersions(spec.Name) {
				d.checkVersionLoss(s, spec, version)
			}
		}
	}
}

func (d *draft) checkVersionLoss(s *parser.TakeOutDataCentre, spec ServiceSpec, version jujubegate.Version) {
	before, _ := d.versionCoverage(spec.Name, version, s.Name)
	after, missing := d.versionCoverage(spec.Name, version, "")
	if before == after {
		return
	}
	d.addFinding(s.Position(), "taking out data centre %s reduces the coverage of service %s, version %s, "+
		"from %d to %d of %d shards (%.1f%%); without a target: shards %s; AllowLoss = true accepts this",
		s.Name, spec.Name, version, before, after, spec.Shards,
		100*float64(after)/float64(spec.Shards), listShards(missing))
}
