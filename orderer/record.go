// Package orderer runs non-idempotent requests at most once, on the strength of
// a record in the store.
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

// States of an order. Started is the only one that is not final; NotRun may be
// followed by Started with another token.
const (
	Started State = "Started"
	Ran     State = "Ran"
	NotRun  State = "NotRun"
	Unknown State = "Unknown"
)

// Reasons that only orders have.
const (
	// InProgress refuses a repeat of an order whose outcome is not recorded:
	// it is running, or its creator crashed.
	InProgress jujubegate.Reason = "InProgress"
	// NoRecord refuses a lookup of an order that has no record.
	NoRecord jujubegate.Reason = "NoRecord"
)

const (
	// maxRecordedRows bounds the answer kept in a record, in bytes.
	maxRecordedRows = 64 << 10
	// retention is the age of an ID from which its record may be gone.
	retention = 24 * time.Hour
	// maxAhead bounds how far an ID may be ahead of this instance's clock.
	maxAhead = time.Minute
)

// Record is the stored state of one order.
type Record struct {
	ID       string
	Service  jujubegate.Service
	Route    jujubegate.Route
	Caller   jujubegate.Caller
	BodyHash string
	// Token identifies the one call that may send the order.
	Token  string
	State  State
	Target jujubegate.Address `json:",omitempty"`
	// Reason and Detail explain every final state but Ran.
	Reason jujubegate.Reason `json:",omitempty"`
	Detail string            `json:",omitempty"`
	// Rows is the answer, a JSON array.
	Rows json.RawMessage `json:",omitempty"`
	// RowsOmitted is set if the answer was larger than a record keeps.
	RowsOmitted bool `json:",omitempty"`
	Created     time.Time
	Finished    time.Time
}

// withEnd returns the record in a final state.
func (r Record) withEnd(state State, at time.Time, refusal *jujubegate.Refusal) Record {
	r.State, r.Finished = state, at
	if refusal != nil {
		r.Reason, r.Detail = refusal.Reason, refusal.Detail
	}
	return r
}

// withRows returns the record of an order that ran, with its answer if that is
// small enough to keep.
func (r Record) withRows(rows []byte) Record {
	if len(rows) > maxRecordedRows {
		r.RowsOmitted = true
		return r
	}
	r.Rows = rows
	return r
}

// mismatch names the first field in which a request differs from the record of
// its ID, or returns an empty string.
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

// Outcome returns what the record says about the run.
func (r Record) Outcome() jujubegate.Outcome {
	switch r.State {
	case Ran:
		return jujubegate.Ran
	case NotRun:
		return jujubegate.NotRun
	}
	return jujubegate.Unknown
}

// Request is one order of a caller.
type Request struct {
	Service jujubegate.Service
	Route   jujubegate.Route
	Caller  jujubegate.Caller
	// ID is a UUIDv7 of the caller; a repeat carries the same one.
	ID uuid.UUID
	// Key chooses the shard.
	Key  string
	Body []byte
	// Timeout shortens the deadline of the service; 0 means that deadline.
	Timeout time.Duration
	// First states that no request with this ID was sent before. Without it a
	// refusal before the record was read is unknown instead of not run, since
	// an earlier request may have run.
	First bool
}

func (q *Request) hash() string {
	h := sha256.New()
	_ = json.NewEncoder(h).Encode(q.Key)
	_, _ = h.Write(q.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// key returns the object key of an order.
func key(service jujubegate.Service, id uuid.UUID) string {
	return "Orders/" + string(service) + "/" + id.String()
}

// idTime returns the time in a UUIDv7.
func idTime(id uuid.UUID) time.Time {
	var milliseconds int64
	for _, b := range id[:6] {
		milliseconds = milliseconds<<8 | int64(b)
	}
	return time.UnixMilli(milliseconds)
}
