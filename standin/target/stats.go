package target

import (
	"maps"
	"sync"
	"time"
)

// maxDoubleRuns is the maximum length of Stats.DoubleRunIDs.
const maxDoubleRuns = 100

// Stats are the counters of a target, the body of the response to GET /stats.
type Stats struct {
	Address    string
	Service    string
	Shard      int
	DataCentre string
	Version    string
	State      string

	InFlight    int
	Queued      int
	MaxInFlight int

	Connections        int
	MaxConnections     int
	NewConnections     int64
	RefusedConnections int64

	// Arrived counts all queries and orders, Started those that got a slot,
	// Answered those answered with 200.
	Arrived  int64
	Started  int64
	Answered int64
	// Refused counts refusals and errors by reason, Routes started requests by
	// route.
	Refused map[string]int64
	Routes  map[string]int64
	// Cancelled counts requests whose connection was closed before the answer.
	Cancelled int64
	// ColdOverload counts the restarts caused by load above ColdLimit.
	ColdOverload int64
	// Restarts counts all restarts, including those requested through /control.
	Restarts int64
	// Garbled counts the corrupted answers; see Settings.GarbageShare.
	Garbled int64

	// Orders counts the runs of orders. DoubleRuns counts the runs of orders that
	// had run before; DoubleRunIDs lists the request IDs of the first 100 of these.
	// LostOrders counts the orders that ran and whose answer was dropped.
	Orders       int64
	DoubleRuns   int64
	DoubleRunIDs []string `json:"DoubleRunIds"`
	LostOrders   int64
	// LastArrival is the time of the last arrival, LastNewWork that of the last
	// start.
	LastArrival   time.Time
	LastNewWork   time.Time
	LastNewWorkNs int64
}

// stats holds the counters of a target.
type stats struct {
	mu     sync.Mutex
	counts Stats
	// orders is the number of runs by request ID since the last reset.
	orders map[string]int
}

func newStats() *stats {
	s := &stats{}
	s.reset()
	return s
}

func (s *stats) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts = Stats{Refused: map[string]int64{}, Routes: map[string]int64{}}
	s.orders = map[string]int{}
}

// update calls change with the counters while it holds the lock.
func (s *stats) update(change func(c *Stats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.counts)
}

// countConnection counts an accepted connection. open is the number of open
// connections including this one.
func (s *stats) countConnection(refused bool, open int) {
	s.update(func(c *Stats) {
		if refused {
			c.RefusedConnections++
			return
		}
		c.NewConnections++
		c.MaxConnections = max(c.MaxConnections, open)
	})
}

func (s *stats) countRefusal(reason string) {
	s.update(func(c *Stats) { c.Refused[reason]++ })
}

// countStart counts a request that got a slot; inFlight includes it.
func (s *stats) countStart(now time.Time, r Request, inFlight int) {
	s.update(func(c *Stats) {
		c.Started++
		c.Routes[r.Route]++
		c.MaxInFlight = max(c.MaxInFlight, inFlight)
		c.LastNewWork, c.LastNewWorkNs = now, now.UnixNano()
	})
}

// countOrder counts a run of an order.
func (s *stats) countOrder(id string) {
	s.update(func(c *Stats) {
		c.Orders++
		s.orders[id]++
		if s.orders[id] == 1 {
			return
		}
		c.DoubleRuns++
		if len(c.DoubleRunIDs) < maxDoubleRuns {
			c.DoubleRunIDs = append(c.DoubleRunIDs, id)
		}
	})
}

// runs returns the number of runs of the order with the request ID.
func (s *stats) runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.orders[id]
}

// copy returns a deep copy of the counters.
func (s *stats) copy() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	c.Refused, c.Routes = maps.Clone(c.Refused), maps.Clone(c.Routes)
	c.DoubleRunIDs = append([]string{}, c.DoubleRunIDs...)
	return c
}
