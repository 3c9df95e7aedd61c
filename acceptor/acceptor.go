// Package acceptor accepts the connections of an HTTP server within a bound on their number.
package acceptor

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
)

// Settings are the dependencies of an Acceptor.
type Settings struct {
	// Name is the name of the server in the log.
	Name  string
	Clock jujubegate.Clock
	Log   *zap.Logger
	// Connections bounds the open connections.
	Connections int
	// Report counts and logs what happened to clients; may be nil.
	Report *Reporter
}

// Acceptor accepts the connections of one server.
type Acceptor struct {
	settings Settings

	mu     sync.Mutex
	groups groups
	// open is the number of connections whose socket is open, and served that of
	// connections with which the server has not finished.
	open, served int
	all          map[*Conn]struct{}
}

// New returns an acceptor.
func New(settings Settings) *Acceptor {
	if settings.Report == nil {
		settings.Report = NewReporter(settings.Clock, settings.Log, nil)
	}
	return &Acceptor{settings: settings, all: make(map[*Conn]struct{})}
}

// Attach sets the hooks of a server through which the acceptor follows its connections.
func (a *Acceptor) Attach(s *http.Server) {
	outer := s.ConnContext
	s.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if outer != nil {
			ctx = outer(ctx, conn)
		}
		return context.WithValue(ctx, connKey{}, conn)
	}
	s.ConnState = a.observe
}

// Listener returns a listener whose connections are those of the acceptor.
func (a *Acceptor) Listener(l net.Listener) net.Listener { return &listener{l, a} }

type listener struct {
	net.Listener
	acceptor *Acceptor
}

// Accept returns the next connection that is admitted.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.acceptor.admit(conn); c != nil {
			return c, nil
		}
	}
}

// admit returns the connection of an accepted socket. If all connections are taken, it
// closes the one that can best be spared; if there is none, it closes the new one, of which no byte has been read.
func (a *Acceptor) admit(conn net.Conn) *Conn {
	now := a.settings.Clock.Now()
	c := &Conn{Conn: conn, acceptor: a}
	a.mu.Lock()
	var victim *Conn
	full := a.open >= a.settings.Connections
	if full {
		victim = a.groups.victim()
	}
	if full && victim == nil {
		a.mu.Unlock()
		a.settings.Report.Count(ConnectionsRefused, a.settings.Name)
		// The socket is closed in any case.
		_ = conn.Close()
		return nil
	}
	if victim != nil {
		a.disconnect(victim)
	}
	a.open++
	a.served++
	a.all[c] = struct{}{}
	a.groups.move(c, Fresh, now)
	a.mu.Unlock()
	if victim != nil {
		a.settings.Report.Count(ConnectionsEvicted, a.settings.Name)
	}
	return c
}

// disconnect closes the socket of a connection. The server
// notices when it next uses the connection. The caller holds mu.
func (a *Acceptor) disconnect(c *Conn) {
	if c.state == closing {
		return
	}
	a.groups.move(c, closing, time.Time{})
	a.open--
	// The socket is closed in any case.
	_ = c.Conn.Close()
}

// finish forgets a connection with which the server has finished.
func (a *Acceptor) finish(c *Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.disconnect(c)
	if _, ok := a.all[c]; ok {
		delete(a.all, c)
		a.served--
	}
}

// move changes the state of a connection, and reports false if the connection has been
// closed meanwhile.
func (a *Acceptor) move(c *Conn, to State) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.state == closing {
		return false
	}
	a.groups.move(c, to, a.settings.Clock.Now())
	return true
}

// observe follows the states of connections that the server reports.
func (a *Acceptor) observe(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	if state == http.StateIdle {
		a.move(c, Idle)
	}
}

type connKey struct{}

// Handler returns a handler that does not handle requests on connections that have been
// closed, as their answers could not be sent.
func (a *Acceptor) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*Conn); ok && !a.move(c, Busy) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// CloseIdle closes the connections without a request: those that have carried one at once,
// the others after a time for their first one. It returns the number of connections with
// which the server has not finished.
func (a *Acceptor) CloseIdle(firstRequest time.Duration) int {
	now := a.settings.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.all {
		if c.state == Idle || c.state == Fresh && now.Sub(c.since) >= firstRequest {
			a.disconnect(c)
		}
	}
	return a.served
}

// Count returns the number of connections in a state.
func (a *Acceptor) Count(s State) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.groups.count(s)
}
