package leaser

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"jujubegate.example/jujubegate"
)

// maxOpenViews is the number of open views at which no further view is
// written. With 110 members a view is about 16 KB, so that the object stays far
// below the store's limit of 1 MB.
const maxOpenViews = 16

// propose returns the view that should follow the current one, if any.
//
// A member is removed if its process has ended, or if a majority of the members
// suspects it. An instance is added if it exchanges heartbeats with a majority
// of the members at the current epoch. The writer itself must have answers from
// a majority of the members, where ended ones count as well, so that an instance
// that is partitioned from the others doesn't change the view although it
// reaches the store. These conditions keep the view stable; safety doesn't
// depend on them.
//
// Safety does depend on the durability of the stored view: if it were lost, a
// starting instance would write a new view at epoch 1 while the members of the
// lost view still act. Members that know a view write its successor instead.
func (c *core) propose(now time.Time) (View, bool) {
	if c.newestEpoch > c.view.Epoch || len(c.openViews) >= maxOpenViews || !c.reachesMajority(now) {
		return View{}, false
	}
	changed := false
	var members []Member
	suspicions := c.countSuspicions(now)
	for _, m := range c.view.Members {
		switch {
		case c.shouldRemove(m, suspicions):
			changed = true
		case m.ID() == c.self.ID() && c.handingOver && !m.Leaving:
			changed = true
			members = append(members, m.WithLeaving(true))
		default:
			members = append(members, m)
		}
	}
	for _, m := range c.joiners(now) {
		taken := slices.ContainsFunc(members, func(o Member) bool {
			return o.Instance == m.Instance || o.PeerAddress == m.PeerAddress
		})
		if !taken {
			changed = true
			members = append(members, m)
		}
	}
	if !changed || len(members) == 0 {
		return View{}, false
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Instance, b.Instance) })
	next := View{Epoch: c.view.Epoch + 1, Members: members}
	for _, o := range c.openViews {
		if !o.closed {
			next.Open = append(next.Open, o.view)
		}
	}
	if c.view.Epoch > 0 {
		next.Open = append(next.Open, c.view.withoutOpenViews())
	}
	return next, true
}

// reachesMajority reports whether a majority of the members, this instance
// included, has answered within the suspicion time or has ended.
func (c *core) reachesMajority(now time.Time) bool {
	if c.view.Epoch == 0 {
		return true
	}
	count := 0
	for _, m := range c.view.Members {
		if m.ID() == c.self.ID() || c.ended[m.ID()] || c.isResponsive(m.ID(), now) {
			count++
		}
	}
	return count >= c.view.Majority()
}

// isResponsive reports whether a peer has answered within the suspicion time.
func (c *core) isResponsive(id ID, now time.Time) bool {
	p := c.peers[id]
	return p != nil && !c.ended[id] && elapsed(p.Answered, now) < c.timing.Suspicion
}

// shouldRemove reports whether a member should be removed from the view.
func (c *core) shouldRemove(m Member, suspicions map[jujubegate.Instance]int) bool {
	if m.ID() == c.self.ID() {
		return c.departing
	}
	return c.ended[m.ID()] || suspicions[m.Instance] >= c.view.Majority()
}

// countSuspicions returns, for each member, how many responsive members suspect it.
func (c *core) countSuspicions(now time.Time) map[jujubegate.Instance]int {
	counts := map[jujubegate.Instance]int{}
	for _, m := range c.view.Members {
		var names []jujubegate.Instance
		switch {
		case m.ID() == c.self.ID():
			names = c.suspectedMembers(now)
		case c.isResponsive(m.ID(), now):
			names = c.peers[m.ID()].suspected
		}
		for _, name := range names {
			counts[name]++
		}
	}
	return counts
}

// isSuspected reports whether a member has not answered within the suspicion
// time, counted at the earliest from when it became a member.
func (c *core) isSuspected(id ID, now time.Time) bool {
	p := c.peers[id]
	if p == nil {
		return true
	}
	return !c.isResponsive(id, now) && elapsed(p.memberAt, now) >= c.timing.Suspicion
}

// suspectedMembers returns the suspected members that are not known to have ended.
func (c *core) suspectedMembers(now time.Time) []jujubegate.Instance {
	var names []jujubegate.Instance
	for _, m := range c.view.Members {
		if m.ID() != c.self.ID() && !c.ended[m.ID()] && c.isSuspected(m.ID(), now) {
			names = append(names, m.Instance)
		}
	}
	return names
}

// joiners returns the instances that should be added to the view. An instance
// with an earlier configuration has to wait: as a member it would block targets
// whose owner depends on the changes that it lacks.
func (c *core) joiners(now time.Time) []Member {
	var found []Member
	if !c.view.Has(c.self.ID()) && !c.departing && !c.self.Leaving && !c.hasOlderGeneration(now) {
		found = append(found, c.self)
	}
	for _, id := range c.sortedPeerIDs() {
		p := c.peers[id]
		joins := !c.view.Has(id) && !c.ended[id] && !p.Member.Leaving && p.Epoch == c.view.Epoch &&
			elapsed(p.Heard, now) < c.timing.Suspicion && p.Member.PeerAddress != "" &&
			p.Generation >= c.generation && len(c.view.Members)-len(p.suspected) >= c.view.Majority()
		if joins {
			found = append(found, p.Member)
		}
	}
	return found
}

// hasOlderGeneration reports whether a responsive member has a later generation
// than this instance.
func (c *core) hasOlderGeneration(now time.Time) bool {
	return slices.ContainsFunc(c.view.Members, func(m Member) bool {
		return c.isResponsive(m.ID(), now) && c.peers[m.ID()].Generation > c.generation
	})
}

// proposalDue reports whether this instance should write its proposal now. The
// candidates wait for staggered times, responsive members first, in rendezvous
// order, then joining instances, so that usually only one of them writes.
func (c *core) proposalDue(now time.Time) bool {
	if c.proposalAt.IsZero() {
		return false
	}
	if c.self.Leaving {
		// No other instance proposes this handover.
		return now.Sub(c.proposalAt) >= c.timing.ProposalDelay
	}
	rank := 0
	own := c.rankKey(c.self.ID())
	for id := range c.peers {
		if !c.isResponsive(id, now) {
			continue
		}
		if k := c.rankKey(id); k.joining != own.joining && own.joining || k.joining == own.joining && k.hash < own.hash {
			rank++
		}
	}
	wait := c.timing.ProposalDelay + time.Duration(rank)*c.timing.ProposalStep
	return now.Sub(c.proposalAt) >= wait
}

// rankKey orders the candidates for the next write: members before joining
// instances, then by hash.
type rankKey struct {
	joining bool
	hash    uint64
}

// rankKey returns the key that orders the candidates for the next write. The
// order differs by epoch, so that the writes are spread over the members.
func (c *core) rankKey(id ID) rankKey {
	text := strconv.FormatInt(int64(c.view.Epoch), 10) + "/" + string(id.Instance) + "/" + id.Incarnation
	return rankKey{joining: !c.view.Has(id), hash: xxhash.Sum64String(text)}
}

// handleListing handles a reading of the platform's list; ok is false if it failed.
// Being listed as live never counts as a sign of life. An incarnation counts as
// ended once it has been silent and gone from the list for the time GoneHold
// without interruption. Gone means listed as gone, or missing from the list
// after it was listed as live before.
func (c *core) handleListing(l Listing, ok bool, now time.Time) {
	c.listing = false
	if !ok {
		return
	}
	for _, m := range c.otherMembers() {
		id := m.ID()
		g := c.gone[id]
		if g == nil {
			g = &goneEvidence{}
			c.gone[id] = g
		}
		live, gone := l.lists(m.Instance)
		g.seenLive = g.seenLive || live
		silent := elapsed(c.answeredAt(id), now) >= c.timing.Suspicion
		switch {
		case live || !gone && !g.seenLive || !silent:
			g.goneSince = time.Time{}
		case g.goneSince.IsZero():
			g.goneSince = now
		case now.Sub(g.goneSince) >= c.timing.GoneHold:
			c.markEnded(id)
		}
	}
	c.listed = nil
	if c.view.Epoch == 0 {
		c.listed = l.Live
	}
}

// otherMembers returns the members of the current and the open views except this
// incarnation.
func (c *core) otherMembers() []Member {
	var all []Member
	seen := map[ID]bool{c.self.ID(): true}
	views := []View{c.view}
	for _, o := range c.openViews {
		views = append(views, o.view)
	}
	for _, v := range views {
		for _, m := range v.Members {
			if !seen[m.ID()] {
				seen[m.ID()] = true
				all = append(all, m)
			}
		}
	}
	return all
}

func (c *core) answeredAt(id ID) time.Time {
	if p := c.peers[id]; p != nil {
		return p.Answered
	}
	return time.Time{}
}

// forgetAfter is the time without a message after which the record of an instance
// that is in no view is dropped.
const forgetAfter = time.Minute

// forgetPeers drops the records of instances that are in no view.
func (c *core) forgetPeers(now time.Time) {
	needed := map[ID]bool{}
	for _, m := range c.otherMembers() {
		needed[m.ID()] = true
	}
	for id, p := range c.peers {
		if !needed[id] && elapsed(p.Heard, now) >= forgetAfter {
			delete(c.peers, id)
			delete(c.ended, id)
		}
	}
	for id := range c.gone {
		if !needed[id] {
			delete(c.gone, id)
		}
	}
}
