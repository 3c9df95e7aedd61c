package dispatcher

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/configurator"
)

// target is an HTTP server that answers load reports and requests; fault
// replaces its answers to requests.
type target struct {
	*httptest.Server
	state  atomic.Value
	fault  atomic.Pointer[http.HandlerFunc]
	orders atomic.Int32
}

func newTarget() *target { return newWatchedTarget(nil) }

// newWatchedTarget returns a target that calls watch when the state of a
// connection changes.
func newWatchedTarget(watch func(net.Conn, http.ConnState)) *target {
	t := &target{}
	t.state.Store("Warm")
	t.Server = httptest.NewUnstartedServer(t)
	t.Config.ConnState = watch
	t.Start()
	return t
}

func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/load" {
		_ = json.NewEncoder(w).Encode(map[string]any{"State": t.state.Load(), "Slots": 2, "Snapshots": []int{7}})
		return
	}
	var m map[string]any
	_ = json.NewDecoder(r.Body).Decode(&m)
	if r.URL.Path == "/order" {
		t.orders.Add(1)
	}
	if f := t.fault.Load(); f != nil {
		(*f)(w, r)
		return
	}
	_ = json.NewEncoder(w).Encode(map[string]any{
		"RequestId": m["RequestId"], "Shard": m["Shard"], "Snapshot": m["Snapshot"],
		"RangeStart": 0, "RangeEnd": 1 << 32, "Rows": []any{m["Body"]},
	})
}

func (t *target) address() jujubegate.Address { return jujubegate.Address(t.Listener.Addr().String()) }

// newHTTPOwner returns a dispatcher that owns the targets over HTTP.
func newHTTPOwner(addresses ...jujubegate.Address) *Dispatcher {
	d := New(Settings{
		MaySend: func(jujubegate.Address, time.Time) bool { return true },
		Allowed: func(jujubegate.Target) bool { return true },
		Clock:   clockwork.NewRealClock(),
	})
	var targets []jujubegate.Target
	for i, a := range addresses {
		targets = append(targets, jujubegate.Target{Address: a, Service: "Desk", Shard: i})
	}
	d.Update(targets, []configurator.ServiceSpec{spec})
	return d
}

// batchTo returns a batch of one sub-request to a target.
func batchTo(a jujubegate.Address, order bool, deadline time.Duration) jujubegate.Batch {
	b := batch("q", deadline)
	b.Order, b.Body = order, []byte(`{"a":1}`)
	b.SubRequests = []jujubegate.SubRequest{{Target: a, Attempt: 1}}
	return b
}

// rawResponse returns a handler that writes the bytes and closes the connection.
func rawResponse(bytes string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		c, _, _ := w.(http.Hijacker).Hijack()
		_, _ = io.WriteString(c, bytes)
		c.Close()
	}
}

func TestFaultsOverHTTP(t *testing.T) {
	// Guards against a fault of a target that causes a wrong outcome, a slot
	// that is never freed, or a second execution.
	cases := []struct {
		name    string
		fault   http.HandlerFunc
		reason  jujubegate.Reason
		outcome jujubegate.Outcome
		state   jujubegate.TargetState
	}{
		{"none", nil, "", 0, jujubegate.Cold},
		{"slow", func(_ http.ResponseWriter, r *http.Request) {
			select {
			case <-r.Context().Done(): // a query is cancelled at its deadline
			case <-time.After(orderGrace + 300*time.Millisecond): // an order is not
			}
		}, jujubegate.DeadlinePassed, jujubegate.Unknown, jujubegate.Cold},
		{"broken before the answer", rawResponse(""), jujubegate.TargetDown, jujubegate.Unknown, jujubegate.Cold},
		{"broken in the answer", rawResponse("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{"), jujubegate.TargetDown, jujubegate.Unknown, jujubegate.Cold},
		{"garbage", rawResponse("\x00\x01\x02\r\n\r\n"), jujubegate.BadAnswer, jujubegate.Unknown, jujubegate.Cold},
		{"other request", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, `{"RequestId":"p","Shard":0,"Rows":[]}`)
		}, jujubegate.BadAnswer, jujubegate.Unknown, jujubegate.Cold},
		{"draining", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, `{"Refusal":"Draining","Ran":false}`)
		}, jujubegate.TargetDraining, jujubegate.NotRun, jujubegate.Draining},
		{"error", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusInternalServerError)
			_, _ = io.WriteString(w, `{"Error":"no index"}`)
		}, jujubegate.TargetError, jujubegate.Ran, jujubegate.Cold},
	}
	Convey("A target with a fault", t, func() {
		for _, c := range cases {
			for _, order := range []bool{false, true} {
				Convey(c.name+map[bool]string{false: ", query", true: ", order"}[order], func() {
					server := newTarget()
					defer server.Close()
					d := newHTTPOwner(server.address())
					if c.fault != nil {
						server.fault.Store(&c.fault)
					}
					r := (<-do(d, context.Background(), batchTo(server.address(), order, 100*time.Millisecond)))[0]
					if c.reason == "" {
						So(r.Refusal, ShouldBeNil)
						So(string(r.Rows), ShouldEqual, `[{"a":1}]`)
						So(r.Snapshot, ShouldEqual, 7)
						So(r.Range.Len(), ShouldEqual, jujubegate.KeySpace)
					} else {
						So(r.Refusal.Reason, ShouldEqual, c.reason)
						So(r.Refusal.Outcome, ShouldEqual, c.outcome)
					}
					So(d.Reports()[0].State, ShouldEqual, c.state)
					So(server.orders.Load(), ShouldEqual, map[bool]int32{false: 0, true: 1}[order])
					for d.InFlight() > 0 {
						time.Sleep(time.Millisecond)
					}
					d.Close(context.Background())
				})
			}
		}
	})
}

func TestTargetThatDoesNotListen(t *testing.T) {
	// Guards against a dead target that keeps receiving requests, and against
	// requests to it that are reported as possibly run.
	Convey("A target that does not listen is ejected", t, func() {
		l, _ := net.Listen("tcp", "127.0.0.1:0")
		l.Close()
		a := jujubegate.Address(l.Addr().String())
		d := newHTTPOwner(a)
		for d.Reports()[0].State != jujubegate.Ejected {
			r := (<-do(d, context.Background(), batchTo(a, true, time.Second)))[0].Refusal
			So(r.Outcome, ShouldEqual, jujubegate.NotRun)
			So(r.Reason, ShouldEqual, jujubegate.TargetDown)
		}
		r := (<-do(d, context.Background(), batchTo(a, false, time.Second)))[0].Refusal
		So(r.RetryAfter, ShouldBeGreaterThan, 0)
		d.Close(context.Background())
	})
}

func TestRestartOverHTTP(t *testing.T) {
	// Guards against full load on a process that was restarted at the same
	// address.
	Convey("A warm target that restarts is cold", t, func() {
		server := newTarget()
		d := newHTTPOwner(server.address())
		for d.Reports()[0].State != jujubegate.Warm {
			So((<-do(d, context.Background(), batchTo(server.address(), false, time.Second)))[0].Refusal, ShouldBeNil)
		}
		// The connection for the second slot is opened in the background. If it
		// were opened after the restart, not all connections would be closed and
		// the restart would rightly go unnoticed.
		time.Sleep(50 * time.Millisecond)
		server.CloseClientConnections()
		for d.Reports()[0].State != jujubegate.Cold {
			time.Sleep(time.Millisecond)
		}
		So((<-do(d, context.Background(), batchTo(server.address(), true, time.Second)))[0].Refusal, ShouldBeNil)
		So(server.orders.Load(), ShouldEqual, 1)
		d.Close(context.Background())
		server.Close()
	})
}

func TestResultsAreCoalesced(t *testing.T) {
	// Guards against one message per result, and against results that wait for
	// the slowest shard.
	Convey("Results of one millisecond are delivered together", t, func() {
		var addresses []jujubegate.Address
		slow := newTarget()
		defer slow.Close()
		wait := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
		slow.fault.Store(&wait)
		b := batchTo(slow.address(), false, 200*time.Millisecond)
		for i := range 8 {
			fast := newTarget()
			defer fast.Close()
			addresses = append(addresses, fast.address())
			b.SubRequests = append(b.SubRequests, jujubegate.SubRequest{Shard: i, Target: fast.address(), Attempt: 1})
		}
		d := newHTTPOwner(append(addresses, slow.address())...)
		var sizes []int
		var first time.Duration
		started := time.Now()
		d.Do(context.Background(), b, func(rs []jujubegate.SubResult) {
			if len(sizes) == 0 {
				first = time.Since(started)
			}
			sizes = append(sizes, len(rs))
		})
		total := 0
		for _, n := range sizes {
			total += n
		}
		So(total, ShouldEqual, 9)
		So(len(sizes), ShouldBeLessThan, 9)
		So(first, ShouldBeLessThan, 150*time.Millisecond)
		d.Close(context.Background())
	})
}
