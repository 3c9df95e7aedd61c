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

// ErrUnreachable is returned if a connection could not be opened.
var ErrUnreachable = errors.New("the target is unreachable")

// errNoConnection is returned if no connection became free in time.
var errNoConnection = errors.New("all connections are in use")

// pool opens connections before they are needed and bounds their number. A
// connection counts from the start of its dial until it is fully closed.
type pool struct {
	dial    func(ctx context.Context, network, address string) (net.Conn, error)
	address string
	grace   time.Duration
	// onConnectionLost is called when the target has closed a connection, onRestarted
	// when it has closed all of them.
	onConnectionLost, onRestarted func()
	clock                         jujubegate.Clock

	mu sync.Mutex
	// bound is how many connections may be open, wanted how many are opened
	// before they are needed.
	bound, wanted int
	// open counts the connections including those being dialed, alive the
	// established ones that the target has not closed.
	open, alive int
	// spares are connections that were opened early and not used yet.
	spares []*conn
	closed bool
	// changed is closed and replaced when a connection may have become available.
	changed chan struct{}
	losses  lossTracker
	// wakeup runs the loop of maintain before its interval has passed.
	wakeup chan struct{}
}

func newPool(s Settings, address string) *pool {
	return &pool{
		dial: s.Dial, address: address, grace: s.Grace, onConnectionLost: s.ConnectionLost, onRestarted: s.Restarted, clock: s.Clock,
		bound: min(2, s.Connections), changed: make(chan struct{}), wakeup: make(chan struct{}, 1),
	}
}

// setBound sets the bound and the number of connections to open early. It
// reports whether idle connections must be closed to keep the bound.
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
		go p.closeSpare(p.takeSpare())
	}
	return p.open > p.bound
}

func (p *pool) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// wake runs the loop of maintain without waiting for its interval.
func (p *pool) wake() {
	select {
	case p.wakeup <- struct{}{}:
	default:
	}
}

// broadcast wakes the requests that wait for a connection.
func (p *pool) broadcast() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *pool) takeSpare() *conn {
	c := p.spares[len(p.spares)-1]
	p.spares = p.spares[:len(p.spares)-1]
	return c
}

// closeSpare closes a connection that was never used.
func (p *pool) closeSpare(c *conn) { _ = c.Close() }

// dialContext returns a spare connection, or opens one if the bound allows it.
// Otherwise it waits, at most for dialTimeout.
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
			p.connLost(c)
			p.closeSpare(c)
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

// connect opens a connection. The caller has already counted it in open.
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
	c := newConn(raw, p.grace, p.connClosed, p.connLost)
	c.windowNumber = p.losses.windowNumber
	return c, nil
}

// connLost records that the target has closed a connection.
func (p *pool) connLost(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.dead {
		return
	}
	c.dead = true
	p.alive--
	p.losses.recordLoss(c, p.alive, p.clock.Now())
	p.wake()
}

// connClosed records that a connection is fully closed.
func (p *pool) connClosed(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	if !c.dead {
		c.dead = true
		p.alive--
		p.losses.recordClose(c)
	}
	p.broadcast()
	p.wake()
}

// maintain opens wanted connections and drops spares that the target has closed:
// after each change, every PollInterval, and more often in a loss window.
func (p *pool) maintain(ctx context.Context) {
	for {
		p.sweep()
		p.fill(ctx)
		interval := PollInterval
		if p.inLossWindow() {
			interval = lossCheckInterval
		}
		select {
		case <-p.wakeup:
		case <-p.clock.After(interval):
		case <-ctx.Done():
			return
		}
	}
}

// sweep drops spares that the target has closed, and calls onConnectionLost and
// onRestarted for the losses since the last sweep.
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
		p.connLost(c)
		p.closeSpare(c)
	}
	p.mu.Lock()
	lost, restarted := p.losses.check(p.clock.Now())
	p.mu.Unlock()
	if lost && p.onConnectionLost != nil {
		p.onConnectionLost()
	}
	if restarted && p.onRestarted != nil {
		p.onRestarted()
	}
}

// inLossWindow reports whether the target may be restarting.
func (p *pool) inLossWindow() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.losses.active
}

// dialFailed records that a connection could not be opened.
func (p *pool) dialFailed() {
	p.mu.Lock()
	restarted := p.losses.recordDialFailure()
	p.mu.Unlock()
	if restarted && p.onRestarted != nil {
		p.onRestarted()
	}
}

// fill opens connections until as many as wanted are open. After a failure the
// next run of maintain continues.
func (p *pool) fill(ctx context.Context) {
	for {
		p.mu.Lock()
		if p.closed || p.open >= min(p.wanted, p.bound) {
			p.mu.Unlock()
			return
		}
		p.open++
		p.mu.Unlock()
		dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
		c, err := p.connect(dialCtx)
		cancel()
		if err != nil {
			p.dialFailed()
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
		p.closeSpare(c)
	}
}
