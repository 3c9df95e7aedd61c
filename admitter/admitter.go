// Package admitter admits or refuses whole queries, so that an overload does
// not waste work on queries that some shard refuses.
package admitter

import (
	"fmt"
	"sync"
	"time"

	"jujubegate.example/jujubegate"
)

// Result is what the end of an admitted query shows about the load.
type Result int

// Results of queries.
const (
	// Good queries were answered in time.
	Good Result = iota
	// Congested queries were refused as overloaded or missed their deadline.
	Congested
	// Neutral queries show nothing about the load.
	Neutral
)

const (
	// maxInFlight bounds the sub-requests in flight of this root and so its
	// memory: a query of 1,100 shards with two replicas holds 720 bytes per shard.
	maxInFlight = 1 << 16
	// priorities is the number of priority classes; larger ones are more important.
	priorities = 4
	// demandPeriod is the period of the demand estimates, and the least time
	// between two changes of the limit.
	demandPeriod = 100 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the RetryAfter of a refusal.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// Admitter limits the rate of queries per service. Queries of lower priorities
// are refused first, and the callers of one priority get equal shares. It is safe
// for concurrent use.
type Admitter struct {
	mu       sync.Mutex
	inFlight int
	services map[jujubegate.Service]*service
}

// New returns an admitter that has seen no overload.
func New() *Admitter { return &Admitter{services: make(map[jujubegate.Service]*service)} }

// Ticket is the admission of one query.
type Ticket struct {
	service jujubegate.Service
	shards  int
	at      time.Time
}

// service is the state of one service.
type service struct {
	controller  controller
	periodStart time.Time
	classes     [priorities]class
}

// Admit admits a query, or refuses it with the time after which to retry. A
// priority outside the range of the classes counts as the nearest class.
func (a *Admitter) Admit(now time.Time, name jujubegate.Service, shards, priority int, caller jujubegate.Caller) (Ticket, *jujubegate.Refusal) {
	priority = min(max(priority, 0), priorities-1)
	a.mu.Lock()
	defer a.mu.Unlock()
	// Each priority may use one quarter of maxInFlight more than the one below,
	// so that the last quarter is reserved for the most important priority.
	if a.inFlight > 0 && a.inFlight+shards > maxInFlight*(priority+1)/priorities {
		return Ticket{}, newRefusal(minRetryAfter, fmt.Sprintf("%d sub-requests are in flight", a.inFlight))
	}
	s, ok := a.services[name]
	if !ok {
		s = &service{periodStart: now}
		a.services[name] = s
	}
	s.endPeriod(now)
	c := &s.classes[priority]
	if admitted, wait := c.admit(now, caller, s.controller.limited); !admitted {
		return Ticket{}, newRefusal(wait, fmt.Sprintf("service %s admits %.0f queries a second, %.0f of this priority",
			name, s.controller.limit, c.quota))
	}
	s.controller.admitted++
	a.inFlight += shards
	return Ticket{service: name, shards: shards, at: now}, nil
}

// Done records the end of an admitted query.
func (a *Admitter) Done(now time.Time, t Ticket, result Result) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inFlight -= t.shards
	s, ok := a.services[t.service]
	if !ok {
		return
	}
	limited := s.controller.limited
	s.controller.recordResult(now, t.at, result)
	if s.controller.limited && !limited {
		s.divideLimit()
	}
}

// Limit returns the admitted rate of a service in queries per second, and
// false if it is not limited.
func (a *Admitter) Limit(name jujubegate.Service) (float64, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s, ok := a.services[name]
	if !ok {
		return 0, false
	}
	return s.controller.limit, s.controller.limited
}

// InFlight returns the number of shards of the admitted queries that have not
// ended.
func (a *Admitter) InFlight() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.inFlight
}

// endPeriod updates the demand estimates and the quotas if the period is over.
func (s *service) endPeriod(now time.Time) {
	elapsed := now.Sub(s.periodStart)
	if elapsed < demandPeriod {
		return
	}
	s.periodStart = now
	for p := range s.classes {
		s.classes[p].updateDemand(now, elapsed)
	}
	if s.controller.limited {
		s.divideLimit()
	}
}

// divideLimit divides the limit among the classes, the most important one first.
// The part without demand is added to the quota of every class, so that new
// demand is not refused while there is capacity.
func (s *service) divideLimit() {
	var quotas [priorities]float64
	remaining := s.controller.limit
	for p := priorities - 1; p >= 0; p-- {
		quotas[p] = min(s.classes[p].demand*demandMargin, remaining)
		remaining -= quotas[p]
	}
	for p := range s.classes {
		s.classes[p].divideQuota(quotas[p] + remaining)
	}
}

func newRefusal(retryAfter time.Duration, detail string) *jujubegate.Refusal {
	return &jujubegate.Refusal{
		Reason: jujubegate.Overloaded, Outcome: jujubegate.NotRun,
		RetryAfter: min(max(retryAfter, minRetryAfter), maxRetryAfter), Detail: detail,
	}
}
