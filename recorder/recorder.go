// Package recorder provides the metrics of a process, the checks of its
// invariants and its log. Metrics are published by expvar in the map
// "jujubegate".
package recorder

import (
	"bytes"
	"expvar"
	"fmt"
	"net/http"
	"sync"

	"go.uber.org/zap"
)

// MapName is the name of the published expvar map.
const MapName = "jujubegate"

// Recorder holds the metrics of one instance. A process can have several
// recorders, at most one of which is published in the expvar registry.
type Recorder struct {
	vars  *expvar.Map
	check *Check

	mu          sync.Mutex
	instruments map[string]instrument
}

// instrument is a registered metric.
type instrument struct {
	metric Metric
	value  expvar.Var
}

// New returns a recorder. If fatal is set, a violated invariant panics.
func New(log *zap.Logger, fatal bool) *Recorder {
	r := &Recorder{vars: new(expvar.Map), instruments: map[string]instrument{}}
	r.check = NewCheck(log, fatal)
	for _, i := range Invariants {
		r.vars.Set("Violations."+string(i), expvar.Func(func() any { return r.check.Violations(i) }))
	}
	return r
}

// Check returns the invariant checks.
func (r *Recorder) Check() *Check { return r.check }

// Counter returns the counter of the metric.
func (r *Recorder) Counter(m Metric) *Counter {
	return register(r, m, KindCounter, func() *Counter { return new(Counter) })
}

// Gauge returns the gauge of the metric.
func (r *Recorder) Gauge(m Metric) *Gauge {
	return register(r, m, KindGauge, func() *Gauge { return new(Gauge) })
}

// ValueFunc publishes a metric whose value is computed when it is read. It
// replaces an earlier function of the same metric.
func (r *Recorder) ValueFunc(m Metric, value func() int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := expvar.Func(func() any { return value() })
	r.instruments[m.Name] = instrument{metric: m, value: f}
	r.vars.Set(m.Name, f)
}

// Histogram returns the latency histogram of the metric.
func (r *Recorder) Histogram(m Metric) *Histogram {
	return register(r, m, KindHistogram, NewHistogram)
}

// register returns the instrument of a metric and creates it if necessary. It
// panics if the metric is of another kind, which is a programming error.
func register[T expvar.Var](r *Recorder, m Metric, kind Kind, create func() T) T {
	r.mu.Lock()
	defer r.mu.Unlock()
	if existing, ok := r.instruments[m.Name]; ok {
		v, sameType := existing.value.(T)
		if !sameType {
			panic(fmt.Sprintf("metric %s is a %s, not a %s", m.Name, existing.metric.Kind, kind))
		}
		return v
	}
	if m.Kind != kind {
		panic(fmt.Sprintf("metric %s is declared as %s, not as %s", m.Name, m.Kind, kind))
	}
	v := create()
	r.instruments[m.Name] = instrument{metric: m, value: v}
	r.vars.Set(m.Name, v)
	return v
}

// Publish adds the metrics to the expvar registry of the process. It panics if
// a recorder has already been published.
func (r *Recorder) Publish() { expvar.Publish(MapName, r.vars) }

// String returns the metrics as a JSON object.
func (r *Recorder) String() string { return r.vars.String() }

// ServeHTTP serves /debug/vars: the published variables of the process and the
// metrics of this recorder.
func (r *Recorder) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "{\n%q: %s", MapName, r.vars)
	expvar.Do(func(kv expvar.KeyValue) {
		if kv.Key != MapName {
			fmt.Fprintf(&b, ",\n%q: %s", kv.Key, kv.Value)
		}
	})
	b.WriteString("\n}\n")
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	// The write only fails if the client has disconnected.
	_, _ = w.Write(b.Bytes())
}
