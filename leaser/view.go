// Package leaser decides whether this instance may accept work: it maintains the
// membership view, exchanges heartbeats and holds the serving lease.
//
// An epoch numbers the views. A generation numbers the configurations. An
// incarnation is one run of an instance's process; a restarted instance keeps its
// name and gets a new incarnation.
package leaser

import (
	"cmp"
	"slices"

	"jujubegate.example/jujubegate"
)

// Member is one incarnation of an instance, with its addresses.
type Member struct {
	Instance jujubegate.Instance
	// Incarnation is unique to each start of the process.
	Incarnation string
	DataCentre  jujubegate.DataCentre
	// PeerAddress and CallerAddress are host:port of the listeners for peers and
	// for callers.
	PeerAddress   string
	CallerAddress string
	// Leaving is set from the stop request on. The address of a leaving member is
	// not given to callers, and a member that is marked in the view owns no
	// targets under it unless all members leave.
	Leaving bool
}

// ID identifies one incarnation of an instance.
type ID struct {
	Instance    jujubegate.Instance
	Incarnation string
}

// ID returns the ID of the member.
func (m Member) ID() ID { return ID{m.Instance, m.Incarnation} }

// WithLeaving returns a copy of the member with Leaving set to the value.
func (m Member) WithLeaving(leaving bool) Member {
	m.Leaving = leaving
	return m
}

// View is an immutable list of members at one epoch, sorted by instance.
type View struct {
	Epoch   jujubegate.Epoch
	Members []Member
	// Open lists the earlier views under which an instance may still hold a
	// lease, oldest first. A member that owns a target under this view must
	// wait for each open view that assigns it to another owner. The entries have
	// no open views of their own.
	Open []View `json:",omitempty"`
}

// Member returns the member with the name, or false if there is none.
func (v View) Member(instance jujubegate.Instance) (Member, bool) {
	i, ok := slices.BinarySearchFunc(v.Members, instance, func(m Member, name jujubegate.Instance) int {
		return cmp.Compare(m.Instance, name)
	})
	if !ok {
		return Member{}, false
	}
	return v.Members[i], true
}

// Has reports whether this incarnation of the instance is a member.
func (v View) Has(id ID) bool {
	m, ok := v.Member(id.Instance)
	return ok && m.Incarnation == id.Incarnation
}

// Majority returns the smallest quorum: any two sets of that many members share a
// member.
func (v View) Majority() int { return len(v.Members)/2 + 1 }

// withoutOpenViews returns the view as an entry of a later view's Open list.
func (v View) withoutOpenViews() View {
	v.Open = nil
	return v
}
