// Package configurator implements the configuration of the gateway: an immutable
// Configuration value, the Log of its changes in the store, and the Follower
// that applies them and holds the newest generation.
package configurator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"jujubegate.example/jujubegate"
)

// Priority orders services under overload; a higher one is served first.
type Priority int

// Priorities of services.
const (
	Low Priority = iota + 1
	Normal
	High
)

// String returns the keyword of the statement language.
func (p Priority) String() string {
	for word, priority := range priorities {
		if priority == p {
			return word
		}
	}
	return ""
}

// ServiceSpec is the declaration of a service.
type ServiceSpec struct {
	Name   jujubegate.Service
	Shards int
	// Slots is the number of requests that a warm target runs at once.
	Slots int
	// Connections is the number of connections that a target accepts.
	Connections int
	// ColdLimit is the number of requests that a cold target runs at once.
	ColdLimit int
	Deadline  time.Duration
	Priority  Priority
	// Version is the current version, from which a running move starts. It is
	// initially that of the declaration, or else that of the first target that
	// was declared.
	Version jujubegate.Version
}

// RouteSpec is the declaration of a route, a kind of request to a service.
type RouteSpec struct {
	Service    jujubegate.Service
	Name       jujubegate.Route
	Idempotent bool
}

// DataCentreSpec is the state of a data centre.
type DataCentreSpec struct {
	Name   jujubegate.DataCentre
	Out    bool
	Reason string
	// Until is the announced end of the outage; zero if none was given. It is
	// for information only: a data centre comes back in by a statement.
	Until time.Time
	Since time.Time
}

// MoveState is the state of a version move.
type MoveState string

// States of a move.
const (
	Proving   MoveState = "Proving"
	Shifting  MoveState = "Shifting"
	Done      MoveState = "Done"
	TakenBack MoveState = "TakenBack"
)

// OnMissed says what happens to a move that misses its deadline.
type OnMissed string

// Actions after a missed deadline.
const (
	MissedTakeBack OnMissed = "TakeBack"
	MissedContinue OnMissed = "Continue"
)

// MoveSpec describes the move of a service's traffic to a new version.
type MoveSpec struct {
	Service jujubegate.Service
	From    jujubegate.Version
	To      jujubegate.Version
	State   MoveState
	// Share is the percentage of queries that go to the new version, 0 to 100.
	Share    int
	Started  time.Time
	Deadline time.Time
	OnMissed OnMissed
	Reason   string
}

// Configuration is an immutable set of declarations at one generation. The
// zero value is the empty configuration at generation 0.
type Configuration struct {
	generation  jujubegate.Generation
	services    map[jujubegate.Service]ServiceSpec
	routes      map[RouteKey]RouteSpec
	targets     map[jujubegate.Address]jujubegate.Target
	dataCentres map[jujubegate.DataCentre]DataCentreSpec
	moves       map[jujubegate.Service]MoveSpec
	takenBack   map[VersionKey]string
	serving     map[jujubegate.Service]servingTargets
}

// RouteKey identifies a route.
type RouteKey struct {
	Service jujubegate.Service
	Route   jujubegate.Route
}

// VersionKey identifies a version of a service.
type VersionKey struct {
	Service jujubegate.Service
	Version jujubegate.Version
}

// Generation returns the generation of the last change that was applied.
func (c Configuration) Generation() jujubegate.Generation { return c.generation }

// Service returns the declaration of a service.
func (c Configuration) Service(name jujubegate.Service) (ServiceSpec, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Services returns all services, sorted by name.
func (c Configuration) Services() []ServiceSpec {
	return sorted(c.services, func(a, b ServiceSpec) int { return cmp.Compare(a.Name, b.Name) })
}

// Route returns the declaration of a route.
func (c Configuration) Route(service jujubegate.Service, route jujubegate.Route) (RouteSpec, bool) {
	r, ok := c.routes[RouteKey{service, route}]
	return r, ok
}

// Routes returns all routes, sorted by service and name.
func (c Configuration) Routes() []RouteSpec {
	return sorted(c.routes, func(a, b RouteSpec) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Name, b.Name))
	})
}

// Target returns the declaration of a target.
func (c Configuration) Target(address jujubegate.Address) (jujubegate.Target, bool) {
	t, ok := c.targets[address]
	return t, ok
}

// Targets returns all targets, sorted by service, shard and address.
func (c Configuration) Targets() []jujubegate.Target {
	return sorted(c.targets, compareTargets)
}

// DataCentreOut reports whether operators took the data centre out.
func (c Configuration) DataCentreOut(name jujubegate.DataCentre) bool {
	return c.dataCentres[name].Out
}

// DataCentres returns the data centres of all targets and those that are out,
// sorted by name.
func (c Configuration) DataCentres() []DataCentreSpec {
	all := make(map[jujubegate.DataCentre]DataCentreSpec, len(c.dataCentres))
	for _, t := range c.targets {
		all[t.DataCentre] = DataCentreSpec{Name: t.DataCentre}
	}
	for name, d := range c.dataCentres {
		all[name] = d
	}
	return sorted(all, func(a, b DataCentreSpec) int { return cmp.Compare(a.Name, b.Name) })
}

// Move returns the latest move of a service.
func (c Configuration) Move(service jujubegate.Service) (MoveSpec, bool) {
	m, ok := c.moves[service]
	return m, ok
}

// Moves returns the latest move of every service, sorted by service.
func (c Configuration) Moves() []MoveSpec {
	return sorted(c.moves, func(a, b MoveSpec) int { return cmp.Compare(a.Service, b.Service) })
}

// TakenBack reports whether a version was taken back, and returns the reason. A
// version stays taken back until an operator brings it in again.
func (c Configuration) TakenBack(service jujubegate.Service, version jujubegate.Version) (string, bool) {
	reason, ok := c.takenBack[VersionKey{service, version}]
	return reason, ok
}

// takenBackKeys returns the versions that are taken back, sorted by service and
// version.
func (c Configuration) takenBackKeys() []VersionKey {
	return slices.SortedFunc(maps.Keys(c.takenBack), func(a, b VersionKey) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	})
}

func compareTargets(a, b jujubegate.Target) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Shard, b.Shard),
		cmp.Compare(a.Address, b.Address))
}

func sorted[K comparable, V any](values map[K]V, compare func(a, b V) int) []V {
	list := make([]V, 0, len(values))
	for _, v := range values {
		list = append(list, v)
	}
	slices.SortFunc(list, compare)
	return list
}
