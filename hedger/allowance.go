package hedger

import (
	"sync"
)

// Allowance bounds the repeated requests to one service: a share of the first
// requests plus a number that is saved up. In any window no more are granted
// than the saved number and the share of the window's first requests. It is
// safe for concurrent use.
type Allowance struct {
	mu     sync.Mutex
	ratio  float64
	most   float64
	tokens float64
}

// NewAllowance returns an allowance with half of the number saved up: the
// process before a restart may have spent the other half in the same window.
func NewAllowance(ratio, most float64) *Allowance {
	return &Allowance{ratio: ratio, most: most, tokens: most / 2}
}

// SetBounds replaces the share and the number that can be saved up.
func (a *Allowance) SetBounds(ratio, most float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ratio, a.most = ratio, most
	a.tokens = min(a.tokens, most)
}

// Earn earns the share of one first request.
func (a *Allowance) Earn() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tokens = min(a.tokens+a.ratio, a.most)
}

// Take spends one repeat, and reports whether there was one. It leaves at least
// the reserve.
func (a *Allowance) Take(reserve float64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.tokens < 1+reserve {
		return false
	}
	a.tokens--
	return true
}
