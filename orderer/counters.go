package orderer

import (
	"sync/atomic"

	"jujubegate.example/jujubegate"
)

// Counters count the work of an orderer since its start.
type Counters struct {
	Orders atomic.Int64
	// Repeats counts requests that were answered from a record.
	Repeats atomic.Int64
	Sent    atomic.Int64
	// RefusedNotRun and RefusedUnknown count refusals by outcome.
	RefusedNotRun  atomic.Int64
	RefusedUnknown atomic.Int64
	// Repaired counts records that were finished in the background, and
	// RepairsDropped those that were not for lack of room.
	Repaired       atomic.Int64
	RepairsDropped atomic.Int64
}

func (c *Counters) refused(outcome jujubegate.Outcome) {
	if outcome == jujubegate.NotRun {
		c.RefusedNotRun.Add(1)
		return
	}
	c.RefusedUnknown.Add(1)
}
