package target

import (
	"maps"
	"sync"
	"time"
)

// maxDoubleRuns bounds the request IDs listed in Stats.
const maxDoubleRuns = 100

// Stats are the counters of a target, as in GET /stats.
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

	// Arrived counts all queries and orders, Started those that got a slot.
	Arrived  int64
	Started  int64
	Answered int64
	// Refused counts refusals by reason, Routes started requests by route.
	Refused map[string]int64
	Routes  map[string]int64
	// Cancelled counts requests whose connection was closed before the answer.
	Cancelled int64
	// ColdOverload counts the times that load made a cold target fall over.
	ColdOverload int64
	// Restarts counts all restarts, including those on command.
	Restarts int64
	// Garbled counts garbage, foreign and wrong answers on command.
	Garbled int64

	// Orders counts runs of orders, DoubleRuns runs of an order that had run.
	Orders        int64
	DoubleRuns    int64
	DoubleRunIDs  []string `json:"DoubleRunIds"`
	LostOrders    int64
	LastArrival   time.Time
	LastNewWork   time.Time
	LastNewWorkNs int64
}

// stats collects the counters.
type stats struct {
	mu     sync.Mutex
	counts Stats
	// orders holds the number of runs by request ID until the counters are reset.
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

// add changes the counters under the lock.
func (s *stats) add(change func(c *Stats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.counts)
}

func (s *stats) connection(refused bool, open int) {
	s.add(func(c *Stats) {
		if refused {
			c.RefusedConnections++
			return
		}
		c.NewConnections++
		c.MaxConnections = max(c.MaxConnections, open)
	})
}

func (s *stats) refused(reason string) {
	s.add(func(c *Stats) { c.Refused[reason]++ })
}

// started counts a request that got a slot.
func (s *stats) started(now time.Time, r Request, inFlight int) {
	s.add(func(c *Stats) {
		c.Started++
		c.Routes[r.Route]++
		c.MaxInFlight = max(c.MaxInFlight, inFlight)
		c.LastNewWork, c.LastNewWorkNs = now, now.UnixNano()
	})
}

// ordered counts a run of an order.
func (s *stats) ordered(id string) {
	s.add(func(c *Stats) {
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

// runs returns how often the order ran.
func (s *stats) runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.orders[id]
}

func (s *stats) copy() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	c.Refused, c.Routes = maps.Clone(c.Refused), maps.Clone(c.Routes)
	c.DoubleRunIDs = append([]string{}, c.DoubleRunIDs...)
	return c
}
