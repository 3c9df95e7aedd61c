package configurator

import (
	"cmp"

	"jujubegate.example/jujubegate"
)

// VersionState is the state of a version of a service.
type VersionState string

// States of a version.
const (
	VersionServing   VersionState = "Serving"
	VersionProving   VersionState = "Proving"
	VersionShifting  VersionState = "Shifting"
	VersionTakenBack VersionState = "TakenBack"
	// VersionIdle is the state of any other version: it receives no queries.
	VersionIdle VersionState = "Idle"
)

// VersionStatus describes one version of a service.
type VersionStatus struct {
	Service jujubegate.Service
	Version jujubegate.Version
	State   VersionState
	// Share is the percentage of queries that go to the version.
	Share   int
	Targets int
	// Reason says why the version was taken back; empty in other states.
	Reason string
}

// Versions returns all versions that targets, moves or services name or that were
// taken back, sorted by service and version.
func (c Configuration) Versions() []VersionStatus {
	targets := make(map[VersionKey]int)
	for _, t := range c.targets {
		targets[VersionKey{t.Service, t.Version}]++
	}
	for _, s := range c.services {
		if s.Version != "" {
			targets[VersionKey{s.Name, s.Version}] += 0
		}
	}
	for key := range c.takenBack {
		targets[key] += 0
	}
	for _, m := range c.moves {
		targets[VersionKey{m.Service, m.To}] += 0
	}
	all := make(map[VersionKey]VersionStatus, len(targets))
	for key, n := range targets {
		all[key] = c.versionStatus(key, n)
	}
	return sorted(all, func(a, b VersionStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	})
}

func (c Configuration) versionStatus(key VersionKey, targets int) VersionStatus {
	v := VersionStatus{Service: key.Service, Version: key.Version, State: VersionIdle, Targets: targets}
	m := c.moves[key.Service]
	reason, takenBack := c.takenBack[key]
	switch {
	case m.Running() && m.To == key.Version:
		v.State, v.Share = VersionState(m.State), m.Share
	case c.services[key.Service].Version == key.Version:
		v.State, v.Share = VersionServing, 100-c.MoveShare(key.Service)
	case takenBack:
		v.State, v.Reason = VersionTakenBack, reason
	}
	return v
}
