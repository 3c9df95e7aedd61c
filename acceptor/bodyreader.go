package acceptor

import (
	"net"
	"time"
)

// expectBody tells that the head that was delivered last announces a body of a length; a
// negative one means chunks.
func (c *Conn) expectBody(length int64) {
	if c.acceptor.settings.HTTP2 {
		return
	}
	c.body = newBody(length)
	// An error means that the connection is closed, which the next read tells.
	_ = c.SetReadDeadline(time.Now().Add(c.acceptor.settings.Limits().BodyTime))
}

// readBody reads a part of the body.
func (c *Conn) readBody(p []byte) (int, error) {
	if !c.acceptor.move(c, Waiting) {
		return 0, net.ErrClosed
	}
	n, err := c.receive(p[:c.body.wanted(len(p))])
	if !c.acceptor.move(c, Busy) {
		return 0, net.ErrClosed
	}
	used := c.body.consume(p[:n])
	if used < n {
		c.beyond = append(append([]byte(nil), p[used:n]...), c.beyond...)
	}
	if err == nil && c.body.ended() {
		// The server waits for the end of the connection from now on.
		err = c.SetReadDeadline(time.Time{})
	}
	return used, err
}

// readAhead reads while a request is handled whose body has ended, by which the server
// notices that a client is gone. It returns one byte of the next request at most.
func (c *Conn) readAhead(p []byte) (int, error) {
	n, err := c.receive(p[:1])
	if n > 0 {
		c.scanner.scan(p[:n])
		c.headStarted = time.Now()
	}
	return n, err
}
