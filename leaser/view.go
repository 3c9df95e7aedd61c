// Package leaser decides whether this instance may take work: it keeps the
// membership view, exchanges heartbeats and holds the serving lease.
package leaser

import (
	"cmp"
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

// ID names one start of one instance.
type ID struct {
	Instance    jujubegate.Instance
	Incarnation string
}

// ID returns the identity of the member.
func (m Member) ID() ID { return ID{m.Instance, m.Incarnation} }

// WithLeaving returns the member with the mark set.
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
	// wait for each open view that names another owner. The entries have no
	// open views of their own.
	Open []View `json:",omitempty"`
}

// Member returns the member with the name.
func (v View) Member(instance jujubegate.Instance) (Member, bool) {
	i, ok := slices.BinarySearchFunc(v.Members, instance, func(m Member, name jujubegate.Instance) int {
		return cmp.Compare(m.Instance, name)
	})
	if !ok {
		return Member{}, false
	}
	return v.Members[i], true
}

// Has reports whether this start of the instance is a member.
func (v View) Has(id ID) bool {
	m, ok := v.Member(id.Instance)
	return ok && m.Incarnation == id.Incarnation
}

// Majority returns the smallest number of members that any two such groups share one of.
func (v View) Majority() int { return len(v.Members)/2 + 1 }

// withoutOpen returns the view as an entry of a later view's Open list.
func (v View) withoutOpen() View {
	v.Open = nil
	return v
}
