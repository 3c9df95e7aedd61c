package conductor

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// maxNewConnection is how long a connection without a request is kept open while the
// connections are drained.
const maxNewConnection = 5 * time.Second

// connectionKey is the context key of a callerConnection.
type connectionKey struct{}

// connectionState is what a connection of a caller is used for.
type connectionState int32

const (
	// unused connections have carried no request.
	unused connectionState = iota
	idle
	busy
	// closing connections are closed by this instance. A request that arrives on one is
	// not handled, as its answer could not be sent.
	closing
)

// callerConnection is a connection of a caller.
type callerConnection struct {
	net.Conn
	opened time.Time
	state  atomic.Int32
}

func (c *callerConnection) change(from, to connectionState) bool {
	return c.state.CompareAndSwap(int32(from), int32(to))
}

// begin reports whether a request on the connection may be handled.
func (c *callerConnection) begin() bool { return c.change(unused, busy) || c.change(idle, busy) }

// callerConnections holds the open connections of callers. http.Server does not tell
// whether a request has arrived on a connection that it closes as idle.
type callerConnections struct {
	mu   sync.Mutex
	open map[net.Conn]*callerConnection
}

// add adds a connection and attaches it to its context.
func (cs *callerConnections) add(ctx context.Context, conn net.Conn, now time.Time) context.Context {
	c := &callerConnection{Conn: conn, opened: now}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.open == nil {
		cs.open = make(map[net.Conn]*callerConnection)
	}
	cs.open[conn] = c
	return context.WithValue(ctx, connectionKey{}, c)
}

// observe removes a connection that has been closed.
func (cs *callerConnections) observe(conn net.Conn, state http.ConnState) {
	if state != http.StateClosed && state != http.StateHijacked {
		return
	}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	delete(cs.open, conn)
}

// closeIdle closes the connections that carry no request and returns the number of
// those that are open.
func (cs *callerConnections) closeIdle(now time.Time) int {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for _, c := range cs.open {
		if c.change(idle, closing) || now.Sub(c.opened) >= maxNewConnection && c.change(unused, closing) {
			// The server removes it when it notices. An error means that it is closed already.
			_ = c.Close()
		}
	}
	return len(cs.open)
}

// handle returns a handler that refuses the requests on connections that are being
// closed.
func (cs *callerConnections) handle(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connectionKey{}).(*callerConnection)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if !c.begin() {
			panic(http.ErrAbortHandler)
		}
		defer c.change(busy, idle)
		next.ServeHTTP(w, r)
	})
}
