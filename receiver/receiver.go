// Package receiver accepts requests of callers over HTTP, forwards them to targets
// without interpreting their bodies, and answers each exactly once.
package receiver

import (
	"context"
	"errors"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/connector"
	"jujubegate.example/jujubegate/estimator"
	"jujubegate.example/jujubegate/gatherer"
	"jujubegate.example/jujubegate/recorder"
	"jujubegate.example/jujubegate/router"
	"jujubegate.example/jujubegate/screener"
	"jujubegate.example/jujubegate/sender"
)

const (
	// answerReserve is how long before the caller's deadline the final answer is
	// sent, so that it arrives in time.
	answerReserve = 10 * time.Millisecond
	// BodyTimeout limits the time for reading a body. The caller's own time limits it too.
	BodyTimeout = 10 * time.Second
	// defaultMaxBodyBytes limits the size of a body if the configuration sets no
	// limit.
	defaultMaxBodyBytes = 1 << 20
	// maxPartBytes limits the answer of one shard to a query.
	maxPartBytes = 1 << 20
	// shedRetryAfter is the Retry-After of a request that found no capacity: a few
	// service times.
	shedRetryAfter = 50 * time.Millisecond
	// startRetryAfter is the Retry-After of an instance whose configuration is
	// missing or may be outdated.
	startRetryAfter = 250 * time.Millisecond
)

// Settings are the dependencies of a Receiver.
type Settings struct {
	Names    *connector.HeaderNames
	Clock    jujubegate.Clock
	Log      *zap.Logger
	Recorder *recorder.Recorder
	// Table returns the applied configuration, or nil if none is known.
	Table func() *router.Table
	// Current reports whether the configuration was confirmed recently, so that a
	// route that is missing from it does not exist.
	Current func() bool
	// Leaving reports whether the instance is about to shut down.
	Leaving func() bool
	// EndsAt returns when the remaining requests are cancelled; nil while that is not
	// near. May be nil.
	EndsAt func() *time.Time
	// Memory bounds the large bodies of all requests and answers together; nil means
	// no bound.
	Memory *connector.Memory
	// Estimator estimates what part of a caller's time is used up elsewhere.
	Estimator *estimator.Estimator
	// Screener holds back the requests that crash targets; may be nil.
	Screener *screener.Screener
	Send     func(ctx context.Context, c sender.Call) sender.CallResult
	Gather   func(ctx context.Context, q gatherer.Query) gatherer.Result
}

// Receiver is the HTTP handler for callers.
type Receiver struct {
	settings Settings
	received *recorder.Counter
	answered *recorder.Counter
	partial  *recorder.Counter
	refused  *recorder.Counter
	failed   *recorder.Counter
	latency  *recorder.Histogram
	// excludedHeaders are the request headers that are not forwarded, since the
	// instance sets them itself.
	excludedHeaders []string
}

// New returns a receiver.
func New(settings Settings) *Receiver {
	r, n := settings.Recorder, settings.Names
	return &Receiver{
		settings: settings,
		received: r.Counter(recorder.Forwarded), answered: r.Counter(recorder.ForwardedAnswered),
		partial: r.Counter(recorder.ForwardedPartial), refused: r.Counter(recorder.ForwardedRefused),
		failed: r.Counter(recorder.ForwardedFailed), latency: r.Histogram(recorder.ForwardedLatency),
		excludedHeaders: []string{n.RequestID, n.Budget, n.ExpectTarget, "Host"},
	}
}

// exchange is one request of a caller and its response.
type exchange struct {
	*Receiver
	writer  http.ResponseWriter
	request *http.Request
	arrival time.Time
	id      string
	table   *router.Table
	route   *router.Route
	call    *connector.Request
	// run follows what happens to the request at its targets.
	run *screener.Run
	// left is how long the caller still waits.
	left time.Duration
	// deadline is the time by which the final answer must be sent.
	deadline time.Time
	// due is when the answer must be sent to reach the caller within the objective
	// of the route; zero if the route has none.
	due time.Time
	// decidedAt is when the answer was known or, if later, due.
	decidedAt time.Time
}

// ServeHTTP answers one request.
func (rc *Receiver) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rc.received.Inc()
	e := &exchange{
		Receiver: rc, writer: w, request: r, arrival: rc.settings.Clock.Now(),
		id: r.Header.Get(rc.settings.Names.RequestID),
	}
	if rc.settings.Leaving() {
		w.Header().Set("Connection", "close")
	}
	if f := e.accept(); f != nil {
		e.refuse(f)
		return
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), e.deadline, context.DeadlineExceeded)
	defer cancel()
	e.estimate()
	if f := e.screen(); f != nil {
		e.refuse(f, zap.Stringer("Key", e.key()))
		return
	}
	defer e.run.Finish()
	if e.route.Gather != nil {
		e.gather(ctx)
		return
	}
	e.forward(ctx)
}

// key returns the key by which the request is known when it comes again.
func (e *exchange) key() screener.Key {
	return screener.KeyOf(e.call.Method, e.call.Host, e.call.URI, e.call.Body)
}

// screen begins the run of the request, or refuses one that crashes its targets.
func (e *exchange) screen() *refusal {
	if e.settings.Screener == nil {
		return nil
	}
	run, block := e.settings.Screener.Begin(e.id, e.key)
	if block != nil {
		return &refusal{http.StatusServiceUnavailable, jujubegate.CrashesTargets, "this request crashes the targets that run it", block.For}
	}
	e.run = run
	return nil
}

// estimate sets due by what the caller has used up of its time.
func (e *exchange) estimate() {
	if e.route.Objective <= 0 {
		return
	}
	estimate := e.settings.Estimator.ObserveRequest(estimator.Request{
		Route: e.route.Name, Objective: e.route.Objective, Timeout: e.route.Timeout,
		Budget: e.left, Trip: callerTrip(e.request.Context()),
	})
	left, _ := estimate.Left(e.route.Objective)
	e.due = e.arrival.Add(left)
}

// refusal is an error answer by this instance instead of a target.
type refusal struct {
	status     int
	reason     jujubegate.Reason
	detail     string
	retryAfter time.Duration
}

// accept checks the request, finds its route and prepares the forwarded request.
func (e *exchange) accept() *refusal {
	s := &e.settings
	if e.table = s.Table(); e.table == nil {
		return &refusal{http.StatusServiceUnavailable, jujubegate.Isolated, "no configuration is known yet", startRetryAfter}
	}
	if e.id == "" {
		return &refusal{http.StatusBadRequest, jujubegate.BadRequest, "header " + s.Names.RequestID + " is missing", 0}
	}
	if limit := e.table.Limits.HeaderBytes; limit > 0 && headerBytes(e.request) > limit {
		return &refusal{http.StatusRequestHeaderFieldsTooLarge, jujubegate.BadRequest, "the headers exceed " + strconv.Itoa(limit) + " bytes", 0}
	}
	uri := requestURI(e.request)
	path, _, _ := strings.Cut(uri, "?")
	if e.route = e.table.Match(hostOf(e.request.Host), path); e.route == nil {
		if !s.Current() {
			return &refusal{http.StatusServiceUnavailable, jujubegate.Isolated, "the route is not known and the configuration may be old", startRetryAfter}
		}
		return &refusal{http.StatusNotFound, jujubegate.UnknownRoute, "no route matches the host and path", 0}
	}
	var f *refusal
	if e.left, f = e.budget(); f != nil {
		return f
	}
	body, f := e.body()
	if f != nil {
		return f
	}
	deadline := sender.Deadline(e.route, e.arrival, e.left)
	e.deadline = deadline.Add(-answerReserve)
	if !e.route.Idempotent && e.mayBeCancelled() {
		// The caller could not send it again after that.
		return &refusal{http.StatusServiceUnavailable, jujubegate.Leaving, "the instance is shutting down", shedRetryAfter}
	}
	e.call = &connector.Request{
		ID: e.id, Method: e.request.Method, URI: uri, Host: e.request.Host,
		Header: connector.ForwardedHeader(e.request.Header, e.excludedHeaders...),
		Body:   body, Deadline: deadline, Fresh: !e.route.Idempotent,
	}
	if e.route.Gather != nil {
		e.call.MaxAnswer = maxPartBytes
	}
	return nil
}

// mayBeCancelled reports whether the instance may end before the request does.
func (e *exchange) mayBeCancelled() bool {
	if e.settings.EndsAt == nil {
		return false
	}
	endsAt := e.settings.EndsAt()
	return endsAt != nil && e.deadline.After(*endsAt)
}

// budget returns how long the caller waits for the answer, according to its
// header or else the timeout of the route.
func (e *exchange) budget() (time.Duration, *refusal) {
	text := e.request.Header.Get(e.settings.Names.Budget)
	if text == "" {
		return e.route.Timeout, nil
	}
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || ms < 0 || ms > float64(time.Hour/time.Millisecond) {
		return 0, &refusal{http.StatusBadRequest, jujubegate.BadRequest, "header " + e.settings.Names.Budget + " is not a number of milliseconds: " + strconv.Quote(text), 0}
	}
	left := time.Duration(ms * float64(time.Millisecond))
	if left <= answerReserve {
		// No answer of a target could reach the caller in time.
		return 0, &refusal{http.StatusServiceUnavailable, jujubegate.DeadlinePassed, "the time of the request is used up", 0}
	}
	return left, nil
}

func (e *exchange) body() ([]byte, *refusal) {
	if e.request.Body == http.NoBody || e.request.ContentLength == 0 {
		return nil, nil
	}
	limit := e.table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	control := http.NewResponseController(e.writer)
	if err := control.SetReadDeadline(time.Now().Add(min(BodyTimeout, e.left))); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, &refusal{http.StatusBadRequest, jujubegate.BadRequest, "the body cannot be read: " + err.Error(), 0}
	}
	body, err := connector.ReadBody(e.request.Body, e.request.ContentLength, limit, e.settings.Memory)
	switch {
	case errors.Is(err, connector.ErrBodyTooLarge):
		// The rest of the body is not read.
		e.writer.Header().Set("Connection", "close")
		return nil, &refusal{http.StatusRequestEntityTooLarge, jujubegate.BadRequest, "the body exceeds " + strconv.Itoa(limit) + " bytes", 0}
	case errors.Is(err, connector.ErrMemory):
		e.writer.Header().Set("Connection", "close")
		return nil, &refusal{http.StatusServiceUnavailable, jujubegate.Overloaded, "no memory for the body at present", shedRetryAfter}
	case errors.Is(err, os.ErrDeadlineExceeded):
		e.writer.Header().Set("Connection", "close")
		return nil, &refusal{http.StatusRequestTimeout, jujubegate.DeadlinePassed, "the body did not arrive in time", 0}
	case err != nil:
		return nil, &refusal{http.StatusBadRequest, jujubegate.BadRequest, "the body is incomplete: " + err.Error(), 0}
	}
	// Clear the deadline: once it expires, net/http treats the connection as
	// closed by the caller and cancels the request's context.
	if err := control.SetReadDeadline(time.Time{}); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, &refusal{http.StatusBadRequest, jujubegate.BadRequest, "the body cannot be read: " + err.Error(), 0}
	}
	return body, nil
}

// headerBytes returns the size of the request line and the headers on the wire,
// not counting optional white space.
func headerBytes(r *http.Request) int {
	size := len(r.Method) + len(" ") + len(r.RequestURI) + len(" ") + len(r.Proto) + len("\r\n")
	size += len("Host:") + len(r.Host) + len("\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(":") + len(value) + len("\r\n")
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

// hostOf returns a Host header without the port.
func hostOf(host string) string {
	if name, port, ok := strings.Cut(host, ":"); ok && !strings.Contains(port, ":") {
		return name
	}
	return host
}

// forward sends a request to one service.
func (e *exchange) forward(ctx context.Context) {
	service := e.route.Pick()
	result := e.settings.Send(ctx, sender.Call{Request: e.call, Route: e.route, Service: service, Due: e.due, Run: e.run})
	e.decidedAt = e.settings.Clock.Now()
	if !result.OK {
		f := refusalFor(result.Outcome, result.Reason)
		f.retryAfter = max(f.retryAfter, result.RetryAfter)
		e.refuse(f, zap.String("Service", string(service)), zap.Array("Tries", attempts(result.Attempts)))
		return
	}
	header := e.writer.Header()
	for name, values := range connector.ForwardedHeader(result.Answer.Header) {
		header[name] = values
	}
	e.write(result.Answer.Status, result.Answer.Body)
	if result.Answer.Status/100 == 2 {
		e.answered.Inc()
	} else {
		e.failed.Inc()
	}
	e.log(result.Answer.Status, zap.String("Service", string(service)), zap.String("Target", result.Target), zap.Array("Tries", attempts(result.Attempts)))
}

// gather answers a query over many shards.
func (e *exchange) gather(ctx context.Context) {
	result := e.settings.Gather(ctx, gatherer.Query{Request: e.call, Route: e.route, Due: e.due, Run: e.run})
	e.decidedAt = result.DecidedAt
	if !result.OK {
		f := refusalFor(result.Outcome, result.Reason)
		f.retryAfter = max(f.retryAfter, result.RetryAfter)
		e.refuse(f, e.gatherDetails(&result)...)
		return
	}
	header := e.writer.Header()
	header[http.CanonicalHeaderKey(e.settings.Names.Parts)] = []string{strings.Join(result.Signatures, ", ")}
	header[http.CanonicalHeaderKey(e.settings.Names.PartsMissing)] = []string{strconv.Itoa(result.MissingCount)}
	e.write(http.StatusOK, result.Body)
	e.answered.Inc()
	if result.MissingCount > 0 {
		e.partial.Inc()
	}
	e.log(http.StatusOK, e.gatherDetails(&result)...)
}

// gatherDetails returns the fields of the log line about a query. It waits for the
// attempts that were still running when the query was answered.
func (e *exchange) gatherDetails(result *gatherer.Result) []zap.Field {
	missing, attempts := result.Missing()
	fields := []zap.Field{
		zap.Int("Shards", len(e.route.Gather.Shards)), zap.Int("In", len(result.Signatures)),
		zap.Int("Tries", attempts), zap.Array("Missing", missingShards(missing)),
	}
	if result.Rejecting != "" {
		fields = append(fields, zap.String("Rejecting", string(result.Rejecting)))
	}
	return fields
}

// refusalFor returns the refusal of a request that no target answered. Status 503
// is only used for a request that certainly has not run.
func refusalFor(outcome jujubegate.Outcome, reason jujubegate.Reason) *refusal {
	switch {
	case outcome == jujubegate.NotRun:
		return &refusal{http.StatusServiceUnavailable, reason, "no target could take the request", shedRetryAfter}
	case reason == jujubegate.DeadlinePassed || reason == jujubegate.Cancelled:
		return &refusal{http.StatusGatewayTimeout, reason, "no answer in time", 0}
	case reason == jujubegate.TargetError:
		return &refusal{http.StatusBadGateway, reason, "the target failed the request, which may have run", 0}
	}
	return &refusal{http.StatusBadGateway, reason, "the request may have run, but has no answer", 0}
}

func (e *exchange) refuse(f *refusal, details ...zap.Field) {
	if f.retryAfter > 0 {
		e.writer.Header().Set("Retry-After", strconv.FormatFloat(f.retryAfter.Seconds(), 'f', 3, 64))
	}
	e.writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	e.write(f.status, []byte(f.detail+"\n"))
	if f.status == http.StatusServiceUnavailable {
		e.refused.Inc()
	} else {
		e.failed.Inc()
	}
	e.log(f.status, append(details, zap.String("Reason", string(f.reason)), zap.String("Detail", f.detail))...)
}

func (e *exchange) write(status int, body []byte) {
	header := e.writer.Header()
	if e.request.Method != http.MethodHead || header.Get("Content-Length") == "" {
		header["Content-Length"] = []string{strconv.Itoa(len(body))}
	}
	if _, ok := header["Content-Type"]; !ok {
		// A nil value keeps net/http from guessing the content type.
		header["Content-Type"] = nil
	}
	e.writer.WriteHeader(status)
	// The write only fails if the caller has disconnected.
	_, _ = e.writer.Write(body)
	// What follows, such as the log line, must not delay the answer. The flush fails
	// like the write, or if the writer is not buffered.
	_ = http.NewResponseController(e.writer).Flush()
	if !e.decidedAt.IsZero() {
		e.settings.Estimator.ObserveAnswer(e.settings.Clock.Since(e.decidedAt))
	}
	e.latency.Record(e.settings.Clock.Since(e.arrival))
}
