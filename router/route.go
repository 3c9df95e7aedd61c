// Package router holds the configuration in force as an immutable table and
// finds the route of a request.
package router

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"jujubegate.example/jujubegate"
)

// Route says where the requests of one host and path prefix go.
type Route struct {
	Name jujubegate.Route
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time until the final answer.
	Timeout time.Duration
	// Objective is the latency within which an answer has its full value.
	Objective time.Duration
	// Attempts is the number of targets that one request may be sent to, for
	// each shard.
	Attempts int
	// Priority is the rank; 0 is the most important.
	Priority int
	// Backends are the services that share the requests by weight; one for a
	// plain route, none for a gathered one.
	Backends []Backend
	// Gather is set for a query over many shards.
	Gather *Gather

	picks *atomic.Uint64
}

// Backend is a service with its share of a route.
type Backend struct {
	Service jujubegate.Service
	Weight  float64
}

// Gather describes a query over many shards.
type Gather struct {
	Shards []jujubegate.Service
	// Top is the number of records in the answer.
	Top int
	// Floor is the least share of shards in a successful answer.
	Floor float64
}

// Service is what the configuration says of one service.
type Service struct {
	Name jujubegate.Service
	// Connections is what one target accepts from all callers together.
	Connections int
	// ColdRate is the rate in requests per second that a cold target can
	// handle; 0 means that it is not limited.
	ColdRate float64
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes, BodyBytes int
	HeaderTime, IdleTime   time.Duration
}

// Table is one version of the configuration. It is immutable.
type Table struct {
	Version  int64
	Limits   Limits
	services map[jujubegate.Service]Service
	hosts    map[string][]*Route
}

// New returns the table of a version. A route that is equal to one of the
// previous table keeps its place in the distribution over its backends.
func New(version int64, routes []Route, services []Service, limits Limits, previous *Table) *Table {
	t := &Table{
		Version: version, Limits: limits,
		services: make(map[jujubegate.Service]Service, len(services)),
		hosts:    make(map[string][]*Route),
	}
	for _, s := range services {
		t.services[s.Name] = s
	}
	for _, r := range routes {
		r.picks = &atomic.Uint64{}
		if old := previous.route(r.Host, r.PathPrefix); old != nil && slices.Equal(old.Backends, r.Backends) {
			r.picks = old.picks
		}
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], &r)
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	return t
}

func (t *Table) route(host, prefix string) *Route {
	if t == nil {
		return nil
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if r.PathPrefix == prefix {
			return r
		}
	}
	return nil
}

// Match returns the route of the host with the longest prefix of the path, or
// nil if there is none.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Service returns what the configuration says of a service.
func (t *Table) Service(name jujubegate.Service) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// goldenStep is the fractional part of the golden ratio in units of 2^-64. Its
// multiples are spread evenly, so that short spans keep the weights too.
const goldenStep = 0x9E3779B97F4A7C15

// Pick returns the service of the next request, in proportion to the weights.
func (r *Route) Pick() jujubegate.Service {
	if len(r.Backends) == 1 {
		return r.Backends[0].Service
	}
	var total float64
	for _, b := range r.Backends {
		total += b.Weight
	}
	at := float64(r.picks.Add(1)*goldenStep) / (1 << 64) * total
	for _, b := range r.Backends {
		if at -= b.Weight; at < 0 {
			return b.Service
		}
	}
	return r.Backends[len(r.Backends)-1].Service
}
