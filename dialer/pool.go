package dialer

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/samber/oops"
)

// ErrUnreachable is the error of a connection that could not be opened.
var ErrUnreachable = errors.New("the target is unreachable")

// errNoConnection is the error of a request for which no connection was free.
var errNoConnection = errors.New("all connections are in use")

// pool opens connections ahead of need and bounds their number. A connection
// counts from the start of its opening until its full close.
type pool struct {
	dial    func(ctx context.Context, network, address string) (net.Conn, error)
	address string
	grace   time.Duration
	// restarted is called when the target has closed all connections.
	restarted func()
	// after waits for the next maintenance.
	after func(time.Duration) <-chan time.Time

	mu            sync.Mutex
	bound, wanted int
	// open counts the connections, alive those that the target has not closed.
	open, alive int
	spares      []*conn
	closed      bool
	// changed is closed and replaced when a connection ends or the bound grows.
	changed chan struct{}
	// broken is set when the target has closed a connection since the last maintenance.
	broken bool
	kick   chan struct{}
}

func newPool(s Settings, address string) *pool {
	return &pool{
		dial: s.Dial, address: address, grace: s.Grace, restarted: s.Restarted, after: s.Clock.After,
		bound: min(2, s.Connections), changed: make(chan struct{}), kick: make(chan struct{}, 1),
	}
}

// setBound reports whether idle connections must be closed to keep the bound.
func (p *pool) setBound(bound, wanted int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	grown := bound > p.bound
	changed := bound != p.bound || wanted != p.wanted
	p.bound, p.wanted = bound, wanted
	if changed {
		p.wake()
	}
	if grown {
		p.broadcast()
	}
	for p.open > p.bound && len(p.spares) > 0 {
		go p.drop(p.takeSpare())
	}
	return p.open > p.bound
}

func (p *pool) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// wake lets maintain run; broadcast wakes those that wait for a connection.
func (p *pool) wake() {
	select {
	case p.kick <- struct{}{}:
	default:
	}
}

func (p *pool) broadcast() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *pool) takeSpare() *conn {
	c := p.spares[len(p.spares)-1]
	p.spares = p.spares[:len(p.spares)-1]
	return c
}

// drop closes a connection that was never used.
func (p *pool) drop(c *conn) { _ = c.Close() }

// dialContext hands out a connection opened ahead, or opens one if the bound allows it.
func (p *pool) dialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	for {
		p.mu.Lock()
		switch {
		case p.closed:
			p.mu.Unlock()
			return nil, oops.Errorf("the connections to target %s are closed", p.address)
		case len(p.spares) > 0:
			c := p.takeSpare()
			p.mu.Unlock()
			if c.alive() {
				return c, nil
			}
			p.lost(c)
			p.drop(c)
			continue
		case p.open < p.bound:
			p.open++
			p.mu.Unlock()
			return p.connect(ctx)
		}
		changed := p.changed
		p.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, oops.Wrapf(errNoConnection, "wait for a connection to target %s", p.address)
		}
	}
}

// connect opens a connection that open already counts.
func (p *pool) connect(ctx context.Context) (net.Conn, error) {
	raw, err := p.dial(ctx, "tcp", p.address)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil && p.closed {
		_ = raw.Close()
		err = net.ErrClosed
	}
	if err != nil {
		p.open--
		p.broadcast()
		return nil, oops.Wrapf(errors.Join(ErrUnreachable, err), "connect to target %s", p.address)
	}
	p.alive++
	return newConn(raw, p.grace, p.ended, p.lost), nil
}

// lost notes that the target has closed a connection.
func (p *pool) lost(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.lost {
		return
	}
	c.lost = true
	p.alive--
	p.broken = true
	p.wake()
}

// ended notes the full close of a connection.
func (p *pool) ended(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	if !c.lost {
		c.lost = true
		p.alive--
	}
	p.broadcast()
	p.wake()
}

// maintain opens connections ahead of need and drops spares that the target
// has closed, when something changes and once a second.
func (p *pool) maintain(ctx context.Context) {
	for {
		p.sweep()
		p.fill(ctx)
		select {
		case <-p.kick:
		case <-p.after(PollInterval):
		case <-ctx.Done():
			return
		}
	}
}

// sweep drops closed spares and reports a restart when the target has closed
// every connection.
func (p *pool) sweep() {
	p.mu.Lock()
	var dead []*conn
	kept := p.spares[:0]
	for _, c := range p.spares {
		if c.alive() {
			kept = append(kept, c)
		} else {
			dead = append(dead, c)
		}
	}
	p.spares = kept
	p.mu.Unlock()
	for _, c := range dead {
		p.lost(c)
		p.drop(c)
	}
	p.mu.Lock()
	restarted := p.broken && p.alive == 0
	p.broken = false
	p.mu.Unlock()
	if restarted && p.restarted != nil {
		p.restarted()
	}
}

// fill opens connections until as many as wanted are open. A failure is left
// to the next maintenance.
func (p *pool) fill(ctx context.Context) {
	for {
		p.mu.Lock()
		if p.closed || p.open >= min(p.wanted, p.bound) {
			p.mu.Unlock()
			return
		}
		p.open++
		p.mu.Unlock()
		dialing, cancel := context.WithTimeout(ctx, dialTimeout)
		c, err := p.connect(dialing)
		cancel()
		if err != nil {
			return
		}
		p.mu.Lock()
		if p.closed {
			p.mu.Unlock()
			_ = c.Close()
			return
		}
		p.spares = append(p.spares, c.(*conn))
		p.broadcast()
		p.mu.Unlock()
	}
}

func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	spares := p.spares
	p.spares = nil
	p.broadcast()
	p.mu.Unlock()
	for _, c := range spares {
		p.drop(c)
	}
}
