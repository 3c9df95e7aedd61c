package leaser

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"jujubegate.example/jujubegate"
)

// core is the state machine of the membership protocol. It does no I/O: each
// input returns the calls to make. Heartbeats are only recorded; they
// are evaluated at the next tick, so that a heartbeat stays cheap with 110 members.
//
// Safety, that is at most one sender for each target, holds because:
//   - An instance acts under view k only while its lease holds. The lease counts
//     from the send time of heartbeats that a majority of the members of k
//     answered while they knew no later epoch, or of a read of the store that
//     returned no later epoch.
//   - View k is closed once Lease+Margin has passed since a majority of its
//     members acknowledged a later epoch: any later majority of k includes one of
//     those members, and any later read returns the later view.
//   - A view lists all earlier views that its writer did not know to be closed,
//     so an instance knows every view under which another instance may act. It
//     sends to a target only if each of these views assigns the target to this
//     instance, is closed, or assigns it to an owner that has released it.
type core struct {
	timing Timing
	self   Member
	// view is the current view, and openViews the earlier views that may not be
	// closed yet, oldest first.
	view      View
	openViews []openView
	peers     map[ID]*peer
	// ended holds the incarnations whose process is known to have ended.
	ended map[ID]bool
	// gone holds what the platform's list says about the other members.
	gone map[ID]*goneEvidence
	// listed holds the live instances in the platform's list until a view is known.
	listed []ListedInstance

	// heartbeatAt is the time of the last round of heartbeats. Zero starts a round
	// at the next tick.
	tickAt, heartbeatAt time.Time
	// confirmedReadAt is the send time of the newest read that returned the
	// current view.
	confirmedReadAt time.Time
	// readSentAt and listSentAt are the times of the last reads, and reading,
	// listing and writing are set while a call is pending.
	readSentAt, listSentAt time.Time
	reading, listing       bool
	writing                bool
	// newestEpoch is the latest known epoch, and newestEpochAt the last time at
	// which a peer reported an epoch that was later than all known ones.
	newestEpoch   jujubegate.Epoch
	newestEpochAt time.Time
	// settledEpoch is an epoch such that no instance holds a lease under it or an
	// earlier one any more.
	settledEpoch jujubegate.Epoch
	// relayedGeneration is the latest generation that a peer reported as agreed by
	// all members of the current view.
	relayedGeneration jujubegate.Generation
	// releasedEpoch is the latest epoch that this instance has released.
	releasedEpoch jujubegate.Epoch
	generation    jujubegate.Generation
	// handingOver asks for a view that marks this instance as leaving, and
	// departing for one without it.
	handingOver, departing bool
	// proposalAt is the time since which a new view is to be proposed, or zero.
	proposalAt time.Time

	faults faults
}

// faults disables single safety rules. Only tests set it, to show that they
// detect the violations that each rule prevents.
type faults struct {
	noTakeoverWait       bool
	noMajorityAck        bool
	leaseFromAnswer      bool
	ignoreOpenViews      bool
	onlyPreviousView     bool
	noFence              bool
	leaseWithoutMajority bool
}

// openView is an earlier view under which an instance may still act. ackedAt is
// the time at which a majority of its members had acknowledged a later epoch; the
// view closes Lease+Margin after it.
type openView struct {
	view    View
	ackedAt time.Time
	closed  bool
}

// peer is the record of another incarnation of this or another instance.
type peer struct {
	Peer
	suspected []jujubegate.Instance
	// leaseAt is the send time of the newest heartbeat whose answer named no
	// later epoch than the current one.
	leaseAt time.Time
	// agreed is the reported generation that ownership may rely on. pending was
	// reported at pendingAt and replaces agreed after Margin.
	agreed, pending jujubegate.Generation
	pendingAt       time.Time
	// knownAt is the time of the first message from the peer or of the first
	// view that names it, and memberAt the time since which it is a member.
	knownAt, memberAt time.Time
}

// goneEvidence is what the platform's list has said about one incarnation:
// whether it was once listed as live, and since when it counts as gone.
type goneEvidence struct {
	seenLive  bool
	goneSince time.Time
}

// effects tells the Leaser which calls to start after an input, and whether to
// publish the state.
type effects struct {
	heartbeats []Member
	readView   bool
	readList   bool
	write      *viewWrite
	// viewApplied is set if a later view was applied, and ticked after a tick.
	viewApplied, ticked bool
}

// viewWrite is a write of a view on condition that the store holds the version.
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

// tick closes views that are due and returns the heartbeats and reads to start.
func (c *core) tick(now time.Time, generation jujubegate.Generation) effects {
	c.tickAt = now
	c.generation = generation
	c.closeViews(now)
	c.forgetPeers(now)
	e := effects{ticked: true}
	if c.heartbeatAt.IsZero() || now.Sub(c.heartbeatAt) >= c.timing.Heartbeat {
		c.heartbeatAt = now
		e.heartbeats = c.recipients(now)
	}
	c.planReads(now, &e)
	return e
}

// planReads starts the reads of the store and of the platform's list that are due.
func (c *core) planReads(now time.Time, e *effects) {
	_, proposes := c.propose(now)
	if !proposes {
		c.proposalAt = time.Time{}
	} else if c.proposalAt.IsZero() {
		c.proposalAt = now
	}
	if !c.reading && !c.writing && c.readDue(now) {
		c.reading = true
		c.readSentAt = now
		e.readView = true
	}
	if !c.listing && c.listDue(now) {
		c.listing = true
		c.listSentAt = now
		e.readList = true
	}
}

func (c *core) readDue(now time.Time) bool {
	if c.readSentAt.IsZero() {
		return true
	}
	since := now.Sub(c.readSentAt)
	if c.proposalDue(now) && since >= c.timing.Tick {
		return true
	}
	if since < c.timing.ReadInterval {
		return false
	}
	// A peer that named a later epoch sends its view with its next answer. The
	// store is read only if that answer is missing.
	missed := c.newestEpoch > c.view.Epoch && now.Sub(c.newestEpochAt) >= c.timing.ReadInterval
	return c.view.Epoch == 0 || missed || elapsed(c.heartbeatLease(), now) >= c.timing.Lease/2 ||
		since >= c.timing.ViewRefresh
}

func (c *core) listDue(now time.Time) bool {
	if c.listSentAt.IsZero() {
		return true
	}
	since := now.Sub(c.listSentAt)
	if since < c.timing.ReadInterval {
		return false
	}
	silent := slices.ContainsFunc(c.otherMembers(), func(m Member) bool {
		return !c.ended[m.ID()] && !c.isResponsive(m.ID(), now)
	})
	return since >= c.timing.ListRefresh || c.view.Epoch == 0 || silent
}

// recipients returns the instances to send a heartbeat to: the members of the
// current and of open views, peers heard from recently and, while no view is
// known, the live instances in the platform's list.
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
	for _, o := range c.openViews {
		for _, m := range o.view.Members {
			if !o.closed {
				add(m)
			}
		}
	}
	for _, id := range c.sortedPeerIDs() {
		if p := c.peers[id]; elapsed(p.Heard, now) < 2*c.timing.Suspicion {
			add(p.Member)
		}
	}
	for _, l := range c.listed {
		add(Member{Instance: l.Instance, PeerAddress: l.PeerAddress})
	}
	return to
}

// sortedPeerIDs returns the IDs of all peers in a fixed order, which makes the
// results of the core deterministic.
func (c *core) sortedPeerIDs() []ID {
	return slices.SortedFunc(maps.Keys(c.peers), func(a, b ID) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Incarnation, b.Incarnation))
	})
}
