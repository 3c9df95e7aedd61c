package configurator

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"jujubegate.example/jujubegate"
)

// Choice picks between the versions of a service while a move is running.
type Choice int

// Choices of a version.
const (
	// OldVersion is the version that serves without the move.
	OldVersion Choice = iota
	// NewVersion is the version that a running move brings in; without a
	// running move it is the same as OldVersion.
	NewVersion
)

// servingTargets is the targets of a service that may receive new work.
type servingTargets struct {
	old []jujubegate.Target
	new []jujubegate.Target
}

// Serving returns the targets of a service that may receive new work now, by
// shard and address: those of the chosen version in data centres that are not
// out. A target for which out returns true is left out; out may be nil. The
// caller must not change the result.
func (c Configuration) Serving(
	service jujubegate.Service, choice Choice, out func(jujubegate.Target) bool,
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

// NewShare returns the percentage of queries that go to the new version.
func (c Configuration) NewShare(service jujubegate.Service) int {
	if m := c.moves[service]; m.Running() {
		return m.Share
	}
	return 0
}

// VersionOf returns the version that a choice stands for.
func (c Configuration) VersionOf(service jujubegate.Service, choice Choice) jujubegate.Version {
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
func (c Configuration) Coverage(service jujubegate.Service, choice Choice) (int, []int) {
	return c.covered(service, c.VersionOf(service, choice), "")
}

// covered is Coverage of a version, with the data centre back taken as in
// service.
func (c Configuration) covered(
	service jujubegate.Service, version jujubegate.Version, back jujubegate.DataCentre,
) (int, []int) {
	held := make([]bool, c.services[service].Shards)
	for _, t := range c.targets {
		usable := t.DataCentre == back || !c.dataCentres[t.DataCentre].Out
		if t.Service == service && t.Version == version && usable && t.Shard < len(held) {
			held[t.Shard] = true
		}
	}
	var missing []int
	for shard, ok := range held {
		if !ok {
			missing = append(missing, shard)
		}
	}
	return len(held) - len(missing), missing
}

// usedVersions returns the versions that queries go to now.
func (c Configuration) usedVersions(service jujubegate.Service) []jujubegate.Version {
	share := c.NewShare(service)
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
