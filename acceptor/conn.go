package acceptor

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// firstHeadBytes is the memory that is taken for a head that does not arrive at once.
	firstHeadBytes = 1 << 10
	// writeBlock is the most that must be sent within the idle time.
	writeBlock = 16 << 10
	// lingerTime and lingerBytes bound reading on after the last answer. A connection that
	// is closed with unread bytes is reset, and the client could lose the answer.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 64 << 10
)

// errRefused ends a connection whose head has been refused. It is wrapped so that the server
// takes it for a failure of the connection, and answers nothing.
var errRefused error = &net.OpError{Op: "read", Err: errors.New("the head has been refused")}

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

// refuse answers a request whose head is not passed on to the server, and returns the error
// that ends the connection. All its answers are true: nothing of the request has run.
func (c *Conn) refuse(reason Reason, status int, scratch []byte) error {
	c.acceptor.settings.Report.Count(reason, c.acceptor.settings.Name)
	if !c.acceptor.move(c, Lingering) {
		return errRefused
	}
	c.partial, c.beyond = nil, nil
	c.release()
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = fmt.Sprintf("Retry-After: %.3f\r\n", memoryRetryAfter.Seconds())
	}
	answer := fmt.Sprintf("HTTP/1.1 %d %s\r\n%sConnection: close\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), retry)
	if err := c.SetDeadline(time.Now().Add(lingerTime)); err != nil {
		return errRefused
	}
	if _, err := c.Conn.Write([]byte(answer)); err != nil {
		return errRefused
	}
	if err := c.CloseWrite(); err != nil {
		return errRefused
	}
	for left := lingerBytes; left > 0; {
		n, err := c.Conn.Read(scratch)
		if err != nil {
			break
		}
		left -= n
	}
	return errRefused
}

// memoryRetryAfter is the Retry-After of a request for whose head there is no memory: a part
// of the time after which heads that do not arrive are given up.
const memoryRetryAfter = 250 * time.Millisecond

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
		if !c.acceptor.move(c, Waiting) {
			return 0, net.ErrClosed
		}
		defer c.acceptor.move(c, Busy)
	}
	written := 0
	for written < len(p) || written == 0 {
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
