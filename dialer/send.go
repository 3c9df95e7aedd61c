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
)

// ErrDeadline is the cause by which the caller of Send cancels a context whose
// deadline has passed; any other cause is a cancellation.
var ErrDeadline = errors.New("the deadline has passed")

// maxStale is how many closed connections a request may meet before it is
// refused. More closed ones than this mean that the target is restarting.
const maxStale = 3

// Result is the end of a request as this side sees it.
type Result struct {
	Answer Answer
	// Refusal is nil on success.
	Refusal *jujubegate.Refusal
	// Unreachable says that the connection could not be opened.
	Unreachable bool
	// Replied says that the target sent a whole response, of whatever content.
	Replied bool
	// ServiceTime is the time from the first byte written, or from the call if
	// none was, to the end.
	ServiceTime time.Duration
	// Closed is set if the target may still run the request. It is closed once
	// the target's answer or close was seen, or the grace has passed.
	Closed <-chan struct{}
}

// Send sends a request and waits for its end. It is written at most once;
// a connection that turns out to be closed before the first byte is replaced.
// Cancelling the context closes the connection, which cancels the request at
// the target.
func (d *Dialer) Send(ctx context.Context, r Request) Result {
	if len(r.Body) > 0 && !json.Valid(r.Body) {
		return Result{Refusal: &jujubegate.Refusal{
			Reason: jujubegate.BadRequest, Outcome: jujubegate.NotRun, Detail: "the body is not a JSON value",
		}}
	}
	for range maxStale {
		result, stale := d.attempt(ctx, &r)
		if !stale {
			return result
		}
	}
	result, _ := d.attempt(ctx, &r)
	return result
}

// attempt makes one exchange and reports whether nothing was written because
// the connection was closed.
func (d *Dialer) attempt(ctx context.Context, r *Request) (result Result, stale bool) {
	started := d.settings.Clock.Now()
	x := &exchange{permit: r.Permit, clock: func() time.Duration { return d.settings.Clock.Since(started) }}
	var used *conn
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		used = info.Conn.(*conn)
		used.current.Store(x)
	}})
	request := d.newRequest(ctx, r, started)
	status, content, err := d.roundTrip(request)
	result.ServiceTime = d.settings.Clock.Since(started) - time.Duration(x.written.Load())
	if err != nil {
		result.Refusal = failure(ctx, err, x)
		result.Unreachable = errors.Is(err, ErrUnreachable)
		if used != nil && !x.seal() {
			result.Closed = used.closed
		}
		return result, x.stale.Load() && result.Closed == nil
	}
	result.Replied = true
	result.Answer, result.Refusal = decode(r, status, content)
	bad := result.Refusal != nil && result.Refusal.Reason == jujubegate.BadAnswer
	if bad {
		used.desynchronized.Store(true)
	}
	// If another request already has the connection, closing it would cancel
	// that one; it finds the mark, or its own wrong answer.
	if used.current.CompareAndSwap(x, nil) && bad {
		_ = used.Close()
	}
	return result, false
}

// newRequest returns the HTTP request. Without GetBody net/http cannot send it
// again on another connection; a body in memory is written with the header.
func (d *Dialer) newRequest(ctx context.Context, r *Request, now time.Time) *http.Request {
	to := &d.queryURL
	if r.Order {
		to = &d.orderURL
	}
	body := r.encode(now)
	request := &http.Request{
		Method: http.MethodPost, URL: to, Host: to.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{"Content-Type": jsonContent}, ContentLength: int64(len(body)),
		Body: io.NopCloser(bytes.NewReader(body)),
	}
	return request.WithContext(ctx)
}

var jsonContent = []string{"application/json"}

// errTooLarge is the error of an answer above the bound.
var errTooLarge = fmt.Errorf("the answer exceeds %d bytes", maxAnswer)

// roundTrip makes one exchange and reads the whole response. The transport is
// used directly, since http.Client follows redirects.
func (d *Dialer) roundTrip(request *http.Request) (status int, content []byte, err error) {
	response, err := d.transport.Load().RoundTrip(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	if response.ContentLength > maxAnswer {
		return 0, nil, errTooLarge
	}
	if n := response.ContentLength; n >= 0 {
		content = make([]byte, n)
		_, err = io.ReadFull(response.Body, content)
		if err == nil {
			_, _ = response.Body.Read(make([]byte, 1)) // reaches EOF, which frees the connection
		}
		return response.StatusCode, content, err
	}
	content, err = io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err == nil && len(content) > maxAnswer {
		err = errTooLarge
	}
	return response.StatusCode, content, err
}

// failure maps the error of an exchange without a whole response. Only a
// request of which nothing was written is reported as not run.
func failure(ctx context.Context, err error, x *exchange) *jujubegate.Refusal {
	r := &jujubegate.Refusal{Outcome: jujubegate.Unknown, Detail: err.Error()}
	if x.seal() {
		r.Outcome = jujubegate.NotRun
		if refused := x.refused.Load(); refused != nil {
			return refused
		}
	}
	switch cause := context.Cause(ctx); {
	case errors.Is(err, errTooLarge):
		r.Reason = jujubegate.BadAnswer
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

// closedByTarget reports whether an exchange ended by the close of its connection.
func closedByTarget(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

var refusals = map[string]jujubegate.Reason{
	"SnapshotNotHeld": jujubegate.SnapshotNotHeld,
	"Shed":            jujubegate.Shed,
	"Draining":        jujubegate.TargetDraining,
	"DeadlinePassed":  jujubegate.DeadlinePassed,
}

// decode maps a whole response to an answer or a refusal.
func decode(r *Request, status int, content []byte) (Answer, *jujubegate.Refusal) {
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

// decodeRefusal maps a typed refusal. Without a clear "Ran":false the outcome
// stays unknown.
func decodeRefusal(status int, content []byte) *jujubegate.Refusal {
	var m refusalMessage
	if err := json.Unmarshal(content, &m); err != nil {
		return badAnswer("status %d without a typed refusal: %v", status, err)
	}
	reason, ok := refusals[m.Refusal]
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
