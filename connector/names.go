package connector

// HeaderNames are the names of the HTTP headers in the protocol of targets and
// callers. The adapter of a platform sets them.
type HeaderNames struct {
	// RequestID identifies one request as a caller sent it; targets echo it.
	RequestID string
	// Budget holds the time for which the sender of the request still waits, in
	// milliseconds.
	Budget string
	// Signature proves that a target produced the answer.
	Signature string
	// ExpectTarget holds the ID of the only target that may run the request.
	ExpectTarget string
	// Load holds the numbers of running requests, waiting requests and slots.
	Load string
	// Limit holds the requests per second that a target in need takes from all
	// instances together.
	Limit string
	// Leaving marks all answers of a target that leaves.
	Leaving string
	// NotRun marks an answer to a request that the target did not run.
	NotRun string
	// Parts lists the signatures of the parts of a gathered answer.
	Parts string
	// PartsMissing holds the number of shards missing from a gathered answer.
	PartsMissing string
}
