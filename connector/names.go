package connector

// HeaderNames are the header names of the protocol that targets and callers speak.
// Only the adapter of a platform sets them.
type HeaderNames struct {
	// RequestID identifies one attempt of a caller; targets echo it.
	RequestID string
	// Budget is the time that the sender still waits, in milliseconds.
	Budget string
	// Signature proves that a target produced an answer.
	Signature string
	// ExpectTarget holds the ID of the only target that may run the request.
	ExpectTarget string
	// Load holds the running requests, the waiting ones and the slots.
	Load string
	// NotRun marks an answer to a request that the target did not run.
	NotRun string
	// Parts lists the signatures of the parts of a gathered answer.
	Parts string
	// PartsMissing is the number of shards that a gathered answer leaves out.
	PartsMissing string
}
