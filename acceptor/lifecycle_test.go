package acceptor

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
)

var testLimits = Limits{HeadBytes: 4096, HeadTime: time.Second, BodyTime: time.Second, IdleTime: time.Second}

func newTestAcceptor(connections int, limits Limits, clock clockwork.Clock) *Acceptor {
	return New(Settings{
		Name: "Test", Clock: clock, Log: zap.NewNop(), Connections: connections,
		Limits: func() Limits { return limits }, Heads: NewBudget(1 << 20),
	})
}

// serve runs a server behind an acceptor and returns its address.
func serve(t *testing.T, a *Acceptor, handler http.HandlerFunc) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := a.Server(handler)
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(a.Listener(l))
	}()
	t.Cleanup(func() {
		server.Close()
		<-served
	})
	return l.Addr().String()
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return conn
}

func TestRequestOnClosedConnectionIsPassedOn(t *testing.T) {
	// Guards against a request that arrives on an idle connection just as a stopping
	// instance closes it, is handled and then has no connection for its answer.
	cases := []struct {
		name    string
		state   State
		age     time.Duration
		closed  bool
		handled bool
	}{
		{"idle", Idle, time.Second, true, false},
		{"new", Fresh, time.Second, false, true},
		{"new for long", Fresh, 5 * time.Second, true, false},
		{"in a head", Head, time.Second, false, true},
		{"in a head for long", Head, 5 * time.Second, true, false},
		{"busy", Busy, time.Hour, false, false},
		{"waiting", Waiting, time.Hour, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			near, far := net.Pipe()
			defer far.Close()
			clock := clockwork.NewFakeClock()
			a := newTestAcceptor(10, testLimits, clock)
			conn := a.admit(near)
			a.move(conn, c.state)
			conn.inRequest = c.state == Busy || c.state == Waiting
			clock.Advance(c.age)
			if open := a.CloseIdle(5 * time.Second); open != 1 {
				t.Errorf("%d connections are open before the server has noticed, want 1", open)
			}
			if closed := near.SetDeadline(time.Now().Add(time.Second)) != nil; closed != c.closed {
				t.Errorf("closed %v, want %v", closed, c.closed)
			}
			if !conn.inRequest {
				go func() { _, _ = far.Write([]byte("GET / HTTP/1.1\r\n\r\n")) }()
				_, err := conn.Read(make([]byte, 4096))
				if handled := err == nil; handled != c.handled {
					t.Errorf("handled %v (%v), want %v", handled, err, c.handled)
				}
			}
			conn.Close()
			if open := a.CloseIdle(5 * time.Second); open != 0 {
				t.Errorf("%d connections are open after the server has closed it, want 0", open)
			}
		})
	}
}

func TestRequestsOnOneConnection(t *testing.T) {
	// Guards against bytes of a body that are taken for the next head, or the reverse, when
	// requests follow each other without a pause.
	var bodies []string
	a := newTestAcceptor(10, testLimits, clockwork.NewRealClock())
	address := serve(t, a, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		bodies = append(bodies, r.URL.Path+string(body))
	})
	long := strings.Repeat("x", 6000)
	requests := []struct{ text, want string }{
		{"GET /a HTTP/1.1\r\nHost: h\r\n\r\n", "/a"},
		{"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n12345", "/b12345"},
		{"POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n123\r\nA;x=y\r\n0123456789\r\n0\r\nT: u\r\n\r\n", "/c1230123456789"},
		{"\r\nPOST /d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "/d"},
		{"POST /e HTTP/1.1\nHost: h\nContent-Length: 6000\n\n" + long, "/e" + long},
		{"GET /f HTTP/1.1\r\nHost: h\r\nX: " + long[:3000] + "\r\n\r\n", "/f"},
		{"GET /g HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", "/g"},
	}
	for _, block := range []int{1, 3, 100, 1 << 20} {
		bodies = nil
		conn := dial(t, address)
		var all string
		for _, r := range requests {
			all += r.text
		}
		go func() {
			for rest := all; rest != ""; {
				n := min(block, len(rest))
				if _, err := conn.Write([]byte(rest[:n])); err != nil {
					return
				}
				rest = rest[n:]
			}
		}()
		reader := bufio.NewReader(conn)
		for _, r := range requests {
			answer, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatalf("blocks of %d, %.20q: %v", block, r.text, err)
			}
			if answer.StatusCode != http.StatusOK {
				t.Errorf("blocks of %d, %.20q: status %d", block, r.text, answer.StatusCode)
			}
		}
		if _, err := reader.ReadByte(); !errors.Is(err, io.EOF) {
			t.Errorf("blocks of %d: %v, want the end of the connection", block, err)
		}
		for i, r := range requests {
			if i >= len(bodies) || bodies[i] != r.want {
				t.Errorf("blocks of %d, request %d: %.40q, want %.40q", block, i, bodies, r.want)
				break
			}
		}
	}
}

func TestRefusedHeads(t *testing.T) {
	// Guards against answers that promise what does not hold, and against a client that
	// loses its answer as the connection is reset.
	cases := []struct {
		name, text string
		status     int
	}{
		{"too large", "GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 20000), http.StatusRequestHeaderFieldsTooLarge},
		{"too slow", "GET / HTTP/1.1\r\nX: ", http.StatusRequestTimeout},
		{"empty lines", strings.Repeat("\r\n", 100), http.StatusBadRequest},
		{"malformed", "x\r\n\r\n", http.StatusBadRequest},
	}
	limits := testLimits
	limits.HeadTime = 50 * time.Millisecond
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := newTestAcceptor(10, limits, clockwork.NewRealClock())
			address := serve(t, a, func(http.ResponseWriter, *http.Request) { t.Error("the request was handled") })
			conn := dial(t, address)
			if _, err := conn.Write([]byte(c.text)); err != nil {
				t.Fatal(err)
			}
			answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			if answer.StatusCode != c.status {
				t.Errorf("status %d, want %d", answer.StatusCode, c.status)
			}
			if !answer.Close {
				t.Error("the connection is kept")
			}
			if _, err := io.Copy(io.Discard, conn); errors.Is(err, os.ErrDeadlineExceeded) {
				t.Error("the connection is not closed")
			}
		})
	}
}

func TestSilentConnectionIsClosed(t *testing.T) {
	// Guards against connections that are kept for ever without a request, without the body
	// that a head announces, or without a reader of their answers.
	cases := []struct {
		name, text string
		reads      bool
	}{
		{"new", "", true},
		{"idle", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", true},
		{"no body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n", true},
		{"no chunks", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", true},
		{"answers not read", "", false},
	}
	limits := testLimits
	limits.IdleTime, limits.BodyTime = 100*time.Millisecond, 100*time.Millisecond
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := newTestAcceptor(10, limits, clockwork.NewRealClock())
			address := serve(t, a, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 100_000)) })
			conn := dial(t, address)
			if _, err := conn.Write([]byte(c.text)); err != nil {
				t.Fatal(err)
			}
			if c.reads {
				if _, err := io.Copy(io.Discard, conn); errors.Is(err, os.ErrDeadlineExceeded) {
					t.Error("the connection is not closed")
				}
				return
			}
			for {
				if _, err := conn.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")); err != nil {
					if errors.Is(err, os.ErrDeadlineExceeded) {
						t.Error("the connection is not closed")
					}
					return
				}
			}
		})
	}
}

func TestSlowHandlerKeepsItsRequest(t *testing.T) {
	// Guards against a time for the client that cancels a request which is being handled.
	limits := testLimits
	limits.HeadTime, limits.BodyTime, limits.IdleTime = 50*time.Millisecond, 50*time.Millisecond, 50*time.Millisecond
	a := newTestAcceptor(10, limits, clockwork.NewRealClock())
	address := serve(t, a, func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			t.Error(err)
		}
		select {
		case <-r.Context().Done():
			t.Error("the request was cancelled")
		case <-time.After(300 * time.Millisecond):
		}
	})
	for _, text := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	} {
		conn := dial(t, address)
		if _, err := conn.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
		answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || answer.StatusCode != http.StatusOK {
			t.Errorf("%.10q: %v", text, err)
		}
	}
}
