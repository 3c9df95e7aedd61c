package balancer

import (
	"math/bits"
	"math/rand/v2"
	"time"

	"jujubegate.example/jujubegate"
)

// Option is one replica that may serve a shard: it is allowed by the
// configuration, holds the snapshot, and is owned by a live instance.
type Option struct {
	Replica *Replica
	// State, Load, Limit and Latency are those of the owner's report; Load is
	// the number of requests in flight and queued.
	State   jujubegate.TargetState
	Load    int
	Limit   int
	Latency time.Duration
	// Distance is the extra round-trip time to the target's data centre.
	Distance time.Duration
}

// MaxOptions is the number of replicas of one shard that Choose considers.
const MaxOptions = 64

const (
	// unknownLatency stands in for a target that neither side has measured.
	unknownLatency = 5 * time.Millisecond
	// maxReportAgeLatencies is the age, in latencies of the target, up to which a
	// reported queue is believed. In a simulation of 8 roots with reports that
	// are half a second old, older queues raised the p99 from 31 to 281 ms.
	maxReportAgeLatencies = 3
	// maxQueueFactor bounds the reported queue, in multiples of the limit.
	maxQueueFactor = 4
	// maxLatencyRatio bounds the factor by which an owner's report may differ
	// from this root's own latency before the root's figure is used alone.
	maxLatencyRatio = 4
)

// Choose returns the index of the replica that a sub-request goes to; Begin must
// follow. It draws two candidates (power of two choices) and prefers the one
// that is expected to answer first, but not always: with two replicas per shard
// and reports that are half a second old, all roots would otherwise pick the
// same target. The bits of skip name options that are not considered. It
// returns -1 if none is left.
func Choose(now time.Time, options []Option, skip uint64, random *rand.Rand) int {
	if len(options) > MaxOptions {
		options = options[:MaxOptions]
	}
	at := now.UnixNano()
	usable := usableSet(options) &^ skip
	if usable == 0 {
		return -1
	}
	healthy := usable &^ ejectedSet(options)
	if i := claimProbe(at, options, usable); i >= 0 {
		return i
	}
	if healthy == 0 {
		healthy = usable
	}
	return pick(at, withCapacity(at, options, healthy), options, random)
}

// usableSet returns the options that their owners allow.
func usableSet(options []Option) uint64 {
	var set uint64
	for i := range options {
		o := &options[i]
		if (o.State == jujubegate.Warm || o.State == jujubegate.Cold) && o.Limit > 0 {
			set |= 1 << i
		}
	}
	return set
}

// ejectedSet returns the options that this root excludes on its own evidence:
// at most half of a shard's replicas, those with the most failures first.
func ejectedSet(options []Option) uint64 {
	var set uint64
	for i := range options {
		if options[i].Replica.ejectedUntil.Load() != 0 {
			set |= 1 << i
		}
	}
	for set != 0 && bits.OnesCount64(set) > len(options)/2 {
		fewest := -1
		for i := range options {
			if set&(1<<i) != 0 &&
				(fewest < 0 || options[i].Replica.failures.Load() < options[fewest].Replica.failures.Load()) {
				fewest = i
			}
		}
		set &^= 1 << fewest
	}
	return set
}

// claimProbe returns an ejected option whose pause is over, and claims its probe, or
// returns -1. A target has one probe outstanding at a time.
func claimProbe(at int64, options []Option, usable uint64) int {
	for i := range options {
		r := options[i].Replica
		until := r.ejectedUntil.Load()
		if usable&(1<<i) != 0 && until != 0 && until <= at && r.probing.CompareAndSwap(false, true) {
			return i
		}
	}
	return -1
}

// withCapacity drops options that have no capacity now, as long as others have: cold
// targets at their limit and targets that refused a moment ago. The remaining
// choice is between queues, which the owners keep within the limits.
func withCapacity(at int64, options []Option, set uint64) uint64 {
	var free uint64
	for i := range options {
		o := &options[i]
		full := o.State == jujubegate.Cold && o.load() >= o.Limit
		if set&(1<<i) != 0 && !full && o.Replica.refusedUntil.Load() <= at {
			free |= 1 << i
		}
	}
	if free == 0 {
		return set
	}
	return free
}

func pick(at int64, set uint64, options []Option, random *rand.Rand) int {
	n := bits.OnesCount64(set)
	if n == 1 {
		return bits.TrailingZeros64(set)
	}
	draw := random.Uint64()
	first := uint32(draw) % uint32(n)
	second := uint32(draw>>32) % uint32(n-1)
	if second >= first {
		second++
	}
	a, b := nthMember(set, first), nthMember(set, second)
	if random.Float64() < preference(options[a].expectedVersus(&options[b], at), options[b].expectedVersus(&options[a], at)) {
		return a
	}
	return b
}

// preference returns the probability of the first of two candidates. The cube
// gives one that is expected to take twice as long 1 in 9 requests, and one
// that takes 20 times as long 1 in 8,000.
func preference(a, b time.Duration) float64 {
	x, y := float64(a), float64(b)
	x, y = x*x*x, y*y*y
	return y / (x + y)
}

func nthMember(set uint64, n uint32) int {
	for ; n > 0; n-- {
		set &= set - 1
	}
	return bits.TrailingZeros64(set)
}

// load returns the number of requests at the target: the owner's report, but
// at least what this root has there itself, since the report may be stale.
func (o *Option) load() int { return max(o.Load, o.Replica.Outstanding()) }

// expectedVersus returns the expected time, for a cold target scaled by the other one's
// limit over its own: all roots see the free slot of a cold target in the same
// report, and would fill its queue at once.
func (o *Option) expectedVersus(other *Option, at int64) time.Duration {
	expected := o.expected(at)
	if o.State == jujubegate.Cold && other.Limit > o.Limit {
		expected = expected * time.Duration(other.Limit) / time.Duration(o.Limit)
	}
	return expected
}

// expected returns a measure of the time to an answer: the latency, which
// includes queueing at the owner, the requests that this root has there already,
// the reported queue if it is fresh, and the distance.
func (o *Option) expected(at int64) time.Duration {
	latency := o.latency(at)
	expected := latency*time.Duration(1+2*o.Replica.Outstanding()) + o.Distance
	if o.Replica.recordLoad(at, o.Load) <= maxReportAgeLatencies*latency {
		queued := min(max(o.Load-o.Limit, 0), maxQueueFactor*o.Limit)
		expected += latency * time.Duration(queued) / time.Duration(o.Limit)
	}
	return expected
}

// latency returns the mean of the owner's figure and this root's own one, or
// the latter alone if they contradict each other.
func (o *Option) latency(at int64) time.Duration {
	own := o.Replica.ownLatency(at)
	switch {
	case own == 0 && o.Latency <= 0:
		return unknownLatency
	case own == 0:
		return o.Latency
	case o.Latency <= 0 || o.Latency > maxLatencyRatio*own || own > maxLatencyRatio*o.Latency:
		return own
	}
	return (own + o.Latency) / 2
}
