package connector

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"jujubegate.example/jujubegate"
)

func TestAnswerWithInvalidStatus(t *testing.T) {
	// Guards against a failure of a target that reaches the caller as a success or with a
	// status that no HTTP client knows, or that holds the request until its deadline: a
	// status below 100 was taken for an informational answer, and the bytes after its head
	// for the next one.
	const fake = "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Signature: s\r\nContent-Length: 4\r\n\r\nfake"
	const heads = "X-Id: r-1\r\nX-Signature: s\r\n"
	statuses := []struct{ name, line string }{
		{"000", "HTTP/1.1 000 Failed"},
		{"001", "HTTP/1.1 001 Failed"},
		{"099", "HTTP/1.1 099 Failed"},
		{"a sign", "HTTP/1.1 +20 Failed"},
		{"two digits", "HTTP/1.1 20 Failed"},
		{"four digits", "HTTP/1.1 2000 Failed"},
		{"letters", "HTTP/1.1 abc Failed"},
		{"none", "HTTP/1.1"},
		{"600", "HTTP/1.1 600 Failed"},
		{"999", "HTTP/1.1 999 Failed"},
		{"another protocol", "HTTP/1.1 101 Switching Protocols"},
		{"informational with a body", "HTTP/1.1 103 Early Hints"},
		{"HTTP/2", "HTTP/2.0 500 Failed"},
	}
	bodies := []struct{ name, text string }{
		{"body like an answer", "Content-Length: 81\r\n\r\n" + fake},
		{"chunks", "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n" + fake},
	}
	for _, s := range statuses {
		for _, b := range bodies {
			for _, before := range []string{"", "HTTP/1.1 103 Early Hints\r\n\r\n"} {
				t.Run(s.name+", "+b.name+", "+before, func(t *testing.T) {
					text := before + s.line + "\r\n" + heads + b.text
					f := newFakeTarget(t, func(_ *fakeTarget, conn net.Conn) {
						// The first request of a connection is answered as it should be.
						for _, reply := range []string{answer("r-1", "s", "body"), text} {
							if _, err := conn.Read(make([]byte, 4096)); err != nil {
								return
							}
							if _, err := conn.Write([]byte(reply)); err != nil {
								return
							}
						}
						_, _ = conn.Read(make([]byte, 4096))
					})
					p := New(Settings{Target: jujubegate.Address(f.listener.Addr().String()), TargetID: "t-1", Names: names, Clock: clockwork.NewRealClock()}, 1)
					defer p.Close()
					if _, err := send(p, request("r-1")); err != nil {
						t.Fatal(err)
					}
					start := time.Now()
					a, err := send(p, request("r-1"))
					var broken *BrokenError
					if !errors.As(err, &broken) {
						t.Errorf("answered with status %d, body %q, error %v, want a broken exchange", a.Status, a.Body, err)
					}
					if took := time.Since(start); took > 500*time.Millisecond {
						t.Errorf("known after %v", took)
					}
				})
			}
		}
	}
}
