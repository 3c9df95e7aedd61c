package dialer

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/samber/oops"

	"jujubegate.example/jujubegate"
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
	// broken is called when the target has closed a connection, restarted when
	// it has closed all of them.
	broken, restarted func()
	clock             jujubegate.Clock

	mu            sync.Mutex
	bound, wanted int
	// open counts the connections, alive those that the target has not closed.
	open, alive int
	spares      []*conn
	closed      bool
	// changed is closed and replaced when a connection ends or the bound grows.
	changed chan struct{}
	losses  losses
	kick    chan struct{}
}

func newPool(s Settings, address string) *pool {
	return &pool{
		dial: s.Dial, address: address, grace: s.Grace, broken: s.Broken, restarted: s.Restarted, clock: s.Clock,
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
	c := newConn(raw, p.grace, p.ended, p.lost)
	c.era = p.losses.era
	return c, nil
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
	p.losses.lost(c, p.alive, p.clock.Now())
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
		p.losses.ended(c)
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
		interval := PollInterval
		if p.losing() {
			interval = lossInterval
		}
		select {
		case <-p.kick:
		case <-p.clock.After(interval):
		case <-ctx.Done():
			return
		}
	}
}

// sweep drops closed spares and reports the connections that the target has
// closed.
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
	broken, restarted := p.losses.take(p.clock.Now())
	p.mu.Unlock()
	if broken && p.broken != nil {
		p.broken()
	}
	if restarted && p.restarted != nil {
		p.restarted()
	}
}

// losing reports whether a restart may be in progress.
func (p *pool) losing() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.losses.active
}

// refused notes that a connection could not be opened.
func (p *pool) refused() {
	p.mu.Lock()
	restarted := p.losses.unreachable()
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
			p.refused()
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
