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
	// maxAnswerBytes bounds the body of an answer. Larger ones would let a few
	// requests exhaust the memory of a small instance.
	maxAnswerBytes = 8 << 20
	// maxForeignAnswers is how many answers to other requests are skipped
	// before the awaited one; more mean that the target is broken.
	maxForeignAnswers = 2
	readBufferBytes   = 4 << 10
	// inlineWriteBytes is the size up to which a request is written before the
	// answer is awaited. It fits the smallest send buffers.
	inlineWriteBytes = 16 << 10
)

var (
	errIdleBytes = errors.New("target sent bytes that no request asked for")
	errForeign   = errors.New("target answered other requests only")
)

// exchange is one request in flight and its answer.
type exchange struct {
	request *Request
	done    chan *result
	// written is set once the whole request has been sent, or is sent in one piece.
	written atomic.Bool
}

type result struct {
	answer Answer
	err    error
	// keep says that the connection can serve another request.
	keep bool
}

// connection is one connection to a target. A goroutine of its own reads it, so
// that a close or stray bytes are noticed while it is idle.
type connection struct {
	conn  net.Conn
	clock jujubegate.Clock
	names *HeaderNames

	mu      sync.Mutex
	current *exchange
	closed  bool
	ended   bool

	// served is set with the first answer.
	served atomic.Bool
	// idleSince and idleLimit are guarded by the pool.
	idleSince time.Time
	idleLimit time.Duration
	// lost is called once when the connection ends.
	lost func(*connection)
}

func newConnection(conn net.Conn, clock jujubegate.Clock, names *HeaderNames, lost func(*connection)) *connection {
	c := &connection{conn: conn, clock: clock, names: names, lost: lost}
	go c.read()
	return c
}

// start sends the request. The error says that nothing was sent.
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
		// The answer can be read before Write has returned here; a failed write
		// ends the connection.
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

// read delivers answers until the connection ends.
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
		res := c.readOwn(r, e)
		if !res.keep {
			c.retire()
		}
		c.mu.Lock()
		ended := c.current != e
		c.current = nil
		c.mu.Unlock()
		if ended {
			return
		}
		if res.err == nil {
			c.served.Store(true)
		}
		e.done <- &res
		if !res.keep {
			c.end(res.err)
			return
		}
	}
}

// readOwn reads answers until the one to the request. A target may send a
// second answer to an earlier request first, which its ID tells.
func (c *connection) readOwn(r *bufio.Reader, e *exchange) result {
	for range maxForeignAnswers + 1 {
		res, foreign := c.readAnswer(r, e)
		if res.err != nil || !foreign {
			return res
		}
		if !res.keep {
			return result{err: errForeign}
		}
	}
	return result{err: errForeign}
}

// readAnswer reads one answer and reports whether it belongs to another request.
func (c *connection) readAnswer(r *bufio.Reader, e *exchange) (result, bool) {
	response, err := http.ReadResponse(r, &http.Request{Method: e.request.Method})
	if err != nil {
		return result{err: fmt.Errorf("read answer: %w", err)}, false
	}
	if response.StatusCode < http.StatusOK {
		return result{keep: true}, true
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
	if limit := keepAlive(h); limit > 0 {
		c.idleLimit = limit
	}
	keep := !response.Close && e.written.Load() && response.ContentLength >= 0 || chunked(response) && !response.Close && e.written.Load()
	id := h.Get(c.names.RequestID)
	if id == e.request.ID {
		return result{answer: a, keep: keep}, false
	}
	if id == "" && a.NotRun {
		// A refusal needs no ID: whichever request it meant, this one has to be
		// taken as not answered unless the connection carried no other.
		return result{answer: a, keep: keep}, false
	}
	return result{keep: keep}, true
}

func chunked(r *http.Response) bool {
	return len(r.TransferEncoding) > 0 && r.TransferEncoding[0] == "chunked"
}

// retire marks the connection as unusable before its last answer is delivered.
func (c *connection) retire() {
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
		c.lost(c)
	}
}

// usable reports whether the connection is open and carries no request.
func (c *connection) usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && c.current == nil
}

// wait returns the answer, or the cause of the context's end, after which the
// connection still belongs to the request.
func (e *exchange) wait(ctx context.Context) (*result, bool) {
	select {
	case res := <-e.done:
		return res, true
	case <-ctx.Done():
		return &result{err: context.Cause(ctx)}, false
	}
}
