package connector

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"jujubegate.example/jujubegate"
)

const (
	// maxAnswerBytes bounds the body of an answer, so that a few requests cannot
	// exhaust the memory of a small instance.
	maxAnswerBytes = 8 << 20
	// maxForeignAnswers is how many answers to other requests are skipped before
	// the expected one. More of them mean that the target is broken.
	maxForeignAnswers = 2
	readBufferBytes   = 4 << 10
	// inlineWriteBytes is the size up to which a request is written synchronously.
	// It fits the smallest socket send buffers, so that the write does not block.
	inlineWriteBytes = 16 << 10
)

var (
	errIdleBytes = errors.New("target sent data while no request was in flight")
	errForeign   = errors.New("target answered only other requests")
)

// exchange is one request in flight and its answer.
type exchange struct {
	request *Request
	done    chan *result
	// written is set after the whole request has been written, or before the write
	// if that is synchronous.
	written atomic.Bool
}

// result is the answer to an exchange, or the error that ended it.
type result struct {
	answer Answer
	err    error
	// reusable says that the connection can carry another request.
	reusable bool
}

// connection is one connection to a target. A dedicated goroutine reads from
// it, so that a close or unexpected data is detected while it is idle.
type connection struct {
	conn  net.Conn
	clock jujubegate.Clock
	names *HeaderNames

	mu      sync.Mutex
	current *exchange
	// closed is set when the connection accepts no more requests, ended when end
	// has run.
	closed bool
	ended  bool

	// answered is set after the first valid answer.
	answered atomic.Bool
	// idleSince and idleLimit are guarded by the pool. idleLimit is how long the
	// target keeps idle connections; 0 if it did not say.
	idleSince time.Time
	idleLimit time.Duration
	// onEnd is called once, when the connection has ended.
	onEnd func(*connection)
}

func newConnection(conn net.Conn, clock jujubegate.Clock, names *HeaderNames, onEnd func(*connection)) *connection {
	c := &connection{conn: conn, clock: clock, names: names, onEnd: onEnd}
	go c.read()
	return c
}

// start sends the request. If it returns an error, nothing was sent.
func (c *connection) start(r *Request, targetID string) (*exchange, error) {
	e := &exchange{request: r, done: make(chan *result, 1)}
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, net.ErrClosed
	}
	c.current = e
	c.mu.Unlock()
	message := appendRequest(make([]byte, 0, 512+len(r.Body)), r, c.names, targetID, c.clock.Now())
	message = append(message, r.Body...)
	if len(message) <= inlineWriteBytes {
		// Set before the write, since the answer can be read before Write returns.
		// A failed write ends the connection.
		e.written.Store(true)
		c.write(e, message)
	} else {
		go c.write(e, message)
	}
	return e, nil
}

func (c *connection) write(e *exchange, message []byte) {
	if _, err := c.conn.Write(message); err != nil {
		c.end(fmt.Errorf("write request: %w", err))
		return
	}
	e.written.Store(true)
}

// read delivers answers to their exchanges until the connection ends.
func (c *connection) read() {
	r := bufio.NewReaderSize(c.conn, readBufferBytes)
	for {
		if _, err := r.Peek(1); err != nil {
			c.end(fmt.Errorf("read answer: %w", err))
			return
		}
		c.mu.Lock()
		e := c.current
		c.mu.Unlock()
		if e == nil {
			c.end(errIdleBytes)
			return
		}
		res := c.readMatching(r, e)
		if !res.reusable {
			c.markClosed()
		}
		c.mu.Lock()
		ended := c.current != e
		c.current = nil
		c.mu.Unlock()
		if ended {
			return
		}
		if res.err == nil {
			c.answered.Store(true)
		}
		e.done <- &res
		if !res.reusable {
			c.end(res.err)
			return
		}
	}
}

// readMatching reads answers up to the one whose ID is that of the request. A
// target may first send a second answer to an earlier request.
func (c *connection) readMatching(r *bufio.Reader, e *exchange) result {
	for range maxForeignAnswers + 1 {
		res, foreign := c.readAnswer(r, e)
		if res.err != nil || !foreign {
			return res
		}
		if !res.reusable {
			return result{err: errForeign}
		}
	}
	return result{err: errForeign}
}

// readAnswer reads one answer and reports whether it is for another request.
func (c *connection) readAnswer(r *bufio.Reader, e *exchange) (result, bool) {
	response, err := http.ReadResponse(r, &http.Request{Method: e.request.Method})
	if err != nil {
		return result{err: fmt.Errorf("read answer: %w", err)}, false
	}
	if response.StatusCode < http.StatusOK {
		return result{reusable: true}, true
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	response.Body.Close()
	if err != nil {
		return result{err: fmt.Errorf("read answer: %w", err)}, false
	}
	if len(body) > maxAnswerBytes {
		return result{err: fmt.Errorf("read answer: body exceeds %d bytes", maxAnswerBytes)}, false
	}
	now := c.clock.Now()
	h := response.Header
	a := Answer{
		Status: response.StatusCode, Header: h, Body: body,
		Signature:   h.Get(c.names.Signature),
		NotRun:      h.Get(c.names.NotRun) != "" || response.StatusCode == http.StatusMisdirectedRequest,
		Misdirected: response.StatusCode == http.StatusMisdirectedRequest,
		Load:        parseLoad(h.Get(c.names.Load), now),
	}
	if limit := keepAliveTimeout(h); limit > 0 {
		c.idleLimit = limit
	}
	reusable := !response.Close && e.written.Load() && response.ContentLength >= 0 || isChunked(response) && !response.Close && e.written.Load()
	id := h.Get(c.names.RequestID)
	if id == e.request.ID {
		return result{answer: a, reusable: reusable}, false
	}
	if id == "" && a.NotRun {
		// A refusal needs no ID. Even if it is meant for an earlier request on this
		// connection, the request in flight has no answer of its own.
		return result{answer: a, reusable: reusable}, false
	}
	return result{reusable: reusable}, true
}

func isChunked(r *http.Response) bool {
	return len(r.TransferEncoding) > 0 && r.TransferEncoding[0] == "chunked"
}

// markClosed marks the connection as unusable, so that it is not reused after
// its last answer is delivered.
func (c *connection) markClosed() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
}

// end closes the connection and fails the request in flight.
func (c *connection) end(cause error) {
	c.mu.Lock()
	e, first := c.current, !c.ended
	c.current = nil
	c.closed, c.ended = true, true
	c.mu.Unlock()
	c.conn.Close()
	if e != nil {
		if cause == nil {
			cause = net.ErrClosed
		}
		e.done <- &result{err: cause}
	}
	if first {
		c.onEnd(c)
	}
}

// usable reports whether the connection is open and carries no request.
func (c *connection) usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && c.current == nil
}

// wait returns the result and true, or the cause of the context's end and
// false. In the latter case the request still occupies the connection.
func (e *exchange) wait(ctx context.Context) (*result, bool) {
	select {
	case res := <-e.done:
		return res, true
	case <-ctx.Done():
		return &result{err: context.Cause(ctx)}, false
	}
}
