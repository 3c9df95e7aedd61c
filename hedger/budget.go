// Package hedger decides when a sub-request is sent a second time: as a hedge
// against a straggler or as a retry after a refusal.
package hedger

import (
	"sync/atomic"
	"time"
)

const (
	// unit is the fixed-point scale of tokens; one extra sub-request costs one token.
	unit = 1000
	// earned and earnedOverloaded are the tokens per sub-request: 5% and 1%.
	earned           = unit * 5 / 100
	earnedOverloaded = unit * 1 / 100
	// maxTokens bounds the extra sub-requests that a quiet period saves up; it
	// is 5% of four queries at fan-out 1,100.
	maxTokens = 220 * unit
	// initialTokens lets the first queries of a new root survive a lost target.
	initialTokens = 25 * unit
	// maxTokensOverloaded takes saved tokens away at the start of an overload.
	maxTokensOverloaded = 5 * unit
	hedgeReserve        = 3 * unit
	// overloadWindow is the period over which refusals are counted.
	overloadWindow = time.Second
	// overloadShare is the number of sub-requests per refusal for lack of
	// capacity that signals an overload: 1 in 50.
	overloadShare = 50
	// minRefusals keeps single refusals at low load from signalling an overload.
	minRefusals = 5
)

// Budget bounds the extra sub-requests of this root, hedges and retries
// together, as a share of all sub-requests. It is safe for concurrent use.
type Budget struct {
	tokens  atomic.Int64
	sent    atomic.Int64
	refused atomic.Int64
	// windowEnd and overloadedUntil are in Unix nanoseconds.
	windowEnd       atomic.Int64
	overloadedUntil atomic.Int64
}

// Sent earns tokens for first sub-requests.
func (b *Budget) Sent(now time.Time, subRequests int) {
	at := now.UnixNano()
	b.roll(at)
	b.sent.Add(int64(subRequests))
	rate, limit := int64(earned), int64(maxTokens)
	if at < b.overloadedUntil.Load() {
		rate, limit = earnedOverloaded, maxTokensOverloaded
	}
	for {
		old := b.tokens.Load()
		// Tokens above the limit are lost, a debt is paid off first.
		next := min(old+rate*int64(subRequests), limit)
		if b.tokens.CompareAndSwap(old, next) {
			return
		}
	}
}

// TakeHedge spends one token on a hedge, and reports whether there was one. The
// last few tokens are kept for retries, without which a query fails.
func (b *Budget) TakeHedge(now time.Time) bool { return b.take(now, unit+hedgeReserve) }

// TakeRetry spends one token on a retry, and reports whether there was one.
func (b *Budget) TakeRetry(now time.Time) bool { return b.take(now, unit) }

func (b *Budget) take(now time.Time, needed int64) bool {
	overloaded := b.Overloaded(now)
	for {
		old := b.tokens.Load()
		available := old
		if overloaded {
			available = min(old, maxTokensOverloaded)
		}
		if available < needed {
			return false
		}
		if b.tokens.CompareAndSwap(old, available-unit) {
			return true
		}
	}
}

// Borrow spends a token per sub-request of a query that is run again as a
// whole, and fails only in an overload. It may leave a debt, which hedges and
// retries pay off: all queries in flight need it when a snapshot is dropped.
func (b *Budget) Borrow(now time.Time, subRequests int) bool {
	if b.Overloaded(now) {
		return false
	}
	for {
		old := b.tokens.Load()
		next := max(old-int64(subRequests)*unit, -maxTokens)
		if b.tokens.CompareAndSwap(old, min(old, next)) {
			return true
		}
	}
}

// Refused notes a refusal for lack of capacity.
func (b *Budget) Refused(now time.Time) {
	at := now.UnixNano()
	b.roll(at)
	refused := b.refused.Add(1)
	if refused >= minRefusals && refused*overloadShare >= b.sent.Load() {
		b.Overload(now)
	}
}

// Overload notes an overload that was found elsewhere: the admission limit holds
// the load just below the one at which targets refuse.
func (b *Budget) Overload(now time.Time) {
	b.overloadedUntil.Store(now.UnixNano() + int64(2*overloadWindow))
}

// Overloaded reports whether refusals signal an overload.
func (b *Budget) Overloaded(now time.Time) bool {
	return now.UnixNano() < b.overloadedUntil.Load()
}

func (b *Budget) roll(at int64) {
	end := b.windowEnd.Load()
	if at >= end && b.windowEnd.CompareAndSwap(end, at+int64(overloadWindow)) {
		b.sent.Store(0)
		b.refused.Store(0)
	}
}
