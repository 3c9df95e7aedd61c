package dialer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"syscall"
	"time"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/connector"
)

// ErrDeadline is the cause with which the caller of Send cancels the context when
// the deadline has passed. Any other cause except context.DeadlineExceeded counts
// as a cancellation.
var ErrDeadline = errors.New("the deadline has passed")

// maxStale is how many times a request moves to another connection because its
// connection was closed. More closed connections mean that the target is
// restarting, and the request is refused.
const maxStale = 3

// Result is the result of a request.
type Result struct {
	Answer Answer
	// Refusal is nil on success.
	Refusal *jujubegate.Refusal
	// Unreachable is true if no connection could be opened.
	Unreachable bool
	// Replied is true if the target sent a complete response, even a bad one.
	Replied bool
	// ServiceTime is the time from the first byte written, or from the start of
	// the exchange if nothing was written, until the result.
	ServiceTime time.Duration
	// Closed is not nil if the target may still run the request. It is closed
	// once the target has answered or closed the connection, or the grace period
	// has passed.
	Closed <-chan struct{}
}

// Send sends a request and waits for its result. The request is written at most
// once; if its connection turns out to be closed before the first byte, another
// one is used. Cancelling the context closes the connection, which cancels the
// request at the target.
func (d *Dialer) Send(ctx context.Context, r Request) Result {
	if len(r.Body) > 0 && !json.Valid(r.Body) {
		return Result{Refusal: &jujubegate.Refusal{
			Reason: jujubegate.BadRequest, Outcome: jujubegate.NotRun, Detail: "the body is not a JSON value",
		}}
	}
	for range maxStale {
		result, stale := d.exchangeOnce(ctx, &r)
		if !stale {
			return result
		}
	}
	result, _ := d.exchangeOnce(ctx, &r)
	return result
}

// exchangeOnce sends the request on one connection. It reports stale if nothing
// was written because that connection was closed.
func (d *Dialer) exchangeOnce(ctx context.Context, r *Request) (result Result, stale bool) {
	started := d.settings.Clock.Now()
	x := &exchange{permit: r.Permit, elapsed: func() time.Duration { return d.settings.Clock.Since(started) }}
	var used *conn
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		used = info.Conn.(*conn)
		used.current.Store(x)
	}})
	request := d.newRequest(ctx, r, started)
	status, content, err := d.roundTrip(request)
	result.ServiceTime = d.settings.Clock.Since(started) - time.Duration(x.writeDelay.Load())
	if err != nil {
		result.Refusal = refusalForError(ctx, err, x)
		result.Unreachable = errors.Is(err, ErrUnreachable)
		if used != nil && !x.withhold() {
			result.Closed = used.closed
		}
		return result, x.stale.Load() && result.Closed == nil
	}
	result.Replied = true
	result.Answer, result.Refusal = decodeResponse(r, status, content)
	bad := result.Refusal != nil && result.Refusal.Reason == jujubegate.BadAnswer
	if bad {
		used.desynchronized.Store(true)
	}
	// If another request already uses the connection, closing it would cancel that
	// request. It is instead withheld because of desynchronized, or it receives a
	// wrong answer itself.
	if used.current.CompareAndSwap(x, nil) && bad {
		_ = used.Close()
	}
	return result, false
}

// newRequest returns the HTTP request. GetBody is not set, so that net/http
// cannot send the request again on another connection. The body is in memory, so
// that it is written together with the header.
func (d *Dialer) newRequest(ctx context.Context, r *Request, now time.Time) *http.Request {
	endpoint := &d.queryURL
	if r.Order {
		endpoint = &d.orderURL
	}
	body := r.encode(now)
	request := &http.Request{
		Method: http.MethodPost, URL: endpoint, Host: endpoint.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{"Content-Type": jsonContentType}, ContentLength: int64(len(body)),
		Body: io.NopCloser(bytes.NewReader(body)),
	}
	return request.WithContext(ctx)
}

var jsonContentType = []string{"application/json"}

// roundTrip sends a request and reads the whole response. It calls the transport
// directly because http.Client would follow redirects.
func (d *Dialer) roundTrip(request *http.Request) (status int, content []byte, err error) {
	response, err := d.transport.Load().RoundTrip(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	content, err = connector.ReadBody(response.Body, response.ContentLength, maxAnswer, d.settings.Memory)
	if err == nil && response.ContentLength >= 0 {
		_, _ = response.Body.Read(make([]byte, 1)) // reaches EOF, which frees the connection
	}
	return response.StatusCode, content, err
}

// refusalForError maps the error of an exchange without a complete response to a
// refusal. The outcome is NotRun only if nothing was written.
func refusalForError(ctx context.Context, err error, x *exchange) *jujubegate.Refusal {
	r := &jujubegate.Refusal{Outcome: jujubegate.Unknown, Detail: err.Error()}
	if x.withhold() {
		r.Outcome = jujubegate.NotRun
		if refused := x.refused.Load(); refused != nil {
			return refused
		}
	}
	switch cause := context.Cause(ctx); {
	case errors.Is(err, connector.ErrBodyTooLarge):
		r.Reason = jujubegate.BadAnswer
	case errors.Is(err, connector.ErrMemory):
		r.Reason = jujubegate.Overloaded
	case cause == nil && errors.Is(err, errNoConnection):
		r.Reason = jujubegate.Overloaded
	case cause == nil && x.received.Load() && !closedByTarget(err):
		r.Reason = jujubegate.BadAnswer
	case cause == nil:
		r.Reason = jujubegate.TargetDown
	case errors.Is(cause, ErrDeadline) || errors.Is(cause, context.DeadlineExceeded):
		r.Reason = jujubegate.DeadlinePassed
	default:
		r.Reason = jujubegate.Cancelled
	}
	return r
}

// closedByTarget reports whether an exchange failed because the target closed or
// reset the connection.
func closedByTarget(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

// refusalReasons maps the refusals of the target protocol to reasons.
var refusalReasons = map[string]jujubegate.Reason{
	"SnapshotNotHeld": jujubegate.SnapshotNotHeld,
	"Shed":            jujubegate.Shed,
	"Draining":        jujubegate.TargetDraining,
	"DeadlinePassed":  jujubegate.DeadlinePassed,
}

// decodeResponse maps a complete response to an answer or a refusal.
func decodeResponse(r *Request, status int, content []byte) (Answer, *jujubegate.Refusal) {
	switch status {
	case http.StatusOK:
		return decodeAnswer(r, content)
	case http.StatusConflict, http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return Answer{}, decodeRefusal(status, content)
	case http.StatusInternalServerError:
		var m errorMessage
		if err := json.Unmarshal(content, &m); err != nil {
			return Answer{}, badAnswer("status 500 without a JSON error: %v", err)
		}
		return Answer{}, &jujubegate.Refusal{Reason: jujubegate.TargetError, Outcome: jujubegate.Ran, Detail: m.Error}
	}
	return Answer{}, badAnswer("unexpected status %d", status)
}

func decodeAnswer(r *Request, content []byte) (Answer, *jujubegate.Refusal) {
	var m answerMessage
	if err := json.Unmarshal(content, &m); err != nil {
		return Answer{}, badAnswer("the answer is not valid: %v", err)
	}
	if m.RequestID != r.RequestID {
		return Answer{}, badAnswer("the answer is to request %q instead of %q", m.RequestID, r.RequestID)
	}
	if m.Shard == nil || *m.Shard != r.Shard {
		return Answer{}, badAnswer("the answer is not from shard %d", r.Shard)
	}
	rows := []byte(m.Rows)
	switch {
	case len(rows) == 0 || string(rows) == "null":
		rows = []byte("[]")
	case rows[0] != '[':
		return Answer{}, badAnswer("the rows are not an array")
	}
	keys := jujubegate.KeyRange{Start: m.RangeStart, End: m.RangeEnd}
	return Answer{Snapshot: m.Snapshot, Range: keys, Rows: rows}, nil
}

// decodeRefusal decodes a refusal message. If it has no field Ran, the outcome is
// Unknown.
func decodeRefusal(status int, content []byte) *jujubegate.Refusal {
	var m refusalMessage
	if err := json.Unmarshal(content, &m); err != nil {
		return badAnswer("status %d without a typed refusal: %v", status, err)
	}
	reason, ok := refusalReasons[m.Refusal]
	if !ok {
		return badAnswer("unknown refusal %q", m.Refusal)
	}
	r := &jujubegate.Refusal{Reason: reason, Outcome: jujubegate.Unknown, Detail: "refused by the target"}
	if m.Ran != nil {
		r.Outcome = jujubegate.Ran
		if !*m.Ran {
			r.Outcome = jujubegate.NotRun
		}
	}
	return r
}

func badAnswer(format string, arguments ...any) *jujubegate.Refusal {
	return &jujubegate.Refusal{
		Reason: jujubegate.BadAnswer, Outcome: jujubegate.Unknown, Detail: fmt.Sprintf(format, arguments...),
	}
}
