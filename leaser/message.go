package leaser

import (
	"slices"

	"jujubegate.example/jujubegate"
)

// HeartbeatRequest is what a sender tells a peer.
type HeartbeatRequest struct {
	Sender     Member
	Epoch      jujubegate.Epoch
	Generation jujubegate.Generation
	// Suspected lists the members of the sender's view that have not answered
	// it within the suspicion time and are not known to have ended.
	Suspected []jujubegate.Instance
	// Settled is an epoch up to which no instance can hold a lease any more.
	Settled jujubegate.Epoch
	// Released is the epoch of a view that the sender has adopted after which
	// nothing that it sent runs on targets that the view gives to others.
	Released jujubegate.Epoch
	// Agreed is a generation that all members of the view of the epoch have
	// reported. It lets instances that can't reach each other agree.
	Agreed jujubegate.Generation
}

// HeartbeatAnswer is what the receiver tells in return.
type HeartbeatAnswer struct {
	Receiver   Member
	Epoch      jujubegate.Epoch
	Generation jujubegate.Generation
	Suspected  []jujubegate.Instance
	Settled    jujubegate.Epoch
	Released   jujubegate.Epoch
	Agreed     jujubegate.Generation
	// View is the receiver's view if the request named an older epoch, else
	// nil. It spares the sender a read of the store and lets it follow while
	// the store is down.
	View *View
}

// Listing is one reading of the platform's list of instances. It may be out
// of date in both directions.
type Listing struct {
	// Live lists the instances whose process has not ended; leaving ones included.
	Live []ListedInstance
	// Gone lists instances whose process the platform knows to have ended.
	Gone []jujubegate.Instance
}

// ListedInstance is a live instance in the platform's list.
type ListedInstance struct {
	Instance    jujubegate.Instance
	PeerAddress string
}

// lists reports whether the instance is listed as live, and as gone.
func (l Listing) lists(instance jujubegate.Instance) (live, gone bool) {
	live = slices.ContainsFunc(l.Live, func(e ListedInstance) bool { return e.Instance == instance })
	return live, !live && slices.Contains(l.Gone, instance)
}
