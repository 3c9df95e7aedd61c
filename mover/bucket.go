package mover

import (
	"math"
	"sort"
	"time"

	"jujubegate.example/jujubegate"
)

// firstEdge is the end of the first latency bucket.
const firstEdge = 500 * time.Microsecond

// edges are the inclusive ends of all latency buckets but the last one.
var edges = func() (list [jujubegate.LatencyBuckets - 1]time.Duration) {
	for i := range list {
		list[i] = time.Duration(float64(firstEdge) * math.Pow(2, float64(i)/2))
	}
	return list
}()

// Bucket returns the index of the latency bucket that holds a service time.
func Bucket(took time.Duration) int {
	return sort.Search(len(edges), func(i int) bool { return took <= edges[i] })
}

// UpperBound returns the largest service time of a bucket. The last bucket has none
// and returns the largest duration.
func UpperBound(bucket int) time.Duration {
	if bucket >= len(edges) {
		return math.MaxInt64
	}
	return edges[bucket]
}

// histogram counts service times by bucket. The counts are fractional because
// old ones decay.
type histogram [jujubegate.LatencyBuckets]float64

// decay multiplies all counts.
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

// bound returns the first bucket above which at most a given part of the
// counts lies.
func (h *histogram) bound(part float64) int {
	rest, limit := h.total(), part*h.total()
	for i, n := range h {
		rest -= n
		if rest <= limit {
			return i
		}
	}
	return len(h) - 1
}

// above returns the count of service times above a bucket.
func above(counts *[jujubegate.LatencyBuckets]uint64, bucket int) uint64 {
	var sum uint64
	for i := bucket + 1; i < len(counts); i++ {
		sum += counts[i]
	}
	return sum
}
