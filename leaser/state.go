package leaser

import (
	"time"

	"jujubegate.example/jujubegate"
)

// State is an immutable copy of what the decisions about one moment depend on.
type State struct {
	Self Member
	View View
	// LeaseFrom is the moment from which the lease counts; zero if there is none.
	LeaseFrom time.Time
	// Lease is the time for which the lease holds.
	Lease time.Duration
	// Open lists the views under which others may still act, oldest first.
	Open []OpenView
	// Agreed is the lowest generation reported by the other members of the view.
	Agreed jujubegate.Generation
	// Peers holds the other instances heard of.
	Peers map[ID]Peer
}

// OpenView is an earlier view that a takeover may have to wait for.
type OpenView struct {
	View View
	// ClosesAt is the moment from which no instance holds a lease under the
	// view; zero while a majority has not acknowledged a later one.
	ClosesAt time.Time
	// Agreed is the lowest generation reported by the other members of the
	// view that have not reported a later epoch.
	Agreed jujubegate.Generation
}

// Closed reports whether no instance can act under the view any more.
func (o OpenView) Closed(now time.Time) bool {
	return !o.ClosesAt.IsZero() && !now.Before(o.ClosesAt)
}

// Peer is what this instance knows of another one.
type Peer struct {
	Member Member
	// Answered is the send time of the newest heartbeat that it answered, and
	// Heard the time of the newest message from it.
	Answered   time.Time
	Heard      time.Time
	Epoch      jujubegate.Epoch
	Generation jujubegate.Generation
	// Released is the newest epoch that it released, and ReleasedGeneration
	// its generation when this instance learned that.
	Released           jujubegate.Epoch
	ReleasedGeneration jujubegate.Generation
	// Ended is set once the process is known to have ended.
	Ended bool
}

// Serving reports whether the serving lease holds, so that this instance may
// take new work as a root. An instance that is not a member may serve as well.
func (s *State) Serving(now time.Time) bool {
	return !s.LeaseFrom.IsZero() && elapsed(s.LeaseFrom, now) < s.Lease
}

// MayOwnTargets reports whether this instance may own targets: it serves and is a
// member of the view in force.
func (s *State) MayOwnTargets(now time.Time) bool {
	return s.Serving(now) && s.View.Has(s.Self.ID())
}

// Yielded reports whether the owner under an open view can no longer act on a
// target that the view gave it. The generation is that of the asking instance.
//
// A release counts only if its sender was not ahead in configuration: else an
// instance that is still in the open view could already own the target under
// the later configuration, which the asking one does not know yet.
func (s *State) Yielded(owner ID, open OpenView, generation jujubegate.Generation, now time.Time) bool {
	if owner == s.Self.ID() || open.Closed(now) {
		return true
	}
	p := s.Peers[owner]
	return p.Released > open.View.Epoch && p.ReleasedGeneration <= generation
}
