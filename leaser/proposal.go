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
// written. At 110 members one view is about 16 KB, so the object stays far
// under the store's limit of 1 MB.
const maxOpenViews = 16

// propose returns the view that should follow the one in force, if any.
//
// A member is removed if its process has ended, or if a majority of the members
// suspects it. An instance is added if it exchanges heartbeats with a majority
// of the members under the epoch in force. The writer itself must be in contact
// with a majority of the members, ended ones counted, so that an instance that
// is cut off from the others does not change the view although it reaches the
// store. These conditions keep the view steady; safety doesn't depend on them.
//
// Safety does depend on the store keeping the object: if it were lost, an
// instance that starts would begin again at epoch 1 beside the members of the
// lost view. Members that know a view write its successor instead.
func (c *core) propose(now time.Time) (View, bool) {
	if c.newest > c.view.Epoch || len(c.open) >= maxOpenViews || !c.inContact(now) {
		return View{}, false
	}
	changed := false
	var members []Member
	suspicions := c.suspicions(now)
	for _, m := range c.view.Members {
		switch {
		case c.removable(m, suspicions):
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
	for _, o := range c.open {
		if !o.closed {
			next.Open = append(next.Open, o.view)
		}
	}
	if c.view.Epoch > 0 {
		next.Open = append(next.Open, c.view.withoutOpen())
	}
	return next, true
}

// inContact reports whether a majority of the members has answered within the
// suspicion time or has ended.
func (c *core) inContact(now time.Time) bool {
	if c.view.Epoch == 0 {
		return true
	}
	count := 0
	for _, m := range c.view.Members {
		if m.ID() == c.self.ID() || c.ended[m.ID()] || c.answers(m.ID(), now) {
			count++
		}
	}
	return count >= c.view.Majority()
}

// answers reports whether a peer has answered within the suspicion time.
func (c *core) answers(id ID, now time.Time) bool {
	p := c.peers[id]
	return p != nil && !c.ended[id] && elapsed(p.Answered, now) < c.timing.Suspicion
}

// removable reports whether a member should be removed.
func (c *core) removable(m Member, suspicions map[jujubegate.Instance]int) bool {
	if m.ID() == c.self.ID() {
		return c.departing
	}
	return c.ended[m.ID()] || suspicions[m.Instance] >= c.view.Majority()
}

// suspicions counts the live members that suspect each member.
func (c *core) suspicions(now time.Time) map[jujubegate.Instance]int {
	counts := map[jujubegate.Instance]int{}
	for _, m := range c.view.Members {
		var names []jujubegate.Instance
		switch {
		case m.ID() == c.self.ID():
			names = c.suspects(now)
		case c.answers(m.ID(), now):
			names = c.peers[m.ID()].suspected
		}
		for _, name := range names {
			counts[name]++
		}
	}
	return counts
}

// suspect reports whether a member has not answered within the suspicion time.
func (c *core) suspect(id ID, now time.Time) bool {
	p := c.peers[id]
	if p == nil {
		return true
	}
	return !c.answers(id, now) && elapsed(p.memberAt, now) >= c.timing.Suspicion
}

// suspects returns the suspected members that are not known to have ended.
func (c *core) suspects(now time.Time) []jujubegate.Instance {
	var names []jujubegate.Instance
	for _, m := range c.view.Members {
		if m.ID() != c.self.ID() && !c.ended[m.ID()] && c.suspect(m.ID(), now) {
			names = append(names, m.Instance)
		}
	}
	return names
}

// joiners returns the instances that should be added to the view. One that is
// behind in configuration waits: as a member it would hold up targets whose
// owner depends on the changes that it lacks.
func (c *core) joiners(now time.Time) []Member {
	var found []Member
	if !c.view.Has(c.self.ID()) && !c.departing && !c.self.Leaving && !c.behind(now) {
		found = append(found, c.self)
	}
	for _, id := range c.known() {
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

// behind reports whether a live member has a later configuration.
func (c *core) behind(now time.Time) bool {
	return slices.ContainsFunc(c.view.Members, func(m Member) bool {
		return c.answers(m.ID(), now) && c.peers[m.ID()].Generation > c.generation
	})
}

// proposalDue reports whether this instance should write its proposal now. The
// live members come in rendezvous order, then the joining instances, so that
// one of them usually writes alone.
func (c *core) proposalDue(now time.Time) bool {
	if c.proposalAt.IsZero() {
		return false
	}
	if c.self.Leaving {
		// Nobody else asks for its handover.
		return now.Sub(c.proposalAt) >= c.timing.ProposalDelay
	}
	rank := 0
	own := c.rankKey(c.self.ID())
	for id := range c.peers {
		if !c.answers(id, now) {
			continue
		}
		if k := c.rankKey(id); k.joining != own.joining && own.joining || k.joining == own.joining && k.hash < own.hash {
			rank++
		}
	}
	wait := c.timing.ProposalDelay + time.Duration(rank)*c.timing.ProposalStep
	return now.Sub(c.proposalAt) >= wait
}

type rankKey struct {
	joining bool
	hash    uint64
}

// rankKey orders the candidates for the next write; it differs by epoch, so
// that the load of writing is spread.
func (c *core) rankKey(id ID) rankKey {
	text := strconv.FormatInt(int64(c.view.Epoch), 10) + "/" + string(id.Instance) + "/" + id.Incarnation
	return rankKey{joining: !c.view.Has(id), hash: xxhash.Sum64String(text)}
}

// list takes a reading of the platform's list. Being listed as live is never
// trusted. Being gone counts for a start of an instance that has been silent
// while the list named it as gone, without interruption, for the hold time; if
// the list merely lacks it, only after it was once seen listed.
func (c *core) list(l Listing, ok bool, now time.Time) {
	c.listing = false
	if !ok {
		return
	}
	for _, m := range c.owners() {
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
			g.since = time.Time{}
		case g.since.IsZero():
			g.since = now
		case now.Sub(g.since) >= c.timing.GoneHold:
			c.end(id)
		}
	}
	c.listed = nil
	if c.view.Epoch == 0 {
		c.listed = l.Live
	}
}

// owners returns the other members of the view and of the open views.
func (c *core) owners() []Member {
	var all []Member
	seen := map[ID]bool{c.self.ID(): true}
	views := []View{c.view}
	for _, o := range c.open {
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

// forgetAfter is the time after which an instance that is in no view and has
// sent nothing is forgotten.
const forgetAfter = time.Minute

// forget drops records of instances that no view needs.
func (c *core) forget(now time.Time) {
	needed := map[ID]bool{}
	for _, m := range c.owners() {
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
