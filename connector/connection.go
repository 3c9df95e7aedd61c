package connector

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"jujubegate.example/jujubegate"
)

const (
	// maxAnswerBytes bounds the body of an answer unless its request sets another
	// limit. Memory bounds the large bodies of all connections together.
	maxAnswerBytes = 8 << 20
	// maxOverheadBytes bounds the sizes and extensions of the chunks of a body and
	// its trailers.
	maxOverheadBytes = 64 << 10
	// maxForeignAnswers is how many answers to other requests are skipped before the
	// expected one, and maxForeignBytes bounds the body of each. More of them mean
	// that the target is broken.
	maxForeignAnswers = 2
	maxForeignBytes   = 256 << 10
	readBufferBytes   = 4 << 10
	// inlineWriteBytes is the size up to which a request is written synchronously.
	// It fits the smallest socket send buffers, so that the write does not block.
	inlineWriteBytes = 16 << 10
)

var (
	errIdleBytes = errors.New("target sent data while no request was in flight")
	errForeign   = errors.New("target answered only other requests")
	errNoID      = errors.New("target refused a request without saying which one")
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
	// memory bounds the large bodies of all connections; nil means no bound.
	memory *Memory
	// answers counts the answers that were read. Only the reader uses it.
	answers int

	mu      sync.Mutex
	current *exchange
	// closed is set when the connection accepts no more requests, ended when end
	// has run.
	closed bool
	ended  bool

	// lost is set if the target closed or reset the connection.
	lost atomic.Bool
	// answered is set after the first valid answer, or one for which this instance
	// has no memory, which is no fault of the target.
	answered atomic.Bool
	// idleSince and idleLimit are guarded by the pool. idleLimit is how long the
	// target keeps idle connections; 0 if it did not say.
	idleSince time.Time
	idleLimit time.Duration
	// onEnd is called once, when the connection has ended.
	onEnd func(*connection)
}

func newConnection(conn net.Conn, settings *Settings, onEnd func(*connection)) *connection {
	c := &connection{conn: conn, clock: settings.Clock, names: settings.Names, memory: settings.Memory, onEnd: onEnd}
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
	m := &meteredReader{reader: c.conn}
	r := &answerReader{Reader: bufio.NewReaderSize(m, readBufferBytes), meter: m}
	for {
		m.allow(readBufferBytes)
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
		if res.err == nil || errors.Is(res.err, ErrMemory) {
			c.answered.Store(true)
		}
		e.done <- &res
		if !res.reusable {
			c.end(res.err)
			return
		}
	}
}

// answerReader is the buffered reader of a connection with its meter.
type answerReader struct {
	*bufio.Reader
	meter *meteredReader
}

// readMatching reads answers up to the one whose ID is that of the request. A
// target may first send a second answer to an earlier request.
func (c *connection) readMatching(r *answerReader, e *exchange) result {
	for range maxForeignAnswers + 1 {
		res, foreign := c.readAnswer(r, e)
		if res.err != nil {
			res.err = fmt.Errorf("read answer: %w", res.err)
			return res
		}
		if !foreign {
			c.answers++
			return res
		}
		if !res.reusable {
			return result{err: errForeign}
		}
	}
	return result{err: errForeign}
}

// readAnswer reads one answer and reports whether it is for another request.
func (c *connection) readAnswer(r *answerReader, e *exchange) (res result, foreign bool) {
	response, err := readHead(r, e.request.Method)
	if err != nil {
		return result{err: err}, false
	}
	defer response.Body.Close()
	if limit := keepAliveTimeout(response.Header); limit > 0 {
		c.idleLimit = limit
	}
	limit := e.request.MaxAnswer
	if limit <= 0 {
		limit = maxAnswerBytes
	}
	switch id := response.Header.Get(c.names.RequestID); {
	case id == "" && c.isRefusal(response):
		// It may be for an earlier request unless there was none.
		if c.answers > 0 {
			return result{err: errNoID}, false
		}
	case id != e.request.ID:
		foreign, limit = true, maxForeignBytes
	}
	r.meter.allow(int64(limit + maxOverheadBytes))
	body, err := ReadBody(response.Body, bodyLength(response), limit, c.memory)
	if err != nil {
		return result{err: err}, false
	}
	delimited := response.ContentLength >= 0 || isChunked(response)
	res.reusable = delimited && !response.Close && e.written.Load()
	if !foreign {
		res.answer = c.newAnswer(response, body)
	}
	return res, foreign
}

// isRefusal reports whether an answer says that the request did not run.
func (c *connection) isRefusal(response *http.Response) bool {
	return response.Header.Get(c.names.NotRun) != "" || response.StatusCode == http.StatusMisdirectedRequest
}

func (c *connection) newAnswer(response *http.Response, body []byte) Answer {
	h := response.Header
	return Answer{
		Status: response.StatusCode, Header: h, Body: body,
		Signature:   h.Get(c.names.Signature),
		NotRun:      c.isRefusal(response),
		Misdirected: response.StatusCode == http.StatusMisdirectedRequest,
		Load:        parseLoad(h.Get(c.names.Load), c.clock.Now()),
		Limit:       parseLimit(h, c.names.Limit),
		Leaving:     isSet(h, c.names.Leaving),
		Pause:       parsePause(response.StatusCode, h),
	}
}

// isSet reports whether a header that marks an answer is there, and is not 0.
func isSet(h http.Header, name string) bool {
	text := strings.TrimSpace(h.Get(name))
	return text != "" && text != "0"
}

// bodyLength returns the announced length of a body, or -1 if there is none. An answer
// to HEAD, or with a status that has no body, announces the length of another one.
func bodyLength(r *http.Response) int64 {
	if r.Body == http.NoBody {
		return 0
	}
	if isChunked(r) {
		return -1
	}
	return r.ContentLength
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
	if first {
		c.lost.Store(BrokenByTarget(cause))
	}
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
