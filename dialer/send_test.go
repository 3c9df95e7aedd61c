package dialer

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	"jujubegate.example/jujubegate"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// newTestDialer returns a dialer to an address that keeps two connections open.
func newTestDialer(address string, change func(*Settings)) *Dialer {
	s := Settings{
		Target: jujubegate.Target{Address: jujubegate.Address(address)}, Connections: 4,
		Grace: 300 * time.Millisecond, Clock: clockwork.NewRealClock(),
	}
	if change != nil {
		change(&s)
	}
	d := New(s)
	d.SetBound(4, 2)
	return d
}

func newTestRequest(order bool) Request {
	return Request{
		RequestID: "r-1", Service: "Desk", Shard: 3, Snapshot: 7, Route: "Search",
		Deadline: time.Now().Add(time.Second), Body: []byte(`{"q":"é"}`), Order: order,
	}
}

const goodAnswer = `{"RequestId":"r-1","Shard":3,"Snapshot":7,"RangeStart":5,"RangeEnd":9,"Rows":[1,2]}`

func reply(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// replyRaw answers with raw bytes and closes the connection.
func replyRaw(raw string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		c, _, _ := w.(http.Hijacker).Hijack()
		_, _ = io.WriteString(c, raw)
		c.Close()
	}
}

func TestSendMapsResponses(t *testing.T) {
	// Guards against a wrong reason, and above all against the outcome NotRun for a
	// request that may have run.
	big := `{"RequestId":"r-1","Shard":3,"Rows":["` + strings.Repeat("x", maxAnswer) + `"]}`
	cases := []struct {
		name    string
		handler http.HandlerFunc
		reason  jujubegate.Reason
		outcome jujubegate.Outcome
	}{
		{"answer", reply(200, goodAnswer), "", 0},
		{"other request", reply(200, strings.Replace(goodAnswer, "r-1", "r-2", 1)), jujubegate.BadAnswer, jujubegate.Unknown},
		{"other shard", reply(200, strings.Replace(goodAnswer, `"Shard":3`, `"Shard":4`, 1)), jujubegate.BadAnswer, jujubegate.Unknown},
		{"no shard", reply(200, `{"RequestId":"r-1"}`), jujubegate.BadAnswer, jujubegate.Unknown},
		{"rows that are no array", reply(200, `{"RequestId":"r-1","Shard":3,"Rows":{}}`), jujubegate.BadAnswer, jujubegate.Unknown},
		{"no JSON", reply(200, `rows`), jujubegate.BadAnswer, jujubegate.Unknown},
		{"too large", reply(200, big), jujubegate.BadAnswer, jujubegate.Unknown},
		{"too large, declared", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", fmt.Sprint(len(big)))
			_, _ = io.WriteString(w, big)
		}, jujubegate.BadAnswer, jujubegate.Unknown},
		{"snapshot", reply(409, `{"Refusal":"SnapshotNotHeld","Ran":false}`), jujubegate.SnapshotNotHeld, jujubegate.NotRun},
		{"shed", reply(429, `{"Refusal":"Shed","Ran":false}`), jujubegate.Shed, jujubegate.NotRun},
		{"draining", reply(503, `{"Refusal":"Draining","Ran":false}`), jujubegate.TargetDraining, jujubegate.NotRun},
		{"deadline", reply(504, `{"Refusal":"DeadlinePassed","Ran":false}`), jujubegate.DeadlinePassed, jujubegate.NotRun},
		{"refusal that ran", reply(504, `{"Refusal":"DeadlinePassed","Ran":true}`), jujubegate.DeadlinePassed, jujubegate.Ran},
		{"refusal without Ran", reply(429, `{"Refusal":"Shed"}`), jujubegate.Shed, jujubegate.Unknown},
		{"unknown refusal", reply(429, `{"Refusal":"Tired","Ran":false}`), jujubegate.BadAnswer, jujubegate.Unknown},
		{"refusal without JSON", reply(503, `Service Unavailable`), jujubegate.BadAnswer, jujubegate.Unknown},
		{"target error", reply(500, `{"Error":"no index"}`), jujubegate.TargetError, jujubegate.Ran},
		{"error without JSON", reply(500, `oops`), jujubegate.BadAnswer, jujubegate.Unknown},
		{"redirect", func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/other", http.StatusTemporaryRedirect)
		}, jujubegate.BadAnswer, jujubegate.Unknown},
		{"status 000 before an answer", replyRaw("HTTP/1.1 000 Failed\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 83\r\n\r\n" + goodAnswer), jujubegate.BadAnswer, jujubegate.Unknown},
		{"status 600", reply(600, goodAnswer), jujubegate.BadAnswer, jujubegate.Unknown},
		{"status 101", replyRaw("HTTP/1.1 101 Failed\r\n\r\n" + goodAnswer), jujubegate.BadAnswer, jujubegate.Unknown},
		{"no HTTP", replyRaw("SSH-2.0\r\n\r\n"), jujubegate.BadAnswer, jujubegate.Unknown},
		{"close without an answer", replyRaw(""), jujubegate.TargetDown, jujubegate.Unknown},
		{"close in the answer", replyRaw("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{"), jujubegate.TargetDown, jujubegate.Unknown},
		{"close in chunks", replyRaw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{\"Row"), jujubegate.TargetDown, jujubegate.Unknown},
	}
	for _, order := range []bool{false, true} {
		Convey(fmt.Sprintf("A response to a request, order %v", order), t, func() {
			for _, c := range cases {
				Convey(c.name, func() {
					server := httptest.NewServer(c.handler)
					defer server.Close()
					d := newTestDialer(server.Listener.Addr().String(), nil)
					defer d.Close()
					result := d.Send(context.Background(), newTestRequest(order))
					if c.reason == "" {
						So(result.Refusal, ShouldBeNil)
						So(result.Answer.Range, ShouldResemble, jujubegate.KeyRange{Start: 5, End: 9})
						So(result.Answer.Snapshot, ShouldEqual, 7)
						So(string(result.Answer.Rows), ShouldEqual, "[1,2]")
						return
					}
					So(result.Refusal, ShouldNotBeNil)
					So(result.Refusal.Reason, ShouldEqual, c.reason)
					So(result.Refusal.Outcome, ShouldEqual, c.outcome)
				})
			}
		})
	}
}

func TestRequestOnTheWire(t *testing.T) {
	// Guards against a path or a body that differs from the target protocol.
	Convey("A request", t, func() {
		var path string
		var body map[string]any
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			path = r.URL.Path
			_ = json.NewDecoder(r.Body).Decode(&body)
			_, _ = io.WriteString(w, goodAnswer)
		}))
		defer server.Close()
		d := newTestDialer(server.Listener.Addr().String(), nil)
		defer d.Close()
		So(d.Send(context.Background(), newTestRequest(false)).Refusal, ShouldBeNil)
		So(path, ShouldEqual, "/query")
		So(body["DeadlineMs"], ShouldBeBetweenOrEqual, 900, 1000)
		delete(body, "DeadlineMs")
		So(body, ShouldResemble, map[string]any{
			"RequestId": "r-1", "Service": "Desk", "Shard": 3.0, "Snapshot": 7.0, "Route": "Search",
			"Body": map[string]any{"q": "é"},
		})
		So(d.Send(context.Background(), newTestRequest(true)).Refusal, ShouldBeNil)
		So(path, ShouldEqual, "/order")
		r := newTestRequest(false)
		r.Body = []byte("{")
		refusal := d.Send(context.Background(), r).Refusal
		So(refusal.Reason, ShouldEqual, jujubegate.BadRequest)
		So(refusal.Outcome, ShouldEqual, jujubegate.NotRun)
	})
}

func TestUnwrittenRequestIsNotRun(t *testing.T) {
	// Guards against the outcome Unknown for a request that was never sent.
	Convey("A request that is never written is not run", t, func() {
		Convey("when the connection is refused", func() {
			l, _ := net.Listen("tcp", "127.0.0.1:0")
			l.Close()
			d := newTestDialer(l.Addr().String(), nil)
			defer d.Close()
			result := d.Send(context.Background(), newTestRequest(true))
			So(result.Refusal.Reason, ShouldEqual, jujubegate.TargetDown)
			So(result.Refusal.Outcome, ShouldEqual, jujubegate.NotRun)
			So(result.Unreachable, ShouldBeTrue)
		})
		Convey("when permission is withdrawn while it waits for a connection", func() {
			var requests atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requests.Add(1) }))
			defer server.Close()
			d := newTestDialer(server.Listener.Addr().String(), nil)
			defer d.Close()
			r := newTestRequest(true)
			r.Permit = func() *jujubegate.Refusal {
				return &jujubegate.Refusal{Reason: jujubegate.NotOwner, Outcome: jujubegate.NotRun}
			}
			So(d.Send(context.Background(), r).Refusal.Reason, ShouldEqual, jujubegate.NotOwner)
			So(requests.Load(), ShouldEqual, 0)
		})
		Convey("when it is cancelled while it waits for a connection", func() {
			server := httptest.NewServer(reply(200, goodAnswer))
			defer server.Close()
			blocked := make(chan struct{})
			d := newTestDialer(server.Listener.Addr().String(), func(s *Settings) {
				s.Dial = func(context.Context, string, string) (net.Conn, error) {
					<-blocked
					return nil, io.EOF
				}
			})
			defer d.Close()
			defer close(blocked)
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
			defer cancel()
			result := d.Send(ctx, newTestRequest(true))
			So(result.Refusal.Reason, ShouldEqual, jujubegate.DeadlinePassed)
			So(result.Refusal.Outcome, ShouldEqual, jujubegate.NotRun)
			So(result.Closed, ShouldBeNil)
		})
	})
}

// rawTarget answers the first request on each connection, reads the second one
// and closes the connection without an answer. It counts the requests read.
func rawTarget(beforeSecond func(net.Conn)) (l net.Listener, read *atomic.Int32) {
	l, _ = net.Listen("tcp", "127.0.0.1:0")
	read = new(atomic.Int32)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				b := bufio.NewReader(c)
				for first := true; ; first = false {
					if !first && beforeSecond != nil {
						beforeSecond(c)
					}
					r, err := http.ReadRequest(b)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					read.Add(1)
					if !first {
						return
					}
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(goodAnswer), goodAnswer)
				}
			}()
		}
	}()
	return l, read
}

func TestStaleConnectionSendsOnce(t *testing.T) {
	// Guards against net/http sending a request again by itself, which would run
	// an order twice.
	Convey("An order on a connection that the target closes", t, func() {
		for _, order := range []bool{true, false} {
			Convey(fmt.Sprintf("after reading it, order %v", order), func() {
				l, read := rawTarget(nil)
				defer l.Close()
				d := newTestDialer(l.Addr().String(), nil)
				defer d.Close()
				So(d.Send(context.Background(), newTestRequest(order)).Refusal, ShouldBeNil)
				result := d.Send(context.Background(), newTestRequest(order))
				So(result.Refusal, ShouldNotBeNil)
				So(result.Refusal.Reason, ShouldEqual, jujubegate.TargetDown)
				So(result.Refusal.Outcome, ShouldEqual, jujubegate.Unknown)
				time.Sleep(20 * time.Millisecond)
				So(read.Load(), ShouldEqual, 2)
			})
		}
		Convey("before it is sent", func() {
			l, read := rawTarget(func(c net.Conn) { c.Close() })
			defer l.Close()
			d := newTestDialer(l.Addr().String(), nil)
			defer d.Close()
			for i := range int32(50) {
				result := d.Send(context.Background(), newTestRequest(true))
				if result.Refusal != nil {
					// The target can close while the request is being written. The
					// outcome must then be Unknown; otherwise the target has not
					// read the request.
					So(result.Refusal.Reason, ShouldEqual, jujubegate.TargetDown)
				}
				So(read.Load(), ShouldBeLessThanOrEqualTo, i+1)
			}
		})
	})
}

func TestClosedConnectionIsNotWritten(t *testing.T) {
	// Guards against the outcome Unknown for a request whose connection was
	// already known to be unusable.
	cases := []struct {
		name    string
		prepare func(c *conn, peer net.Conn)
		stale   bool
	}{
		{"an open connection", func(*conn, net.Conn) {}, false},
		{"a connection that the target closed", func(_ *conn, peer net.Conn) { peer.Close() }, true},
		{"a connection with unread bytes", func(_ *conn, peer net.Conn) { _, _ = peer.Write([]byte("x")) }, true},
		{"a connection with a wrong answer", func(c *conn, _ net.Conn) { c.desynchronized.Store(true) }, true},
	}
	Convey("A request on", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				l, _ := net.Listen("tcp", "127.0.0.1:0")
				defer l.Close()
				raw, err := net.Dial("tcp", l.Addr().String())
				So(err, ShouldBeNil)
				peer, _ := l.Accept()
				defer peer.Close()
				used := newConn(raw, 0, func(*conn) {}, nil)
				defer used.Close()
				x := &exchange{elapsed: func() time.Duration { return 0 }}
				used.current.Store(x)
				c.prepare(used, peer)
				So(eventually(func() bool { return used.alive() != c.stale || used.desynchronized.Load() }), ShouldBeTrue)
				_, err = used.Write([]byte("POST"))
				So(err != nil, ShouldEqual, c.stale)
				So(x.stale.Load(), ShouldEqual, c.stale)
				So(x.withhold(), ShouldEqual, c.stale)
			})
		}
	})
}

func TestConnectionNotReusedAfterWrongAnswer(t *testing.T) {
	// Guards against a target that answers twice, after which each later request
	// on the connection would get the answer to the previous one.
	Convey("After an answer to another request the connection is not used again", t, func() {
		var connections atomic.Int32
		server := httptest.NewUnstartedServer(reply(200, strings.Replace(goodAnswer, "r-1", "r-0", 1)))
		server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
			if s == http.StateActive {
				connections.Add(1)
			}
		}
		server.Start()
		defer server.Close()
		d := newTestDialer(server.Listener.Addr().String(), nil)
		defer d.Close()
		for i := range int32(5) {
			So(d.Send(context.Background(), newTestRequest(false)).Refusal.Reason, ShouldEqual, jujubegate.BadAnswer)
			So(connections.Load(), ShouldEqual, i+1)
		}
	})
}
