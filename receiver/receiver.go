// Package receiver takes opaque requests of callers over HTTP, sends them to
// targets and answers each exactly once.
package receiver

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/connector"
	"jujubegate.example/jujubegate/gatherer"
	"jujubegate.example/jujubegate/recorder"
	"jujubegate.example/jujubegate/router"
	"jujubegate.example/jujubegate/sender"
)

const (
	// answerReserve is the time before a caller's deadline at which the final
	// answer leaves, so that it arrives in time.
	answerReserve = 10 * time.Millisecond
	// bodyTimeout bounds the reading of a body.
	bodyTimeout = 10 * time.Second
	// maxBodyBytes bounds a body while no configuration says how much.
	maxBodyBytes = 1 << 20
	// shedRetryAfter is when a caller whose request found no capacity may come
	// back: a few service times.
	shedRetryAfter = 50 * time.Millisecond
	// startRetryAfter is when a caller may come back to an instance that does
	// not know the configuration yet.
	startRetryAfter = 250 * time.Millisecond
)

// Settings are the dependencies of a Receiver.
type Settings struct {
	Names    *connector.HeaderNames
	Clock    jujubegate.Clock
	Log      *zap.Logger
	Recorder *recorder.Recorder
	// Table returns the configuration in force, nil if none is known.
	Table func() *router.Table
	// Current reports whether the configuration was confirmed a moment ago, so
	// that a route that it lacks does not exist.
	Current func() bool
	// Leaving reports whether the instance is about to end.
	Leaving func() bool
	Send    func(ctx context.Context, c sender.Call) sender.Outcome
	Gather  func(ctx context.Context, q gatherer.Query) gatherer.Result
}

// Receiver is the HTTP handler for callers.
type Receiver struct {
	settings  Settings
	received  *recorder.Counter
	answered  *recorder.Counter
	partial   *recorder.Counter
	refused   *recorder.Counter
	failed    *recorder.Counter
	latency   *recorder.Histogram
	forwarded []string
}

// New returns a receiver.
func New(settings Settings) *Receiver {
	r, n := settings.Recorder, settings.Names
	return &Receiver{
		settings: settings,
		received: r.Counter(recorder.Forwarded), answered: r.Counter(recorder.ForwardedAnswered),
		partial: r.Counter(recorder.ForwardedPartial), refused: r.Counter(recorder.ForwardedRefused),
		failed: r.Counter(recorder.ForwardedFailed), latency: r.Histogram(recorder.ForwardedLatency),
		forwarded: []string{n.RequestID, n.Budget, n.ExpectTarget, "Host"},
	}
}

// visit is one request of a caller.
type visit struct {
	*Receiver
	writer  http.ResponseWriter
	request *http.Request
	arrival time.Time
	id      string
	table   *router.Table
	route   *router.Route
	call    *connector.Request
	// deadline is when the final answer has to leave.
	deadline time.Time
}

// ServeHTTP answers one request.
func (rc *Receiver) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rc.received.Inc()
	v := &visit{
		Receiver: rc, writer: w, request: r, arrival: rc.settings.Clock.Now(),
		id: r.Header.Get(rc.settings.Names.RequestID),
	}
	if rc.settings.Leaving() {
		w.Header().Set("Connection", "close")
	}
	if f := v.accept(); f != nil {
		v.refuse(f)
		return
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), v.deadline, context.DeadlineExceeded)
	defer cancel()
	if v.route.Gather != nil {
		v.gather(ctx)
		return
	}
	v.forward(ctx)
}

// refusal is an answer of the tier itself.
type refusal struct {
	status     int
	reason     jujubegate.Reason
	detail     string
	retryAfter time.Duration
}

// accept checks the request and finds its route.
func (v *visit) accept() *refusal {
	s := &v.settings
	if v.table = s.Table(); v.table == nil {
		return &refusal{http.StatusServiceUnavailable, jujubegate.Isolated, "no configuration is known yet", startRetryAfter}
	}
	if v.id == "" {
		return &refusal{http.StatusBadRequest, jujubegate.BadRequest, "header " + s.Names.RequestID + " is missing", 0}
	}
	if limit := v.table.Limits.HeaderBytes; limit > 0 && headerBytes(v.request) > limit {
		return &refusal{http.StatusRequestHeaderFieldsTooLarge, jujubegate.BadRequest, "the headers exceed " + strconv.Itoa(limit) + " bytes", 0}
	}
	uri := requestURI(v.request)
	path, _, _ := strings.Cut(uri, "?")
	if v.route = v.table.Match(hostOf(v.request.Host), path); v.route == nil {
		if !s.Current() {
			return &refusal{http.StatusServiceUnavailable, jujubegate.Isolated, "the route is not known and the configuration may be old", startRetryAfter}
		}
		return &refusal{http.StatusNotFound, jujubegate.UnknownRoute, "no route matches the host and path", 0}
	}
	left, f := v.budget()
	if f != nil {
		return f
	}
	body, f := v.body()
	if f != nil {
		return f
	}
	deadline := sender.Deadline(v.route, v.arrival, left)
	v.deadline = deadline.Add(-answerReserve)
	v.call = &connector.Request{
		ID: v.id, Method: v.request.Method, URI: uri, Host: v.request.Host,
		Header: connector.ForwardedHeader(v.request.Header, v.forwarded...),
		Body:   body, Deadline: deadline, Fresh: !v.route.Idempotent,
	}
	return nil
}

// budget returns how long the caller waits.
func (v *visit) budget() (time.Duration, *refusal) {
	text := v.request.Header.Get(v.settings.Names.Budget)
	if text == "" {
		return v.route.Timeout, nil
	}
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || ms < 0 || ms > float64(time.Hour/time.Millisecond) {
		return 0, &refusal{http.StatusBadRequest, jujubegate.BadRequest, "header " + v.settings.Names.Budget + " is not a number of milliseconds: " + strconv.Quote(text), 0}
	}
	left := time.Duration(ms * float64(time.Millisecond))
	if left <= answerReserve {
		// A target would be asked for an answer that nobody waits for.
		return 0, &refusal{http.StatusServiceUnavailable, jujubegate.DeadlinePassed, "the time of the request is used up", 0}
	}
	return left, nil
}

func (v *visit) body() ([]byte, *refusal) {
	if v.request.Body == http.NoBody || v.request.ContentLength == 0 {
		return nil, nil
	}
	limit := v.table.Limits.BodyBytes
	if limit <= 0 {
		limit = maxBodyBytes
	}
	control := http.NewResponseController(v.writer)
	if err := control.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, &refusal{http.StatusBadRequest, jujubegate.BadRequest, "the body cannot be read: " + err.Error(), 0}
	}
	body, err := io.ReadAll(http.MaxBytesReader(v.writer, v.request.Body, int64(limit)))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &refusal{http.StatusRequestEntityTooLarge, jujubegate.BadRequest, "the body exceeds " + strconv.Itoa(limit) + " bytes", 0}
	case err != nil:
		return nil, &refusal{http.StatusBadRequest, jujubegate.BadRequest, "the body is incomplete: " + err.Error(), 0}
	}
	// An expired deadline would look like the caller's leaving.
	if err := control.SetReadDeadline(time.Time{}); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, &refusal{http.StatusBadRequest, jujubegate.BadRequest, "the body cannot be read: " + err.Error(), 0}
	}
	return body, nil
}

// headerBytes returns the size of the request line and the headers as they are
// sent, without white space that a caller may add.
func headerBytes(r *http.Request) int {
	size := len(r.Method) + len(" ") + len(r.RequestURI) + len(" ") + len(r.Proto) + len("\r\n")
	size += len("Host: ") + len(r.Host) + len("\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(": ") + len(value) + len("\r\n")
		}
	}
	return size
}

// requestURI returns the path and query as the caller sent them.
func requestURI(r *http.Request) string {
	uri := r.RequestURI
	if strings.HasPrefix(uri, "/") {
		return uri
	}
	if _, rest, ok := strings.Cut(uri, "://"); ok {
		if i := strings.IndexByte(rest, '/'); i >= 0 {
			return rest[i:]
		}
		return "/"
	}
	return uri
}

// hostOf returns the host without its port.
func hostOf(host string) string {
	if name, port, ok := strings.Cut(host, ":"); ok && !strings.Contains(port, ":") {
		return name
	}
	return host
}

// forward sends a request to one service.
func (v *visit) forward(ctx context.Context) {
	service := v.route.Pick()
	o := v.settings.Send(ctx, sender.Call{Request: v.call, Route: v.route, Service: service})
	if !o.OK {
		v.refuse(failure(o.Ran, o.Reason), zap.String("Service", string(service)), zap.Array("Tries", tries(o.Attempts)))
		return
	}
	header := v.writer.Header()
	for name, values := range connector.ForwardedHeader(o.Answer.Header) {
		header[name] = values
	}
	v.write(o.Answer.Status, o.Answer.Body)
	if o.Answer.Status/100 == 2 {
		v.answered.Inc()
	} else {
		v.failed.Inc()
	}
	v.log(o.Answer.Status, zap.String("Service", string(service)), zap.String("Target", o.Target), zap.Array("Tries", tries(o.Attempts)))
}

// gather answers a query over many shards.
func (v *visit) gather(ctx context.Context) {
	r := v.settings.Gather(ctx, gatherer.Query{Request: v.call, Route: v.route, Arrival: v.arrival})
	details := []zap.Field{
		zap.Int("Shards", len(v.route.Gather.Shards)), zap.Int("In", len(r.Signatures)),
		zap.Int("Tries", r.Attempts), zap.Array("Missing", missing(r.Missing)),
	}
	if !r.OK {
		f := failure(r.Ran, r.Reason)
		f.retryAfter = max(f.retryAfter, r.RetryAfter)
		v.refuse(f, details...)
		return
	}
	header := v.writer.Header()
	header[http.CanonicalHeaderKey(v.settings.Names.Parts)] = []string{strings.Join(r.Signatures, ", ")}
	header[http.CanonicalHeaderKey(v.settings.Names.PartsMissing)] = []string{strconv.Itoa(len(r.Missing))}
	v.write(http.StatusOK, r.Body)
	v.answered.Inc()
	if len(r.Missing) > 0 {
		v.partial.Inc()
	}
	v.log(http.StatusOK, details...)
}

// failure is the answer to a request without a target's answer. Only a request
// that certainly did not run is refused as not run.
func failure(ran jujubegate.Outcome, reason jujubegate.Reason) *refusal {
	switch {
	case reason == jujubegate.DeadlinePassed || reason == jujubegate.Cancelled:
		return &refusal{http.StatusGatewayTimeout, reason, "no answer in time", 0}
	case ran == jujubegate.NotRun:
		return &refusal{http.StatusServiceUnavailable, reason, "no target could take the request", shedRetryAfter}
	}
	return &refusal{http.StatusBadGateway, reason, "the request may have run, but has no answer", 0}
}

func (v *visit) refuse(f *refusal, details ...zap.Field) {
	if f.retryAfter > 0 {
		v.writer.Header().Set("Retry-After", strconv.FormatFloat(f.retryAfter.Seconds(), 'f', 3, 64))
	}
	v.writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	v.write(f.status, []byte(f.detail+"\n"))
	if f.status == http.StatusServiceUnavailable {
		v.refused.Inc()
	} else {
		v.failed.Inc()
	}
	v.log(f.status, append(details, zap.String("Reason", string(f.reason)), zap.String("Detail", f.detail))...)
}

func (v *visit) write(status int, body []byte) {
	header := v.writer.Header()
	header["Content-Length"] = []string{strconv.Itoa(len(body))}
	if _, ok := header["Content-Type"]; !ok {
		// A nil value keeps net/http from guessing one.
		header["Content-Type"] = nil
	}
	v.writer.WriteHeader(status)
	// A caller that has left needs no answer.
	_, _ = v.writer.Write(body)
	v.latency.Record(v.settings.Clock.Since(v.arrival))
}
