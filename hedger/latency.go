package hedger

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"jujubegate.example/jujubegate"
)

const (
	// hedgeQuantile is the share of sub-requests, in percent, that end before
	// a hedge is due. The other 3% are below the budget of 5%.
	hedgeQuantile = 97.0
	// window is the least time for which a histogram collects samples. It is then
	// kept as the previous one while the next one collects. A window with less
	// than minSamples is prolonged.
	window = 5 * time.Second
	// refreshEvery is the number of samples after which the delay is computed
	// again, which reads the whole histogram. The first computations follow
	// sooner.
	refreshEvery = 512
	// minSamples is the least number of samples from which the delay is computed.
	minSamples = 50
	minDelay   = time.Millisecond
	// defaultDelay is the delay while there are fewer than minSamples.
	defaultDelay = 30 * time.Millisecond
	// maxLatency and latencyDigits are the range and the number of significant
	// digits of the histograms.
	maxLatency    = time.Minute
	latencyDigits = 2
)

// RouteLatency computes the hedge delay of one route from its latencies. It is safe
// for concurrent use.
type RouteLatency struct {
	// quantile is the share of samples, in percent, below the delay.
	quantile float64
	delay    atomic.Int64
	typical  atomic.Int64

	mu       sync.Mutex
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
	// windowStart is the start of the current window.
	windowStart time.Time
	// pending counts the samples since the last refresh.
	pending int
}

// NewRouteLatency returns a RouteLatency without samples whose delay is the
// hedgeQuantile of the samples.
func NewRouteLatency() *RouteLatency { return NewRouteLatencyAt(hedgeQuantile) }

// NewRouteLatencyAt returns a RouteLatency without samples whose delay is the given
// quantile, in percent, of the samples.
func NewRouteLatencyAt(quantile float64) *RouteLatency {
	l := &RouteLatency{quantile: quantile, current: newHistogram(), previous: newHistogram()}
	l.delay.Store(int64(defaultDelay))
	return l
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)
}

// Delay returns the time after which a sub-request without a result is hedged.
func (l *RouteLatency) Delay() time.Duration { return time.Duration(l.delay.Load()) }

// Typical returns the median time of a sub-request; 0 if it is unknown.
func (l *RouteLatency) Typical() time.Duration { return time.Duration(l.typical.Load()) }

// Observe records the latencies of sub-requests. A cancelled sub-request counts
// with the time until its cancellation: without the stragglers, the delay would
// shrink with each hedge.
func (l *RouteLatency) Observe(now time.Time, took ...time.Duration) {
	if len(took) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.windowStart.IsZero() {
		l.windowStart = now
	}
	if now.Sub(l.windowStart) >= window && l.current.TotalCount() >= minSamples {
		l.current, l.previous = l.previous, l.current
		l.current.Reset()
		l.windowStart = now
	}
	for _, d := range took {
		_ = l.current.RecordValue(min(max(d, 1), maxLatency).Microseconds())
	}
	l.pending += len(took)
	if int64(l.pending) >= min(refreshEvery, max(minSamples, l.current.TotalCount()/2)) {
		l.pending = 0
		l.refresh()
	}
}

// refresh sets the delay to the larger quantile of the two windows, so that it
// rises at once and falls only after a window.
func (l *RouteLatency) refresh() {
	var delay, typical time.Duration
	for _, h := range [...]*hdrhistogram.Histogram{l.current, l.previous} {
		if h.TotalCount() >= minSamples {
			delay = max(delay, time.Duration(h.ValueAtQuantile(l.quantile))*time.Microsecond)
			typical = max(typical, time.Duration(h.ValueAtQuantile(50))*time.Microsecond)
		}
	}
	if delay > 0 {
		l.delay.Store(int64(max(delay, minDelay)))
		l.typical.Store(int64(typical))
	}
}

// Hedger holds the latency of each route and the budget of this root. It is safe
// for concurrent use.
type Hedger struct {
	Budget

	mu     sync.Mutex
	routes map[routeKey]*RouteLatency
}

type routeKey struct {
	service jujubegate.Service
	route   jujubegate.Route
}

// New returns a hedger without samples and with initialTokens in its budget.
func New() *Hedger {
	h := &Hedger{routes: make(map[routeKey]*RouteLatency)}
	h.tokens.Store(initialTokens)
	return h
}

// Route returns the latency of a route, and creates it on the first call.
func (h *Hedger) Route(service jujubegate.Service, route jujubegate.Route) *RouteLatency {
	h.mu.Lock()
	defer h.mu.Unlock()
	k := routeKey{service, route}
	l, ok := h.routes[k]
	if !ok {
		l = NewRouteLatency()
		h.routes[k] = l
	}
	return l
}
