package leaser

import (
	"slices"
	"time"
)

// answer takes the answer of the process at the address of a member.
func (c *core) answer(to Member, sentAt, now time.Time, a HeartbeatAnswer) effects {
	e := effects{}
	id := a.Receiver.ID()
	if id == c.self.ID() {
		return e
	}
	c.endOthers(to.PeerAddress, id, sentAt)
	p := c.learn(now, HeartbeatRequest{
		Sender: a.Receiver, Epoch: a.Epoch, Generation: a.Generation, Suspected: a.Suspected,
		Settled: a.Settled, Released: a.Released, Agreed: a.Agreed,
	})
	if a.View != nil && a.View.Epoch > c.view.Epoch {
		e.adopted = c.adopt(*a.View, now)
	}
	from := sentAt
	if c.faults.leaseOnAnswer {
		from = now
	}
	if sentAt.After(p.Answered) {
		p.Answered = sentAt
	}
	// An answer that names a later epoch is an acknowledgement of that epoch
	// and must not extend a lease under this one.
	if a.Epoch <= c.view.Epoch && from.After(p.leaseAt) {
		p.leaseAt = from
	}
	return e
}

// request takes a heartbeat from a peer and returns the answer.
func (c *core) request(now time.Time, r HeartbeatRequest) HeartbeatAnswer {
	if r.Sender.ID() != c.self.ID() {
		c.learn(now, r)
	}
	own := c.message(now)
	a := HeartbeatAnswer{
		Receiver: own.Sender, Epoch: own.Epoch, Generation: own.Generation,
		Suspected: own.Suspected, Settled: own.Settled, Released: own.Released, Agreed: own.Agreed,
	}
	if r.Epoch < c.view.Epoch {
		v := c.view
		a.View = &v
	}
	return a
}

// message returns the heartbeat to send now.
func (c *core) message(now time.Time) HeartbeatRequest {
	return HeartbeatRequest{
		Sender: c.self, Epoch: c.view.Epoch, Generation: c.generation,
		Suspected: c.suspects(now), Settled: c.settled, Released: c.released,
		Agreed: min(c.generation, c.agreedUnder(c.view)),
	}
}

// learn records what a peer says of itself.
func (c *core) learn(now time.Time, r HeartbeatRequest) *peer {
	id := r.Sender.ID()
	p := c.peers[id]
	if p == nil {
		p = &peer{knownAt: now}
		c.peers[id] = p
	}
	// A delayed message must not take back an announcement.
	p.Member = r.Sender.WithLeaving(r.Sender.Leaving || p.Member.Leaving)
	p.Heard = now
	p.Epoch = max(p.Epoch, r.Epoch)
	p.Generation = max(p.Generation, r.Generation)
	if r.Released > p.Released {
		p.Released = r.Released
		p.ReleasedGeneration = r.Generation
	}
	if r.Epoch == c.view.Epoch {
		c.relayed = max(c.relayed, r.Agreed)
	}
	p.suspected = r.Suspected
	c.agree(p, now)
	if r.Epoch > c.newest {
		c.newest, c.newestAt = r.Epoch, now
		c.beatAt = time.Time{} // ask for the view with the next tick
	}
	c.settled = max(c.settled, r.Settled)
	if g := c.gone[id]; g != nil {
		g.since = time.Time{}
	}
	return p
}

// endOthers records that the processes known to have listened on an address
// before the send time have ended, as another one answered there.
func (c *core) endOthers(address string, answered ID, sentAt time.Time) {
	for id, p := range c.peers {
		if id != answered && p.Member.PeerAddress == address && !p.knownAt.After(sentAt) {
			c.end(id)
		}
	}
}

// end records that the process of a start of an instance has ended.
func (c *core) end(id ID) {
	c.ended[id] = true
	if p := c.peers[id]; p != nil {
		p.Ended = true
	}
}

// viewAnswer takes the result of a read of the view.
func (c *core) viewAnswer(r viewRead, now time.Time) effects {
	c.reading = false
	e := effects{}
	if !r.ok {
		c.proposalAt = time.Time{}
		return e
	}
	if r.view.Epoch > c.view.Epoch {
		e.adopted = c.adopt(r.view, now)
	}
	if r.view.Epoch == c.view.Epoch && r.view.Epoch > 0 && r.sentAt.After(c.readFrom) {
		c.readFrom = r.sentAt
	}
	c.newest = max(c.newest, r.view.Epoch)
	c.settle(now)
	next, ok := c.propose(now)
	missing := r.version == 0
	if ok && c.proposalDue(now) && (missing || r.view.Epoch == c.view.Epoch) {
		c.writing = true
		e.write = &viewWrite{view: next, version: r.version}
	}
	return e
}

// written takes the result of a write; it is adopted only if the store
// confirmed it, else the view is read.
func (c *core) written(w viewWrite, confirmed bool, now time.Time) effects {
	c.writing = false
	e := effects{}
	if confirmed && w.view.Epoch > c.view.Epoch {
		e.adopted = c.adopt(w.view, now)
	}
	c.proposalAt = time.Time{}
	if !confirmed {
		c.reading = true
		c.readSent = now
		e.readView = true
	}
	return e
}

// adopt puts a later view in force.
func (c *core) adopt(v View, now time.Time) bool {
	known := c.open
	if c.view.Epoch > 0 {
		known = append(known, openView{view: c.view.withoutOpen()})
	}
	c.open = nil
	for _, o := range v.Open {
		entry := openView{view: o}
		if i := slices.IndexFunc(known, func(k openView) bool { return k.view.Epoch == o.Epoch }); i >= 0 {
			entry = known[i]
		}
		c.open = append(c.open, entry)
	}
	was := c.view
	c.view = v
	c.relayed = 0
	c.beatAt = time.Time{} // acknowledge with the next tick
	for _, m := range c.owners() {
		p := c.peers[m.ID()]
		if p == nil {
			p = &peer{Peer: Peer{Member: m}, knownAt: now}
			c.peers[m.ID()] = p
		}
		if !was.Has(m.ID()) {
			p.memberAt = now
		}
		// This process listens on its address, so an earlier one there has ended.
		if m.PeerAddress == c.self.PeerAddress {
			c.end(m.ID())
		}
	}
	c.newest = max(c.newest, v.Epoch)
	c.proposalAt = time.Time{}
	c.settle(now)
	return true
}
