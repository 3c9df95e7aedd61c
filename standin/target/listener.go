package target

import (
	"net"
	"sync"
)

// listener enforces the connection limit and delays the first read of each
// connection by the set-up time.
type listener struct {
	net.Listener
	target *Target

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// Accept returns the next connection within the limit. It closes connections
// above the limit at once, and all connections while the target is down.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c, ok := l.admit(accepted); ok {
			return c, nil
		}
		_ = accepted.Close()
	}
}

// admit registers the connection, or returns false if the target is down or at its
// connection limit.
func (l *listener) admit(accepted net.Conn) (*conn, bool) {
	s := l.target.settings.Load()
	down := s.Down || l.target.limiter.restarting()
	l.mu.Lock()
	defer l.mu.Unlock()
	full := s.Connections > 0 && len(l.conns) >= s.Connections
	l.target.stats.countConnection(down || full, len(l.conns)+1)
	if down || full {
		return nil, false
	}
	c := &conn{Conn: accepted, listener: l, closed: make(chan struct{})}
	l.conns[c] = struct{}{}
	return c, true
}

// closeAll closes all open connections.
func (l *listener) closeAll() {
	l.mu.Lock()
	conns := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// open returns the number of open connections.
func (l *listener) open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// conn delays its first read by ConnectMs.
type conn struct {
	net.Conn
	listener  *listener
	setUpOnce sync.Once
	closeOnce sync.Once
	closed    chan struct{}
}

func (c *conn) Read(b []byte) (int, error) {
	c.setUpOnce.Do(func() {
		t := c.listener.target
		if delay := milliseconds(t.settings.Load().ConnectMs); delay > 0 {
			select {
			case <-t.clock.After(delay):
			case <-c.closed:
			}
		}
	})
	return c.Conn.Read(b)
}

// Close closes the connection. It no longer counts towards the limit.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.listener.mu.Lock()
		delete(c.listener.conns, c)
		c.listener.mu.Unlock()
	})
	return c.Conn.Close()
}
