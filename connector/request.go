package connector

import (
	"net/http"
	"strconv"
	"time"
)

// Request is an opaque request to one target.
type Request struct {
	// ID is the caller's ID of the attempt; an answer without it is not used.
	ID     string
	Method string
	// URI is the path and query, byte for byte as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Fresh asks for a connection that was used a moment ago or is new, since a
	// request that must not run twice cannot be repeated on another one.
	Fresh bool
}

// Answer is a complete answer of a target.
type Answer struct {
	Status    int
	Header    http.Header
	Body      []byte
	Signature string
	// NotRun says that the target did not run the request.
	NotRun bool
	// Misdirected says that another target has the address now.
	Misdirected bool
	Load        Load
}

// Load is the load that a target reported with an answer.
type Load struct {
	Running, Waiting, Slots int
	// At is the time of the answer; zero if it had no report.
	At time.Time
}

const hopByHop = "Connection Keep-Alive Proxy-Authenticate Proxy-Authorization Proxy-Connection Te Trailer Transfer-Encoding Upgrade"

// appendRequest appends the request in the form in which it is sent.
func appendRequest(b []byte, r *Request, names *HeaderNames, targetID string, now time.Time) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.URI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for name, values := range r.Header {
		for _, v := range values {
			b = appendHeader(b, name, v)
		}
	}
	b = appendHeader(b, names.RequestID, r.ID)
	b = append(b, names.Budget...)
	b = append(b, ": "...)
	b = strconv.AppendInt(b, max(r.Deadline.Sub(now).Milliseconds(), 1), 10)
	b = append(b, "\r\n"...)
	b = appendHeader(b, names.ExpectTarget, targetID)
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

func appendHeader(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}
