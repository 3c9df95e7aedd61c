package connector

import "time"

// unreachableMemory is how long after the end of its backoff a target that could not be
// reached still counts as unreachable if nothing has tried again.
const unreachableMemory = 2 * time.Second

// Unreachable returns after which time a request may reach the target again if the last
// connection could not be opened and none is left, or 0 if the target may be reachable.
// Once the backoff is over it opens a connection, so that no request has to try.
func (p *Pool) Unreachable() time.Duration {
	if !p.unreachable.Load() {
		return 0
	}
	now := p.settings.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	left := p.dialAllowedAt.Sub(now)
	if p.closed || p.open > p.dialing || left < -unreachableMemory {
		return 0
	}
	if p.dialing == 0 && p.mayDial() {
		p.startDial()
	}
	return max(left, minDialBackoff)
}
