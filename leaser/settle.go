package leaser

import (
	"math"
	"slices"
	"time"

	"jujubegate.example/jujubegate"
)

// closeViews closes the open views under which no instance can act any more.
func (c *core) closeViews(now time.Time) {
	c.promotePending(now)
	wait := c.timing.Lease + c.timing.Margin
	if c.faults.noTakeoverWait {
		wait = 0
	}
	for i := range c.openViews {
		o := &c.openViews[i]
		if o.ackedAt.IsZero() && (c.faults.noMajorityAck || c.acknowledged(o.view)) {
			o.ackedAt = now
		}
		due := !o.ackedAt.IsZero() && now.Sub(o.ackedAt) >= wait
		if due || o.view.Epoch <= c.settledEpoch || c.faults.ignoreOpenViews ||
			c.faults.onlyPreviousView && i < len(c.openViews)-1 {
			o.closed = true
		}
	}
	for len(c.openViews) > 0 && c.openViews[0].closed {
		c.settledEpoch = max(c.settledEpoch, c.openViews[0].view.Epoch)
		c.openViews = c.openViews[1:]
	}
	if len(c.openViews) == 0 && c.view.Epoch > 0 {
		c.settledEpoch = max(c.settledEpoch, c.view.Epoch-1)
	}
}

// acknowledged reports whether a majority of the members of the view has
// acknowledged a later epoch or has ended.
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

// heartbeatLease returns the latest time such that a majority of the members has
// answered a heartbeat sent then or later; zero if there is none.
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

// leaseFrom returns the time from which the serving lease counts.
func (c *core) leaseFrom() time.Time {
	from := c.heartbeatLease()
	if c.faults.leaseWithoutMajority {
		from = c.tickAt
	}
	if c.confirmedReadAt.After(from) {
		from = c.confirmedReadAt
	}
	return from
}

// agreedGeneration returns the lowest generation that the other members of the
// current view have reported, to this or to another member, at least Margin ago.
func (c *core) agreedGeneration() jujubegate.Generation {
	if c.faults.noFence {
		return math.MaxInt64
	}
	return max(c.relayedGeneration, c.agreedGenerationUnder(c.view))
}

// agreedGenerationUnder returns the lowest generation reported to this instance by
// the other members that may act under the view.
func (c *core) agreedGenerationUnder(v View) jujubegate.Generation {
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

// recordGeneration records the generation that a peer reports. Reports of a peer
// that knows a later epoch than this instance are ignored: the peer may have
// released targets to an instance with an earlier generation that this instance
// doesn't know. A later generation counts only after Margin, which covers the
// requests that the peer has checked but not sent yet, and those in flight. It
// counts at once for a peer that is in no current or open view, as such a peer
// has neither.
func (c *core) recordGeneration(p *peer, now time.Time) {
	if p.Epoch > c.view.Epoch {
		return
	}
	switch {
	case p.Generation <= p.agreed:
	case !c.mayAct(p.Member.ID()):
		p.agreed = p.Generation
	case p.pendingAt.IsZero():
		p.pending, p.pendingAt = p.Generation, now
	}
}

// promotePending sets agreed to the generations that were reported Margin ago.
func (c *core) promotePending(now time.Time) {
	for _, p := range c.peers {
		if !p.pendingAt.IsZero() && now.Sub(p.pendingAt) >= c.timing.Margin {
			p.agreed, p.pendingAt = p.pending, time.Time{}
			c.recordGeneration(p, now)
		}
	}
}

// mayAct reports whether an instance is a member of the current or an open view.
func (c *core) mayAct(id ID) bool {
	return c.view.Has(id) || slices.ContainsFunc(c.openViews, func(o openView) bool { return o.view.Has(id) })
}

// snapshot returns an immutable copy of what the accessors of Leaser need.
func (c *core) snapshot() *State {
	s := &State{
		Self: c.self, View: c.view, LeaseFrom: c.leaseFrom(), Lease: c.timing.Lease,
		Agreed: c.agreedGeneration(), Peers: make(map[ID]Peer, len(c.peers)),
	}
	for _, o := range c.openViews {
		entry := OpenView{View: o.view, Agreed: c.agreedGenerationUnder(o.view)}
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
