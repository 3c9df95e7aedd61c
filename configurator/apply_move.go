package configurator

import (
	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/parser"
)

func (d *draft) bringInVersion(s *parser.BringInVersion) {
	spec, ok := d.lookupService(s.Service.Position, s.Service.Value)
	if !ok {
		return
	}
	if m := d.moves[spec.Name]; m.Running() {
		d.addFinding(s.Position(), "service %s has a running move from %s to %s", spec.Name, m.From, m.To)
		return
	}
	switch spec.Version {
	case "":
		d.addFinding(s.Position(), "service %s has no version to move from; declare its targets first", spec.Name)
		return
	case s.Name:
		d.addFinding(s.Position(), "version %s of service %s serves already", s.Name, spec.Name)
		return
	}
	if !d.requireCoverage(s.Position(), spec, s.Name) {
		return
	}
	deadline := s.Deadline.Value.Resolve(d.at)
	if !deadline.After(d.at) {
		d.addFinding(s.Deadline.Position, "deadline %s has passed", parser.FormatTime(deadline))
		return
	}
	delete(d.takenBack, VersionKey{spec.Name, s.Name})
	d.moves[spec.Name] = MoveSpec{
		Service: spec.Name, From: spec.Version, To: s.Name, State: Proving,
		Share: s.Share.Or(parser.MaxProvingShare), Started: d.at, Deadline: deadline,
		OnMissed: OnMissed(s.OnMissed.Or(parser.OnMissedTakeBack)),
	}
}

// requireCoverage reports whether a version has serving targets for at least as
// many shards as the current version, and for at least one. If not, its queries
// would lose coverage, and requireCoverage adds a finding.
func (d *draft) requireCoverage(position jujubegate.Position, spec ServiceSpec, version jujubegate.Version) bool {
	currentShards, _ := d.versionCoverage(spec.Name, spec.Version, "")
	newShards, missing := d.versionCoverage(spec.Name, version, "")
	if newShards >= currentShards && newShards > 0 {
		return true
	}
	d.addFinding(position, "version %s of service %s has serving targets for %d of %d shards, version %s for %d; "+
		"without a target: shards %s", version, spec.Name, newShards, spec.Shards, spec.Version, currentShards,
		listShards(missing))
	return false
}

// runningMove returns the running move of a service to a version, or adds a
// finding that there is none.
func (d *draft) runningMove(
	position jujubegate.Position, service jujubegate.Service, version jujubegate.Version,
) (MoveSpec, bool) {
	if _, ok := d.lookupService(position, service); !ok {
		return MoveSpec{}, false
	}
	m, ok := d.moves[service]
	switch {
	case !ok || m.To != version:
		d.addFinding(position, "service %s has no move to version %s", service, version)
		return m, false
	case !m.Running():
		d.addFinding(position, "the move of service %s to version %s is not running, its state is %s",
			service, version, m.State)
		return m, false
	}
	return m, true
}

func (d *draft) advanceVersion(s *parser.AdvanceVersion) {
	m, ok := d.runningMove(s.Position(), s.Service.Value, s.Name)
	if !ok {
		return
	}
	state := MoveState(s.State.Or(string(m.State)))
	if m.State == Shifting && state == Proving {
		d.addFinding(s.State.Position, "a move does not return from Shifting to Proving")
		return
	}
	if state == Proving && s.Share.Value > parser.MaxProvingShare {
		d.addFinding(s.Share.Position, "Share is %d, must be at most %d while the version is proving",
			s.Share.Value, parser.MaxProvingShare)
		return
	}
	if s.Share.Value > m.Share && !d.requireCoverage(s.Position(), d.services[m.Service], m.To) {
		return
	}
	m.State, m.Share = state, s.Share.Value
	d.moves[m.Service] = m
}

func (d *draft) finishVersion(s *parser.FinishVersion) {
	m, ok := d.runningMove(s.Position(), s.Service.Value, s.Name)
	if !ok {
		return
	}
	if m.State != Shifting {
		d.addFinding(s.Position(), "the move of service %s to version %s is still proving", m.Service, m.To)
		return
	}
	spec := d.services[m.Service]
	if !d.requireCoverage(s.Position(), spec, m.To) {
		return
	}
	m.State, m.Share = Done, parser.MaxShare
	d.moves[m.Service] = m
	spec.Version = m.To
	d.services[m.Service] = spec
}

// takeBackVersion aborts a running move, or reverts one that is done.
func (d *draft) takeBackVersion(s *parser.TakeBackVersion) {
	spec, ok := d.lookupService(s.Service.Position, s.Service.Value)
	if !ok {
		return
	}
	m, ok := d.moves[spec.Name]
	switch {
	case !ok || m.To != s.Name:
		d.addFinding(s.Position(), "service %s has no move to version %s", spec.Name, s.Name)
		return
	case m.State == TakenBack:
		d.addFinding(s.Position(), "version %s of service %s is taken back already", s.Name, spec.Name)
		return
	case m.State == Done:
		if targets, _ := d.versionCoverage(spec.Name, m.From, ""); targets == 0 {
			d.addFinding(s.Position(), "version %s of service %s, the one before, has no serving target",
				m.From, spec.Name)
			return
		}
		spec.Version = m.From
		d.services[spec.Name] = spec
	}
	m.State, m.Share, m.Reason = TakenBack, 0, s.Reason.Value
	d.moves[spec.Name] = m
	d.takenBack[VersionKey{spec.Name, s.Name}] = s.Reason.Value
}

func (d *draft) setDeadlineVersion(s *parser.SetDeadlineVersion) {
	m, ok := d.runningMove(s.Position(), s.Service.Value, s.Name)
	if !ok {
		return
	}
	m.Deadline = s.Deadline.Value.Resolve(d.at)
	d.moves[m.Service] = m
}
