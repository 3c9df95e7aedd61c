package connector

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/jonboulle/clockwork"

	"jujubegate.example/jujubegate"
)

func TestAnswerCutInItsHeadLooksComplete(t *testing.T) {
	// Guards against a target that closes in the middle of its answer, in the head too,
	// and whose answer then has an empty or a short body.
	cases := []struct{ name, answer string }{
		{"with a length", "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Signature: s\r\nContent-Length: 12\r\n\r\nbodybodybody"},
		{"with a length, after an informational answer", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Signature: s\r\nContent-Length: 4\r\n\r\nbody"},
		{"in chunks", "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n4\r\nbody\r\n0\r\n\r\n"},
		{"with a bare line feed", "HTTP/1.1 200 OK\nX-Id: r-1\nX-Signature: s\nContent-Length: 4\n\nbody"},
		{"without a body", "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n"},
		{"for a request by HEAD", "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Signature: s\r\nContent-Length: 4\r\n\r\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var sent atomic.Pointer[string]
			f := newFakeTarget(t, func(_ *fakeTarget, conn net.Conn) {
				_, _ = conn.Read(make([]byte, 4096))
				_, _ = conn.Write([]byte(*sent.Load()))
			})
			for length := range len(c.answer) + 1 {
				prefix := c.answer[:length]
				sent.Store(&prefix)
				r := request("r-1")
				if c.name == "for a request by HEAD" {
					r.Method = http.MethodHead
				}
				p := New(Settings{Target: jujubegate.Address(f.listener.Addr().String()), TargetID: "t-1", Names: names, Clock: clockwork.NewRealClock()}, 1)
				a, err := send(p, r)
				p.Close()
				var broken *BrokenError
				if whole := length == len(c.answer); whole != (err == nil) || !whole && !errors.As(err, &broken) {
					t.Errorf("cut after %d of %d bytes: status %d, body %q, error %v: %q", length, len(c.answer), a.Status, a.Body, err, fmt.Sprint(prefix))
				}
			}
		})
	}
}
