package acceptor

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
)

func newTestAcceptor(connections int, clock clockwork.Clock) *Acceptor {
	return New(Settings{Name: "Test", Clock: clock, Log: zap.NewNop(), Connections: connections})
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
		{"busy", Busy, time.Hour, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			near, far := net.Pipe()
			defer far.Close()
			clock := clockwork.NewFakeClock()
			a := newTestAcceptor(10, clock)
			conn := a.admit(near)
			a.move(conn, c.state)
			clock.Advance(c.age)
			if open := a.CloseIdle(5 * time.Second); open != 1 {
				t.Errorf("%d connections are open before the server has noticed, want 1", open)
			}
			if closed := near.SetDeadline(time.Now()) != nil; closed != c.closed {
				t.Errorf("closed %v, want %v", closed, c.closed)
			}
			handled := false
			func() {
				defer func() { _ = recover() }()
				ctx := context.WithValue(context.Background(), connKey{}, conn)
				a.Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled = true })).
					ServeHTTP(nil, (&http.Request{}).WithContext(ctx))
			}()
			if handled != c.handled {
				t.Errorf("handled %v, want %v", handled, c.handled)
			}
			conn.Close()
			if open := a.CloseIdle(5 * time.Second); open != 0 {
				t.Errorf("%d connections are open after the server has closed it, want 0", open)
			}
		})
	}
}
