package querier

import (
	"slices"
	"time"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/balancer"
	"jujubegate.example/jujubegate/configurator"
	"jujubegate.example/jujubegate/hedger"
)

// topology is the part of configurator.Configuration that plans are built from.
type topology interface {
	Generation() jujubegate.Generation
	Services() []configurator.ServiceSpec
	Routes() []configurator.RouteSpec
	Targets() []jujubegate.Target
	DataCentreOut(jujubegate.DataCentre) bool
	Move(jujubegate.Service) (configurator.MoveSpec, bool)
}

// plan indexes one generation of the configuration for queries.
type plan struct {
	generation jujubegate.Generation
	services   map[jujubegate.Service]*servicePlan
}

type servicePlan struct {
	generation jujubegate.Generation
	spec       configurator.ServiceSpec
	routes     map[jujubegate.Route]*routePlan
	move       configurator.MoveSpec
	hasMove    bool
	shards     [][]candidate
	// offsets holds, for each shard, the number of candidates of the shards before
	// it; the last element is the total.
	offsets []int
}

type routePlan struct {
	spec    configurator.RouteSpec
	latency *hedger.RouteLatency
}

// candidate is a declared target whose data centre is not out.
type candidate struct {
	address  jujubegate.Address
	version  jujubegate.Version
	replica  *balancer.Replica
	distance time.Duration
}

// currentPlan returns the plan of the applied configuration. It builds a plan once
// per generation: generations only increase.
func (q *Querier) currentPlan() *plan {
	c := q.topology()
	p := q.plan.Load()
	if p != nil && p.generation == c.Generation() {
		return p
	}
	q.planMu.Lock()
	defer q.planMu.Unlock()
	if p = q.plan.Load(); p != nil && p.generation >= c.Generation() {
		return p
	}
	p = q.buildPlan(c)
	q.plan.Store(p)
	return p
}

// buildPlan indexes a configuration. It uses at most balancer.MaxOptions targets per
// shard.
func (q *Querier) buildPlan(c topology) *plan {
	p := &plan{generation: c.Generation(), services: make(map[jujubegate.Service]*servicePlan)}
	for _, spec := range c.Services() {
		s := &servicePlan{
			generation: p.generation, spec: spec, routes: make(map[jujubegate.Route]*routePlan),
			shards: make([][]candidate, spec.Shards), offsets: make([]int, spec.Shards+1),
		}
		s.move, s.hasMove = c.Move(spec.Name)
		p.services[spec.Name] = s
	}
	for _, r := range c.Routes() {
		if s, ok := p.services[r.Service]; ok {
			s.routes[r.Name] = &routePlan{spec: r, latency: q.Hedger.Route(r.Service, r.Name)}
		}
	}
	declared := make(map[jujubegate.Address]struct{})
	for _, t := range c.Targets() {
		declared[t.Address] = struct{}{}
		s, ok := p.services[t.Service]
		if !ok || t.Shard < 0 || t.Shard >= len(s.shards) || c.DataCentreOut(t.DataCentre) ||
			len(s.shards[t.Shard]) == balancer.MaxOptions {
			continue
		}
		s.shards[t.Shard] = append(s.shards[t.Shard], candidate{
			address: t.Address, version: t.Version, replica: q.Balancer.Replica(t.Address),
			distance: q.distance(t.DataCentre),
		})
	}
	for _, s := range p.services {
		for i := range s.shards {
			s.offsets[i+1] = s.offsets[i] + len(s.shards[i])
		}
	}
	q.Balancer.Keep(func(a jujubegate.Address) bool {
		_, ok := declared[a]
		return ok
	})
	return p
}

func (q *Querier) distance(to jujubegate.DataCentre) time.Duration {
	if to == q.DataCentre {
		return 0
	}
	return crossDataCentreRTT
}

// serves reports whether any queries may use the target for the shard.
func (p *plan) serves(service jujubegate.Service, shard int, address jujubegate.Address) bool {
	s, ok := p.services[service]
	if !ok || shard >= len(s.shards) {
		return false
	}
	return slices.ContainsFunc(s.shards[shard], func(c candidate) bool {
		return c.address == address && versionServes(s.spec, s.move, s.hasMove, c.version)
	})
}
