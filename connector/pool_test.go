package connector

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestAnswers(t *testing.T) {
	// Guards against accepting an answer that belongs to another request, is
	// incomplete or does not come from the target.
	cases := []struct {
		name   string
		answer string
		// broken expects a BrokenError instead of an answer.
		broken bool
		check  func(Answer) bool
	}{
		{"complete", answer("r-1", "s", "body"), false, func(a Answer) bool { return string(a.Body) == "body" && a.Signature == "s" }},
		{"no length, closed cleanly", "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Signature: s\r\n\r\nbody", true, nil},
		{"chunked encoding", "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", false, func(a Answer) bool { return string(a.Body) == "body" }},
		{"late answer to another request first", answer("r-0", "old", "old") + answer("r-1", "s", "body"), false, func(a Answer) bool { return a.Signature == "s" }},
		{"informational answer first", "HTTP/1.1 100 Continue\r\n\r\n" + answer("r-1", "s", "body"), false, func(a Answer) bool { return a.Status == 200 }},
		{"only answers to other requests", answer("r-0", "x", "a") + answer("r-0", "x", "b") + answer("r-0", "x", "c"), true, nil},
		{"success without an ID", "HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", true, nil},
		{"not HTTP", "garbage\r\n\r\n", true, nil},
		{"not run", "HTTP/1.1 503 Busy\r\nX-Id: r-1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", false, func(a Answer) bool { return a.NotRun && !a.Misdirected }},
		{"misdirected", "HTTP/1.1 421 No\r\nX-Id: r-1\r\nContent-Length: 0\r\n\r\n", false, func(a Answer) bool { return a.NotRun && a.Misdirected }},
		{"failure of the target", "HTTP/1.1 500 No\r\nX-Id: r-1\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n", false, func(a Answer) bool { return !a.NotRun && a.Status == 500 }},
		{"with a load report", "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Load: 1,2,3\r\nContent-Length: 0\r\n\r\n", false, func(a Answer) bool { return a.Load.Running == 1 && a.Load.Waiting == 2 && a.Load.Slots == 3 }},
		{"with a malformed load report", "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Load: 1,x\r\nContent-Length: 0\r\n\r\n", false, func(a Answer) bool { return a.Load.At.IsZero() }},
	}
	Convey("A target's answer", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				f := newFakeTarget(t, scripted(func(int64, *http.Request) string { return c.answer }))
				p := f.newPool(1)
				defer p.Close()
				if c.name == "no length, closed cleanly" {
					f2 := newFakeTarget(t, func(_ *fakeTarget, conn net.Conn) {
						b := make([]byte, 4096)
						_, _ = conn.Read(b)
						_, _ = conn.Write([]byte(c.answer))
					})
					p2 := f2.newPool(1)
					defer p2.Close()
					a, err := send(p2, request("r-1"))
					So(err, ShouldBeNil)
					So(string(a.Body), ShouldEqual, "body")
					return
				}
				a, err := send(p, request("r-1"))
				if c.broken {
					var broken *BrokenError
					So(errors.As(err, &broken), ShouldBeTrue)
					return
				}
				So(err, ShouldBeNil)
				So(c.check(a), ShouldBeTrue)
			})
		}
	})
}

func TestTruncatedAnswers(t *testing.T) {
	// Guards against accepting an answer that was truncated in transit.
	cases := []struct{ name, sent string }{
		{"body shorter than Content-Length", "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Signature: s\r\nContent-Length: 10\r\n\r\nbod"},
		{"no length, reset", "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Signature: s\r\n\r\nbod"},
		{"a chunk missing", "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbo"},
	}
	Convey("A truncated answer", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				f := newFakeTarget(t, func(_ *fakeTarget, conn net.Conn) {
					b := make([]byte, 4096)
					_, _ = conn.Read(b)
					_, _ = conn.Write([]byte(c.sent))
					time.Sleep(20 * time.Millisecond)
					reset(conn)
				})
				p := f.newPool(1)
				defer p.Close()
				_, err := send(p, request("r-1"))
				var broken *BrokenError
				So(errors.As(err, &broken), ShouldBeTrue)
			})
		}
	})
}

func TestRequestIsSentOnceAndUnchanged(t *testing.T) {
	// Guards against resending a request after its reused connection broke, and
	// against changing the method, path, query, headers or body.
	Convey("A request on a connection that breaks is not sent again", t, func() {
		f := newFakeTarget(t, scripted(func(n int64, r *http.Request) string {
			if n == 1 {
				return answer(r.Header.Get("X-Id"), "s", "")
			}
			return ""
		}))
		p := f.newPool(1)
		defer p.Close()
		_, err := send(p, request("r-1"))
		So(err, ShouldBeNil)
		_, err = send(p, request("r-2"))
		So(err, ShouldNotBeNil)
		So(errors.Is(err, ErrNotSent), ShouldBeFalse)
		So(f.requests.Load(), ShouldEqual, 2)
	})
	Convey("A request arrives unchanged", t, func() {
		got := make(chan *http.Request, 1)
		body := make(chan string, 1)
		f := newFakeTarget(t, scripted(func(_ int64, r *http.Request) string {
			b, _ := io.ReadAll(r.Body)
			got <- r
			body <- string(b)
			return answer(r.Header.Get("X-Id"), "s", "")
		}))
		p := f.newPool(1)
		defer p.Close()
		r := request("r-1")
		r.Method, r.Body = http.MethodPost, []byte(strings.Repeat("x", 40000))
		r.Header["Accept"] = []string{"a", "b"}
		_, err := send(p, r)
		So(err, ShouldBeNil)
		seen := <-got
		So(seen.Method, ShouldEqual, "POST")
		So(seen.RequestURI, ShouldEqual, "/a/b?c=%2F")
		So(seen.Host, ShouldEqual, "host.example")
		So(seen.Header["Accept"], ShouldResemble, []string{"a", "b"})
		So(seen.Header.Get("X-Expect"), ShouldEqual, "t-1")
		So(seen.Header.Get("Accept-Encoding"), ShouldEqual, "")
		So(<-body, ShouldEqual, string(r.Body))
	})
}

func TestConnectionsStayWithinTheBound(t *testing.T) {
	// Guards against opening more connections than the bound.
	Convey("Twenty concurrent requests use at most three connections", t, func() {
		f := newFakeTarget(t, scripted(func(_ int64, r *http.Request) string {
			time.Sleep(5 * time.Millisecond)
			return answer(r.Header.Get("X-Id"), "s", "")
		}))
		p := f.newPool(3)
		defer p.Close()
		var group sync.WaitGroup
		errs := make([]error, 20)
		for i := range errs {
			group.Go(func() { _, errs[i] = send(p, request("r")) })
		}
		group.Wait()
		for _, err := range errs {
			So(err, ShouldBeNil)
		}
		So(f.accepted.Load(), ShouldBeLessThanOrEqualTo, 3)
	})
}

func TestTargetThatResetsNewConnections(t *testing.T) {
	// Guards against a flood of new connections to a target that is at its
	// connection limit: without backoff a pool opened 12,195 of them in a
	// simulated day that lasted 34 s.
	Convey("Two hundred requests in a second open few connections", t, func() {
		f := newFakeTarget(t, func(_ *fakeTarget, c net.Conn) { reset(c) })
		p := f.newPool(3)
		defer p.Close()
		start := time.Now()
		for range 200 {
			_, err := send(p, request("r"))
			So(err, ShouldNotBeNil)
			time.Sleep(max(0, 5*time.Millisecond))
		}
		maxPauses := 8 + time.Since(start)/maxDialBackoff
		So(f.accepted.Load(), ShouldBeLessThanOrEqualTo, int64(3*maxPauses))
	})
}

func TestAbandonedAndCancelled(t *testing.T) {
	// Guards against a cancelled request that keeps its target busy, and against
	// opening a new connection after each request that another target answered
	// first.
	slow := scripted(func(_ int64, r *http.Request) string {
		time.Sleep(50 * time.Millisecond)
		return answer(r.Header.Get("X-Id"), "s", "")
	})
	cases := []struct {
		name  string
		cause error
		// opened is the expected number of connections.
		opened int64
	}{
		{"with ErrAbandoned, the connection is reused", ErrAbandoned, 1},
		{"with another cause, the connection is closed", context.Canceled, 2},
	}
	Convey("When the context of a request ends", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				f := newFakeTarget(t, slow)
				p := f.newPool(1)
				defer p.Close()
				ctx, cancel := context.WithCancelCause(context.Background())
				go func() {
					time.Sleep(20 * time.Millisecond)
					cancel(c.cause)
				}()
				_, err := p.Send(ctx, request("r-1"))
				So(errors.Is(err, c.cause), ShouldBeTrue)
				time.Sleep(80 * time.Millisecond)
				_, err = send(p, request("r-2"))
				So(err, ShouldBeNil)
				So(f.accepted.Load(), ShouldEqual, c.opened)
			})
		}
	})
}

func TestStrayBytesCloseTheConnection(t *testing.T) {
	// Guards against reading data that follows an answer as the next answer.
	Convey("A second answer to the same request closes the connection", t, func() {
		f := newFakeTarget(t, scripted(func(_ int64, r *http.Request) string {
			a := answer(r.Header.Get("X-Id"), "s", "one")
			return a + a
		}))
		p := f.newPool(1)
		defer p.Close()
		for _, id := range []string{"r-1", "r-2", "r-3"} {
			a, err := send(p, request(id))
			So(err, ShouldBeNil)
			So(string(a.Body), ShouldEqual, "one")
			time.Sleep(20 * time.Millisecond)
		}
		So(f.accepted.Load(), ShouldEqual, 3)
	})
}

// slowWriteConn returns from Write some time after the data has been sent.
type slowWriteConn struct{ net.Conn }

func (c slowWriteConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	time.Sleep(30 * time.Millisecond)
	return n, err
}

func TestAnswerBeforeTheWriteReturns(t *testing.T) {
	// Guards against failing a request whose answer is read before Write
	// returns. The connection did not count as reusable then, so that the
	// answer after a late one to another request was not read.
	Convey("An answer that is read before Write returns is used", t, func() {
		f := newFakeTarget(t, scripted(func(int64, *http.Request) string {
			return answer("r-0", "old", "old") + answer("r-1", "s", "body")
		}))
		p := f.newPool(1)
		defer p.Close()
		p.settings.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := Dial(ctx, network, address)
			return slowWriteConn{c}, err
		}
		a, err := send(p, request("r-1"))
		So(err, ShouldBeNil)
		So(a.Signature, ShouldEqual, "s")
	})
}

func TestExpiry(t *testing.T) {
	// Guards against a request that waits for a connection and is sent to a target
	// that has left meanwhile.
	Convey("After the expiry no request is sent", t, func() {
		release := make(chan struct{})
		f := newFakeTarget(t, scripted(func(_ int64, r *http.Request) string {
			<-release
			return answer(r.Header.Get("X-Id"), "s", "")
		}))
		p := f.newPool(1)
		defer p.Close()
		results := make(chan error, 2)
		for range 2 {
			go func() {
				_, err := send(p, request("r"))
				results <- err
			}()
		}
		for f.requests.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		Convey("also none that waits, if it has come already", func() {
			p.SetExpiry(time.Now())
			So(errors.Is(<-results, ErrClosed), ShouldBeTrue)
			close(release)
			So(<-results, ShouldBeNil)
		})
		Convey("also none that gets its connection later", func() {
			p.SetExpiry(time.Now().Add(30 * time.Millisecond))
			time.Sleep(40 * time.Millisecond)
			close(release)
			first, second := <-results, <-results
			So(first == nil || second == nil, ShouldBeTrue)
			So(errors.Is(errors.Join(first, second), ErrNotSent), ShouldBeTrue)
		})
		So(f.requests.Load(), ShouldEqual, 1)
		p.SetExpiry(time.Time{})
		_, err := send(p, request("r"))
		So(err, ShouldBeNil)
	})
}
