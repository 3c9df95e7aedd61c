package leaser

import (
	"slices"
	"time"

	"jujubegate.example/jujubegate"
)

// core is the decision core of the membership protocol. It does no I/O: each
// input returns what to do. Heartbeats are only recorded, and what follows from
// them is decided at the next tick, so that a heartbeat costs little with 110
// members. The safety argument is:
//
// An instance acts under view k only while its lease holds, and the lease
// counts from the send time of heartbeats that a majority of the members of k
// answered while they knew no later epoch, or of a read of the store that
// returned no later epoch. A view k is closed T plus the margin after a
// majority of its members acknowledged a later epoch: any later majority
// includes one of them, and any later read returns the later view. A view names
// all earlier views that its writer did not know to be closed, so an instance
// knows every view under which another may act, and sends to a target only if
// each of them names itself as owner, is closed, or its owner released.
type core struct {
	timing Timing
	self   Member
	view   View
	// version is the store version of the view.
	open  []openView
	peers map[ID]*peer
	// ended holds the starts of instances whose process has ended.
	ended map[ID]bool
	gone  map[ID]*goneEvidence
	// listed holds peers known only from the platform's list.
	listed []Listed

	tickAt, beatAt         time.Time
	readFrom               time.Time
	readSent, listSent     time.Time
	reading, listing       bool
	writing                bool
	newest                 jujubegate.Epoch
	settled                jujubegate.Epoch
	released               jujubegate.Epoch
	generation             jujubegate.Generation
	handingOver, departing bool
	proposalAt             time.Time

	faults faults
}

// faults breaks single rules, so that tests can show that they need them.
type faults struct {
	noWait        bool
	noMajority    bool
	leaseOnAnswer bool
	ignoreOpen    bool
	noFence       bool
	keepLease     bool
}

// openView is an earlier view and what is known of its end.
type openView struct {
	view    View
	ackedAt time.Time
	closed  bool
}

// peer is the record of another start of an instance.
type peer struct {
	Peer
	suspected []jujubegate.Instance
	// leaseAt is the send time of the newest heartbeat whose answer named no
	// epoch later than the view in force.
	leaseAt time.Time
	// agreed is the generation that counts as reported, and pending one that
	// was reported at pendingAt and counts later.
	agreed, pending jujubegate.Generation
	pendingAt       time.Time
	// knownAt is the time of the first message from or about the peer, and
	// memberAt that since which it is a member of the view.
	knownAt, memberAt time.Time
}

// goneEvidence is what the platform's list says of one start of an instance.
type goneEvidence struct {
	seenLive bool
	since    time.Time
}

// effects is what the caller of the core must do.
type effects struct {
	heartbeats []Member
	readView   bool
	readList   bool
	write      *viewWrite
	// adopted is set if a view came into force, and ticked after a tick.
	adopted, ticked bool
}

// viewWrite is a conditional update of the view.
type viewWrite struct {
	view    View
	version int64
}

// viewRead is the result of a read of the view.
type viewRead struct {
	sentAt  time.Time
	view    View
	version int64
	// ok is false if the store did not answer. A missing view has epoch 0.
	ok bool
}

func newCore(self Member, timing Timing) *core {
	return &core{
		timing: timing,
		self:   self,
		peers:  map[ID]*peer{},
		ended:  map[ID]bool{},
		gone:   map[ID]*goneEvidence{},
	}
}

// tick advances the core to now.
func (c *core) tick(now time.Time, generation jujubegate.Generation) effects {
	c.tickAt = now
	c.generation = generation
	c.settle(now)
	c.forget(now)
	e := effects{ticked: true}
	if c.beatAt.IsZero() || now.Sub(c.beatAt) >= c.timing.Heartbeat {
		c.beatAt = now
		e.heartbeats = c.recipients(now)
	}
	c.plan(now, &e)
	return e
}

// plan decides on reads of the store and the list.
func (c *core) plan(now time.Time, e *effects) {
	_, proposes := c.propose(now)
	if !proposes {
		c.proposalAt = time.Time{}
	} else if c.proposalAt.IsZero() {
		c.proposalAt = now
	}
	if !c.reading && !c.writing && c.readDue(now) {
		c.reading = true
		c.readSent = now
		e.readView = true
	}
	if !c.listing && c.listDue(now) {
		c.listing = true
		c.listSent = now
		e.readList = true
	}
}

func (c *core) readDue(now time.Time) bool {
	if c.readSent.IsZero() {
		return true
	}
	since := now.Sub(c.readSent)
	if c.proposalDue(now) && since >= c.timing.Tick {
		return true
	}
	if since < c.timing.ReadInterval {
		return false
	}
	return c.view.Epoch == 0 || c.newest > c.view.Epoch ||
		elapsed(c.heartbeatLease(), now) >= c.timing.Lease/2 || since >= c.timing.ViewRefresh
}

func (c *core) listDue(now time.Time) bool {
	if c.listSent.IsZero() {
		return true
	}
	since := now.Sub(c.listSent)
	if since < c.timing.ReadInterval {
		return false
	}
	silent := slices.ContainsFunc(c.owners(), func(m Member) bool {
		return !c.ended[m.ID()] && !c.answers(m.ID(), now)
	})
	return since >= c.timing.ListRefresh || c.view.Epoch == 0 || silent
}

// recipients returns the members to send a heartbeat to: those of the view and
// of open views, and others that were heard recently.
func (c *core) recipients(now time.Time) []Member {
	seen := map[string]bool{c.self.PeerAddress: true}
	var to []Member
	add := func(m Member) {
		if !seen[m.PeerAddress] && !c.ended[m.ID()] {
			seen[m.PeerAddress] = true
			to = append(to, m)
		}
	}
	for _, m := range c.view.Members {
		add(m)
	}
	for _, o := range c.open {
		for _, m := range o.view.Members {
			if !o.closed {
				add(m)
			}
		}
	}
	for _, p := range c.peers {
		if elapsed(p.Heard, now) < 2*c.timing.Suspicion {
			add(p.Member)
		}
	}
	for _, l := range c.listed {
		add(Member{Instance: l.Instance, PeerAddress: l.PeerAddress})
	}
	return to
}

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
		Settled: a.Settled, Released: a.Released,
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
		Suspected: own.Suspected, Settled: own.Settled, Released: own.Released,
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
	p.Member = r.Sender
	p.Heard = now
	p.Epoch = max(p.Epoch, r.Epoch)
	p.Generation = max(p.Generation, r.Generation)
	if r.Released > p.Released {
		p.Released = r.Released
		p.ReleasedGeneration = r.Generation
	}
	p.suspected = r.Suspected
	c.agree(p, now)
	c.newest = max(c.newest, r.Epoch)
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
