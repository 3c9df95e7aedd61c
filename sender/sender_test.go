package sender

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/connector"
	"jujubegate.example/jujubegate/router"
	"jujubegate.example/jujubegate/tracker"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	ms      = time.Millisecond
	service = jujubegate.Service("s")
)

// behaviour answers one request; "" closes the connection.
type behaviour func(id string) string

func ok(id string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n"
}

func failing(id string) string {
	return "HTTP/1.1 500 No\r\nX-Id: " + id + "\r\nX-Signature: f\r\nContent-Length: 0\r\n\r\n"
}

func shedding(id string) string {
	return "HTTP/1.1 503 Busy\r\nX-Id: " + id + "\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
}

func lost(string) string { return "" }

func after(d time.Duration, b behaviour) behaviour {
	return func(id string) string { time.Sleep(d); return b(id) }
}

// world is targets in this process and a sender over them.
type world struct {
	sender *Sender
	// runs counts the requests that each target received.
	runs []*atomic.Int64
}

func newWorld(t *testing.T, allowance float64, targets ...behaviour) *world {
	t.Helper()
	names := &connector.HeaderNames{RequestID: "X-Id", Budget: "X-Budget", Signature: "X-Signature", ExpectTarget: "X-Expect", Load: "X-Load", NotRun: "X-Not-Run"}
	clock := clockwork.NewRealClock()
	w := &world{}
	tr := tracker.New(tracker.Settings{
		Clock: clock, Log: zap.NewNop(), Drain: 2 * time.Second, ColdPart: func(string, float64) float64 { return 1 },
		NewPool: func(e tracker.Entry, bound int) *connector.Pool {
			p := connector.New(connector.Settings{Target: e.Address, TargetID: e.ID, Names: names, Clock: clock}, 8)
			t.Cleanup(p.Close)
			return p
		},
	})
	var entries []tracker.Entry
	for i, b := range targets {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		runs := &atomic.Int64{}
		w.runs = append(w.runs, runs)
		if b == nil {
			l.Close()
		} else {
			go serve(l, runs, b)
		}
		entries = append(entries, tracker.Entry{ID: fmt.Sprint("t-", i), Address: jujubegate.Address(l.Addr().String()), Service: service, Slots: 8})
	}
	tr.Update(entries, tracker.Recency{})
	w.sender = New(Settings{
		Tracker: tr, Clock: clock, RepeatRatio: 0.2, RepeatAllowance: allowance, Share: func() float64 { return 1 }, Seed: 1,
	})
	return w
}

func serve(l net.Listener, runs *atomic.Int64, b behaviour) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			r := bufio.NewReader(c)
			for {
				request, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				runs.Add(1)
				text := b(request.Header.Get("X-Id"))
				if _, err := c.Write([]byte(text)); err != nil || text == "" {
					return
				}
			}
		}()
	}
}

func (w *world) send(idempotent bool, attempts int, timeout time.Duration) Outcome {
	ctx, cancel := context.WithDeadlineCause(context.Background(), time.Now().Add(timeout), context.DeadlineExceeded)
	defer cancel()
	return w.sender.Send(ctx, Call{
		Service: service,
		Route:   &router.Route{Name: "r", Idempotent: idempotent, Attempts: attempts, Objective: 200 * ms, Timeout: time.Second},
		Request: &connector.Request{ID: "id", Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}, Deadline: time.Now().Add(timeout), Fresh: !idempotent},
	})
}

func (w *world) received() int64 {
	var n int64
	for _, r := range w.runs {
		n += r.Load()
	}
	return n
}

func TestOutcomes(t *testing.T) {
	// Guards against a second run of a request that may have run, a refusal as
	// not run that is not true, and more targets than the route allows.
	cases := []struct {
		name       string
		idempotent bool
		attempts   int
		targets    []behaviour
		ok         bool
		ran        jujubegate.Outcome
		// most is the largest number of requests that arrive.
		most int64
	}{
		{"answer", false, 2, []behaviour{ok, ok}, true, jujubegate.Ran, 1},
		{"order whose answer is lost", false, 2, []behaviour{lost, lost}, false, jujubegate.Unknown, 1},
		{"order that fails", false, 2, []behaviour{failing, failing}, true, jujubegate.Ran, 1},
		{"order that is shed once", false, 2, []behaviour{shedding, shedding}, false, jujubegate.NotRun, 2},
		{"order without a listener", false, 2, []behaviour{nil, nil}, false, jujubegate.NotRun, 0},
		{"order with one listener", false, 2, []behaviour{nil, ok}, true, jujubegate.Ran, 1},
		{"order without an answer", false, 2, []behaviour{after(400*ms, ok), after(400*ms, ok)}, false, jujubegate.Unknown, 1},
		{"look-up whose answers are lost", true, 2, []behaviour{lost, lost, lost}, false, jujubegate.Unknown, 2},
		{"look-up with one good target", true, 2, []behaviour{lost, ok}, true, jujubegate.Ran, 2},
		{"look-up with one that fails", true, 2, []behaviour{failing, ok}, true, jujubegate.Ran, 2},
		{"look-up that fails everywhere", true, 2, []behaviour{failing, failing, failing}, true, jujubegate.Ran, 2},
		{"look-up with one slow target", true, 2, []behaviour{after(400*ms, ok), ok}, true, jujubegate.Ran, 2},
		{"one attempt only", true, 1, []behaviour{lost, lost}, false, jujubegate.Unknown, 1},
		{"no target", true, 2, nil, false, jujubegate.NotRun, 0},
	}
	Convey("A call", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				w := newWorld(t, 50, c.targets...)
				o := w.send(c.idempotent, c.attempts, 300*ms)
				So(o.OK, ShouldEqual, c.ok)
				So(o.Ran, ShouldEqual, c.ran)
				So(w.received(), ShouldBeLessThanOrEqualTo, c.most)
			})
		}
	})
}

func TestRepeatsStayWithinTheBudget(t *testing.T) {
	// Guards against a storm of repeats when all targets fail.
	Convey("500 calls to failing targets repeat a share and the allowance", t, func() {
		w := newWorld(t, 10, failing, failing)
		var group sync.WaitGroup
		for range 10 {
			group.Go(func() {
				for range 50 {
					w.send(true, 2, time.Second)
				}
			})
		}
		group.Wait()
		So(w.received()-500, ShouldBeLessThanOrEqualTo, int64(500*0.2+10))
		So(w.received()-500, ShouldBeGreaterThan, 50)
	})
}

func TestHedgeIsFast(t *testing.T) {
	// Guards against a query that waits for a paused target.
	Convey("With one of two targets paused, 99 of 100 calls end within 150 ms", t, func() {
		w := newWorld(t, 50, after(500*ms, ok), after(5*ms, ok))
		slow := 0
		for range 60 {
			begun := time.Now()
			o := w.send(true, 2, time.Second)
			So(o.OK, ShouldBeTrue)
			if time.Since(begun) > 150*ms {
				slow++
			}
		}
		So(slow, ShouldBeLessThanOrEqualTo, 1)
	})
}

func TestColdTarget(t *testing.T) {
	// Guards against requests that are refused because the cold one of two
	// targets has no turn left, and against requests beyond its limit.
	const rate, allowance, requests = 2.0, 1.0, 60
	w := newWorld(t, 0, ok, ok)
	tr := w.sender.settings.Tracker
	tr.SetTable(router.New(1, nil, []router.Service{{Name: service, Connections: 8, ColdRate: rate}}, router.Limits{}, nil))
	cold := *tr.Replicas(service)[0].Entry()
	cold.ColdFor = time.Minute
	tr.Update([]tracker.Entry{cold, *tr.Replicas(service)[1].Entry()}, tracker.Recency{})
	begun := time.Now()
	Convey("All requests are answered, and the cold target gets no more than its limit", t, func() {
		for range requests {
			So(w.send(true, 2, time.Second).OK, ShouldBeTrue)
		}
		So(w.received(), ShouldEqual, requests)
		var n int
		_, err := fmt.Sscanf(cold.ID, "t-%d", &n)
		So(err, ShouldBeNil)
		So(w.runs[n].Load(), ShouldBeLessThanOrEqualTo, int64(1+rate*time.Since(begun).Seconds()+allowance))
	})
}
