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
	// Snapshot is the one to answer from; 0 means the newest held.
	Snapshot int64
	Route    string
	// DeadlineMs is the time left when the request is sent, in milliseconds.
	// A request with none left is refused.
	DeadlineMs float64
	// Body is any JSON value.
	Body json.RawMessage `json:",omitempty"`
}

// Answer is the body of a 200. Its key range is that of the shard in the
// snapshot, [RangeStart, RangeEnd).
type Answer struct {
	RequestID  string `json:"RequestId"`
	Shard      int
	Snapshot   int64
	RangeStart uint64
	RangeEnd   uint64
	Rows       []Row
}

// Row is one row of an answer. It repeats enough of the request to show that
// the row belongs to it.
type Row struct {
	Key      uint64
	Shard    int
	Snapshot int64
	Version  string
	Echo     json.RawMessage `json:",omitempty"`
}

// Reasons of a refusal and of an error.
const (
	SnapshotNotHeld = "SnapshotNotHeld"
	Shed            = "Shed"
	Draining        = "Draining"
	DeadlinePassed  = "DeadlinePassed"
	BadRequest      = "BadRequest"
	// VersionError is the error of a faulty version; the request ran.
	VersionError = "VersionError"
)

// Refusal is the body of every status but 200.
type Refusal struct {
	RequestID string `json:"RequestId"`
	Shard     int
	Refusal   string
	// Ran is true if the request may have had an effect.
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

// Load is the answer to GET /load.
type Load struct {
	// State is Cold, Warm or Draining.
	State     string
	InUse     int
	Slots     int
	Snapshots []int64
	Version   string
}

// KeyRangeOf returns the keys of a shard in a partition map of the given size.
func KeyRangeOf(shard, shards int) jujubegate.KeyRange {
	n := uint64(shards)
	return jujubegate.KeyRange{
		Start: uint64(shard) * jujubegate.KeySpace / n,
		End:   (uint64(shard) + 1) * jujubegate.KeySpace / n,
	}
}

// answer returns the rows for a request from the snapshot.
func answer(s Settings, r Request, held SnapshotSpec) Answer {
	keys := KeyRangeOf(s.Shard, held.Shards)
	rows := make([]Row, s.Rows)
	for i := range rows {
		hash := xxhash.Sum64String(fmt.Sprintf("%s/%d/%d/%s", s.Service, s.Shard, i, r.Body))
		rows[i] = Row{
			Key:      keys.Start + hash%keys.Len(),
			Shard:    s.Shard,
			Snapshot: held.Snapshot,
			Version:  s.Version,
			Echo:     r.Body,
		}
	}
	return Answer{
		RequestID:  r.RequestID,
		Shard:      s.Shard,
		Snapshot:   held.Snapshot,
		RangeStart: keys.Start,
		RangeEnd:   keys.End,
		Rows:       rows,
	}
}
