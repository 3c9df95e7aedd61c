package conductor

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
)

// slowListener delays each connection between its acceptance and its delivery.
type slowListener struct {
	net.Listener
	accepted chan struct{}
	deliver  chan struct{}
}

func (l *slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		close(l.accepted)
		<-l.deliver
	}
	return c, err
}

func TestStopCutsConnectionThatWasJustAccepted(t *testing.T) {
	// Guards against an instance that ends while it accepts the last connection, whose
	// request is then passed on and cut.
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &slowListener{inner, make(chan struct{}), make(chan struct{})}
	c := &Conductor{clock: clockwork.NewRealClock(), log: zap.NewNop()}
	endsAt := time.Now().Add(5 * time.Second)
	c.endsAt.Store(&endsAt)
	server := &http.Server{
		ConnState: c.callers.observe, ReadHeaderTimeout: time.Second,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context { return c.callers.add(ctx, conn, time.Now()) },
		Handler: c.callers.handle(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Connection", "close")
			time.Sleep(100 * time.Millisecond)
		})),
	}
	s := namedServer{name: callerServerName, server: server, listener: l, served: make(chan struct{})}
	go func() {
		defer close(s.served)
		_ = server.Serve(l)
	}()
	conn, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := conn.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	<-l.accepted
	var group sync.WaitGroup
	group.Go(func() {
		time.Sleep(100 * time.Millisecond)
		close(l.deliver)
	})
	if !c.drainCallers(s) {
		t.Error("connections are left")
	}
	// The process ends here.
	server.Close()
	if r, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || r.StatusCode != http.StatusOK {
		t.Errorf("the request was cut: %v", err)
	}
	group.Wait()
}

func TestRequestOnClosedConnectionIsPassedOn(t *testing.T) {
	// Guards against a request that arrives on an idle connection just as a stopping
	// instance closes it, is handled and then has no connection for its answer.
	cases := []struct {
		name    string
		state   connectionState
		age     time.Duration
		closed  bool
		handled bool
	}{
		{"idle", idle, time.Second, true, false},
		{"new", unused, time.Second, false, true},
		{"new for long", unused, maxNewConnection, true, false},
		{"busy", busy, time.Hour, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			near, far := net.Pipe()
			defer far.Close()
			var cs callerConnections
			now := time.Now()
			ctx := cs.add(context.Background(), near, now.Add(-c.age))
			conn := ctx.Value(connectionKey{}).(*callerConnection)
			conn.state.Store(int32(c.state))
			if open := cs.closeIdle(now); open != 1 {
				t.Errorf("%d connections are open before the server has noticed, want 1", open)
			}
			if closed := near.SetDeadline(now) != nil; closed != c.closed {
				t.Errorf("closed %v, want %v", closed, c.closed)
			}
			handled := false
			func() {
				defer func() { _ = recover() }()
				cs.handle(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled = true })).
					ServeHTTP(nil, (&http.Request{}).WithContext(ctx))
			}()
			if handled != c.handled {
				t.Errorf("handled %v, want %v", handled, c.handled)
			}
			cs.observe(near, http.StateClosed)
			if open := cs.closeIdle(now); open != 0 {
				t.Errorf("%d connections are open after the server has closed it, want 0", open)
			}
		})
	}
}
