package jujubegate

import (
	"cmp"
	"maps"
	"slices"
)

// Set is an immutable set of ordered values; the zero value is empty.
type Set[T cmp.Ordered] struct {
	members map[T]struct{}
}

// NewSet returns a set of the values.
func NewSet[T cmp.Ordered](values ...T) Set[T] {
	members := make(map[T]struct{}, len(values))
	for _, v := range values {
		members[v] = struct{}{}
	}
	return Set[T]{members: members}
}

// Has reports whether the value is a member.
func (s Set[T]) Has(value T) bool {
	_, ok := s.members[value]
	return ok
}

// Len returns the number of members.
func (s Set[T]) Len() int { return len(s.members) }

// With returns the set with the value added.
func (s Set[T]) With(value T) Set[T] {
	members := make(map[T]struct{}, len(s.members)+1)
	maps.Copy(members, s.members)
	members[value] = struct{}{}
	return Set[T]{members: members}
}

// Without returns the set with the value removed.
func (s Set[T]) Without(value T) Set[T] {
	members := maps.Clone(s.members)
	delete(members, value)
	return Set[T]{members: members}
}

// Sorted returns the members in ascending order.
func (s Set[T]) Sorted() []T { return slices.Sorted(maps.Keys(s.members)) }
