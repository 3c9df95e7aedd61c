package jujubegate

// RouteCount sums the answers of one version on one route at one instance
// since the start of its process.
type RouteCount struct {
	Service Service
	Version Version
	Route   Route
	// Answers counts all sub-requests that ended, Errors those with a target
	// error and Slow those above the latency that the old version keeps.
	Answers uint64
	Errors  uint64
	Slow    uint64
}
