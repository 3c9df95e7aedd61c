package configurator

import (
	"fmt"
	"maps"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/parser"
)

// model is a reference implementation of Configuration: plain maps, and the
// rules in their simplest form.
type model struct {
	services  map[string]ServiceSpec
	routes    map[string]bool
	targets   map[string]jujubegate.Target
	out       map[string]bool
	moves     map[string]MoveSpec
	takenBack map[string]string
}

func (m model) clone() model {
	return model{
		maps.Clone(m.services), maps.Clone(m.routes), maps.Clone(m.targets), maps.Clone(m.out), maps.Clone(m.moves),
		maps.Clone(m.takenBack),
	}
}

// shardsOf returns the number of shards that have a serving target of a version.
// The data centre assumedIn counts as in even if it is out.
func (m model) shardsOf(service, version, assumedIn string) int {
	shards := map[int]bool{}
	for _, t := range m.targets {
		if string(t.Service) == service && string(t.Version) == version &&
			(!m.out[string(t.DataCentre)] || string(t.DataCentre) == assumedIn) {
			shards[t.Shard] = true
		}
	}
	return len(shards)
}

func (m model) covers(service, version string) bool {
	n := m.shardsOf(service, version, "")
	return n > 0 && n >= m.shardsOf(service, string(m.services[service].Version), "")
}

// applyBatch applies statements and reports whether they keep all rules.
func (m model) applyBatch(batch []parser.Statement) (model, bool) {
	next := m.clone()
	var lossChecked []string
	for _, s := range batch {
		if !next.applyStatement(s) {
			return m, false
		}
		if out, ok := s.(*parser.TakeOutDataCentre); ok && !out.AllowLoss.Value {
			lossChecked = append(lossChecked, string(out.Name))
		}
	}
	for _, name := range lossChecked {
		for service, spec := range next.services {
			move, moving := next.moves[service]
			moving = moving && move.Running()
			if next.out[name] && (!moving || move.Share < 100) &&
				next.shardsOf(service, string(spec.Version), "") != next.shardsOf(service, string(spec.Version), name) {
				return m, false
			}
			if next.out[name] && moving && move.Share > 0 &&
				next.shardsOf(service, string(move.To), "") != next.shardsOf(service, string(move.To), name) {
				return m, false
			}
		}
	}
	return next, true
}

func (m model) applyStatement(s parser.Statement) bool {
	switch s := s.(type) {
	case *parser.DeclareService:
		if _, ok := m.services[string(s.Name)]; ok || s.ColdLimit.Value > s.Slots.Value {
			return false
		}
		m.services[string(s.Name)] = ServiceSpec{
			Name: s.Name, Shards: s.Shards.Value, Slots: s.Slots.Value, Connections: s.Connections.Value,
			ColdLimit: s.ColdLimit.Value, Deadline: s.Deadline.Value, Priority: Normal,
		}
		return true
	case *parser.AlterService:
		spec, ok := m.services[string(s.Name)]
		for _, t := range m.targets {
			ok = ok && (t.Service != s.Name || t.Shard < s.Shards.Value)
		}
		spec.Shards = s.Shards.Value
		if ok {
			m.services[string(s.Name)] = spec
		}
		return ok
	case *parser.DropService:
		_, ok := m.services[string(s.Name)]
		for _, t := range m.targets {
			ok = ok && t.Service != s.Name
		}
		for r := range m.routes {
			ok = ok && r[0] != s.Name[0]
		}
		delete(m.services, string(s.Name))
		delete(m.moves, string(s.Name))
		maps.DeleteFunc(m.takenBack, func(k, _ string) bool { return k[0] == s.Name[0] })
		return ok
	case *parser.DeclareRoute:
		key := string(s.Service) + "." + string(s.Name)
		_, ok := m.services[string(s.Service)]
		_, twice := m.routes[key]
		m.routes[key] = s.Idempotent.Value
		return ok && !twice
	case *parser.DropRoute:
		key := string(s.Service) + "." + string(s.Name)
		_, ok := m.routes[key]
		delete(m.routes, key)
		return ok
	}
	return m.applyTargetStatement(s)
}

func (m model) applyTargetStatement(s parser.Statement) bool {
	switch s := s.(type) {
	case *parser.DeclareTarget:
		spec, ok := m.services[string(s.Service.Value)]
		if _, twice := m.targets[string(s.Address)]; twice || !ok || s.Shard.Value >= spec.Shards {
			return false
		}
		if spec.Version == "" {
			spec.Version = s.Version.Value
			m.services[string(spec.Name)] = spec
		}
		m.targets[string(s.Address)] = jujubegate.Target{
			Address: s.Address, Service: s.Service.Value, Shard: s.Shard.Value, DataCentre: s.DataCentre.Value,
			Version: s.Version.Value,
		}
		return true
	case *parser.DropTarget:
		_, ok := m.targets[string(s.Address)]
		delete(m.targets, string(s.Address))
		return ok
	case *parser.TakeOutDataCentre:
		ok := m.out[string(s.Name)]
		for _, t := range m.targets {
			ok = ok || t.DataCentre == s.Name
		}
		m.out[string(s.Name)] = true
		return ok
	case *parser.BringInDataCentre:
		ok := m.out[string(s.Name)]
		delete(m.out, string(s.Name))
		return ok
	}
	return m.applyMoveStatement(s)
}

func (m model) applyMoveStatement(s parser.Statement) bool {
	var service, to string
	switch s := s.(type) {
	case *parser.BringInVersion:
		service, to = string(s.Service.Value), string(s.Name)
		from := m.services[service].Version
		if from == "" || string(from) == to || m.moves[service].Running() || !m.covers(service, to) {
			return false
		}
		delete(m.takenBack, service+"/"+to)
		m.moves[service] = MoveSpec{
			Service: s.Service.Value, From: from, To: s.Name, State: Proving, Share: s.Share.Value, Started: noon,
			Deadline: noon.Add(s.Deadline.Value.After), OnMissed: MissedTakeBack,
		}
		return true
	case *parser.AdvanceVersion:
		service, to = string(s.Service.Value), string(s.Name)
		move := m.moves[service]
		state := MoveState(s.State.Value)
		if string(move.To) != to || !move.Running() || move.State == Shifting && state == Proving ||
			state == Proving && s.Share.Value > 5 || s.Share.Value > move.Share && !m.covers(service, to) {
			return false
		}
		move.State, move.Share = state, s.Share.Value
		m.moves[service] = move
		return true
	case *parser.FinishVersion:
		service, to = string(s.Service.Value), string(s.Name)
		move := m.moves[service]
		if string(move.To) != to || move.State != Shifting || !m.covers(service, to) {
			return false
		}
		move.State, move.Share = Done, 100
		m.moves[service] = move
		spec := m.services[service]
		spec.Version = s.Name
		m.services[service] = spec
		return true
	case *parser.TakeBackVersion:
		service, to = string(s.Service.Value), string(s.Name)
		move := m.moves[service]
		if string(move.To) != to || move.State == TakenBack ||
			move.State == Done && m.shardsOf(service, string(move.From), "") == 0 {
			return false
		}
		spec := m.services[service]
		spec.Version = move.From
		m.services[service] = spec
		move.State, move.Share, move.Reason = TakenBack, 0, s.Reason.Value
		m.moves[service] = move
		m.takenBack[service+"/"+to] = s.Reason.Value
		return true
	}
	return false
}

// diff describes a difference between a configuration and the model, or returns
// an empty string.
func (m model) diff(c Configuration) string {
	services, targets, moves := map[string]ServiceSpec{}, map[string]jujubegate.Target{}, map[string]MoveSpec{}
	routes, out, takenBack := map[string]bool{}, map[string]bool{}, map[string]string{}
	for _, s := range c.Services() {
		services[string(s.Name)] = s
	}
	for _, t := range c.Targets() {
		targets[string(t.Address)] = t
	}
	for _, v := range c.Moves() {
		moves[string(v.Service)] = v
	}
	for _, r := range c.Routes() {
		routes[string(r.Service)+"."+string(r.Name)] = r.Idempotent
	}
	for _, d := range c.DataCentres() {
		if d.Out {
			out[string(d.Name)] = true
		}
	}
	for key, reason := range c.takenBack {
		takenBack[string(key.Service)+"/"+string(key.Version)] = reason
	}
	if got := (model{services, routes, targets, out, moves, takenBack}); !reflect.DeepEqual(got, m) {
		return fmt.Sprintf("got  %v\nwant %v", got, m)
	}
	for name, spec := range m.services {
		serving := 0
		for _, t := range m.targets {
			if string(t.Service) == name && t.Version == spec.Version && !m.out[string(t.DataCentre)] {
				serving++
			}
		}
		if got := len(c.Serving(spec.Name, OldVersion, nil)); got != serving {
			return fmt.Sprintf("service %s has %d serving targets, want %d", name, got, serving)
		}
	}
	return ""
}

func TestApplyMatchesModel(t *testing.T) {
	// Guards against batches that Apply accepts or refuses wrongly, and against
	// snapshots that lose a part of the configuration.
	rapid.Check(t, func(t *rapid.T) {
		var c Configuration
		m := model{
			map[string]ServiceSpec{},
			map[string]bool{},
			map[string]jujubegate.Target{},
			map[string]bool{},
			map[string]MoveSpec{},
			map[string]string{},
		}
		for i := range rapid.IntRange(30, 120).Draw(t, "batches") {
			batch := rapid.SliceOfN(rapid.Custom(drawStatement), 1, 2).Draw(t, "batch")
			if i == 0 {
				batch = startStatements()
			}
			text := parser.Join(batch)
			next, ok := m.applyBatch(batch)
			after, findings := apply(c, text)
			if ok != (len(findings) == 0) {
				t.Fatalf("model accepts: %v, findings: %v\n%s", ok, findings, text)
			}
			if want := c.generation; ok && after.generation != want+1 || !ok && after.generation != want {
				t.Fatalf("generation %d after %d", after.generation, want)
			}
			c, m = after, next
			if message := m.diff(c); message != "" {
				t.Fatalf("%s\n%s", text, message)
			}
		}
		restored, _, err := Restore(parser.Join(c.Statements()))
		if err != nil || restored.generation != c.generation || m.diff(restored) != "" {
			t.Fatalf("restored %v, want %v: %v", restored, c, err)
		}
	})
}
