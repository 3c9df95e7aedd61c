package acceptor

import (
	"errors"
	"net"
	"net/http"
	"os"
	"time"
)

// firstHeadBytes is the memory that is taken for a head that does not arrive at once.
const firstHeadBytes = 1 << 10

// readHead reads until a head is complete and inside the limits, and returns its first part.
func (c *Conn) readHead(p []byte) (int, error) {
	limits := c.acceptor.settings.Limits()
	if err := c.setHeadDeadline(&limits); err != nil {
		return 0, err
	}
	for {
		n, err := c.receive(p)
		if n == 0 && err == nil {
			continue
		}
		if err != nil {
			return 0, c.headFailed(err, p)
		}
		block := p[:n]
		block = block[c.scanner.skipEmpty(block):]
		if c.scanner.empty > maxEmptyBytes {
			return 0, c.refuse(EmptyLines, http.StatusBadRequest, p)
		}
		if len(block) == 0 {
			continue
		}
		begins := !c.scanner.started()
		end, complete := c.scanner.scan(block)
		if c.scanner.bytes > limits.HeadBytes+uncountedHeadBytes {
			return 0, c.refuse(HeadsTooLarge, http.StatusRequestHeaderFieldsTooLarge, p)
		}
		if complete {
			return c.deliverHead(p, block, end)
		}
		if begins {
			if !c.acceptor.move(c, Head) {
				return 0, net.ErrClosed
			}
			c.headStarted = time.Now()
			if err := c.setHeadDeadline(&limits); err != nil {
				return 0, err
			}
		}
		if !c.keep(block, &limits) {
			return 0, c.refuse(HeadsWithoutMemory, http.StatusServiceUnavailable, p)
		}
	}
}

// setHeadDeadline sets the time until which the next byte of a head must arrive.
func (c *Conn) setHeadDeadline(limits *Limits) error {
	if c.scanner.started() {
		return c.SetReadDeadline(c.headStarted.Add(limits.HeadTime))
	}
	return c.SetReadDeadline(time.Now().Add(limits.IdleTime))
}

// keep adds a block to the incomplete head, and reports false if there is no memory for it.
func (c *Conn) keep(block []byte, limits *Limits) bool {
	size := len(c.partial) + len(block)
	if size > cap(c.partial) {
		capacity := max(min(2*size, limits.HeadBytes+uncountedHeadBytes), size, firstHeadBytes)
		if !c.acceptor.reserve(c, int64(capacity-cap(c.partial))) {
			return false
		}
		c.partial = append(make([]byte, 0, capacity), c.partial...)
	}
	c.partial = append(c.partial, block...)
	return true
}

// deliverHead returns the first part of a head that ends in a block of p, and begins the
// request.
func (c *Conn) deliverHead(p, block []byte, end int) (int, error) {
	if !c.acceptor.reserve(c, c.scanner.parsedBytes()) {
		return 0, c.refuse(HeadsWithoutMemory, http.StatusServiceUnavailable, p)
	}
	if !c.acceptor.move(c, Busy) {
		return 0, net.ErrClosed
	}
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return 0, err
	}
	c.inRequest = true
	c.body = body{}
	c.scanner = headScanner{}
	if end < len(block) {
		c.beyond = append(append([]byte(nil), block[end:]...), c.beyond...)
	}
	if len(c.partial) == 0 {
		return copy(p, block[:end]), nil
	}
	c.partial = append(c.partial, block[:end]...)
	n := copy(p, c.partial)
	c.ready, c.partial = c.partial[n:], nil
	return n, nil
}

// headFailed returns the error for the server after a read of a head has failed. A client
// that has sent a part of a head is told that its time is over.
func (c *Conn) headFailed(err error, scratch []byte) error {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	if c.scanner.started() {
		return c.refuse(HeadsTimedOut, http.StatusRequestTimeout, scratch)
	}
	c.acceptor.settings.Report.Count(ConnectionsIdle, c.acceptor.settings.Name)
	return err
}
