package mover

import (
	"math"
	"sort"
	"time"

	"jujubegate.example/jujubegate"
)

// firstUpperBound is the upper bound of the first latency bucket.
const firstUpperBound = 500 * time.Microsecond

// upperBounds holds the inclusive upper bounds of all latency buckets except
// the last.
var upperBounds = func() (list [jujubegate.LatencyBuckets - 1]time.Duration) {
	for i := range list {
		list[i] = time.Duration(float64(firstUpperBound) * math.Pow(2, float64(i)/2))
	}
	return list
}()

// Bucket returns the index of the latency bucket that a service time falls
// into.
func Bucket(took time.Duration) int {
	return sort.Search(len(upperBounds), func(i int) bool { return took <= upperBounds[i] })
}

// UpperBound returns the inclusive upper bound of a bucket. The last bucket has
// none, so the maximum duration is returned for it.
func UpperBound(bucket int) time.Duration {
	if bucket >= len(upperBounds) {
		return math.MaxInt64
	}
	return upperBounds[bucket]
}

// histogram counts service times by bucket. The counts are fractional because
// older ones decay.
type histogram [jujubegate.LatencyBuckets]float64

// decay multiplies all counts by a factor.
func (h *histogram) decay(factor float64) {
	for i := range h {
		h[i] *= factor
	}
}

func (h *histogram) add(counts *[jujubegate.LatencyBuckets]uint64) {
	for i, n := range counts {
		h[i] += float64(n)
	}
}

func (h *histogram) total() float64 {
	sum := 0.0
	for _, n := range h {
		sum += n
	}
	return sum
}

// tailBucket returns the lowest bucket such that at most tailFraction of the
// counts lie above it.
func (h *histogram) tailBucket(tailFraction float64) int {
	remaining, limit := h.total(), tailFraction*h.total()
	for i, n := range h {
		remaining -= n
		if remaining <= limit {
			return i
		}
	}
	return len(h) - 1
}

// countAbove returns the number of service times in the buckets above the given
// one.
func countAbove(counts *[jujubegate.LatencyBuckets]uint64, bucket int) uint64 {
	var sum uint64
	for i := bucket + 1; i < len(counts); i++ {
		sum += counts[i]
	}
	return sum
}
