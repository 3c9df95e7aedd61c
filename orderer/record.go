// Package orderer runs orders, which are non-idempotent requests, at most once. It
// keeps a record of each order in the store.
package orderer

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/google/uuid"

	"jujubegate.example/jujubegate"
)

// State is the progress of an order.
type State string

// States of an order. All but Started are final, except that an order in state
// NotRun may be started again with another token.
const (
	Started State = "Started"
	Ran     State = "Ran"
	NotRun  State = "NotRun"
	Unknown State = "Unknown"
)

// Reasons of refusals that only concern orders.
const (
	// InProgress refuses a repeat of an order without a recorded outcome: it is
	// running, or the instance that started it crashed.
	InProgress jujubegate.Reason = "InProgress"
	// NoRecord refuses a lookup of an order that has no record.
	NoRecord jujubegate.Reason = "NoRecord"
)

const (
	// maxRecordedRowBytes is the maximum size of the answer in a record.
	maxRecordedRowBytes = 64 << 10
	// recordRetention is the age of an ID from which its record may be deleted.
	recordRetention = 24 * time.Hour
	// maxIDAhead is the maximum time by which an ID may be ahead of the clock of this
	// instance.
	maxIDAhead = time.Minute
)

// Record is the stored state of one order.
type Record struct {
	ID       string
	Service  jujubegate.Service
	Route    jujubegate.Route
	Caller   jujubegate.Caller
	BodyHash string
	// Token identifies the only call that may send the order.
	Token  string
	State  State
	Target jujubegate.Address `json:",omitempty"`
	// Reason and Detail say why the order has no answer. They are empty while it is in
	// state Started and if it ran and answered.
	Reason jujubegate.Reason `json:",omitempty"`
	Detail string            `json:",omitempty"`
	// Rows is the answer, a JSON array.
	Rows json.RawMessage `json:",omitempty"`
	// RowsOmitted is set if the answer was too large to be kept.
	RowsOmitted bool `json:",omitempty"`
	Created     time.Time
	Finished    time.Time
}

// withFinalState returns a copy of the record in a final state, with the reason and
// detail of the refusal if there is one.
func (r Record) withFinalState(state State, at time.Time, refusal *jujubegate.Refusal) Record {
	r.State, r.Finished = state, at
	if refusal != nil {
		r.Reason, r.Detail = refusal.Reason, refusal.Detail
	}
	return r
}

// withRows returns a copy of the record with the rows, or with RowsOmitted set if they
// exceed maxRecordedRowBytes.
func (r Record) withRows(rows []byte) Record {
	if len(rows) > maxRecordedRowBytes {
		r.RowsOmitted = true
		return r
	}
	r.Rows = rows
	return r
}

// mismatch returns the name of the first field in which the request differs from
// the record, or an empty string.
func (r Record) mismatch(q *Request) string {
	switch {
	case r.Caller != q.Caller:
		return "caller"
	case r.Route != q.Route:
		return "route"
	case r.BodyHash != q.hash():
		return "key or body"
	}
	return ""
}

// Outcome returns the outcome of the order according to its record.
func (r Record) Outcome() jujubegate.Outcome {
	switch r.State {
	case Ran:
		return jujubegate.Ran
	case NotRun:
		return jujubegate.NotRun
	}
	return jujubegate.Unknown
}

// Request is an order of a caller.
type Request struct {
	Service jujubegate.Service
	Route   jujubegate.Route
	Caller  jujubegate.Caller
	// ID is a UUIDv7 chosen by the caller. Repeats of an order have the same ID.
	ID uuid.UUID
	// Key selects the shard by its hash.
	Key  string
	Body []byte
	// Timeout limits the order if it is shorter than the deadline of the service; 0
	// stands for that deadline.
	Timeout time.Duration
	// First states that the caller has sent no request with this ID before. If it is
	// not set, a refusal before the record was read has the outcome Unknown instead
	// of NotRun, because an earlier request may have run.
	First bool
}

// hash returns the hex-encoded SHA-256 hash of the key and the body.
func (q *Request) hash() string {
	h := sha256.New()
	_ = json.NewEncoder(h).Encode(q.Key)
	_, _ = h.Write(q.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// recordKey returns the object key of an order's record.
func recordKey(service jujubegate.Service, id uuid.UUID) string {
	return "Orders/" + string(service) + "/" + id.String()
}

// timeOfID returns the timestamp of a UUIDv7.
func timeOfID(id uuid.UUID) time.Time {
	var milliseconds int64
	for _, b := range id[:6] {
		milliseconds = milliseconds<<8 | int64(b)
	}
	return time.UnixMilli(milliseconds)
}
