package recorder

import (
	"encoding/json"
	"flag"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

var update = flag.Bool("update", false, "write the reference page to docs/metrics.md")

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestPageIsCurrent(t *testing.T) {
	// Guards against an outdated reference page.
	const path = "../docs/metrics.md"
	if *update {
		if err := os.WriteFile(path, Page(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	Convey("docs/metrics.md is the generated page", t, func() {
		page, err := os.ReadFile(path)
		So(err, ShouldBeNil)
		So(string(page), ShouldEqual, string(Page()))
	})
}

func TestMetricsArePublished(t *testing.T) {
	// Guards against lost updates under concurrency and against metrics that
	// are missing from /debug/vars or have the wrong unit.
	Convey("Metrics recorded by several goroutines are published", t, func() {
		r := New(zap.NewNop(), false)
		counter, gauge, latency := r.Counter(Queries), r.Gauge(Epoch), r.Histogram(QueryLatency)
		r.ValueFunc(Serving, func() int64 { return 1 })
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() {
				for i := range 1000 {
					counter.Inc()
					gauge.Add(1)
					latency.Record(time.Duration(i+1) * time.Millisecond)
				}
			})
		}
		wg.Wait()
		w := httptest.NewRecorder()
		r.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/debug/vars", nil))
		var vars struct {
			Jujubegate struct {
				Queries, Epoch, Serving int64
				QueryLatency            Summary
				Coverage                int64 `json:"Violations.Coverage"`
			}
			Memstats map[string]any
		}
		So(json.Unmarshal(w.Body.Bytes(), &vars), ShouldBeNil)
		So(vars.Jujubegate.Queries, ShouldEqual, 8000)
		So(vars.Jujubegate.Epoch, ShouldEqual, 8000)
		So(vars.Jujubegate.Serving, ShouldEqual, 1)
		So(vars.Memstats, ShouldNotBeEmpty)
		summary := vars.Jujubegate.QueryLatency
		So(summary.Count, ShouldEqual, 8000)
		for _, p := range []struct {
			got  int64
			want float64
		}{{summary.P50, 500_000}, {summary.P90, 900_000}, {summary.P99, 990_000}, {summary.P999, 999_000}} {
			So(float64(p.got), ShouldAlmostEqual, p.want, p.want*0.011)
		}
	})
	Convey("A latency out of range is recorded as the nearest bound", t, func() {
		h := NewHistogram()
		h.Record(-time.Second)
		h.Record(time.Hour)
		So(h.Summary().Count, ShouldEqual, 2)
		So(h.Summary().Max, ShouldBeGreaterThanOrEqualTo, maxLatency.Microseconds())
	})
	Convey("One name has one instrument of one kind", t, func() {
		r := New(zap.NewNop(), false)
		So(r.Counter(Queries), ShouldEqual, r.Counter(Queries))
		So(func() { r.Gauge(Queries) }, ShouldPanic)
		So(func() { r.Counter(Epoch) }, ShouldPanic)
	})
}

func TestRecordingDoesNotAllocate(t *testing.T) {
	// Guards against allocations on the path of each sub-request.
	Convey("Recording allocates nothing", t, func() {
		r := New(zap.NewNop(), false)
		counter, gauge, latency := r.Counter(Queries), r.Gauge(Epoch), r.Histogram(QueryLatency)
		allocations := testing.AllocsPerRun(1000, func() {
			counter.Inc()
			gauge.Set(7)
			latency.Record(3 * time.Millisecond)
		})
		So(allocations, ShouldEqual, 0)
	})
}

func TestViolations(t *testing.T) {
	// Guards against violations that are not counted or logged, or that do not
	// panic although the checks are fatal.
	Convey("A violation of each invariant", t, func() {
		for _, name := range Invariants {
			for _, fatal := range []bool{false, true} {
				core, logs := observer.New(zap.InfoLevel)
				check := NewCheck(zap.New(core), fatal)
				violate := func() { check.Violation(name, "shard %d", 7) }
				if fatal {
					So(violate, ShouldPanicWith, "invariant "+string(name)+" violated: shard 7")
				} else {
					violate()
				}
				So(check.Violations(name), ShouldEqual, 1)
				So(check.Total(), ShouldEqual, 1)
				So(logs.FilterLevelExact(zap.ErrorLevel).Len(), ShouldEqual, 1)
				So(logs.All()[0].ContextMap(), ShouldResemble, map[string]any{"invariant": string(name), "detail": "shard 7"})
			}
		}
	})
	Convey("An unknown invariant is a programming error", t, func() {
		So(func() { NewCheck(zap.NewNop(), false).Violation("Nonsense", "") }, ShouldPanic)
	})
}

func BenchmarkRecord(b *testing.B) {
	h := NewHistogram()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			h.Record(3 * time.Millisecond)
		}
	})
}
