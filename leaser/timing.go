package leaser

import "time"

// Timing holds the intervals of the membership protocol.
type Timing struct {
	// Heartbeat is the time between two heartbeats to one peer.
	Heartbeat time.Duration
	// Suspicion is the time without an answer after which a member is suspected.
	Suspicion time.Duration
	// Lease is the duration of a lease, counted from the send time of the
	// heartbeats or the read that it is based on.
	Lease time.Duration
	// Margin is added to Lease before a takeover. It covers clocks whose rates
	// differ and the time between the check of the lease and the send.
	Margin time.Duration
	// GoneHold is the time for which a silent member must be gone from the
	// platform's list before it counts as ended. It must exceed the lag of the
	// list, or a list from before a restart under the same name would end the new
	// process.
	GoneHold time.Duration
	// ReadInterval is the shortest time between two reads of the store, and
	// between two reads of the list, while a read is needed. A due proposal reads
	// the store at each Tick.
	ReadInterval time.Duration
	// ViewRefresh and ListRefresh are the times between reads when none is
	// needed. Together they amount to 0.025 calls/s, so that an instance that
	// also watches the store (0.07 calls/s) stays below 0.1 calls/s.
	ViewRefresh time.Duration
	ListRefresh time.Duration
	// ProposalDelay is the time that the first candidate waits before it writes a
	// view, and ProposalStep the additional time for each following candidate.
	ProposalDelay time.Duration
	ProposalStep  time.Duration
	// Tick is the time between two evaluations of the protocol state.
	Tick time.Duration
}

// DefaultTiming returns the default intervals.
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
// two readings. The monotonic clock stops while a virtual machine is suspended,
// the wall clock doesn't.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
