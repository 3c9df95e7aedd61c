package jujubegate

import (
	"fmt"
	"slices"
)

// KeySpace is the number of keys of a service; keys are 32-bit hashes.
const KeySpace uint64 = 1 << 32

// KeyRange is the half-open interval [Start, End) of keys.
type KeyRange struct {
	Start uint64
	End   uint64
}

// Valid reports whether the range is non-empty and within the key space.
func (r KeyRange) Valid() bool { return r.Start < r.End && r.End <= KeySpace }

// Len returns the number of keys.
func (r KeyRange) Len() uint64 { return r.End - r.Start }

// String returns the range in hexadecimal.
func (r KeyRange) String() string { return fmt.Sprintf("[%08x,%08x)", r.Start, r.End) }

// Coverage is an immutable set of disjoint, sorted key ranges.
type Coverage struct {
	ranges []KeyRange
}

// With returns the coverage extended by a range. It fails if the range is
// invalid or overlaps a covered range, because two shards of one partition map
// never hold the same key.
func (c Coverage) With(added KeyRange) (Coverage, error) {
	if !added.Valid() {
		return c, fmt.Errorf("key range %v is empty or outside the key space", added)
	}
	i, _ := slices.BinarySearchFunc(c.ranges, added, func(a, b KeyRange) int {
		switch {
		case a.Start < b.Start:
			return -1
		case a.Start > b.Start:
			return 1
		}
		return 0
	})
	if i > 0 && c.ranges[i-1].End > added.Start {
		return c, fmt.Errorf("key range %v overlaps %v", added, c.ranges[i-1])
	}
	if i < len(c.ranges) && added.End > c.ranges[i].Start {
		return c, fmt.Errorf("key range %v overlaps %v", added, c.ranges[i])
	}
	ranges := make([]KeyRange, 0, len(c.ranges)+1)
	ranges = append(ranges, c.ranges[:i]...)
	ranges = append(ranges, added)
	ranges = append(ranges, c.ranges[i:]...)
	return Coverage{ranges: ranges}, nil
}

// Fraction returns the covered fraction of the key space, from 0 to 1.
func (c Coverage) Fraction() float64 {
	var covered uint64
	for _, r := range c.ranges {
		covered += r.Len()
	}
	return float64(covered) / float64(KeySpace)
}

// Whole reports whether every key is covered.
func (c Coverage) Whole() bool { return len(c.Missing()) == 0 }

// Missing returns the uncovered ranges in ascending order, with adjacent ones
// merged.
func (c Coverage) Missing() []KeyRange {
	var missing []KeyRange
	var next uint64
	for _, r := range c.ranges {
		if r.Start > next {
			missing = append(missing, KeyRange{next, r.Start})
		}
		next = r.End
	}
	if next < KeySpace {
		missing = append(missing, KeyRange{next, KeySpace})
	}
	return missing
}
