package leaser

import (
	"math"
	"slices"
	"time"

	"jujubegate.example/jujubegate"
)

// settle closes the open views that no instance can act under any more.
func (c *core) settle(now time.Time) {
	c.mature(now)
	wait := c.timing.Lease + c.timing.Margin
	if c.faults.noWait {
		wait = 0
	}
	for i := range c.open {
		o := &c.open[i]
		if o.ackedAt.IsZero() && (c.faults.noMajority || c.acknowledged(o.view)) {
			o.ackedAt = now
		}
		due := !o.ackedAt.IsZero() && now.Sub(o.ackedAt) >= wait
		if due || o.view.Epoch <= c.settled || c.faults.ignoreOpen ||
			c.faults.onlyPrevious && i < len(c.open)-1 {
			o.closed = true
		}
	}
	for len(c.open) > 0 && c.open[0].closed {
		c.settled = max(c.settled, c.open[0].view.Epoch)
		c.open = c.open[1:]
	}
	if len(c.open) == 0 && c.view.Epoch > 0 {
		c.settled = max(c.settled, c.view.Epoch-1)
	}
}

// acknowledged reports whether a majority of the members has acknowledged a
// later epoch or has ended.
func (c *core) acknowledged(v View) bool {
	count := 0
	for _, m := range v.Members {
		id := m.ID()
		switch p := c.peers[id]; {
		case id == c.self.ID():
			if c.view.Epoch > v.Epoch {
				count++
			}
		case c.ended[id] || p != nil && p.Epoch > v.Epoch:
			count++
		}
	}
	return count >= v.Majority()
}

// heartbeatLease returns the send time from which a majority of the members
// has answered; zero if there is none.
func (c *core) heartbeatLease() time.Time {
	if len(c.view.Members) == 0 {
		return time.Time{}
	}
	sent := make([]time.Time, 0, len(c.view.Members))
	for _, m := range c.view.Members {
		switch p := c.peers[m.ID()]; {
		case m.ID() == c.self.ID():
			sent = append(sent, c.tickAt)
		case p != nil:
			sent = append(sent, p.leaseAt)
		default:
			sent = append(sent, time.Time{})
		}
	}
	slices.SortFunc(sent, func(a, b time.Time) int { return b.Compare(a) })
	return sent[c.view.Majority()-1]
}

// leaseFrom returns the moment from which the serving lease counts.
func (c *core) leaseFrom() time.Time {
	from := c.heartbeatLease()
	if c.faults.keepLease {
		from = c.tickAt
	}
	if c.readFrom.After(from) {
		from = c.readFrom
	}
	return from
}

// agreed returns the lowest generation that the other members of the view in
// force have reported to this or another member, for Margin at least.
func (c *core) agreed() jujubegate.Generation {
	if c.faults.noFence {
		return math.MaxInt64
	}
	return max(c.relayed, c.agreedUnder(c.view))
}

// agreedUnder returns the lowest generation that the other members which may
// act under a view have reported to this instance.
func (c *core) agreedUnder(v View) jujubegate.Generation {
	lowest := jujubegate.Generation(math.MaxInt64)
	for _, m := range v.Members {
		if m.ID() == c.self.ID() {
			continue
		}
		p := c.peers[m.ID()]
		if p == nil {
			return 0
		}
		if v.Epoch == c.view.Epoch || p.Epoch <= v.Epoch {
			lowest = min(lowest, p.agreed)
		}
	}
	return lowest
}

// agree records the generation that a peer reports. A peer that knows a later
// epoch than this instance does not count: it may have released targets to an
// instance with an earlier generation that this one does not know. A later
// generation counts after Margin, which covers requests that the peer has
// checked but not sent yet, and those in flight. A peer that is in no view that
// may be acted under has none of either.
func (c *core) agree(p *peer, now time.Time) {
	if p.Epoch > c.view.Epoch {
		return
	}
	switch {
	case p.Generation <= p.agreed:
	case !c.actor(p.Member.ID()):
		p.agreed = p.Generation
	case p.pendingAt.IsZero():
		p.pending, p.pendingAt = p.Generation, now
	}
}

// mature lets generations count that were reported Margin ago.
func (c *core) mature(now time.Time) {
	for _, p := range c.peers {
		if !p.pendingAt.IsZero() && now.Sub(p.pendingAt) >= c.timing.Margin {
			p.agreed, p.pendingAt = p.pending, time.Time{}
			c.agree(p, now)
		}
	}
}

// actor reports whether an instance is in the view or an open one.
func (c *core) actor(id ID) bool {
	return c.view.Has(id) || slices.ContainsFunc(c.open, func(o openView) bool { return o.view.Has(id) })
}

// state returns a copy for the queries.
func (c *core) state() *State {
	s := &State{
		Self: c.self, View: c.view, LeaseFrom: c.leaseFrom(), Lease: c.timing.Lease,
		Agreed: c.agreed(), Peers: make(map[ID]Peer, len(c.peers)),
	}
	for _, o := range c.open {
		entry := OpenView{View: o.view, Agreed: c.agreedUnder(o.view)}
		switch {
		case o.closed:
			entry.ClosesAt = o.ackedAt
			if entry.ClosesAt.IsZero() {
				entry.ClosesAt = c.tickAt
			}
		case !o.ackedAt.IsZero():
			entry.ClosesAt = o.ackedAt.Add(c.timing.Lease + c.timing.Margin)
		}
		s.Open = append(s.Open, entry)
	}
	for id, p := range c.peers {
		s.Peers[id] = p.Peer
	}
	return s
}
