// Package estimator estimates which part of the time of a request passes outside of
// this instance: before the request arrives and after its answer is sent.
//
// It answers the load pattern of callers that look up an address or open a
// connection first: half of them arrive when a quarter or more of their latency
// objective is used up, and the others with all of it.
package estimator

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"jujubegate.example/jujubegate"
)

const (
	// window is how long an observation counts at least. It counts for twice as long
	// at most.
	window = 20 * time.Second
	// defaultTrip is the round trip to a caller if it is unknown.
	defaultTrip = 10 * time.Millisecond
	// budgetUnit is the unit in which callers tell how long they wait. They round.
	budgetUnit = time.Millisecond
	// margin is for what is not measured: accepting a connection, reading the request
	// and transmitting the answer.
	margin = 2 * time.Millisecond
	// minBudgetShare is the share of the callers of a route that must wait for the
	// same time from the start for it to be taken as the time of others.
	minBudgetShare = 0.05
	// minBudgets is the number of requests of a route up to which its timeout is taken
	// as the time for which its callers wait, unless others wait for longer.
	minBudgets = 30
	// defaultWork is the time for sending an answer until minSamples are observed,
	// then the workQuantile, in percent, of the samples. At most maxWorkShare of the
	// objective is reserved for it.
	defaultWork  = 4 * time.Millisecond
	workQuantile = 90
	maxWorkShare = 0.2
	minSamples   = 20
	maxWork      = time.Second
	workDigits   = 2
)

// Request is what is known of a request when it arrives.
type Request struct {
	Route jujubegate.Route
	// Objective is the latency objective of the route, Timeout its longest time.
	Objective, Timeout time.Duration
	// Budget is how long the caller says that it still waits.
	Budget time.Duration
	// Trip is the round trip to the caller; 0 if it is unknown.
	Trip time.Duration
}

// Estimate is the estimate for one request.
type Estimate struct {
	// Before is the time from the caller's first try to the arrival.
	Before time.Duration
	// After is the time from the decision to answer to the arrival of the answer.
	After time.Duration
}

// Left returns the part of the objective that is left for the request at its
// arrival. If nothing is left, the answer is late in any case; then Left returns
// false and the time that it would have without any delay before.
func (e Estimate) Left(objective time.Duration) (time.Duration, bool) {
	if left := objective - e.Before - e.After; left > 0 {
		return left, true
	}
	return max(objective-e.After, 0), false
}

// Estimator learns from the requests of callers and from the answers to them. It is
// safe for concurrent use.
type Estimator struct {
	clock jujubegate.Clock

	mu          sync.Mutex
	windowStart time.Time
	// budgets counts the budgets of the callers of a route, by whole units. Those of
	// one kind of caller have a largest value in common, which a caller has that has
	// not looked up an address or opened a connection. What is missing to it has been
	// used up.
	budgets [2]map[jujubegate.Route]*counts
	work    [2]*hdrhistogram.Histogram
}

// counts counts values.
type counts struct {
	total   int
	byValue map[int64]int
}

// New returns an estimator without observations.
func New(clock jujubegate.Clock) *Estimator {
	e := &Estimator{clock: clock, windowStart: clock.Now()}
	for i := range e.budgets {
		e.budgets[i] = make(map[jujubegate.Route]*counts)
		e.work[i] = hdrhistogram.New(1, maxWork.Microseconds(), workDigits)
	}
	return e
}

// ObserveRequest records a request and returns the estimate for it.
func (e *Estimator) ObserveRequest(r Request) Estimate {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.roll()
	c := e.budgets[0][r.Route]
	if c == nil {
		c = &counts{byValue: make(map[int64]int)}
		e.budgets[0][r.Route] = c
	}
	c.total++
	c.byValue[int64(r.Budget/budgetUnit)]++
	trip := r.Trip
	if trip <= 0 {
		trip = defaultTrip
	}
	return Estimate{Before: e.elapsed(&r) + trip/2, After: trip/2 + e.workTime(r.Objective) + margin}
}

// elapsed returns how much of its time a caller has used up: what is missing to the
// largest time that other callers have in common with it. A difference beyond the
// objective says nothing: the caller is another one, or it is late in any case.
func (e *Estimator) elapsed(r *Request) time.Duration {
	own := int64(r.Budget / budgetUnit)
	most := own + int64(r.Objective/budgetUnit)
	total := 0
	sums := make(map[int64]int)
	for _, budgets := range e.budgets {
		c := budgets[r.Route]
		if c == nil {
			continue
		}
		total += c.total
		for value, n := range c.byValue {
			if value > own && value <= most {
				sums[value] += n
			}
		}
	}
	largest := own
	if timeout := int64(r.Timeout / budgetUnit); total < minBudgets && timeout <= most {
		largest = max(largest, timeout)
	}
	least := max(minBudgetShare*float64(total), 2)
	for value, n := range sums {
		if float64(n) >= least {
			largest = max(largest, value)
		}
	}
	return time.Duration(largest-own) * budgetUnit
}

// ObserveAnswer records how long it took to send an answer from the moment at which
// that was decided or due.
func (e *Estimator) ObserveAnswer(took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.roll()
	_ = e.work[0].RecordValue(min(max(took, 0), maxWork).Microseconds())
}

// roll starts a new window when the current one is over.
func (e *Estimator) roll() {
	now := e.clock.Now()
	if now.Sub(e.windowStart) < window {
		return
	}
	e.windowStart = now
	e.budgets[0], e.budgets[1] = e.budgets[1], e.budgets[0]
	clear(e.budgets[0])
	e.work[0], e.work[1] = e.work[1], e.work[0]
	e.work[0].Reset()
}

// workTime returns the time reserved for building and sending an answer.
func (e *Estimator) workTime(objective time.Duration) time.Duration {
	most := int64(-1)
	for _, h := range e.work {
		if h.TotalCount() >= minSamples {
			most = max(most, h.ValueAtQuantile(workQuantile))
		}
	}
	work := defaultWork
	if most >= 0 {
		work = time.Duration(most) * time.Microsecond
	}
	return min(work, time.Duration(maxWorkShare*float64(objective)))
}
