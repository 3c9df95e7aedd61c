package leaser

import (
	"time"

	"jujubegate.example/jujubegate"
)

// State is an immutable snapshot of the membership, on which decisions are based.
type State struct {
	Self Member
	View View
	// LeaseFrom is the time from which the lease counts; zero if there is none.
	LeaseFrom time.Time
	// Lease is the duration of the lease from LeaseFrom on.
	Lease time.Duration
	// Open lists the earlier views under which others may still act, oldest first.
	Open []OpenView
	// Agreed is the lowest generation reported by the other members of View.
	Agreed jujubegate.Generation
	// Peers holds the other known instances.
	Peers map[ID]Peer
}

// OpenView is an earlier view; a takeover waits until it has closed, or until
// the owner under it has released the target.
type OpenView struct {
	View View
	// ClosesAt is the time from which no instance holds a lease under the view;
	// zero while no majority has acknowledged a later view.
	ClosesAt time.Time
	// Agreed is the lowest generation reported by the other members of the
	// view that have not reported a later epoch.
	Agreed jujubegate.Generation
}

// Closed reports whether no instance can act under the view at the time now.
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
	// Released is the latest epoch that it released, and ReleasedGeneration the
	// generation in the first message that reported this release here.
	Released           jujubegate.Epoch
	ReleasedGeneration jujubegate.Generation
	// Ended is set once the process is known to have ended.
	Ended bool
}

// Serving reports whether the lease holds, so that this instance may accept
// queries of callers as their root. An instance that is not a member may serve as
// well.
func (s *State) Serving(now time.Time) bool {
	return !s.LeaseFrom.IsZero() && elapsed(s.LeaseFrom, now) < s.Lease
}

// MayOwnTargets reports whether this instance serves and is a member of the
// current view.
func (s *State) MayOwnTargets(now time.Time) bool {
	return s.Serving(now) && s.View.Has(s.Self.ID())
}

// Yielded reports whether the owner of a target under an open view is this instance
// or can no longer act on the target. The generation is that of this instance.
//
// A release counts only if its sender did not have a later configuration than
// this instance. Otherwise another member of the open view could already own the
// target under that configuration, which this instance doesn't know yet.
func (s *State) Yielded(owner ID, open OpenView, generation jujubegate.Generation, now time.Time) bool {
	if owner == s.Self.ID() || open.Closed(now) {
		return true
	}
	p := s.Peers[owner]
	return p.Released > open.View.Epoch && p.ReleasedGeneration <= generation
}
