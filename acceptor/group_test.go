package acceptor

import (
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

func TestOrdinaryClientsOutliveCrowd(t *testing.T) {
	// Guards against a crowd of clients whose connections displace those of ordinary
	// clients, which do something else or do the same more quickly.
	const (
		connections = 500
		step        = time.Millisecond
		steps       = 5000
		// An ordinary client comes every ordinaryPeriod, sends its request after sendTime,
		// and gets its answer after answerTime.
		ordinaryPeriod = 50 * time.Millisecond
		sendTime       = 20 * time.Millisecond
		answerTime     = 100 * time.Millisecond
	)
	cases := []struct {
		name string
		// state is what the connections of the crowd are in, and perStep how many come.
		state   State
		perStep int
	}{
		{"silent, slowly", Fresh, 1},
		{"silent, quickly", Fresh, 20},
		{"in a head", Head, 20},
		{"idle after a request", Idle, 20},
		{"answered for the last time", Lingering, 20},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			a := newTestAcceptor(connections, testLimits, clock)
			type ordinary struct {
				conn *Conn
				came time.Time
			}
			var clients []ordinary
			served, lost := 0, 0
			for n := range steps {
				for range c.perStep {
					if conn := a.admit(discardConn{}); conn != nil {
						a.move(conn, c.state)
					}
				}
				if n%int(ordinaryPeriod/step) == 0 {
					if conn := a.admit(discardConn{}); conn != nil {
						clients = append(clients, ordinary{conn, clock.Now()})
					} else {
						lost++
					}
				}
				clock.Advance(step)
				kept := clients[:0]
				for _, o := range clients {
					switch age := clock.Since(o.came); {
					case age == sendTime && !a.move(o.conn, Busy):
						lost++
					case age == answerTime && !a.move(o.conn, Idle):
						lost++
					case age == answerTime:
						served++
						o.conn.Close()
					default:
						kept = append(kept, o)
					}
				}
				clients = kept
				if a.open > connections {
					t.Fatalf("%d connections are open, want at most %d", a.open, connections)
				}
			}
			if lost > 0 || served == 0 {
				t.Errorf("%d ordinary clients were served and %d lost", served, lost)
			}
		})
	}
}

func TestBusyConnectionsAreKept(t *testing.T) {
	// Guards against a request that is cut for a new connection. The new one is closed
	// instead, of which no byte has been read.
	a := newTestAcceptor(2, testLimits, clockwork.NewFakeClock())
	for range 2 {
		a.move(a.admit(discardConn{}), Busy)
	}
	if a.admit(discardConn{}) != nil {
		t.Error("a connection was admitted")
	}
	if n := a.Count(Busy); n != 2 {
		t.Errorf("%d busy connections, want 2", n)
	}
}

// discardConn is a connection that can only be closed.
type discardConn struct{ net.Conn }

func (discardConn) Close() error { return nil }

func TestOrdinaryClientsAmongWaitingOnes(t *testing.T) {
	// Guards against a crowd that is waited for on all connections, connects again at once,
	// and so leaves ordinary clients too few of those that become free.
	const (
		connections = 500
		step        = time.Millisecond
		lasts       = 60 * time.Second
		// rivals come in each step, among them the attempt of an ordinary client each
		// ordinaryPeriod on average.
		rivals         = 20
		ordinaryPeriod = 30
		// wanted is the share of the ordinary clients' attempts that must get a connection:
		// 20 attempts are then mostly enough.
		wanted = 0.05
	)
	random := rand.New(rand.NewPCG(1, 1))
	clock := clockwork.NewFakeClock()
	a := newTestAcceptor(connections, testLimits, clock)
	attempts, admitted := 0, 0
	for start := clock.Now(); clock.Since(start) < lasts; clock.Advance(step) {
		ordinary := random.IntN(ordinaryPeriod * rivals)
		for i := range rivals {
			conn := a.admit(discardConn{})
			if i == ordinary {
				attempts++
				if conn != nil {
					admitted++
				}
			}
			if conn != nil {
				a.move(conn, Waiting)
			}
		}
	}
	if float64(admitted) < wanted*float64(attempts) {
		t.Errorf("%d of %d attempts got a connection", admitted, attempts)
	}
}

func TestConnectionsAreNotReusedInCrowd(t *testing.T) {
	// Guards against clients that keep their connections busy with one request after the
	// other while new ones get none.
	clock := clockwork.NewFakeClock()
	a := newTestAcceptor(1, testLimits, clock)
	handler := a.handle(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	closes := func() bool {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", http.NoBody))
		return w.Header().Get("Connection") == "close"
	}
	a.move(a.admit(discardConn{}), Busy)
	if closes() {
		t.Error("a connection is not reused although none was refused")
	}
	a.admit(discardConn{})
	if !closes() {
		t.Error("a connection is reused after one was refused")
	}
	clock.Advance(crowdedTime)
	if closes() {
		t.Error("a connection is not reused although none was refused lately")
	}
}
