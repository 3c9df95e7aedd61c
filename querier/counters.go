package querier

import (
	"sync/atomic"

	"jujubegate.example/jujubegate/merger"
)

// Counters count the queries and sub-requests of a querier since its start.
type Counters struct {
	Queries     atomic.Int64
	Refused     atomic.Int64
	Partial     atomic.Int64
	SubRequests atomic.Int64
	Hedges      atomic.Int64
	Retries     atomic.Int64
	Reruns      atomic.Int64
	// NoBudget counts the times that a hedge or retry was due and the budget had no
	// token for it.
	NoBudget atomic.Int64
	// Late counts results that arrived after the end of the query or of their shard.
	Late          atomic.Int64
	Repeated      atomic.Int64
	Foreign       atomic.Int64
	OtherSnapshot atomic.Int64
	Bad           atomic.Int64
}

func (c *Counters) add(counts merger.Counts) {
	c.Late.Add(int64(counts.Of(merger.Late)))
	c.Repeated.Add(int64(counts.Of(merger.Repeated)))
	c.Foreign.Add(int64(counts.Of(merger.Foreign)))
	c.OtherSnapshot.Add(int64(counts.Of(merger.OtherSnapshot)))
	c.Bad.Add(int64(counts.Of(merger.Bad)))
}
