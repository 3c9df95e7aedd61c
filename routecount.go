package jujubegate

// LoadLevel says whether a target had other requests in flight when a request
// started.
type LoadLevel uint8

// Load levels. They are counted separately because some faults only show under
// load.
const (
	// Unloaded is the level of a request whose target had no other request in
	// flight.
	Unloaded LoadLevel = iota
	// Loaded is the level of a request whose target had at least one other
	// request in flight.
	Loaded
)

// String returns the load level as it appears in reasons and log lines.
func (l LoadLevel) String() string {
	if l == Unloaded {
		return "without load"
	}
	return "under load"
}

// LatencyBuckets is the number of latency buckets of a RouteCount. The upper
// bound of bucket 0 is 0.5 ms, and each further bound is the square root of 2
// times the previous one. The last bucket has no upper bound.
const LatencyBuckets = 36

// RouteCount counts the answers of one version on one route at one load level,
// as seen by one instance since its process started.
type RouteCount struct {
	Service Service
	Version Version
	Route   Route
	Load    LoadLevel
	// Answers counts all finished sub-requests, Errors those with a target error,
	// and Slow those above the latency bound that the old version meets. Slow is
	// 0 in the counts that an instance sends. It is derived from Latency, because
	// an instance may not own targets of both versions.
	Answers uint64
	Errors  uint64
	Slow    uint64
	// Latency counts the answers without an error by service time.
	Latency [LatencyBuckets]uint64
}
