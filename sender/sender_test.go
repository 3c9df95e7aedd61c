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
	"golang.org/x/time/rate"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/connector"
	"jujubegate.example/jujubegate/router"
	"jujubegate.example/jujubegate/tracker"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	ms      = time.Millisecond
	service = jujubegate.Service("s")
	// limitBurst is how many requests may go at once to a target that names a limit.
	limitBurst = 2
)

// behaviour returns the answer to one request; "" closes the connection.
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

func dropConnection(string) string { return "" }

func after(d time.Duration, b behaviour) behaviour {
	return func(id string) string { time.Sleep(d); return b(id) }
}

// fixture is a sender with targets that run in the test process.
type fixture struct {
	sender *Sender
	// runs counts the requests that each target received.
	runs []*atomic.Int64
	// listeners are those of the targets.
	listeners []net.Listener
}

func newFixture(t *testing.T, allowance float64, targets ...behaviour) *fixture {
	t.Helper()
	names := &connector.HeaderNames{RequestID: "X-Id", Budget: "X-Budget", Signature: "X-Signature", ExpectTarget: "X-Expect", Load: "X-Load", NotRun: "X-Not-Run", Limit: "X-Limit"}
	clock := clockwork.NewRealClock()
	f := &fixture{}
	// The answer to an abandoned request can outlast the test's calls.
	var serving sync.WaitGroup
	t.Cleanup(serving.Wait)
	targetTracker := tracker.New(tracker.Settings{
		Clock: clock, Log: zap.NewNop(), Drain: 2 * time.Second, ColdPart: func(string, float64) float64 { return 1 },
		LimitShare: func(_ int, perSecond float64) tracker.LimitShare {
			return tracker.LimitShare{PerSecond: rate.Limit(perSecond), Burst: limitBurst}
		},
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
		f.runs = append(f.runs, runs)
		f.listeners = append(f.listeners, l)
		if b == nil {
			l.Close()
		} else {
			serving.Go(func() { serve(l, runs, b) })
		}
		entries = append(entries, tracker.Entry{ID: fmt.Sprint("t-", i), Address: jujubegate.Address(l.Addr().String()), Service: service, Slots: 8})
	}
	targetTracker.Update(entries, tracker.Recency{})
	f.sender = New(Settings{
		Tracker: targetTracker, Clock: clock, RepeatRatio: 0.2, RepeatAllowance: allowance, Share: func() float64 { return 1 }, Seed: 1,
	})
	return f
}

func serve(l net.Listener, runs *atomic.Int64, b behaviour) {
	var connections sync.WaitGroup
	defer connections.Wait()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		connections.Go(func() {
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
		})
	}
}

func (f *fixture) send(idempotent bool, attempts int, timeout time.Duration) CallResult {
	ctx, cancel := context.WithDeadlineCause(context.Background(), time.Now().Add(timeout), context.DeadlineExceeded)
	defer cancel()
	return f.sender.Send(ctx, Call{
		Service: service,
		Route:   &router.Route{Name: "r", Idempotent: idempotent, Attempts: attempts, Objective: 200 * ms, Timeout: time.Second},
		Request: &connector.Request{ID: "id", Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}, Deadline: time.Now().Add(timeout), Fresh: !idempotent},
	})
}

func (f *fixture) received() int64 {
	var n int64
	for _, r := range f.runs {
		n += r.Load()
	}
	return n
}

func TestOutcomes(t *testing.T) {
	// Guards against sending a non-idempotent request again after it may have
	// run, reporting NotRun for a request that may have run, and sending to more
	// targets than the route allows.
	cases := []struct {
		name       string
		idempotent bool
		attempts   int
		targets    []behaviour
		ok         bool
		outcome    jujubegate.Outcome
		// maxReceived is the maximum number of requests that targets receive.
		maxReceived int64
	}{
		{"answer", false, 2, []behaviour{ok, ok}, true, jujubegate.Ran, 1},
		{"non-idempotent, answer lost", false, 2, []behaviour{dropConnection, dropConnection}, false, jujubegate.Unknown, 1},
		{"non-idempotent, status 500", false, 2, []behaviour{failing, failing}, true, jujubegate.Ran, 1},
		{"non-idempotent, shed by both targets", false, 2, []behaviour{shedding, shedding}, false, jujubegate.NotRun, 2},
		{"non-idempotent, no listener", false, 2, []behaviour{nil, nil}, false, jujubegate.NotRun, 0},
		{"non-idempotent, one of two targets listens", false, 2, []behaviour{nil, ok}, true, jujubegate.Ran, 1},
		{"non-idempotent, no answer in time", false, 2, []behaviour{after(400*ms, ok), after(400*ms, ok)}, false, jujubegate.Unknown, 1},
		{"idempotent, answers lost", true, 2, []behaviour{dropConnection, dropConnection, dropConnection}, false, jujubegate.Unknown, 2},
		{"idempotent, one answer lost", true, 2, []behaviour{dropConnection, ok}, true, jujubegate.Ran, 2},
		{"idempotent, one target fails", true, 2, []behaviour{failing, ok}, true, jujubegate.Ran, 2},
		{"idempotent, all targets fail", true, 2, []behaviour{failing, failing, failing}, true, jujubegate.Ran, 2},
		{"idempotent, one slow target", true, 2, []behaviour{after(400*ms, ok), ok}, true, jujubegate.Ran, 2},
		{"idempotent, one attempt allowed", true, 1, []behaviour{dropConnection, dropConnection}, false, jujubegate.Unknown, 1},
		{"no target", true, 2, nil, false, jujubegate.NotRun, 0},
	}
	Convey("A call", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				f := newFixture(t, 50, c.targets...)
				result := f.send(c.idempotent, c.attempts, 300*ms)
				So(result.OK, ShouldEqual, c.ok)
				So(result.Outcome, ShouldEqual, c.outcome)
				So(f.received(), ShouldBeLessThanOrEqualTo, c.maxReceived)
			})
		}
	})
}

func TestRepeatsStayWithinBudget(t *testing.T) {
	// Guards against a retry storm when all targets fail.
	Convey("500 calls to failing targets are repeated within the ratio and the allowance", t, func() {
		f := newFixture(t, 10, failing, failing)
		var group sync.WaitGroup
		for range 10 {
			group.Go(func() {
				for range 50 {
					f.send(true, 2, time.Second)
				}
			})
		}
		group.Wait()
		So(f.received()-500, ShouldBeLessThanOrEqualTo, int64(500*0.2+10))
		So(f.received()-500, ShouldBeGreaterThan, 50)
	})
}

func TestHedgeIsFast(t *testing.T) {
	// Guards against a call that waits for a paused target instead of the hedge.
	// The objective is 99 of 100 calls within 150 ms; of 60 calls, one may miss it.
	Convey("With one of two targets paused, at most 1 of 60 calls takes more than 150 ms", t, func() {
		f := newFixture(t, 50, after(500*ms, ok), after(5*ms, ok))
		slow := 0
		for range 60 {
			start := time.Now()
			result := f.send(true, 2, time.Second)
			So(result.OK, ShouldBeTrue)
			if time.Since(start) > 150*ms {
				slow++
			}
		}
		So(slow, ShouldBeLessThanOrEqualTo, 1)
	})
}

func TestColdTarget(t *testing.T) {
	// Guards against refusing requests because the cold one of two targets is at
	// its rate limit, and against sending it more requests than that limit.
	const rate, allowance, requests = 2.0, 1.0, 60
	f := newFixture(t, 0, ok, ok)
	targetTracker := f.sender.settings.Tracker
	targetTracker.SetTable(router.New(1, nil, []router.Service{{Name: service, Connections: 8, ColdRate: rate}}, router.Limits{}, nil))
	cold := *targetTracker.Replicas(service)[0].Entry()
	cold.ColdFor = time.Minute
	targetTracker.Update([]tracker.Entry{cold, *targetTracker.Replicas(service)[1].Entry()}, tracker.Recency{})
	start := time.Now()
	Convey("All requests are answered, and the cold target receives no more than its limit", t, func() {
		for range requests {
			So(f.send(true, 2, time.Second).OK, ShouldBeTrue)
		}
		So(f.received(), ShouldEqual, requests)
		var n int
		_, err := fmt.Sscanf(cold.ID, "t-%d", &n)
		So(err, ShouldBeNil)
		So(f.runs[n].Load(), ShouldBeLessThanOrEqualTo, int64(1+rate*time.Since(start).Seconds()+allowance))
	})
}

// oneByteConn sends the first byte of what is written and fails then.
type oneByteConn struct{ net.Conn }

func (c oneByteConn) Write(b []byte) (int, error) {
	n, _ := c.Conn.Write(b[:1])
	c.Close()
	return n, net.ErrClosed
}

func TestOnlyUnsentRequestsAreNotRun(t *testing.T) {
	// Guards against a 504 for an order that never left the instance, whose caller
	// then does not dare to repeat it, and against a 503 for one of which a single
	// byte did.
	cases := []struct {
		name string
		dial func(ctx context.Context) (net.Conn, error)
		want jujubegate.Outcome
	}{
		{"no connection in time", func(ctx context.Context) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}, jujubegate.NotRun},
		{"connection lost after one byte", func(context.Context) (net.Conn, error) {
			ours, theirs := net.Pipe()
			go func() {
				defer theirs.Close()
				_, _ = theirs.Read(make([]byte, 1))
			}()
			return oneByteConn{ours}, nil
		}, jujubegate.Unknown},
	}
	Convey("An order that is not answered", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				clock := clockwork.NewRealClock()
				var pool *connector.Pool
				targets := tracker.New(tracker.Settings{
					Clock: clock, Log: zap.NewNop(), ColdPart: func(string, float64) float64 { return 1 },
					NewPool: func(e tracker.Entry, _ int) *connector.Pool {
						pool = connector.New(connector.Settings{
							Target: e.Address, TargetID: e.ID, Names: &connector.HeaderNames{RequestID: "X-Id", Budget: "X-Budget", ExpectTarget: "X-Expect"}, Clock: clock,
							Dial: func(ctx context.Context, _, _ string) (net.Conn, error) { return c.dial(ctx) },
						}, 1)
						return pool
					},
				})
				targets.Update([]tracker.Entry{{ID: "t", Service: service, Slots: 1}}, tracker.Recency{})
				f := &fixture{sender: New(Settings{Tracker: targets, Clock: clock, Share: func() float64 { return 1 }, Seed: 1})}
				result := f.send(false, 1, 50*ms)
				pool.Close()
				So(result.OK, ShouldBeFalse)
				So(result.Outcome, ShouldEqual, c.want)
				// The dial ends after its own timeout.
				time.Sleep(connector.DialTimeout)
			})
		}
	})
}

func TestTargetFailsWithPromise(t *testing.T) {
	// Guards against an order that ran and is answered by a status that promises that it
	// has not: a failing target may answer 503 or 429 without saying so, and the caller
	// then sends the order again.
	const (
		answer = iota
		noAnswer
		refused
	)
	cases := []struct {
		status     int
		heads      string
		idempotent bool
		want       int
	}{
		{503, "", false, noAnswer},
		{503, "Retry-After: 1\r\n", false, noAnswer},
		{429, "", false, noAnswer},
		{408, "", false, noAnswer},
		{425, "", false, noAnswer},
		{503, "X-Not-Run: 1\r\n", false, refused},
		{429, "X-Not-Run: 1\r\n", false, refused},
		{500, "", false, answer},
		{504, "", false, answer},
		{404, "", false, answer},
		{503, "", true, answer},
		{429, "", true, answer},
	}
	for _, c := range cases {
		t.Run(fmt.Sprint(c.status, c.heads, c.idempotent), func(t *testing.T) {
			f := newFixture(t, 10, func(id string) string {
				return fmt.Sprintf("HTTP/1.1 %d No\r\nX-Id: %s\r\nX-Signature: f\r\n%sContent-Length: 2\r\n\r\nno", c.status, id, c.heads)
			})
			r := f.send(c.idempotent, 2, time.Second)
			switch c.want {
			case answer:
				if !r.OK || r.Answer.Status != c.status {
					t.Errorf("OK %v with status %d, want the target's answer", r.OK, r.Answer.Status)
				}
			case noAnswer:
				if r.OK || r.Outcome != jujubegate.Unknown || r.Reason != jujubegate.TargetError || r.RetryAfter != 0 {
					t.Errorf("OK %v, %v, %v, to be repeated after %v, want an unknown outcome", r.OK, r.Outcome, r.Reason, r.RetryAfter)
				}
				if n := f.runs[0].Load(); n != 1 || r.Attempts[0].Status != c.status {
					t.Errorf("sent %d times, status %d noted, want once and %d", n, r.Attempts[0].Status, c.status)
				}
			case refused:
				if r.OK || r.Outcome != jujubegate.NotRun {
					t.Errorf("OK %v, %v, want a refusal as not run", r.OK, r.Outcome)
				}
			}
		})
	}
}
