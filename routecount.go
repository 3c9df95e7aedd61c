package jujubegate

// LoadLevel says how many requests ran at a target when one started.
type LoadLevel uint8

// Load levels. They are kept apart because some faults show under load only.
const (
	// Alone is a request that found no other one at its target.
	Alone LoadLevel = iota
	// Loaded is a request that found at least one other.
	Loaded
)

// String returns the words used in reasons and log lines.
func (l LoadLevel) String() string {
	if l == Alone {
		return "without load"
	}
	return "under load"
}

// LatencyBuckets is the number of latency buckets of a RouteCount. Bucket 0
// ends at 0.5 ms; each later one ends at the square root of 2 times the end
// of the one before. The last one has no end.
const LatencyBuckets = 36

// RouteCount sums the answers of one version on one route and load level at
// one instance since the start of its process.
type RouteCount struct {
	Service Service
	Version Version
	Route   Route
	Load    LoadLevel
	// Answers counts all sub-requests that ended, Errors those with a target
	// error and Slow those above the latency that the old version keeps. Slow is
	// 0 in what an instance sends: it is derived from Latency, because an
	// instance need not own targets of both versions.
	Answers uint64
	Errors  uint64
	Slow    uint64
	// Latency counts the answers without an error by service time.
	Latency [LatencyBuckets]uint64
}
