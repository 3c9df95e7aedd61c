// Package connector holds the connections to one target and sends opaque
// requests over them, one at a time on each and each at most once.
package connector

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"jujubegate.example/jujubegate"
)

const (
	// DialTimeout bounds the opening of a connection; a target that is alive
	// accepts within its handshake of a few milliseconds.
	DialTimeout = 500 * time.Millisecond
	// abandonLimit is how long the answer to an abandoned request is awaited
	// before its connection is closed, so that a short pause of the target costs
	// no new connection.
	abandonLimit = time.Second
	// defaultIdleLimit is how long an idle connection is kept if the target
	// does not say how long it keeps it.
	defaultIdleLimit = 60 * time.Second
	// idleMargin is how long before the target's limit an idle connection is
	// given up, since a request could cross the close.
	idleMargin = 500 * time.Millisecond
	// freshLimit is the idle time up to which a connection may carry a request
	// that must not run twice.
	freshLimit = time.Second
	// minRefusal and maxRefusal bound the pause after a target has reset a new
	// connection or could not be reached; it doubles with each one in a row.
	minRefusal = 50 * time.Millisecond
	maxRefusal = time.Second
	// probeIdle, probeInterval and probeCount find connections that went
	// silent, within 2.5 s.
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 3
)

// Errors of a request. A request that failed with ErrNotSent has not run.
var (
	ErrNotSent = errors.New("the request was not sent")
	ErrClosed  = errors.New("the target is no longer used")
	// ErrRefusing is the error of a target that resets new connections.
	ErrRefusing = errors.New("the target refuses new connections")
)

// BrokenError is the end of a request that was sent and may have run.
type BrokenError struct{ Cause error }

// Error returns the cause.
func (e *BrokenError) Error() string { return "the request may have run: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// Settings are the dependencies of a Pool.
type Settings struct {
	Target jujubegate.Address
	// TargetID is the ID of the target, which other ones with its address refuse.
	TargetID string
	Names    *HeaderNames
	Clock    jujubegate.Clock
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Opened is called for each connection that is opened; nil ignores it.
	Opened func()
}

// Pool holds the connections to one target. It is safe for concurrent use.
type Pool struct {
	settings Settings
	bound    atomic.Int64

	mu      sync.Mutex
	idle    []*connection
	open    int
	waiters []chan grant
	closed  bool
	// refusals counts new connections in a row that served no request; none is
	// opened before refusedUntil.
	refusals     int
	refusedUntil time.Time
}

type grant struct {
	conn *connection
	err  error
}

// New returns a pool without connections that may open up to bound of them.
func New(settings Settings, bound int) *Pool {
	if settings.Dial == nil {
		settings.Dial = dialer().DialContext
	}
	p := &Pool{settings: settings}
	p.bound.Store(int64(bound))
	return p
}

func dialer() *net.Dialer {
	return &net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
	}}
}

// SetBound replaces the number of connections that may be open. Connections
// above a lowered bound are closed once they are idle.
func (p *Pool) SetBound(bound int) { p.bound.Store(int64(bound)) }

// HasCapacity reports whether a request would start without waiting for another one.
func (p *Pool) HasCapacity() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0 || p.mayDial()
}

// mayDial reports whether one more connection may be opened now.
func (p *Pool) mayDial() bool {
	return p.open < int(p.bound.Load()) && !p.settings.Clock.Now().Before(p.refusedUntil)
}

// refused notes a connection that could not be used at all.
func (p *Pool) refused() {
	pause := min(minRefusal<<min(p.refusals, 8), maxRefusal)
	p.refusals++
	p.refusedUntil = p.settings.Clock.Now().Add(pause)
}

// CloseIdle closes connections that have been idle for longer.
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

// Close closes idle connections now and busy ones after their request.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	for _, w := range p.waiters {
		w <- grant{err: ErrClosed}
	}
	p.idle, p.waiters = nil, nil
	p.mu.Unlock()
	for _, c := range idle {
		c.conn.Close()
	}
}

// Send sends the request and waits for its answer. The error is ErrNotSent or
// ErrClosed if nothing was sent, else a BrokenError. If the context ends with
// ErrAbandoned as its cause, the answer is still read so that the connection
// can be kept; any other end closes the connection, which cancels the request.
func (p *Pool) Send(ctx context.Context, r *Request) (Answer, error) {
	for {
		c, err := p.acquire(ctx, r.Fresh)
		if err != nil {
			return Answer{}, errors.Join(ErrNotSent, err)
		}
		e, err := c.start(r, p.settings.TargetID)
		if err != nil {
			// The connection ended while it was idle; nothing was sent on it.
			continue
		}
		res, ended := e.wait(ctx)
		if ended {
			if res.err == nil {
				p.accepted()
			}
			p.release(c, res.keep)
			if res.err != nil {
				return Answer{}, &BrokenError{res.err}
			}
			return res.answer, nil
		}
		if errors.Is(res.err, ErrAbandoned) {
			go p.drain(c, e)
		} else {
			c.conn.Close()
		}
		return Answer{}, &BrokenError{res.err}
	}
}

// ErrAbandoned is the cause by which a caller of Send gives up on an answer
// that it no longer needs although the target may go on.
var ErrAbandoned = errors.New("another target answered first")

// drain keeps the connection of an abandoned request if its answer comes soon.
func (p *Pool) drain(c *connection, e *exchange) {
	select {
	case res := <-e.done:
		p.release(c, res.keep)
	case <-p.settings.Clock.After(abandonLimit):
		c.conn.Close()
	}
}

// acquire returns an idle connection, or a new one within the bound, or waits.
func (p *Pool) acquire(ctx context.Context, fresh bool) (*connection, error) {
	now := p.settings.Clock.Now()
	p.mu.Lock()
	if p.closed {
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
		p.open++
		go p.dial()
	}
	p.mu.Unlock()
	select {
	case g := <-w:
		return g.conn, g.err
	case <-ctx.Done():
		p.withdraw(w)
		return nil, context.Cause(ctx)
	}
}

// takeIdle removes the connection that was used last, and closes those that the
// target may be about to close. A fresh request that finds only older ones
// closes the oldest if there is no room for a new one.
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
			// The room of the closed connection is free once its reader has ended.
		}
		return nil
	}
	p.idle = p.idle[:n-1]
	return c
}

func (p *Pool) withdraw(w chan grant) {
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

// dial opens a connection for the waiter at the head of the queue.
func (p *Pool) dial() {
	ctx, cancel := context.WithTimeout(context.Background(), DialTimeout)
	defer cancel()
	conn, err := p.settings.Dial(ctx, "tcp", string(p.settings.Target))
	if err != nil {
		p.mu.Lock()
		p.open--
		p.refused()
		for _, w := range p.waiters {
			w <- grant{err: fmt.Errorf("open connection: %w", err)}
		}
		p.waiters = nil
		p.mu.Unlock()
		return
	}
	if p.settings.Opened != nil {
		p.settings.Opened()
	}
	p.release(newConnection(conn, p.settings.Clock, p.settings.Names, p.lost), true)
}

// release hands a connection to the next waiter, or keeps it idle.
func (p *Pool) release(c *connection, keep bool) {
	if !keep || !c.usable() {
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
		// The grant is sent under the lock, so that withdraw finds it.
		p.waiters[0] <- grant{conn: c}
		p.waiters = p.waiters[1:]
		p.mu.Unlock()
		return
	}
	c.idleSince = p.settings.Clock.Now()
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// accepted notes an answer, after which a refused connection pauses anew.
func (p *Pool) accepted() {
	p.mu.Lock()
	p.refusals = 0
	p.mu.Unlock()
}

// lost forgets a connection that ended, and opens another one if requests wait.
func (p *Pool) lost(c *connection) {
	p.mu.Lock()
	p.open--
	p.idle = slices.DeleteFunc(p.idle, func(other *connection) bool { return other == c })
	if !c.served.Load() && !p.closed {
		p.refused()
	}
	redial := len(p.waiters) > 0 && !p.closed && p.mayDial()
	if redial {
		p.open++
	} else if p.open == 0 {
		for _, w := range p.waiters {
			w <- grant{err: ErrRefusing}
		}
		p.waiters = nil
	}
	p.mu.Unlock()
	if redial {
		go p.dial()
	}
}
