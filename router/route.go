// Package router matches requests to routes and distributes them over the
// services of a route, according to an immutable table of the configuration.
package router

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"jujubegate.example/jujubegate"
)

// Route defines where requests for one host and path prefix are sent.
type Route struct {
	Name jujubegate.Route
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	// Idempotent is set if a request may run more than once.
	Idempotent bool
	// Timeout is the maximum time until the final answer.
	Timeout time.Duration
	// Objective is the latency objective: answers that take longer are worth less
	// to the caller.
	Objective time.Duration
	// Attempts is the maximum number of targets that one request may be sent to,
	// for each shard.
	Attempts int
	// Priority is the importance of the requests; 0 is the highest.
	Priority int
	// Backends are the services among which requests are distributed by weight.
	// It has one element for a route without a split and none if Gather is set.
	Backends []Backend
	// Gather is set for a route whose requests are queries over many shards.
	Gather *Gather

	// pickCount counts the calls of Pick. Successive tables share it.
	pickCount *atomic.Uint64
}

// Backend is a service with its weight on a route.
type Backend struct {
	Service jujubegate.Service
	Weight  float64
}

// Gather describes a query over many shards.
type Gather struct {
	Shards []jujubegate.Service
	// Top is the maximum number of records in the answer.
	Top int
	// Floor is the minimum fraction of the shards that a successful answer needs.
	Floor float64
}

// Service is the configuration of one service.
type Service struct {
	Name jujubegate.Service
	// Connections is the number of connections that one target accepts in total;
	// all instances share it.
	Connections int
	// ColdRate is the rate in requests per second that a cold target can
	// handle; 0 means no limit.
	ColdRate float64
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes, BodyBytes int
	HeaderTime, IdleTime   time.Duration
}

// Table is one version of the configuration. It is immutable.
type Table struct {
	Version      int64
	Limits       Limits
	services     map[jujubegate.Service]Service
	routesByHost map[string][]*Route
}

// New returns the table for a version of the configuration. A route with the
// same host, path prefix and backends as in the previous table continues its
// distribution over the backends instead of starting again.
func New(version int64, routes []Route, services []Service, limits Limits, previous *Table) *Table {
	t := &Table{
		Version: version, Limits: limits,
		services:     make(map[jujubegate.Service]Service, len(services)),
		routesByHost: make(map[string][]*Route),
	}
	for _, s := range services {
		t.services[s.Name] = s
	}
	for _, r := range routes {
		r.pickCount = &atomic.Uint64{}
		if old := previous.find(r.Host, r.PathPrefix); old != nil && slices.Equal(old.Backends, r.Backends) {
			r.pickCount = old.pickCount
		}
		host := strings.ToLower(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], &r)
	}
	for _, hostRoutes := range t.routesByHost {
		slices.SortStableFunc(hostRoutes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	return t
}

// find returns the route with exactly this host and path prefix, or nil.
func (t *Table) find(host, prefix string) *Route {
	if t == nil {
		return nil
	}
	for _, r := range t.routesByHost[strings.ToLower(host)] {
		if r.PathPrefix == prefix {
			return r
		}
	}
	return nil
}

// Match returns the route of the host with the longest matching path prefix, or
// nil if there is none.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Service returns the configuration of a service.
func (t *Table) Service(name jujubegate.Service) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// goldenRatioStep is the fractional part of the golden ratio in units of 2^-64.
// Its multiples modulo 2^64 are evenly spread, so that even short sequences of
// requests are distributed by the weights.
const goldenRatioStep = 0x9E3779B97F4A7C15

// Pick returns the service for the next request. Services are picked in
// proportion to their weights.
func (r *Route) Pick() jujubegate.Service {
	if len(r.Backends) == 1 {
		return r.Backends[0].Service
	}
	var total float64
	for _, b := range r.Backends {
		total += b.Weight
	}
	point := float64(r.pickCount.Add(1)*goldenRatioStep) / (1 << 64) * total
	for _, b := range r.Backends {
		if point -= b.Weight; point < 0 {
			return b.Service
		}
	}
	return r.Backends[len(r.Backends)-1].Service
}
