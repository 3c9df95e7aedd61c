package configurator

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"jujubegate.example/jujubegate"
)

// VersionChoice selects one of the two versions of a service during a move.
type VersionChoice int

// Versions of a service during a move.
const (
	// OldVersion is the current version, from which a running move starts.
	OldVersion VersionChoice = iota
	// NewVersion is the version that a running move brings in. Without a running
	// move it is the same as OldVersion.
	NewVersion
)

// servingTargets holds the targets of a service that may receive new requests,
// for each Choice.
type servingTargets struct {
	old []jujubegate.Target
	new []jujubegate.Target
}

// Serving returns the targets of a service that may receive new requests, sorted
// by shard and address: those of the chosen version in data centres that are not
// out. Targets for which out returns true are excluded; out may be nil. The
// caller must not modify the result.
func (c Configuration) Serving(
	service jujubegate.Service, choice VersionChoice, out func(jujubegate.Target) bool,
) []jujubegate.Target {
	targets := c.serving[service].old
	if choice == NewVersion {
		targets = c.serving[service].new
	}
	if out == nil {
		return targets
	}
	return slices.DeleteFunc(slices.Clone(targets), out)
}

// MoveShare returns the percentage of queries that go to the new version of a
// running move, or 0 without one.
func (c Configuration) MoveShare(service jujubegate.Service) int {
	if m := c.moves[service]; m.Running() {
		return m.Share
	}
	return 0
}

// VersionOf returns the version that a choice selects.
func (c Configuration) VersionOf(service jujubegate.Service, choice VersionChoice) jujubegate.Version {
	if m := c.moves[service]; choice == NewVersion && m.Running() {
		return m.To
	}
	return c.services[service].Version
}

// indexServing computes the serving targets of all services.
func (c Configuration) indexServing() map[jujubegate.Service]servingTargets {
	index := make(map[jujubegate.Service]servingTargets, len(c.services))
	for _, t := range c.Targets() {
		if c.dataCentres[t.DataCentre].Out {
			continue
		}
		s := index[t.Service]
		if t.Version == c.VersionOf(t.Service, OldVersion) {
			s.old = append(s.old, t)
		}
		if t.Version == c.VersionOf(t.Service, NewVersion) {
			s.new = append(s.new, t)
		}
		index[t.Service] = s
	}
	return index
}

// Coverage returns the number of shards of a service that have a serving
// target of the chosen version, and the shards that have none.
func (c Configuration) Coverage(service jujubegate.Service, choice VersionChoice) (int, []int) {
	return c.versionCoverage(service, c.VersionOf(service, choice), "")
}

// versionCoverage returns the coverage of a version. The data centre assumedIn
// counts as in even if it is out.
func (c Configuration) versionCoverage(
	service jujubegate.Service, version jujubegate.Version, assumedIn jujubegate.DataCentre,
) (int, []int) {
	covered := make([]bool, c.services[service].Shards)
	for _, t := range c.targets {
		usable := t.DataCentre == assumedIn || !c.dataCentres[t.DataCentre].Out
		if t.Service == service && t.Version == version && usable && t.Shard < len(covered) {
			covered[t.Shard] = true
		}
	}
	var missing []int
	for shard, ok := range covered {
		if !ok {
			missing = append(missing, shard)
		}
	}
	return len(covered) - len(missing), missing
}

// usedVersions returns the versions that receive queries.
func (c Configuration) usedVersions(service jujubegate.Service) []jujubegate.Version {
	share := c.MoveShare(service)
	var versions []jujubegate.Version
	if share < 100 {
		versions = append(versions, c.VersionOf(service, OldVersion))
	}
	if share > 0 {
		versions = append(versions, c.VersionOf(service, NewVersion))
	}
	return versions
}

// maxListedShards bounds the length of a finding.
const maxListedShards = 10

// listShards returns shard numbers as text, at most maxListedShards of them.
func listShards(shards []int) string {
	var words []string
	for i, s := range shards {
		if i == maxListedShards {
			words = append(words, fmt.Sprintf("and %d more", len(shards)-i))
			break
		}
		words = append(words, strconv.Itoa(s))
	}
	return strings.Join(words, ", ")
}
