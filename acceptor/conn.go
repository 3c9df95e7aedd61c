package acceptor

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// Conn is a connection of a client.
type Conn struct {
	net.Conn
	acceptor *Acceptor

	// state, since, grouped, previous and next are guarded by Acceptor.mu.
	state          State
	since          time.Time
	grouped        bool
	previous, next *Conn
}

// CloseWrite ends the answers. The server calls it after the last one.
func (c *Conn) CloseWrite() error {
	c.acceptor.move(c, Lingering)
	closer, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return closer.CloseWrite()
}

// Close closes the connection. The server calls it once it has finished with it.
func (c *Conn) Close() error {
	c.acceptor.finish(c)
	return nil
}

// SyscallConn returns the socket of the connection.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return conn.SyscallConn()
}
