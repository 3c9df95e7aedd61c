// Package leaser decides whether this instance may take work: it keeps the
// membership view, exchanges heartbeats and holds the serving lease.
package leaser

import (
	"slices"

	"jujubegate.example/jujubegate"
)

// Member is one start of one instance.
type Member struct {
	Instance jujubegate.Instance
	// Incarnation is unique to each start of the process.
	Incarnation string
	DataCentre  jujubegate.DataCentre
	// PeerAddress and CallerAddress are host:port of the two listeners.
	PeerAddress   string
	CallerAddress string
	// Leaving is set from the stop request on; a leaving member is not handed
	// out to callers and owns no targets in the next view.
	Leaving bool
}

// View is an immutable list of members at one epoch, sorted by instance.
type View struct {
	Epoch   jujubegate.Epoch
	Members []Member
}

// Member returns the member with the name.
func (v View) Member(instance jujubegate.Instance) (Member, bool) {
	i, ok := slices.BinarySearchFunc(v.Members, instance, func(m Member, name jujubegate.Instance) int {
		switch {
		case m.Instance < name:
			return -1
		case m.Instance > name:
			return 1
		}
		return 0
	})
	if !ok {
		return Member{}, false
	}
	return v.Members[i], true
}

// Majority returns the smallest number of members that any two such groups share one of.
func (v View) Majority() int { return len(v.Members)/2 + 1 }
