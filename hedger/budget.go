// Package hedger decides when a sub-request is sent a second time: as a hedge
// against a straggler or as a retry after a refusal.
package hedger

import (
	"sync/atomic"
	"time"
)

const (
	// tokenUnit is the fixed-point scale of tokens; one extra sub-request costs one token.
	tokenUnit = 1000
	// earnRate and earnRateOverloaded are earned per first sub-request: 5% and 1%
	// of a token.
	earnRate           = tokenUnit * 5 / 100
	earnRateOverloaded = tokenUnit * 1 / 100
	// maxTokens bounds the tokens that can accumulate: 5% of the sub-requests of
	// four queries at fan-out 1,100.
	maxTokens = 220 * tokenUnit
	// initialTokens allow the first queries of a new root to retry when a target
	// fails.
	initialTokens = 25 * tokenUnit
	// maxTokensOverloaded replaces maxTokens in an overload, so that accumulated
	// tokens are lost when it begins.
	maxTokensOverloaded = 5 * tokenUnit
	// hedgeReserve is kept for retries.
	hedgeReserve = 3 * tokenUnit
	// overloadWindow is the period over which refusals are counted.
	overloadWindow = time.Second
	// overloadShare is the number of sub-requests per refusal for lack of
	// capacity at which an overload is detected: 1 in 50.
	overloadShare = 50
	// minRefusals is the least number of refusals in a window that signals an
	// overload, so that a few refusals at low load don't.
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

// AddSent records first sub-requests and adds the tokens that they earn.
func (b *Budget) AddSent(now time.Time, subRequests int) {
	at := now.UnixNano()
	b.rollWindow(at)
	b.sent.Add(int64(subRequests))
	rate, limit := int64(earnRate), int64(maxTokens)
	if at < b.overloadedUntil.Load() {
		rate, limit = earnRateOverloaded, maxTokensOverloaded
	}
	for {
		old := b.tokens.Load()
		// Tokens above the limit are lost. A negative balance is paid off first.
		next := min(old+rate*int64(subRequests), limit)
		if b.tokens.CompareAndSwap(old, next) {
			return
		}
	}
}

// TakeHedge takes one token for a hedge, and reports whether there was one. It
// leaves hedgeReserve for retries, since a query fails without a retry but not
// without a hedge.
func (b *Budget) TakeHedge(now time.Time) bool { return b.take(now, tokenUnit+hedgeReserve) }

// TakeRetry takes one token for a retry, and reports whether there was one.
func (b *Budget) TakeRetry(now time.Time) bool { return b.take(now, tokenUnit) }

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
		if b.tokens.CompareAndSwap(old, available-tokenUnit) {
			return true
		}
	}
}

// Borrow takes a token for each sub-request of a query that is run again as a
// whole, and reports false only in an overload. The balance may become negative,
// and no hedges or retries are granted until new tokens have paid it off: when a
// snapshot is dropped, all queries in flight must be run again at once.
func (b *Budget) Borrow(now time.Time, subRequests int) bool {
	if b.Overloaded(now) {
		return false
	}
	for {
		old := b.tokens.Load()
		next := max(old-int64(subRequests)*tokenUnit, -maxTokens)
		if b.tokens.CompareAndSwap(old, min(old, next)) {
			return true
		}
	}
}

// RecordRefusal records a refusal for lack of capacity.
func (b *Budget) RecordRefusal(now time.Time) {
	at := now.UnixNano()
	b.rollWindow(at)
	refused := b.refused.Add(1)
	if refused >= minRefusals && refused*overloadShare >= b.sent.Load() {
		b.RecordOverload(now)
	}
}

// RecordOverload records an overload that the caller has detected. When the admission
// limit keeps the load just below the one at which targets refuse, refusals
// alone don't show an overload.
func (b *Budget) RecordOverload(now time.Time) {
	b.overloadedUntil.Store(now.UnixNano() + int64(2*overloadWindow))
}

// Overloaded reports whether an overload was detected in the last two seconds.
func (b *Budget) Overloaded(now time.Time) bool {
	return now.UnixNano() < b.overloadedUntil.Load()
}

// rollWindow resets the counters if the window is over.
func (b *Budget) rollWindow(at int64) {
	end := b.windowEnd.Load()
	if at >= end && b.windowEnd.CompareAndSwap(end, at+int64(overloadWindow)) {
		b.sent.Store(0)
		b.refused.Store(0)
	}
}
