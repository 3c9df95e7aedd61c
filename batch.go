package jujubegate

import "time"

// SubRequest is one try of one shard of a query.
type SubRequest struct {
	Shard  int
	Target Address
	// Attempt tells apart the tries of one shard within a query, from 1.
	Attempt int
}

// Batch is the part of a query that goes to one owner.
type Batch struct {
	QueryID  string
	Service  Service
	Route    Route
	Caller   Caller
	Snapshot Snapshot
	Deadline time.Time
	// Priority is that of the service; a larger one is served first.
	Priority int
	Body     []byte
	// Order marks a non-idempotent request: sent once, never repeated.
	Order bool
	// Generation is the configuration that the sender decided by.
	Generation  Generation
	SubRequests []SubRequest
}

// SubResult is the end of one sub-request.
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
	// ServiceTime is the time from sending to the target's answer.
	ServiceTime time.Duration
}
