package jujubegate

import "time"

// SubRequest is one attempt to query one shard.
type SubRequest struct {
	Shard  int
	Target Address
	// Attempt numbers the attempts of one shard within a query, from 1.
	Attempt int
}

// Batch is the part of a query that is sent to one owner, the instance that owns
// the targets of the sub-requests.
type Batch struct {
	QueryID  string
	Service  Service
	Route    Route
	Caller   Caller
	Snapshot Snapshot
	Deadline time.Time
	// Priority is the priority of the service; higher values are served first.
	Priority int
	Body     []byte
	// Order marks a non-idempotent request, which is sent once and never retried.
	Order bool
	// Generation is the configuration generation that the sender used.
	Generation  Generation
	SubRequests []SubRequest
}

// SubResult is the result of one sub-request.
type SubResult struct {
	Shard   int
	Attempt int
	Target  Address
	// Refusal is nil on success.
	Refusal  *Refusal
	Snapshot Snapshot
	Range    KeyRange
	// Rows is a JSON array.
	Rows []byte
	// ServiceTime is the time from sending the request to the target's answer.
	ServiceTime time.Duration
}
