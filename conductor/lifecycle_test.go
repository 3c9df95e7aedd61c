package conductor

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"jujubegate.example/jujubegate/acceptor"
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
	a := acceptor.New(acceptor.Settings{
		Clock: c.clock, Log: c.log, Connections: 10, Limits: func() acceptor.Limits { return controlLimits },
	})
	server := a.Server(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		time.Sleep(100 * time.Millisecond)
	}))
	s := namedServer{name: callerServerName, server: server, acceptor: a, listener: l, served: make(chan struct{})}
	go func() {
		defer close(s.served)
		_ = server.Serve(a.Listener(l))
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
