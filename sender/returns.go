package sender

import (
	"time"

	"jujubegate.example/jujubegate"
)

// maxReturnDelay bounds the Retry-After that makes up for other callers that were
// rejected before. Few callers wait for longer.
const maxReturnDelay = 3 * time.Second

// unreachableSpread is the time, as a part of the wait for a target that cannot be
// reached, over which the callers come back.
const unreachableSpread = 0.5

// returns assigns the times at which rejected callers of a service should come back:
// in the order in which they were rejected, at the rate at which requests are
// admitted again, so that they do not come back all at once.
type returns struct{ last time.Time }

// next returns the delay for a caller that could be served after wait if no others
// came back before it.
func (r *returns) next(now time.Time, wait Wait) time.Duration {
	delay := wait.Total()
	if wait.PerSecond <= 0 {
		return delay
	}
	interval := time.Duration(float64(time.Second) / wait.PerSecond)
	at := now.Add(delay)
	if later := r.last.Add(interval); later.After(at) {
		at = later
	}
	if latest := now.Add(max(maxReturnDelay, delay)); at.After(latest) {
		at = latest
	}
	r.last = at
	return at.Sub(now)
}

// ReturnAfter returns after which time a caller whose request to a service was
// rejected because of wait should come back.
func (s *Sender) ReturnAfter(service jujubegate.Service, wait Wait) time.Duration {
	now := s.settings.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if wait.Unreachable {
		// When the target is back, it should not get all callers at once.
		delay := wait.Total()
		return delay + time.Duration(s.random.Float64()*unreachableSpread*float64(delay))
	}
	r := s.returns[service]
	if r == nil {
		r = new(returns)
		s.returns[service] = r
	}
	return r.next(now, wait)
}
