package leaser

import (
	"cmp"
	"maps"
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
	open   []openView
	peers  map[ID]*peer
	// ended holds the starts of instances whose process has ended.
	ended map[ID]bool
	gone  map[ID]*goneEvidence
	// listed holds peers known only from the platform's list.
	listed []ListedInstance

	tickAt, beatAt         time.Time
	readFrom               time.Time
	readSent, listSent     time.Time
	reading, listing       bool
	writing                bool
	newest                 jujubegate.Epoch
	newestAt               time.Time
	settled                jujubegate.Epoch
	relayed                jujubegate.Generation
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
	onlyPrevious  bool
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
	// A peer that named a later epoch hands over the view with its next answer;
	// the store is read if that doesn't come.
	missed := c.newest > c.view.Epoch && now.Sub(c.newestAt) >= c.timing.ReadInterval
	return c.view.Epoch == 0 || missed || elapsed(c.heartbeatLease(), now) >= c.timing.Lease/2 ||
		since >= c.timing.ViewRefresh
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
	for _, id := range c.known() {
		if p := c.peers[id]; elapsed(p.Heard, now) < 2*c.timing.Suspicion {
			add(p.Member)
		}
	}
	for _, l := range c.listed {
		add(Member{Instance: l.Instance, PeerAddress: l.PeerAddress})
	}
	return to
}

// known returns the other instances in a fixed order, so that equal inputs have
// equal results.
func (c *core) known() []ID {
	return slices.SortedFunc(maps.Keys(c.peers), func(a, b ID) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Incarnation, b.Incarnation))
	})
}
