// Package admitter admits or refuses whole queries, so that an overload does
// not waste work on queries that some shard refuses.
package admitter

import (
	"fmt"
	"sync"
	"time"

	"jujubegate.example/jujubegate"
)

// Result is the end of an admitted query, as far as it tells about the load.
type Result int

// Results of queries.
const (
	// Good queries were answered in time.
	Good Result = iota
	// Congested queries were refused as overloaded or missed their deadline.
	Congested
	// Neutral queries tell nothing about the load.
	Neutral
)

const (
	// maxInFlight bounds the queries of this root, and thereby its memory.
	maxInFlight = 4096
)

// Admitter limits the rate of queries per service and priority.
type Admitter struct {
	mu       sync.Mutex
	inFlight int
}

// New returns an admitter that has seen no overload.
func New() *Admitter { return &Admitter{} }

// Ticket is the admission of one query.
type Ticket struct {
	service  jujubegate.Service
	priority int
}

// Admit admits a query, or refuses it with the time to retry.
func (a *Admitter) Admit(now time.Time, service jujubegate.Service, priority int, caller jujubegate.Caller) (Ticket, *jujubegate.Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.inFlight >= maxInFlight {
		return Ticket{}, &jujubegate.Refusal{
			Reason: jujubegate.Overloaded, Outcome: jujubegate.NotRun, RetryAfter: 100 * time.Millisecond,
			Detail: fmt.Sprintf("%d queries are in flight", a.inFlight),
		}
	}
	a.inFlight++
	return Ticket{service: service, priority: priority}, nil
}

// Done ends an admitted query.
func (a *Admitter) Done(now time.Time, t Ticket, result Result) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inFlight--
}
