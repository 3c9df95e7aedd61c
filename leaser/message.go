package leaser

import (
	"slices"

	"jujubegate.example/jujubegate"
)

// HeartbeatRequest is a heartbeat: what the sender reports about itself.
type HeartbeatRequest struct {
	Sender     Member
	Epoch      jujubegate.Epoch
	Generation jujubegate.Generation
	// Suspected lists the members of the sender's view that have not answered
	// it within the suspicion time and are not known to have ended.
	Suspected []jujubegate.Instance
	// Settled is an epoch such that no instance holds a lease under it or an
	// earlier one any more.
	Settled jujubegate.Epoch
	// Released is the latest epoch that the sender has released: it has applied
	// the view of the epoch, and none of its requests runs any more on targets
	// that this view assigns to others.
	Released jujubegate.Epoch
	// Agreed is a generation that all members of the view with this epoch have
	// reported. It passes the agreement on to members that can't reach each other.
	Agreed jujubegate.Generation
}

// HeartbeatAnswer is the answer to a heartbeat: what the receiver reports about
// itself.
type HeartbeatAnswer struct {
	Receiver   Member
	Epoch      jujubegate.Epoch
	Generation jujubegate.Generation
	Suspected  []jujubegate.Instance
	Settled    jujubegate.Epoch
	Released   jujubegate.Epoch
	Agreed     jujubegate.Generation
	// View is the receiver's view if the request named an earlier epoch, else
	// nil. It saves the sender a read of the store, and brings it the view while
	// the store is down.
	View *View
}

// Listing is one reading of the platform's list of instances. It may be out
// of date in both directions.
type Listing struct {
	// Live lists the instances whose process has not ended, leaving ones included.
	Live []ListedInstance
	// Gone lists instances whose process the platform knows to have ended.
	Gone []jujubegate.Instance
}

// ListedInstance is a live instance in the platform's list.
type ListedInstance struct {
	Instance    jujubegate.Instance
	PeerAddress string
}

// lists reports whether the instance is listed as live, or else as gone.
func (l Listing) lists(instance jujubegate.Instance) (live, gone bool) {
	live = slices.ContainsFunc(l.Live, func(e ListedInstance) bool { return e.Instance == instance })
	return live, !live && slices.Contains(l.Gone, instance)
}
