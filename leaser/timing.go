package leaser

import "time"

// Timing holds the intervals of the membership protocol.
type Timing struct {
	// Heartbeat is the time between two heartbeats to one peer.
	Heartbeat time.Duration
	// Suspicion is the time without an answer after which a member is suspected.
	Suspicion time.Duration
	// Lease is the time T for which a lease holds, from the send time.
	Lease time.Duration
	// Margin is added to Lease before a takeover. It covers clocks whose rates
	// differ and the time between the check of the lease and the send.
	Margin time.Duration
	// GoneHold is the time for which the platform's list must name a silent
	// member as gone before it counts. It must exceed the lag of the list, or
	// a list from before a restart under the same name counts for the new process.
	GoneHold time.Duration
	// ReadInterval is the shortest time between two reads of the store, and of
	// the list, while one is needed.
	ReadInterval time.Duration
	// ViewRefresh and ListRefresh are the times between reads when nothing
	// calls for one. Both together are 0.025 calls a second, so that an
	// instance that also watches the store (0.07) stays under 0.1.
	ViewRefresh time.Duration
	ListRefresh time.Duration
	// ProposalDelay is the wait before the first candidate writes a view, and
	// ProposalStep the further wait of each following candidate.
	ProposalDelay time.Duration
	ProposalStep  time.Duration
	// Tick is the time between two runs of the decision core.
	Tick time.Duration
}

// DefaultTiming returns the intervals of the design.
func DefaultTiming() Timing {
	return Timing{
		Heartbeat:     500 * time.Millisecond,
		Suspicion:     2 * time.Second,
		Lease:         3 * time.Second,
		Margin:        500 * time.Millisecond,
		GoneHold:      5 * time.Second,
		ReadInterval:  time.Second,
		ViewRefresh:   2 * time.Minute,
		ListRefresh:   time.Minute,
		ProposalDelay: 200 * time.Millisecond,
		ProposalStep:  300 * time.Millisecond,
		Tick:          100 * time.Millisecond,
	}
}

// elapsed returns the larger of the monotonic and the wall clock time between
// two readings. The monotonic clock stands still while a virtual machine is
// suspended, the wall clock does not.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
