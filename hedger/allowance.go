package hedger

import (
	"sync"
)

// Allowance bounds the repeats of requests to one service with a token bucket:
// each first request earns a share of a token, each repeat takes a token. In any
// period no more repeats are granted than the capacity of the bucket plus the
// share of the first requests in it. It is safe for concurrent use.
type Allowance struct {
	mu       sync.Mutex
	share    float64
	capacity float64
	tokens   float64
}

// NewAllowance returns an allowance with half of the capacity, since the process
// before a restart may have spent the other half in the same period.
func NewAllowance(share, capacity float64) *Allowance {
	return &Allowance{share: share, capacity: capacity, tokens: capacity / 2}
}

// SetBounds replaces the share and the capacity.
func (a *Allowance) SetBounds(share, capacity float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.share, a.capacity = share, capacity
	a.tokens = min(a.tokens, capacity)
}

// Earn adds the share of one first request.
func (a *Allowance) Earn() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tokens = min(a.tokens+a.share, a.capacity)
}

// Take takes the token of one repeat, and reports whether there was one. It
// leaves at least the reserve in the bucket.
func (a *Allowance) Take(reserve float64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.tokens < 1+reserve {
		return false
	}
	a.tokens--
	return true
}
