package leaser

import (
	"slices"
	"time"
)

// handleAnswer handles an answer to a heartbeat that was sent to the address of
// a member. Another process than that member may have answered it.
func (c *core) handleAnswer(to Member, sentAt, now time.Time, a HeartbeatAnswer) effects {
	e := effects{}
	id := a.Receiver.ID()
	if id == c.self.ID() {
		return e
	}
	c.endPredecessors(to.PeerAddress, id, sentAt)
	p := c.recordPeer(now, HeartbeatRequest{
		Sender: a.Receiver, Epoch: a.Epoch, Generation: a.Generation, Suspected: a.Suspected,
		Settled: a.Settled, Released: a.Released, Agreed: a.Agreed,
	})
	if a.View != nil && a.View.Epoch > c.view.Epoch {
		e.viewApplied = c.applyView(*a.View, now)
	}
	from := sentAt
	if c.faults.leaseFromAnswer {
		from = now
	}
	if sentAt.After(p.Answered) {
		p.Answered = sentAt
	}
	// An answer that names a later epoch acknowledges that epoch and must not
	// extend a lease under the current one.
	if a.Epoch <= c.view.Epoch && from.After(p.leaseAt) {
		p.leaseAt = from
	}
	return e
}

// handleRequest handles a heartbeat from a peer and returns the answer.
func (c *core) handleRequest(now time.Time, r HeartbeatRequest) HeartbeatAnswer {
	if r.Sender.ID() != c.self.ID() {
		c.recordPeer(now, r)
	}
	own := c.newHeartbeat(now)
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

// newHeartbeat returns the heartbeat to send now.
func (c *core) newHeartbeat(now time.Time) HeartbeatRequest {
	return HeartbeatRequest{
		Sender: c.self, Epoch: c.view.Epoch, Generation: c.generation,
		Suspected: c.suspectedMembers(now), Settled: c.settledEpoch, Released: c.releasedEpoch,
		Agreed: min(c.generation, c.agreedGenerationUnder(c.view)),
	}
}

// recordPeer records what a peer reports about itself.
func (c *core) recordPeer(now time.Time, r HeartbeatRequest) *peer {
	id := r.Sender.ID()
	p := c.peers[id]
	if p == nil {
		p = &peer{knownAt: now}
		c.peers[id] = p
	}
	// A delayed message must not reset Leaving.
	p.Member = r.Sender.WithLeaving(r.Sender.Leaving || p.Member.Leaving)
	p.Heard = now
	p.Epoch = max(p.Epoch, r.Epoch)
	p.Generation = max(p.Generation, r.Generation)
	if r.Released > p.Released {
		p.Released = r.Released
		p.ReleasedGeneration = r.Generation
	}
	if r.Epoch == c.view.Epoch {
		c.relayedGeneration = max(c.relayedGeneration, r.Agreed)
	}
	p.suspected = r.Suspected
	c.recordGeneration(p, now)
	if r.Epoch > c.newestEpoch {
		c.newestEpoch, c.newestEpochAt = r.Epoch, now
		c.heartbeatAt = time.Time{} // send heartbeats at the next tick, the answers bring the view
	}
	c.settledEpoch = max(c.settledEpoch, r.Settled)
	if g := c.gone[id]; g != nil {
		g.goneSince = time.Time{}
	}
	return p
}

// endPredecessors marks the peers at an address as ended after another process
// answered a heartbeat there. It leaves out peers first heard of after the
// heartbeat was sent, as they may have replaced the process that answered.
func (c *core) endPredecessors(address string, answered ID, sentAt time.Time) {
	for id, p := range c.peers {
		if id != answered && p.Member.PeerAddress == address && !p.knownAt.After(sentAt) {
			c.markEnded(id)
		}
	}
}

// markEnded records that the process of an incarnation has ended.
func (c *core) markEnded(id ID) {
	c.ended[id] = true
	if p := c.peers[id]; p != nil {
		p.Ended = true
	}
}

// handleViewRead handles the result of a read of the view. If a proposal is due
// and the read shows that it is based on the stored view, it is written.
func (c *core) handleViewRead(r viewRead, now time.Time) effects {
	c.reading = false
	e := effects{}
	if !r.ok {
		c.proposalAt = time.Time{}
		return e
	}
	if r.view.Epoch > c.view.Epoch {
		e.viewApplied = c.applyView(r.view, now)
	}
	if r.view.Epoch == c.view.Epoch && r.view.Epoch > 0 && r.sentAt.After(c.confirmedReadAt) {
		c.confirmedReadAt = r.sentAt
	}
	c.newestEpoch = max(c.newestEpoch, r.view.Epoch)
	c.closeViews(now)
	next, ok := c.propose(now)
	missing := r.version == 0
	if ok && c.proposalDue(now) && (missing || r.view.Epoch == c.view.Epoch) {
		c.writing = true
		e.write = &viewWrite{view: next, version: r.version}
	}
	return e
}

// handleWriteResult handles the result of a write. The view is applied only if
// the store confirmed the write; otherwise the stored view is read.
func (c *core) handleWriteResult(w viewWrite, confirmed bool, now time.Time) effects {
	c.writing = false
	e := effects{}
	if confirmed && w.view.Epoch > c.view.Epoch {
		e.viewApplied = c.applyView(w.view, now)
	}
	c.proposalAt = time.Time{}
	if !confirmed {
		c.reading = true
		c.readSentAt = now
		e.readView = true
	}
	return e
}

// applyView replaces the current view by a later one.
func (c *core) applyView(v View, now time.Time) bool {
	earlier := c.openViews
	if c.view.Epoch > 0 {
		earlier = append(earlier, openView{view: c.view.withoutOpenViews()})
	}
	c.openViews = nil
	for _, o := range v.Open {
		entry := openView{view: o}
		if i := slices.IndexFunc(earlier, func(k openView) bool { return k.view.Epoch == o.Epoch }); i >= 0 {
			entry = earlier[i]
		}
		c.openViews = append(c.openViews, entry)
	}
	previous := c.view
	c.view = v
	c.relayedGeneration = 0
	c.heartbeatAt = time.Time{} // acknowledge the view at the next tick
	for _, m := range c.otherMembers() {
		p := c.peers[m.ID()]
		if p == nil {
			p = &peer{Peer: Peer{Member: m}, knownAt: now}
			c.peers[m.ID()] = p
		}
		if !previous.Has(m.ID()) {
			p.memberAt = now
		}
		// This process listens on that address, so the earlier one there has ended.
		if m.PeerAddress == c.self.PeerAddress {
			c.markEnded(m.ID())
		}
	}
	c.newestEpoch = max(c.newestEpoch, v.Epoch)
	c.proposalAt = time.Time{}
	c.closeViews(now)
	return true
}
