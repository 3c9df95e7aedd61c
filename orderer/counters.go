package orderer

import (
	"sync/atomic"

	"jujubegate.example/jujubegate"
)

// Counters count the orders and repairs of an orderer since its start.
type Counters struct {
	Orders atomic.Int64
	// Repeats counts requests that were answered with an existing record.
	Repeats atomic.Int64
	Sent    atomic.Int64
	// RefusedNotRun and RefusedUnknown count refusals by outcome.
	RefusedNotRun  atomic.Int64
	RefusedUnknown atomic.Int64
	// Repaired counts records that were written in the background, RepairsDropped
	// those that found the queue full.
	Repaired       atomic.Int64
	RepairsDropped atomic.Int64
}

// refused counts a refusal by its outcome.
func (c *Counters) refused(outcome jujubegate.Outcome) {
	if outcome == jujubegate.NotRun {
		c.RefusedNotRun.Add(1)
		return
	}
	c.RefusedUnknown.Add(1)
}
