// Package acceptor accepts the connections of an HTTP server within bounds on their number,
// on the size of request heads, on the time that clients take, and on the memory that all of
// them hold together.
//
// The server is given one request at a time: a head only once it is complete and inside the
// limits, and then no more than the body that the head announces.
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

// Limits bound what one client may send and how long it may take.
type Limits struct {
	// HeadBytes bounds the request line and the headers of a request.
	HeadBytes int
	// HeadTime bounds the time from the first byte of a head to its end, and BodyTime that
	// for a body.
	HeadTime, BodyTime time.Duration
	// IdleTime bounds the time without a request, and without progress of an answer that is
	// being sent.
	IdleTime time.Duration
}

// ConnectionBytes is the memory of an accepted connection without a request: the stack of its
// goroutine, the two buffers of the server and its records.
const ConnectionBytes = 16 << 10

// Settings are the dependencies of an Acceptor.
type Settings struct {
	// Name is the name of the server in the log.
	Name  string
	Clock jujubegate.Clock
	Log   *zap.Logger
	// Connections bounds the open connections.
	Connections int
	// Limits returns the limits in force. It is called for each request.
	Limits func() Limits
	// Heads bounds the memory of all heads together; nil means no bound.
	Heads *Budget
	// HTTP2 is set for a server that speaks only HTTP/2. Its connections are then passed on
	// as they are, and the bounds on heads and bodies are those of the server.
	HTTP2 bool
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
	// refusedAt is when a connection was last refused for lack of others to close.
	refusedAt time.Time
}

// New returns an acceptor.
func New(settings Settings) *Acceptor {
	if settings.Report == nil {
		settings.Report = NewReporter(settings.Clock, settings.Log, nil)
	}
	return &Acceptor{settings: settings, all: make(map[*Conn]struct{})}
}

// maxHeadBytes is the bound on heads that the server itself applies. It is larger than any
// limit in force, as the server needs not apply it.
const maxHeadBytes = 1 << 20

// Server returns a server that handles the requests on the connections of the acceptor. It
// must be run on a listener that Listener returns.
func (a *Acceptor) Server(handler http.Handler) *http.Server {
	s := &http.Server{Handler: a.handle(handler), MaxHeaderBytes: maxHeadBytes}
	a.Attach(s)
	return s
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
	s.ErrorLog = zap.NewStdLog(a.settings.Log)
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

// admit returns the connection of an accepted socket. If all connections are in use, it
// closes the one that can best be spared. If there is none, it closes the new one, of which
// no byte has been read, and returns nil.
func (a *Acceptor) admit(conn net.Conn) *Conn {
	now := a.settings.Clock.Now()
	c := &Conn{Conn: conn, acceptor: a}
	a.mu.Lock()
	var victim *Conn
	full := a.open >= a.settings.Connections
	if full {
		victim = a.groups.victim(now)
	}
	if full && victim == nil {
		a.refusedAt = now
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

// disconnect closes the socket of a connection and frees its part of the memory. The server
// notices when it next uses the connection. The caller holds mu.
func (a *Acceptor) disconnect(c *Conn) {
	if c.state == closing {
		return
	}
	a.groups.move(c, closing, time.Time{})
	a.open--
	c.release()
	// The socket is closed in any case.
	_ = c.Conn.Close()
}

// finish forgets a connection with which the server has finished.
func (a *Acceptor) finish(c *Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.disconnect(c)
	c.release()
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

// reserve takes memory for a head. While there is none, it closes the connection whose head
// has been incomplete for the longest time, unless that is the one which asks.
func (a *Acceptor) reserve(c *Conn, bytes int64) bool {
	for !a.settings.Heads.Reserve(bytes, c.reserved.Load()) {
		if !a.evictHead(c) {
			return false
		}
	}
	c.reserved.Add(bytes)
	return true
}

func (a *Acceptor) evictHead(asking *Conn) bool {
	a.mu.Lock()
	victim := a.groups.oldest(Head)
	if victim == nil || victim == asking {
		a.mu.Unlock()
		return false
	}
	a.disconnect(victim)
	a.mu.Unlock()
	a.settings.Report.Count(HeadsEvicted, a.settings.Name)
	return true
}

// observe follows the states of connections that the server reports.
func (a *Acceptor) observe(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	switch {
	case state == http.StateIdle && a.settings.HTTP2:
		a.move(c, Idle)
	case state == http.StateIdle:
		c.endRequest()
	case state == http.StateActive && a.settings.HTTP2:
		a.move(c, Busy)
	}
}

type connKey struct{}

// crowdedTime is how long connections are not reused after one has been refused.
const crowdedTime = time.Second

// crowded reports whether connections have been refused lately.
func (a *Acceptor) crowded() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.refusedAt.IsZero() && a.settings.Clock.Since(a.refusedAt) < crowdedTime
}

// handle returns a handler that tells each connection which body follows a head. While
// connections are refused, each serves one request only, so that clients with many requests
// on a connection leave room for others.
func (a *Acceptor) handle(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*Conn); ok && r.ContentLength != 0 {
			c.expectBody(r.ContentLength)
		}
		if a.crowded() {
			w.Header().Set("Connection", "close")
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
		waitsForFirst := c.state == Fresh || c.state == Head
		if c.state == Idle || waitsForFirst && now.Sub(c.since) >= firstRequest {
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
