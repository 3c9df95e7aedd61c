// Package asker is the callers' client. It looks up the addresses to use at an
// instance, caches them for as long as they are valid, and sends queries and
// orders. Its message types are those of the callers' HTTP API.
package asker

import (
	"encoding/json"
	"time"

	"jujubegate.example/jujubegate"
)

// Paths of the callers' HTTP API.
const (
	QueryPath     = "/v1/query"
	OrderPath     = "/v1/orders"
	AddressesPath = "/v1/addresses"
)

// QueryRequest is the body of POST /v1/query.
type QueryRequest struct {
	Service jujubegate.Service
	Route   jujubegate.Route
	Caller  jujubegate.Caller
	// Body is any JSON value; it is sent to every shard unchanged.
	Body json.RawMessage `json:",omitempty"`
	// TimeoutMs is the caller's timeout; 0 means the service's deadline.
	TimeoutMs int64 `json:",omitempty"`
	// AllowPartial permits an answer that does not cover every key.
	AllowPartial bool `json:",omitempty"`
}

// KeyRange is a half-open interval of 32-bit keys.
type KeyRange struct {
	Start uint64
	End   uint64
}

// Coverage states which part of the key space an answer covers.
type Coverage struct {
	// Fraction is the covered fraction of the key space, 0 to 1.
	Fraction float64
	Missing  []KeyRange `json:",omitempty"`
}

// QueryAnswer is the body of a successful answer to POST /v1/query.
type QueryAnswer struct {
	QueryID  string
	Snapshot jujubegate.Snapshot
	Coverage Coverage
	// Rows is a JSON array in shard order.
	Rows json.RawMessage
	// Hedges and Retries count the extra sub-requests of this query.
	Hedges  int
	Retries int
	// Instance is the instance that answered the query.
	Instance jujubegate.Instance
}

// Whole reports whether the answer covers every key.
func (a QueryAnswer) Whole() bool { return len(a.Coverage.Missing) == 0 }

// OrderRequest is the body of POST /v1/orders.
type OrderRequest struct {
	Service jujubegate.Service
	Route   jujubegate.Route
	Caller  jujubegate.Caller
	// ID is a UUIDv7 that the caller generates once and sends with every retry.
	ID string
	// Key selects the shard.
	Key       string
	Body      json.RawMessage `json:",omitempty"`
	TimeoutMs int64           `json:",omitempty"`
	// First states that no request with this ID was sent before. It allows a
	// refusal with outcome NotRun without a lookup of the recorded outcome.
	First bool `json:",omitempty"`
}

// OrderAnswer is the recorded outcome of an order.
type OrderAnswer struct {
	ID string
	// Outcome is Ran, NotRun or Unknown.
	Outcome string
	// Rows is the target's answer; empty unless the order ran.
	Rows json.RawMessage `json:",omitempty"`
	// Repeated is set if the outcome was recorded by an earlier request.
	Repeated bool `json:",omitempty"`
	Detail   string
}

// RefusalBody is the body of an answer with an error status.
type RefusalBody struct {
	Reason jujubegate.Reason
	// Outcome is NotRun, Ran or Unknown.
	Outcome      string
	RetryAfterMs int64 `json:",omitempty"`
	Detail       string
	// Addresses are other instances to try, if any.
	Addresses []string `json:",omitempty"`
}

// Refusal converts the body into a typed error.
func (b RefusalBody) Refusal() *jujubegate.Refusal {
	refusal := &jujubegate.Refusal{
		Reason:     b.Reason,
		RetryAfter: time.Duration(b.RetryAfterMs) * time.Millisecond,
		Detail:     b.Detail,
	}
	switch b.Outcome {
	case jujubegate.NotRun.String():
		refusal.Outcome = jujubegate.NotRun
	case jujubegate.Ran.String():
		refusal.Outcome = jujubegate.Ran
	}
	return refusal
}

// AddressesAnswer is the body of a successful answer to GET /v1/addresses.
type AddressesAnswer struct {
	// Addresses are host:port, the best first.
	Addresses []string
	// ValidForMs is how long the caller may use the addresses.
	ValidForMs int64
}
