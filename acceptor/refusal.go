package acceptor

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

const (
	// lingerTime and lingerBytes bound reading on after the last answer. A connection that
	// is closed with unread bytes is reset, and the client could lose the answer.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 64 << 10
	// memoryRetryAfter is the Retry-After of a request for whose head there is no memory: a
	// part of the time after which heads that do not arrive are given up.
	memoryRetryAfter = 250 * time.Millisecond
)

// errRefused ends a connection whose head has been refused. It is wrapped so that the server
// takes it for a failure of the connection, and answers nothing.
var errRefused error = &net.OpError{Op: "read", Err: errors.New("the head has been refused")}

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
