package dialer

import (
	"encoding/json"
	"strconv"
	"time"

	"jujubegate.example/jujubegate"
)

// Request is one sub-request to the target.
type Request struct {
	// RequestID must be unique among the requests in flight.
	RequestID string
	Service   jujubegate.Service
	Shard     int
	Snapshot  jujubegate.Snapshot
	Route     jujubegate.Route
	Deadline  time.Time
	// Body is a JSON value; empty means null.
	Body []byte
	// Order selects the path /order instead of /query.
	Order bool
	// Permit is called immediately before the first byte is written; a refusal
	// withholds the request. nil permits every request.
	Permit func() *jujubegate.Refusal
}

// Answer is the target's result of a sub-request.
type Answer struct {
	Snapshot jujubegate.Snapshot
	Range    jujubegate.KeyRange
	// Rows is a JSON array.
	Rows []byte
}

// Load is the load report of the target. It can be stale or wrong.
type Load struct {
	State     jujubegate.TargetState
	InUse     int
	Slots     int
	Snapshots []jujubegate.Snapshot
	Version   jujubegate.Version
}

// answerMessage is the body of a response with status 200.
type answerMessage struct {
	RequestID  string `json:"RequestId"`
	Shard      *int
	Snapshot   jujubegate.Snapshot
	RangeStart uint64
	RangeEnd   uint64
	Rows       json.RawMessage
}

// refusalMessage is the body of a response with status 409, 429, 503 or 504.
type refusalMessage struct {
	Refusal string
	Ran     *bool
}

// errorMessage is the body of a response with status 500.
type errorMessage struct {
	Error string
}

// loadMessage is the body of a load report.
type loadMessage struct {
	State     string
	InUse     int
	Slots     int
	Snapshots []jujubegate.Snapshot
	Version   jujubegate.Version
}

// encode returns the JSON of a request. The deadline is sent as the time that
// remains at now, at least 1 ms.
func (r *Request) encode(now time.Time) []byte {
	b := make([]byte, 0, 192+len(r.RequestID)+len(r.Body))
	b = appendString(append(b, `{"RequestId":`...), r.RequestID)
	b = appendString(append(b, `,"Service":`...), string(r.Service))
	b = strconv.AppendInt(append(b, `,"Shard":`...), int64(r.Shard), 10)
	b = strconv.AppendInt(append(b, `,"Snapshot":`...), int64(r.Snapshot), 10)
	b = appendString(append(b, `,"Route":`...), string(r.Route))
	remaining := max(r.Deadline.Sub(now).Milliseconds(), 1)
	b = strconv.AppendInt(append(b, `,"DeadlineMs":`...), remaining, 10)
	b = append(b, `,"Body":`...)
	if len(r.Body) == 0 {
		b = append(b, "null"...)
	} else {
		b = append(b, r.Body...)
	}
	return append(b, '}')
}

// appendString appends a JSON string. Printable ASCII without quotes and
// backslashes is copied unchanged.
func appendString(b []byte, s string) []byte {
	for i := range len(s) {
		if c := s[i]; c < 0x20 || c >= 0x7f || c == '"' || c == '\\' {
			quoted, _ := json.Marshal(s) // a string always marshals
			return append(b, quoted...)
		}
	}
	return append(append(append(b, '"'), s...), '"')
}
