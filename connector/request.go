package connector

import (
	"net/http"
	"strconv"
	"time"
)

// Request is an opaque request to one target.
type Request struct {
	// ID is the caller's ID of the request, the same in all attempts. An answer
	// without it is not used, except for a refusal.
	ID     string
	Method string
	// URI is the path and query, byte for byte as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// MaxAnswer is the largest body of an answer in bytes; 0 means the usual limit.
	MaxAnswer int
	// Fresh requires a new or recently used connection. It is set for a request
	// that must not run twice, which cannot be repeated if the connection turns
	// out to be closed.
	Fresh bool
}

// Answer is a complete answer from a target.
type Answer struct {
	Status    int
	Header    http.Header
	Body      []byte
	Signature string
	// NotRun says that the target did not run the request.
	NotRun bool
	// Misdirected says that another target now has the address.
	Misdirected bool
	Load        Load
	Limit       Limit
	// Leaving says that the target leaves.
	Leaving bool
	// Pause is the time for which the target wants nothing from this instance.
	Pause Pause
}

// Load is the load that a target reported with an answer.
type Load struct {
	Running, Waiting, Slots int
	// At is the time of the answer; zero if it had no load report.
	At time.Time
}

// hopByHop lists the headers that apply to a single connection.
const hopByHop = "Connection Keep-Alive Proxy-Authenticate Proxy-Authorization Proxy-Connection Te Trailer Transfer-Encoding Upgrade"

// appendRequest appends the request line and headers in HTTP/1.1 format.
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
