// Package balancer chooses the replica that serves a shard from the reports of
// the owners and from what this root itself has seen.
package balancer

import (
	"sync"
	"sync/atomic"
	"time"

	"jujubegate.example/jujubegate"
)

// Replica is what this root has seen of one target. It is safe for concurrent use.
type Replica struct {
	address     jujubegate.Address
	outstanding atomic.Int32
	// latency is the smoothed time from dispatch to result, in nanoseconds; 0
	// before the first result.
	latency atomic.Int64
	// observedAt is the time of the last latency sample in Unix nanoseconds.
	observedAt atomic.Int64
	// load is the last reported load, loadAt the time of the look before it was
	// seen to differ, checkedAt that of the last look, in Unix nanoseconds.
	load      atomic.Int64
	loadAt    atomic.Int64
	checkedAt atomic.Int64
	// failures counts refusals in a row that speak against the target.
	failures atomic.Int32
	// ejectedUntil is the time in Unix nanoseconds until which the target gets
	// no requests; from then on it gets one probe at a time.
	ejectedUntil atomic.Int64
	// probing is set while a probe is outstanding.
	probing atomic.Bool
	// refusedUntil is the time in Unix nanoseconds until which the target is
	// avoided because it refused for lack of capacity.
	refusedUntil atomic.Int64
}

// NewReplica returns the record of a target that no Balancer keeps.
func NewReplica(address jujubegate.Address) *Replica { return &Replica{address: address} }

// Address returns the target's address.
func (r *Replica) Address() jujubegate.Address { return r.address }

// Outstanding returns the number of this root's sub-requests without an end.
func (r *Replica) Outstanding() int { return int(r.outstanding.Load()) }

// Latency returns the smoothed time from dispatch to result; 0 if unknown.
func (r *Replica) Latency() time.Duration { return time.Duration(r.latency.Load()) }

// Failures returns the number of failures in a row.
func (r *Replica) Failures() int { return int(r.failures.Load()) }

// Result says how a sub-request ended, as far as it tells something about the target.
type Result int

// Ends of sub-requests.
const (
	// Answered sub-requests have a result.
	Answered Result = iota
	// Failed sub-requests speak against the target: down, error, bad answer.
	Failed
	// Refused sub-requests found no capacity.
	Refused
	// Excluded sub-requests went to a target that must not serve any more,
	// which the next report will say.
	Excluded
	// Abandoned sub-requests were cancelled; they tell nothing about the target
	// but their age.
	Abandoned
	// Overtaken sub-requests were hedged, and the hedge answered first. Several
	// in a row speak against the target: it may be stalled.
	Overtaken
)

const (
	// latencyShift weighs a new sample with 1/8.
	latencyShift = 3
	// failuresToEject is the number of failures in a row after which a target
	// is ejected; one lost connection can fail a few requests of a healthy one.
	failuresToEject = 5
	minEjection     = time.Second
	maxEjection     = 30 * time.Second
	latencyHalfLife = 2 * time.Second
	// refusalPause is how long a target that lacked capacity is avoided while
	// another replica is available.
	refusalPause = 50 * time.Millisecond
	// exclusionPause is how long a target that is leaving or has another owner
	// is avoided likewise: two periods of the owners' reports.
	exclusionPause = time.Second
)

// Begin notes that a sub-request is sent.
func (r *Replica) Begin() { r.outstanding.Add(1) }

// Done notes the end of a sub-request that took the time from its dispatch.
func (r *Replica) Done(now time.Time, end Result, took time.Duration) {
	r.outstanding.Add(-1)
	switch end {
	case Answered:
		r.observe(now, took)
		r.answered()
	case Failed:
		r.fail(now)
	case Refused:
		r.refusedUntil.Store(now.Add(refusalPause).UnixNano())
	case Excluded:
		r.refusedUntil.Store(now.Add(exclusionPause).UnixNano())
	case Abandoned, Overtaken:
		// A cancelled straggler took at least this long.
		if took > r.Latency() {
			r.observe(now, took)
		}
		if end == Overtaken {
			r.fail(now)
		}
	}
	r.probing.Store(false)
}

// CancelBegin takes back a Begin without an end.
func (r *Replica) CancelBegin() {
	r.outstanding.Add(-1)
	r.probing.Store(false)
}

// answered readmits an ejected target, but one more failure ejects it again.
func (r *Replica) answered() {
	if r.ejectedUntil.Swap(0) != 0 {
		r.failures.Store(failuresToEject - 1)
		return
	}
	r.failures.Store(0)
}

func (r *Replica) observe(now time.Time, took time.Duration) {
	r.observedAt.Store(now.UnixNano())
	for {
		old := r.latency.Load()
		next := int64(took)
		if old != 0 {
			next = old + (int64(took)-old)>>latencyShift
		}
		if r.latency.CompareAndSwap(old, max(next, 1)) {
			return
		}
	}
}

func (r *Replica) fail(now time.Time) {
	failures := r.failures.Add(1)
	if failures < failuresToEject {
		return
	}
	ejection := minEjection << min(failures-failuresToEject, 8)
	r.ejectedUntil.Store(now.Add(min(ejection, maxEjection)).UnixNano())
}

// ownLatency returns the smoothed latency, halved for each period without a
// sample: a target that is avoided for its latency must be tried again.
func (r *Replica) ownLatency(at int64) time.Duration {
	own := r.Latency()
	if age := at - r.observedAt.Load(); own > 0 && age > int64(latencyHalfLife) {
		own >>= min(age/int64(latencyHalfLife), 62)
	}
	return own
}

// loadAge notes a reported load and returns how old it may be. A report carries
// no time: one that differs may be as old as the last look at it.
func (r *Replica) loadAge(at int64, load int) time.Duration {
	last := r.checkedAt.Swap(at)
	if r.load.Swap(int64(load)) != int64(load) {
		r.loadAt.Store(last)
	}
	return time.Duration(at - r.loadAt.Load())
}

// Balancer keeps the replicas by address. It is safe for concurrent use.
type Balancer struct {
	mu       sync.Mutex
	replicas map[jujubegate.Address]*Replica
}

// New returns a balancer that has seen no targets.
func New() *Balancer {
	return &Balancer{replicas: make(map[jujubegate.Address]*Replica)}
}

// Replica returns the record of a target, and creates it on the first call.
func (b *Balancer) Replica(address jujubegate.Address) *Replica {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.replicas[address]
	if !ok {
		r = NewReplica(address)
		b.replicas[address] = r
	}
	return r
}

// Keep forgets the targets for which keep returns false.
func (b *Balancer) Keep(keep func(jujubegate.Address) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for address := range b.replicas {
		if !keep(address) {
			delete(b.replicas, address)
		}
	}
}
