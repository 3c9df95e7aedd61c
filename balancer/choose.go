package balancer

import (
	"math/bits"
	"math/rand/v2"
	"time"

	"jujubegate.example/jujubegate"
)

// Option is one replica that may serve an attempt: the configuration allows it and,
// if the data is sharded, it holds the snapshot and is owned by a live instance.
type Option struct {
	Replica *Replica
	// State, Load, Limit and Latency are the reported ones. Load is the number of
	// requests in flight and queued, Limit the greatest allowed number in flight.
	State   jujubegate.TargetState
	Load    int
	Limit   int
	Latency time.Duration
	// Distance is the additional round-trip time to the target's data centre.
	Distance time.Duration
}

// MaxOptions is the maximum number of options that Choose considers. It represents
// sets of options as the bits of a uint64.
const MaxOptions = 64

const (
	// unknownLatency is assumed for a target without a reported or measured latency.
	unknownLatency = 5 * time.Millisecond
	// maxReportAgeLatencies is the age, in latencies of the target, up to which a
	// reported queue counts. In a simulation of 8 instances with reports half a
	// second old, counting older ones raised the p99 from 31 to 281 ms.
	maxReportAgeLatencies = 3
	// maxQueueFactor bounds the reported queue that counts, in multiples of the limit.
	maxQueueFactor = 4
	// maxLatencyRatio is the factor by which the reported latency may differ from the
	// one measured by this instance; beyond it only the measured one counts.
	maxLatencyRatio = 4
)

// Choose returns the index of the option for the next attempt, or -1 if there is
// none; Begin must follow. It draws two candidates (power of two choices) and
// prefers the one that is expected to answer first, but not always: with two
// replicas and reports that are half a second old, all instances would otherwise
// choose the same target. Options whose bit in skip is set are not considered.
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

// usableSet returns the options whose reported state and limit allow requests.
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

// ejectedSet returns the options that this instance has ejected: at most half of
// all options, those with the most failures first.
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

// claimProbe claims the probe of an ejected option whose ejection is over and
// returns its index, or -1 if there is none. A target has one outstanding probe at
// a time.
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

// withCapacity removes from a set the cold targets at their limit and the targets
// that have just refused, unless no others remain. Warm targets at their limit stay:
// they can have queues, which their owners keep within the limits.
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

// pick draws two options of a set and returns one of them.
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

// preference returns the probability with which the first of two candidates is
// chosen, given their expected times. With the cube, one that takes twice as long
// gets 1 in 9 requests, and one that takes 20 times as long 1 in 8,000.
func preference(a, b time.Duration) float64 {
	x, y := float64(a), float64(b)
	x, y = x*x*x, y*y*y
	return y / (x + y)
}

// nthMember returns the index of the n-th set bit, from 0.
func nthMember(set uint64, n uint32) int {
	for ; n > 0; n-- {
		set &= set - 1
	}
	return bits.TrailingZeros64(set)
}

// load returns the number of requests at the target: the reported one, but at least
// that of this instance's outstanding ones, since the report may be stale.
func (o *Option) load() int { return max(o.Load, o.Replica.Outstanding()) }

// expectedVersus returns the expected time to an answer in comparison with another
// option. The time of a cold target with the smaller limit is multiplied by the
// ratio of the limits: all instances see the free slot of a cold target in the same
// report and would fill its queue at once.
func (o *Option) expectedVersus(other *Option, at int64) time.Duration {
	expected := o.expected(at)
	if o.State == jujubegate.Cold && other.Limit > o.Limit {
		expected = expected * time.Duration(other.Limit) / time.Duration(o.Limit)
	}
	return expected
}

// expected estimates the time to an answer. It takes into account the latency,
// which includes queueing at the owner, the outstanding requests of this instance
// at the target, the reported queue if it is fresh, and the distance.
func (o *Option) expected(at int64) time.Duration {
	latency := o.latency(at)
	expected := latency*time.Duration(1+2*o.Replica.Outstanding()) + o.Distance
	if o.Replica.recordLoad(at, o.Load) <= maxReportAgeLatencies*latency {
		queued := min(max(o.Load-o.Limit, 0), maxQueueFactor*o.Limit)
		expected += latency * time.Duration(queued) / time.Duration(o.Limit)
	}
	return expected
}

// latency returns the mean of the reported latency and the one that this instance
// has measured, or the latter alone if they differ by more than maxLatencyRatio.
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
