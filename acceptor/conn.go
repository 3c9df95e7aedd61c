package acceptor

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

// writeBlock is the most that must be sent within the idle time.
const writeBlock = 16 << 10

// Conn is a connection of a client. One goroutine of the server reads it at a time.
type Conn struct {
	net.Conn
	acceptor *Acceptor

	// state, since, grouped, previous and next are guarded by Acceptor.mu.
	state          State
	since          time.Time
	grouped        bool
	previous, next *Conn

	// reserved is the memory that is taken for the head.
	reserved atomic.Int64

	// inRequest is set from the end of a head to the end of the request.
	inRequest bool
	scanner   headScanner
	// headStarted is when the first byte of the head arrived.
	headStarted time.Time
	// partial is the part of a head that has arrived, ready what is left of a complete one,
	// and beyond the bytes after its end.
	partial, ready, beyond []byte
	body                   body
}

// Read reads for the server: a complete head, or a part of the body that the head announces.
func (c *Conn) Read(p []byte) (int, error) {
	switch {
	case len(p) == 0:
		return 0, nil
	case c.acceptor.settings.HTTP2:
		return c.Conn.Read(p)
	case len(c.ready) > 0:
		n := copy(p, c.ready)
		if c.ready = c.ready[n:]; len(c.ready) == 0 {
			c.ready = nil
		}
		return n, nil
	case !c.inRequest:
		return c.readHead(p)
	case c.body.ended():
		return c.readAhead(p)
	}
	return c.readBody(p)
}

// receive returns bytes that have arrived.
func (c *Conn) receive(p []byte) (int, error) {
	if len(c.beyond) == 0 {
		return c.Conn.Read(p)
	}
	n := copy(p, c.beyond)
	if c.beyond = c.beyond[n:]; len(c.beyond) == 0 {
		c.beyond = nil
	}
	return n, nil
}

// endRequest prepares the connection for the next request.
func (c *Conn) endRequest() {
	c.inRequest = false
	c.release()
	if c.scanner.started() {
		c.acceptor.move(c, Head)
		c.headStarted = time.Now()
		return
	}
	c.acceptor.move(c, Idle)
}

// release gives the memory of the head back.
func (c *Conn) release() { c.acceptor.settings.Heads.Release(c.reserved.Swap(0)) }

// Write sends an answer. Each block must be taken within the idle time.
func (c *Conn) Write(p []byte) (int, error) {
	settings := &c.acceptor.settings
	if !settings.HTTP2 {
		defer c.acceptor.move(c, Busy)
	}
	written := 0
	for written < len(p) || written == 0 {
		if !settings.HTTP2 && !c.acceptor.move(c, Waiting) {
			return written, net.ErrClosed
		}
		if err := c.SetWriteDeadline(time.Now().Add(settings.Limits().IdleTime)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:min(len(p), written+writeBlock)])
		written += n
		if errors.Is(err, os.ErrDeadlineExceeded) {
			settings.Report.Count(AnswersNotRead, settings.Name)
		}
		if err != nil || len(p) == 0 {
			return written, err
		}
	}
	return written, nil
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
