package limiter

import "time"

const (
	// maxFailures is the number of consecutive failures that eject a target.
	maxFailures = 5
	// minEjection is the duration of the first ejection; each further one takes
	// twice as long, up to maxEjection.
	minEjection = 500 * time.Millisecond
	maxEjection = 15 * time.Second
)

// ejection stops requests to a failing target. When its duration is over, one
// probe at a time is sent until one succeeds.
type ejection struct {
	active   bool
	until    time.Time
	duration time.Duration
	failures int
	// probeTicket is the ticket of the running probe; its serial is 0 if none runs.
	probeTicket Ticket
}

// limit returns the number of requests that may run: 1, for a probe, when the
// duration is over and no probe runs, otherwise 0.
func (e *ejection) limit(now time.Time) int {
	if now.Before(e.until) || e.probeTicket.serial != 0 {
		return 0
	}
	return 1
}

func (e *ejection) startProbe(t Ticket) { e.probeTicket = t }

// recordFailure counts a failure and reports whether it begins an ejection. A
// failure after the duration of an ejection, such as a failed probe or load
// report, prolongs the ejection by another, longer duration.
func (e *ejection) recordFailure(now time.Time) bool {
	e.failures++
	if e.active {
		if !now.Before(e.until) {
			e.eject(now)
		}
		return false
	}
	if e.failures < maxFailures {
		return false
	}
	e.eject(now)
	return true
}

// eject starts or prolongs an ejection.
func (e *ejection) eject(now time.Time) {
	e.active = true
	e.duration = min(max(e.duration*2, minEjection), maxEjection)
	e.until = now.Add(e.duration)
}

// recordSuccess resets the count of consecutive failures. Outside an ejection it
// also halves the duration from which the next one is computed.
func (e *ejection) recordSuccess() {
	e.failures = 0
	if !e.active {
		e.duration /= 2
	}
}

func (e *ejection) recover() { e.active, e.failures, e.probeTicket = false, 0, Ticket{} }
