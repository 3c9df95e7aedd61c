package target

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/cespare/xxhash/v2"
	"jujubegate.example/jujubegate"
)

// Request is the body of POST /query and POST /order.
type Request struct {
	RequestID string `json:"RequestId"`
	Service   string
	Shard     int
	// Snapshot is the snapshot to answer from; 0 means the newest that the target
	// holds.
	Snapshot int64
	Route    string
	// DeadlineMs is the time until the deadline, in milliseconds, when the request
	// is sent. A request with 0 or less is refused.
	DeadlineMs float64
	// Body is any JSON value.
	Body json.RawMessage `json:",omitempty"`
}

// Answer is the body of a response with status 200. [RangeStart, RangeEnd) is the
// key range of the shard in the snapshot.
type Answer struct {
	RequestID  string `json:"RequestId"`
	Shard      int
	Snapshot   int64
	RangeStart uint64
	RangeEnd   uint64
	Rows       []Row
}

// Row is one row of an answer. Echo repeats the body of the request, so that a
// client can verify that the row belongs to it.
type Row struct {
	Key      uint64
	Shard    int
	Snapshot int64
	Version  string
	Echo     json.RawMessage `json:",omitempty"`
}

// Reasons for a refusal or an error.
const (
	SnapshotNotHeld = "SnapshotNotHeld"
	Shed            = "Shed"
	Draining        = "Draining"
	DeadlinePassed  = "DeadlinePassed"
	BadRequest      = "BadRequest"
	// VersionError is the error of a target with a fault; the request ran.
	VersionError = "VersionError"
)

// Refusal is the body of a response with any status other than 200.
type Refusal struct {
	RequestID string `json:"RequestId"`
	Shard     int
	Refusal   string
	// Ran reports whether the request may have taken effect.
	Ran    bool
	Detail string
}

// Error returns the reason and the detail.
func (r *Refusal) Error() string { return r.Refusal + ": " + r.Detail }

// status returns the HTTP status of the refusal.
func (r *Refusal) status() int {
	switch r.Refusal {
	case SnapshotNotHeld:
		return http.StatusConflict
	case Shed:
		return http.StatusTooManyRequests
	case Draining:
		return http.StatusServiceUnavailable
	case DeadlinePassed:
		return http.StatusGatewayTimeout
	case BadRequest:
		return http.StatusBadRequest
	default:
		return http.StatusInternalServerError
	}
}

// Load is the load report, the body of the response to GET /load.
type Load struct {
	// State is Cold, Warm or Draining.
	State     string
	InUse     int
	Slots     int
	Snapshots []int64
	Version   string
}

// KeyRangeOf returns the key range of a shard in a partition map of the given
// number of shards.
func KeyRangeOf(shard, shards int) jujubegate.KeyRange {
	n := uint64(shards)
	return jujubegate.KeyRange{
		Start: uint64(shard) * jujubegate.KeySpace / n,
		End:   (uint64(shard) + 1) * jujubegate.KeySpace / n,
	}
}

// newAnswer returns the answer to a request from the snapshot. The keys of its rows
// depend only on the service, the shard and the request body.
func newAnswer(s Settings, r Request, snapshot SnapshotSpec) Answer {
	keys := KeyRangeOf(s.Shard, snapshot.Shards)
	rows := make([]Row, s.Rows)
	for i := range rows {
		hash := xxhash.Sum64String(fmt.Sprintf("%s/%d/%d/%s", s.Service, s.Shard, i, r.Body))
		rows[i] = Row{
			Key:      keys.Start + hash%keys.Len(),
			Shard:    s.Shard,
			Snapshot: snapshot.Snapshot,
			Version:  s.Version,
			Echo:     r.Body,
		}
	}
	return Answer{
		RequestID:  r.RequestID,
		Shard:      s.Shard,
		Snapshot:   snapshot.Snapshot,
		RangeStart: keys.Start,
		RangeEnd:   keys.End,
		Rows:       rows,
	}
}
