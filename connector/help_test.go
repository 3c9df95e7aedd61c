package connector

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"

	"jujubegate.example/jujubegate"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var names = &HeaderNames{
	RequestID: "X-Id", Budget: "X-Budget", Signature: "X-Signature",
	ExpectTarget: "X-Expect", Load: "X-Load", NotRun: "X-Not-Run",
}

// fakeTarget is a TCP server that counts connections and requests.
type fakeTarget struct {
	listener net.Listener
	accepted atomic.Int64
	requests atomic.Int64
}

// newFakeTarget returns a target that calls serve for each connection.
func newFakeTarget(t *testing.T, serve func(*fakeTarget, net.Conn)) *fakeTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeTarget{listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			f.accepted.Add(1)
			go func() {
				defer c.Close()
				serve(f, c)
			}()
		}
	}()
	t.Cleanup(func() { l.Close() })
	return f
}

// scripted returns a serve function that answers each request with the text
// that answer returns; "" closes the connection.
func scripted(answer func(n int64, r *http.Request) string) func(*fakeTarget, net.Conn) {
	return func(f *fakeTarget, c net.Conn) {
		b := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(b)
			if err != nil {
				return
			}
			text := answer(f.requests.Add(1), r)
			if text == "" {
				return
			}
			if _, err := c.Write([]byte(text)); err != nil {
				return
			}
		}
	}
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

func (f *fakeTarget) newPool(bound int) *Pool {
	return New(Settings{
		Target: jujubegate.Address(f.listener.Addr().String()), TargetID: "t-1", Names: names, Clock: clockwork.NewRealClock(),
	}, bound)
}

func request(id string) *Request {
	return &Request{
		ID: id, Method: http.MethodGet, URI: "/a/b?c=%2F", Host: "host.example",
		Header: http.Header{}, Deadline: time.Now().Add(5 * time.Second),
	}
}

func answer(id, signature, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: %s\r\nContent-Length: %d\r\n\r\n%s", id, signature, len(body), body)
}

func send(p *Pool, r *Request) (Answer, error) { return sendWithin(p, r, 2*time.Second) }

func sendWithin(p *Pool, r *Request, d time.Duration) (Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	return p.Send(ctx, r)
}
