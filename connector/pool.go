// Package connector provides a pool of connections to one target. It sends
// opaque requests, one at a time on each connection and each request at most
// once.
package connector

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"jujubegate.example/jujubegate"
)

const (
	// DialTimeout bounds opening a connection. A live target completes the
	// handshake within a few milliseconds.
	DialTimeout = 500 * time.Millisecond
	// abandonedAnswerTimeout is how long to wait for the answer to an abandoned
	// request before its connection is closed, so that a short stall of the target
	// does not cost a new connection.
	abandonedAnswerTimeout = time.Second
	// defaultIdleLimit is how long an idle connection is kept if the target
	// does not say how long it keeps it.
	defaultIdleLimit = 60 * time.Second
	// idleMargin is how long before the target's idle limit a connection is
	// closed, since a request could be sent just as the target closes it.
	idleMargin = 500 * time.Millisecond
	// freshLimit is the idle time up to which a connection may carry a request
	// that must not run twice.
	freshLimit = time.Second
	// minDialBackoff and maxDialBackoff bound the backoff after a target reset
	// a new connection or could not be reached. It doubles with each
	// consecutive failure.
	minDialBackoff = 50 * time.Millisecond
	maxDialBackoff = time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure TCP keep-alive
	// to detect dead connections within 2.5 s.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
)

// Errors of a request. A request that failed with ErrNotSent has not run.
var (
	ErrNotSent = errors.New("the request was not sent")
	ErrClosed  = errors.New("the target is no longer used")
	// ErrRefusing is returned while there is no connection to the target and none
	// may be opened, usually because the target reset the last ones.
	ErrRefusing = errors.New("the target refuses new connections")
	// ErrWithheld is returned if Hooks.Permit returned false.
	ErrWithheld = errors.New("the target may get no further request now")
)

// BrokenError is the error of a request that was sent but not answered, and may
// have run.
type BrokenError struct{ Cause error }

// Error returns the text of the cause, marked as an unknown outcome.
func (e *BrokenError) Error() string { return "the request may have run: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// Settings are the dependencies of a Pool.
type Settings struct {
	Target jujubegate.Address
	// TargetID is the ID of the target. Another target that now has the address
	// refuses requests with this ID.
	TargetID string
	Names    *HeaderNames
	Clock    jujubegate.Clock
	// Memory bounds the large answers of all pools together; nil means no bound.
	Memory *Memory
	// Dial opens a connection; nil means the function Dial.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Opened is called for each new connection; may be nil.
	Opened func()
	// Lost is called when the target has closed or reset the last connection; may be nil.
	Lost func()
}

// Pool holds the connections to one target. It is safe for concurrent use.
type Pool struct {
	settings Settings
	// bound is the maximum number of open connections.
	bound atomic.Int64
	// expiry is when the pool stops to send requests; nil means never.
	expiry atomic.Pointer[time.Time]
	// unreachable is set while the last connection could not be opened.
	unreachable atomic.Bool

	mu sync.Mutex
	// idle holds the idle connections, the most recently used one last.
	idle []*connection
	// open is the number of connections that are open or being opened.
	open int
	// waiters is the queue of requests that wait for a connection.
	waiters []chan grant
	closed  bool
	// dialFailures counts consecutive connections that could not be opened or
	// ended without an answer. No connection is opened before dialAllowedAt.
	dialFailures  int
	dialAllowedAt time.Time
	// dialing is the number of connections that are being opened, and refusedAt when the
	// target last refused one.
	dialing   int
	refusedAt time.Time
}

// grant is what a waiter receives: a connection, or why there is none.
type grant struct {
	conn *connection
	err  error
}

// New returns an empty pool that may open up to bound connections.
func New(settings Settings, bound int) *Pool {
	if settings.Dial == nil {
		settings.Dial = Dial
	}
	p := &Pool{settings: settings}
	p.bound.Store(int64(bound))
	return p
}

// Dial opens a TCP connection that detects the loss of its other end.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	return d.DialContext(ctx, network, address)
}

// SetBound sets the maximum number of open connections. If it is lowered,
// excess connections are closed when their request ends.
func (p *Pool) SetBound(bound int) { p.bound.Store(int64(bound)) }

// SetExpiry sets the time from which on no request is sent, also none that waits
// for a connection; zero means none. From then on Send returns ErrClosed.
func (p *Pool) SetExpiry(at time.Time) {
	if at.IsZero() {
		p.expiry.Store(nil)
		return
	}
	p.expiry.Store(&at)
	if !p.Expired(p.settings.Clock.Now()) {
		return
	}
	p.mu.Lock()
	p.failWaiters(ErrClosed)
	p.mu.Unlock()
}

// Expired reports whether the time of SetExpiry has come.
func (p *Pool) Expired(now time.Time) bool {
	at := p.expiry.Load()
	return at != nil && !now.Before(*at)
}

// failWaiters fails all requests that wait for a connection. The caller holds mu.
func (p *Pool) failWaiters(err error) {
	for _, w := range p.waiters {
		w <- grant{err: err}
	}
	p.waiters = nil
}

// HasCapacity reports whether there is an idle connection or a new one may be
// opened now, so that a request need not wait for another one to end.
func (p *Pool) HasCapacity() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0 || p.mayDial()
}

// mayDial reports whether another connection may be opened now.
func (p *Pool) mayDial() bool {
	return p.open < int(p.bound.Load()) && !p.settings.Clock.Now().Before(p.dialAllowedAt)
}

// backOff delays the next dial, after a failed one or after a connection that
// ended without an answer.
func (p *Pool) backOff() {
	backoff := min(minDialBackoff<<min(p.dialFailures, 8), maxDialBackoff)
	p.dialFailures++
	p.dialAllowedAt = p.settings.Clock.Now().Add(backoff)
}

// CloseIdle closes the connections that have been idle for longer than idle.
func (p *Pool) CloseIdle(idle time.Duration) {
	now := p.settings.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = slices.DeleteFunc(p.idle, func(c *connection) bool {
		old := now.Sub(c.idleSince) > idle
		if old {
			c.conn.Close()
		}
		return old
	})
}

// Close closes idle connections at once and busy ones when their request ends.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	p.failWaiters(ErrClosed)
	p.mu.Unlock()
	for _, c := range idle {
		c.conn.Close()
	}
}

// Send sends the request and waits for its answer. The error wraps ErrNotSent
// and the reason, such as ErrClosed, if nothing was sent; otherwise it is a
// *BrokenError. If the context ends with the cause ErrAbandoned, the answer is
// still read so that the connection can be reused. If it ends for any other
// cause, the connection is closed, which cancels the request.
func (p *Pool) Send(ctx context.Context, r *Request) (Answer, error) {
	return p.SendWith(ctx, r, Hooks{})
}

// Hooks are functions that are called for one request. Each may be nil.
type Hooks struct {
	// Permit is called once when there is a connection. If it returns false, the request
	// is not sent.
	Permit func() bool
	// Late is called with the answer to a request that was sent and then abandoned, or
	// with an error if none came in time.
	Late func(Answer, error)
}

// SendWith sends the request as Send does, with hooks. If it is not permitted, the
// error wraps ErrNotSent and ErrWithheld.
func (p *Pool) SendWith(ctx context.Context, r *Request, hooks Hooks) (Answer, error) {
	permitted := hooks.Permit == nil
	for {
		c, err := p.acquire(ctx, r.Fresh)
		if err != nil {
			return Answer{}, errors.Join(ErrNotSent, err)
		}
		if p.Expired(p.settings.Clock.Now()) {
			p.release(c, true)
			return Answer{}, errors.Join(ErrNotSent, ErrClosed)
		}
		if permitted = permitted || hooks.Permit(); !permitted {
			p.release(c, true)
			return Answer{}, errors.Join(ErrNotSent, ErrWithheld)
		}
		e, err := c.start(r, p.settings.TargetID)
		if err != nil {
			// The connection ended while it was idle, so nothing was sent.
			continue
		}
		res, ended := e.wait(ctx)
		if ended {
			if res.err == nil {
				p.resetBackoff()
			}
			p.release(c, res.reusable)
			if res.err != nil {
				return Answer{}, &BrokenError{fmt.Errorf("target %s: %w", p.settings.TargetID, res.err)}
			}
			return res.answer, nil
		}
		if errors.Is(res.err, ErrAbandoned) {
			go p.awaitAbandoned(c, e, hooks.Late)
		} else {
			c.conn.Close()
		}
		return Answer{}, &BrokenError{res.err}
	}
}

// ErrAbandoned is the context cause with which the code that called Send
// abandons an answer that it no longer needs, without cancelling the request at
// the target.
var ErrAbandoned = errors.New("the answer is no longer needed")

// awaitAbandoned returns the connection of an abandoned request to the pool if
// the answer arrives within abandonedAnswerTimeout, and closes it otherwise.
func (p *Pool) awaitAbandoned(c *connection, e *exchange, late func(Answer, error)) {
	res := &result{err: fmt.Errorf("none within %v: %w", abandonedAnswerTimeout, ErrAbandoned)}
	select {
	case res = <-e.done:
		p.release(c, res.reusable)
	case <-p.settings.Clock.After(abandonedAnswerTimeout):
		c.conn.Close()
	}
	if late != nil {
		late(res.answer, res.err)
	}
}

// acquire returns an idle connection, or opens one if the bound allows it, or
// waits for one. Fresh is Request.Fresh.
func (p *Pool) acquire(ctx context.Context, fresh bool) (*connection, error) {
	now := p.settings.Clock.Now()
	p.mu.Lock()
	if p.closed || p.Expired(now) {
		p.mu.Unlock()
		return nil, ErrClosed
	}
	if c := p.takeIdle(now, fresh); c != nil {
		p.mu.Unlock()
		return c, nil
	}
	mayDial := p.mayDial()
	if p.open == 0 && !mayDial {
		p.mu.Unlock()
		return nil, ErrRefusing
	}
	w := make(chan grant, 1)
	p.waiters = append(p.waiters, w)
	if mayDial {
		p.startDial()
	}
	p.mu.Unlock()
	select {
	case g := <-w:
		return g.conn, g.err
	case <-ctx.Done():
		p.cancelWait(w)
		return nil, context.Cause(ctx)
	}
}

// takeIdle removes and returns the most recently used idle connection. It first
// closes those that the target may be about to close. If fresh is set and that
// connection has been idle for too long, it returns nil, and closes the oldest
// idle one if the bound leaves no slot for a new connection.
func (p *Pool) takeIdle(now time.Time, fresh bool) *connection {
	p.idle = slices.DeleteFunc(p.idle, func(c *connection) bool {
		limit := defaultIdleLimit
		if c.idleLimit > 0 {
			limit = c.idleLimit - idleMargin
		}
		stale := now.Sub(c.idleSince) >= limit || !c.usable()
		if stale {
			c.conn.Close()
		}
		return stale
	})
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	if fresh && now.Sub(c.idleSince) > freshLimit {
		if p.open >= int(p.bound.Load()) {
			p.idle[0].conn.Close()
			p.idle = p.idle[1:]
			// The slot becomes free when the reader of the closed connection ends.
		}
		return nil
	}
	p.idle = p.idle[:n-1]
	return c
}

// cancelWait removes a waiter from the queue. A connection that it was already
// given goes back to the pool.
func (p *Pool) cancelWait(w chan grant) {
	p.mu.Lock()
	p.waiters = slices.DeleteFunc(p.waiters, func(other chan grant) bool { return other == w })
	p.mu.Unlock()
	select {
	case g := <-w:
		if g.conn != nil {
			p.release(g.conn, true)
		}
	default:
	}
}

// startDial opens a connection in the background. The caller holds mu.
func (p *Pool) startDial() {
	p.open++
	p.dialing++
	go p.dial()
}

// dial opens a connection for the first waiter in the queue. If that fails, all
// waiters fail.
func (p *Pool) dial() {
	ctx, cancel := context.WithTimeout(context.Background(), DialTimeout)
	defer cancel()
	conn, err := p.settings.Dial(ctx, "tcp", string(p.settings.Target))
	p.unreachable.Store(err != nil)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.dialing--
		if errors.Is(err, syscall.ECONNREFUSED) {
			p.refusedAt = p.settings.Clock.Now()
		}
		p.backOff()
		p.failWaiters(fmt.Errorf("open connection: %w", err))
		p.mu.Unlock()
		return
	}
	p.mu.Lock()
	p.dialing--
	p.mu.Unlock()
	if p.settings.Opened != nil {
		p.settings.Opened()
	}
	p.release(newConnection(conn, &p.settings, p.connectionEnded), true)
}

// release passes a connection to the next waiter or makes it idle. It closes
// the connection if it is not reusable or exceeds the bound, or if the pool is
// closed.
func (p *Pool) release(c *connection, reusable bool) {
	if !reusable || !c.usable() {
		c.conn.Close()
		return
	}
	p.mu.Lock()
	if p.closed || p.open > int(p.bound.Load()) {
		p.mu.Unlock()
		c.conn.Close()
		return
	}
	if len(p.waiters) > 0 {
		// Sent under the lock, so that cancelWait finds it in the channel.
		p.waiters[0] <- grant{conn: c}
		p.waiters = p.waiters[1:]
		p.mu.Unlock()
		return
	}
	c.idleSince = p.settings.Clock.Now()
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// resetBackoff starts the backoff again at minDialBackoff, after an answer.
func (p *Pool) resetBackoff() {
	p.mu.Lock()
	p.dialFailures = 0
	p.mu.Unlock()
}

// connectionEnded removes a connection that ended. If requests are waiting, it
// opens another one, or fails them if none is open and none may be opened now.
func (p *Pool) connectionEnded(c *connection) {
	p.mu.Lock()
	p.open--
	p.idle = slices.DeleteFunc(p.idle, func(other *connection) bool { return other == c })
	if !c.answered.Load() && !p.closed {
		p.backOff()
	}
	lost := c.lost.Load() && !p.closed && p.open == p.dialing
	if len(p.waiters) > 0 && !p.closed && p.mayDial() {
		p.startDial()
	} else if p.open == 0 {
		p.failWaiters(ErrRefusing)
	}
	p.mu.Unlock()
	if lost && p.settings.Lost != nil {
		p.settings.Lost()
	}
}
