package dialer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"jujubegate.example/jujubegate"
)

// eventually polls a condition for up to two seconds.
func eventually(condition func() bool) bool {
	for range 400 {
		if condition() {
			return true
		}
		time.Sleep(5 * time.Millisecond)
	}
	return condition()
}

func TestCancelledRequestEnd(t *testing.T) {
	// Guards against a slot that is freed while the target still runs a cancelled
	// request.
	cases := []struct {
		name string
		// handle returns when the target stops working on the request.
		handle   func(ctx context.Context, release <-chan struct{})
		released bool
	}{
		{"of a target that stops on cancellation", func(ctx context.Context, _ <-chan struct{}) { <-ctx.Done() }, false},
		{"of a target that ignores it", func(_ context.Context, release <-chan struct{}) { <-release }, true},
	}
	Convey("The end of a cancelled request", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				running, release, started := new(atomic.Int32), make(chan struct{}), make(chan struct{})
				server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					running.Add(1)
					close(started)
					c.handle(r.Context(), release)
					running.Add(-1)
				}))
				defer server.Close()
				d := newTestDialer(server.Listener.Addr().String(), nil)
				defer d.Close()
				ctx, cancel := context.WithCancelCause(context.Background())
				go func() {
					<-started
					cancel(errors.New("hedge won"))
				}()
				result := d.Send(ctx, newTestRequest(false))
				So(result.Refusal.Reason, ShouldEqual, jujubegate.Cancelled)
				So(result.Refusal.Outcome, ShouldEqual, jujubegate.Unknown)
				So(result.Closed, ShouldNotBeNil)
				if c.released {
					select {
					case <-result.Closed:
						t.Error("the end was reported while the target still ran")
					case <-time.After(50 * time.Millisecond):
					}
					close(release)
				}
				<-result.Closed
				So(running.Load(), ShouldEqual, 0)
			})
		}
		Convey("is assumed after the grace period", func() {
			release, received := make(chan struct{}), make(chan struct{})
			server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				close(received)
				<-release
			}))
			defer server.Close()
			defer close(release)
			d := newTestDialer(server.Listener.Addr().String(), nil)
			defer d.Close()
			ctx, cancel := context.WithCancelCause(context.Background())
			var started time.Time
			go func() {
				// A request that was not sent has no connection whose end matters.
				<-received
				started = time.Now()
				cancel(ErrDeadline)
			}()
			result := d.Send(ctx, newTestRequest(false))
			So(result.Refusal.Reason, ShouldEqual, jujubegate.DeadlinePassed)
			<-result.Closed
			So(time.Since(started), ShouldBeBetween, 300*time.Millisecond, 2*time.Second)
		})
	})
}

// countingListener counts the connections that it has accepted.
type countingListener struct {
	net.Listener
	mu            sync.Mutex
	open, highest int
	conns         []net.Conn
}

func (c *countingListener) Accept() (net.Conn, error) {
	n, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open++
	c.highest = max(c.highest, c.open)
	c.conns = append(c.conns, n)
	return &countingConn{Conn: n, listener: c}, nil
}

func (c *countingListener) counts() (open, highest int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open, c.highest
}

// resetAll resets all connections, as if the process had ended.
func (c *countingListener) resetAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.conns {
		_ = n.(*net.TCPConn).SetLinger(0)
		n.Close()
	}
	c.conns = nil
}

type countingConn struct {
	net.Conn
	listener *countingListener
	once     sync.Once
}

func (c *countingConn) Close() error {
	c.once.Do(func() {
		c.listener.mu.Lock()
		c.listener.open--
		c.listener.mu.Unlock()
	})
	return c.Conn.Close()
}

// countingServer starts a target that counts its connections.
func countingServer(handler http.HandlerFunc) (*httptest.Server, *countingListener) {
	server := httptest.NewUnstartedServer(handler)
	c := &countingListener{Listener: server.Listener}
	server.Listener = c
	server.Start()
	return server, c
}

func TestConnectionsOpenedAheadAndBounded(t *testing.T) {
	// Guards against requests that wait up to 6 ms for a new connection, and
	// against more connections than the target accepts.
	Convey("Connections", t, func() {
		server, c := countingServer(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			time.Sleep(2 * time.Millisecond)
			_, _ = io.WriteString(w, goodAnswer)
		})
		defer server.Close()
		d := newTestDialer(server.Listener.Addr().String(), nil)
		defer d.Close()
		Convey("are opened before the first request", func() {
			So(eventually(func() bool { open, _ := c.counts(); return open == 2 }), ShouldBeTrue)
			So(d.Send(context.Background(), newTestRequest(false)).Refusal, ShouldBeNil)
			open, _ := c.counts()
			So(open, ShouldEqual, 2)
		})
		Convey("stay within the bound under load, also when it falls", func() {
			d.SetBound(3, 3)
			burst := func() (refused int32) {
				var wg sync.WaitGroup
				var n atomic.Int32
				for range 20 {
					wg.Go(func() {
						for range 10 {
							if d.Send(context.Background(), newTestRequest(false)).Refusal != nil {
								n.Add(1)
							}
						}
					})
				}
				wg.Wait()
				return n.Load()
			}
			So(burst(), ShouldEqual, 0)
			_, highest := c.counts()
			So(highest, ShouldBeLessThanOrEqualTo, 3)
			d.SetBound(2, 2)
			// The server sees a connection closed slightly after the dialer has
			// closed it. The highest count below must include only new ones.
			time.Sleep(50 * time.Millisecond)
			So(eventually(func() bool { open, _ := c.counts(); return open <= 2 }), ShouldBeTrue)
			c.mu.Lock()
			c.highest = 0
			c.mu.Unlock()
			So(burst(), ShouldEqual, 0)
			_, highest = c.counts()
			So(highest, ShouldBeLessThanOrEqualTo, 2)
		})
		Convey("follow a changed declaration", func() {
			d.SetConnections(8)
			d.SetBound(8, 8)
			So(eventually(func() bool { open, _ := c.counts(); return open == 8 }), ShouldBeTrue)
			So(d.Send(context.Background(), newTestRequest(false)).Refusal, ShouldBeNil)
		})
	})
}

func TestRestartIsDetected(t *testing.T) {
	// Guards against sending full load to a process that has just restarted at
	// the same address and is cold.
	Convey("When a target closes all connections", t, func() {
		server, c := countingServer(reply(200, goodAnswer))
		defer server.Close()
		var restarts atomic.Int32
		d := newTestDialer(server.Listener.Addr().String(), func(s *Settings) {
			s.Restarted = func() { restarts.Add(1) }
		})
		defer d.Close()
		So(eventually(func() bool { open, _ := c.counts(); return open == 2 }), ShouldBeTrue)
		So(d.Send(context.Background(), newTestRequest(false)).Refusal, ShouldBeNil)
		So(restarts.Load(), ShouldEqual, 0)
		c.resetAll()
		So(eventually(func() bool { return restarts.Load() == 1 }), ShouldBeTrue)
		Convey("the connections are opened again", func() {
			So(eventually(func() bool { return d.OpenConnections() == 2 }), ShouldBeTrue)
			So(d.Send(context.Background(), newTestRequest(false)).Refusal, ShouldBeNil)
		})
	})
}

func TestLoadReports(t *testing.T) {
	// Guards against a load report that is decoded wrongly, and against a failed
	// read that is taken for a report.
	cases := []struct {
		name   string
		status int
		body   string
		load   Load
		fails  bool
	}{
		{
			"warm", 200, `{"State":"Warm","InUse":1,"Slots":2,"Snapshots":[6,7],"Version":"v2"}`,
			Load{State: jujubegate.Warm, InUse: 1, Slots: 2, Snapshots: []jujubegate.Snapshot{6, 7}, Version: "v2"},
			false,
		},
		{"cold", 200, `{"State":"Cold"}`, Load{State: jujubegate.Cold}, false},
		{"draining", 200, `{"State":"Draining"}`, Load{State: jujubegate.Draining}, false},
		{"unknown state", 200, `{"State":"Tepid"}`, Load{}, true},
		{"no JSON", 200, `ok`, Load{}, true},
		{"error", 500, `{"State":"Warm"}`, Load{}, true},
	}
	Convey("A load report", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				server := httptest.NewServer(reply(c.status, c.body))
				defer server.Close()
				type reported struct {
					load Load
					err  error
				}
				reports := make(chan reported, 10)
				d := newTestDialer(server.Listener.Addr().String(), func(s *Settings) {
					s.Loaded = func(l Load, err error) { reports <- reported{l, err} }
				})
				defer d.Close()
				r := <-reports
				So(r.err != nil, ShouldEqual, c.fails)
				So(r.load, ShouldResemble, c.load)
				So(errors.Is(r.err, ErrUnreachable), ShouldBeFalse)
			})
		}
		Convey("of a target that does not listen is unreachable", func() {
			l, _ := net.Listen("tcp", "127.0.0.1:0")
			l.Close()
			d := newTestDialer(l.Addr().String(), nil)
			defer d.Close()
			_, err := d.Load(context.Background())
			So(errors.Is(err, ErrUnreachable), ShouldBeTrue)
		})
	})
}
