package acceptor

import "sync/atomic"

// smallShare is the part of a budget that is kept for small claims, so that a few large ones
// do not keep all others out.
const smallShare = 1.0 / 4

// smallPart is the part of a budget up to which all claims of one client count as small.
const smallPart = 1.0 / 256

// Budget bounds the memory that a kind of things takes together. It is safe for concurrent
// use. A nil Budget has no bound.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a budget of some bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Reserve takes bytes of the budget for a client that holds some of it already, and reports
// false if they are not left.
func (b *Budget) Reserve(bytes, held int64) bool {
	if b == nil || bytes <= 0 {
		return true
	}
	limit := b.limit
	if float64(held+bytes) > smallPart*float64(limit) {
		limit -= int64(smallShare * float64(limit))
	}
	if b.used.Add(bytes) > limit {
		b.used.Add(-bytes)
		return false
	}
	return true
}

// Release gives bytes back.
func (b *Budget) Release(bytes int64) {
	if b != nil {
		b.used.Add(-bytes)
	}
}

// Used returns the bytes that are taken.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	return b.used.Load()
}
