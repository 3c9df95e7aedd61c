package replicator

import "cmp"

// Position is a point in the history of the store. The era rises when the store comes
// back from an older copy; its revisions then start again from that of the copy.
type Position struct{ Era, Revision int64 }

// Compare returns -1, 0 or 1 as p is before, equal to or after other: a position of a
// later era is after all positions of an earlier one.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// Before reports whether p is before other.
func (p Position) Before(other Position) bool { return p.Compare(other) < 0 }

// withDefaultEra returns the position with the given era if its own is not known.
func (p Position) withDefaultEra(era int64) Position {
	if p.Era == 0 {
		p.Era = era
	}
	return p
}
