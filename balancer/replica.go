// Package balancer chooses the replica for an attempt. It uses the reported load
// and state of the targets, and the latencies and failures that this instance has
// seen itself.
package balancer

import (
	"sync"
	"sync/atomic"
	"time"

	"jujubegate.example/jujubegate"
)

// Replica holds what this instance has measured of one target. It is safe for
// concurrent use.
type Replica struct {
	address     jujubegate.Address
	outstanding atomic.Int32
	// latency is the smoothed time from sending an attempt to its result, in
	// nanoseconds; 0 before the first result.
	latency atomic.Int64
	// observedAt is the time of the last latency sample in Unix nanoseconds.
	observedAt atomic.Int64
	// load is the last reported load. checkedAt is the time of the last call of
	// recordLoad, and loadAt the time of the last call before the one that found the
	// load changed, both in Unix nanoseconds.
	load      atomic.Int64
	loadAt    atomic.Int64
	checkedAt atomic.Int64
	// failures counts consecutive failures.
	failures atomic.Int32
	// ejectedUntil is the time in Unix nanoseconds until which the target gets
	// no requests; from then on it gets one probe at a time. It is 0 if the target is
	// not ejected.
	ejectedUntil atomic.Int64
	// probing is set while a probe is outstanding.
	probing atomic.Bool
	// refusedUntil is the time in Unix nanoseconds until which the target is
	// avoided because it refused for lack of capacity.
	refusedUntil atomic.Int64
}

// NewReplica returns the record of a target outside any Balancer.
func NewReplica(address jujubegate.Address) *Replica { return &Replica{address: address} }

// Address returns the target's address.
func (r *Replica) Address() jujubegate.Address { return r.address }

// Outstanding returns the number of this instance's attempts without a result.
func (r *Replica) Outstanding() int { return int(r.outstanding.Load()) }

// Latency returns the smoothed time from sending an attempt to its result; 0 if
// unknown.
func (r *Replica) Latency() time.Duration { return time.Duration(r.latency.Load()) }

// Failures returns the number of consecutive failures.
func (r *Replica) Failures() int { return int(r.failures.Load()) }

// Result is the result of an attempt, as far as it says something about the target.
type Result int

// Results of attempts.
const (
	// Answered attempts got an answer.
	Answered Result = iota
	// Failed attempts count as failures of the target: it was down, or answered with
	// an error or with an invalid answer.
	Failed
	// Refused attempts found no capacity.
	Refused
	// Excluded attempts went to a target that must not serve any more, which the
	// next report will say.
	Excluded
	// Abandoned attempts were cancelled. All they say about the target is that it
	// took at least that long.
	Abandoned
	// Overtaken attempts were hedged, and the hedge was answered first. They count
	// as failures, since several in a row suggest that the target is stalled.
	Overtaken
)

const (
	// latencyShift gives a new latency sample the weight 1/8.
	latencyShift = 3
	// failuresToEject is the number of consecutive failures after which a target is
	// ejected. One lost connection can fail a few requests of a healthy target.
	failuresToEject = 5
	// minEjection is the first ejection; each further failure doubles it, up to
	// maxEjection.
	minEjection = time.Second
	maxEjection = 30 * time.Second
	// latencyHalfLife is the time in which a latency without new samples halves.
	latencyHalfLife = 2 * time.Second
	// refusalPause is how long a target that lacked capacity is avoided while
	// another replica is available.
	refusalPause = 50 * time.Millisecond
	// exclusionPause is the same for a target that is leaving or is now owned by
	// another instance. It covers two periods of the reports.
	exclusionPause = time.Second
)

// Begin records that an attempt is sent.
func (r *Replica) Begin() { r.outstanding.Add(1) }

// Done records the result of an attempt and how long it took since it was sent.
func (r *Replica) Done(now time.Time, result Result, took time.Duration) {
	r.outstanding.Add(-1)
	switch result {
	case Answered:
		r.observe(now, took)
		r.recordAnswer()
	case Failed:
		r.recordFailure(now)
	case Refused:
		r.refusedUntil.Store(now.Add(refusalPause).UnixNano())
	case Excluded:
		r.refusedUntil.Store(now.Add(exclusionPause).UnixNano())
	case Abandoned, Overtaken:
		// The answer would have taken at least this long.
		if took > r.Latency() {
			r.observe(now, took)
		}
		if result == Overtaken {
			r.recordFailure(now)
		}
	}
	r.probing.Store(false)
}

// CancelBegin reverts a Begin whose attempt is not sent.
func (r *Replica) CancelBegin() {
	r.outstanding.Add(-1)
	r.probing.Store(false)
}

// recordAnswer resets the failures. It readmits an ejected target, which one more
// failure ejects again.
func (r *Replica) recordAnswer() {
	if r.ejectedUntil.Swap(0) != 0 {
		r.failures.Store(failuresToEject - 1)
		return
	}
	r.failures.Store(0)
}

// observe adds a latency sample to the moving average.
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

// recordFailure counts a failure and ejects the target at failuresToEject.
func (r *Replica) recordFailure(now time.Time) {
	failures := r.failures.Add(1)
	if failures < failuresToEject {
		return
	}
	ejection := minEjection << min(failures-failuresToEject, 8)
	r.ejectedUntil.Store(now.Add(min(ejection, maxEjection)).UnixNano())
}

// ownLatency returns the smoothed latency, halved for each latencyHalfLife without
// a sample, so that a target that is avoided for its latency is tried again.
func (r *Replica) ownLatency(at int64) time.Duration {
	own := r.Latency()
	if age := at - r.observedAt.Load(); own > 0 && age > int64(latencyHalfLife) {
		own >>= min(age/int64(latencyHalfLife), 62)
	}
	return own
}

// recordLoad records a reported load and returns how old it may be. A report
// carries no time: one that differs may be as old as the previous call.
func (r *Replica) recordLoad(at int64, load int) time.Duration {
	last := r.checkedAt.Swap(at)
	if r.load.Swap(int64(load)) != int64(load) {
		r.loadAt.Store(last)
	}
	return time.Duration(at - r.loadAt.Load())
}

// Balancer holds the replicas by address. It is safe for concurrent use.
type Balancer struct {
	mu       sync.Mutex
	replicas map[jujubegate.Address]*Replica
}

// New returns a balancer without replicas.
func New() *Balancer {
	return &Balancer{replicas: make(map[jujubegate.Address]*Replica)}
}

// Replica returns the record of a target. It creates the record on the first call.
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

// Keep removes the targets for which keep returns false.
func (b *Balancer) Keep(keep func(jujubegate.Address) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for address := range b.replicas {
		if !keep(address) {
			delete(b.replicas, address)
		}
	}
}
