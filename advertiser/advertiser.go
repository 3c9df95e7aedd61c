// Package advertiser answers callers' lookups of instance addresses, and runs the
// sequence in which an instance stops gracefully.
package advertiser

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/leaser"
)

const (
	// MaxAddresses is the largest number of addresses in an answer.
	MaxAddresses = 4
	// ValidFor is the time for which a caller may cache an answer.
	ValidFor = 30 * time.Second
	// MaxHeartbeatAge is how long after the last message of a peer its address is
	// still given out.
	MaxHeartbeatAge = 2 * time.Second
)

// Answer lists the addresses that a caller should use, in order of preference.
type Answer struct {
	Addresses []string
	ValidFor  time.Duration
}

// Advertiser answers address lookups.
type Advertiser struct {
	// State returns the membership state.
	State func() *leaser.State
}

// New returns an advertiser that reads the membership state from the function.
func New(state func() *leaser.State) *Advertiser { return &Advertiser{State: state} }

// Lookup returns up to MaxAddresses caller addresses of members that were heard
// from recently and are not leaving, those in the caller's data centre first.
// Within each of the two groups the order depends on the caller's hash, so that
// callers are spread evenly. If there is no such member, the answer holds the
// address of this instance, provided that it serves.
func (a *Advertiser) Lookup(dataCentre jujubegate.DataCentre, callerHash uint64, now time.Time) Answer {
	s := a.State()
	candidates := make([]candidate, 0, len(s.View.Members))
	for _, m := range s.View.Members {
		if !advertisable(s, m, now) {
			continue
		}
		candidates = append(candidates, candidate{
			address: m.CallerAddress,
			remote:  m.DataCentre != dataCentre,
			score:   score(m.Instance, callerHash),
		})
	}
	if len(candidates) == 0 && s.Serving(now) {
		candidates = append(candidates, candidate{address: s.Self.CallerAddress})
	}
	slices.SortFunc(candidates, candidate.compare)
	answer := Answer{ValidFor: ValidFor}
	for _, c := range candidates[:min(len(candidates), MaxAddresses)] {
		answer.Addresses = append(answer.Addresses, c.address)
	}
	return answer
}

// advertisable reports whether the address of a member may be given out.
func advertisable(s *leaser.State, m leaser.Member, now time.Time) bool {
	if m.ID() == s.Self.ID() {
		return s.Serving(now) && !s.Self.Leaving
	}
	p, ok := s.Peers[m.ID()]
	return ok && !p.Ended && !m.Leaving && !p.Member.Leaving && now.Sub(p.Heard) < MaxHeartbeatAge
}

// candidate is a member whose address may be given out.
type candidate struct {
	address string
	remote  bool
	score   uint64
}

func (c candidate) compare(d candidate) int {
	if c.remote != d.remote {
		if c.remote {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(d.score, c.score), cmp.Compare(c.address, d.address))
}

// score returns the rendezvous score of an instance for a caller.
func score(instance jujubegate.Instance, callerHash uint64) uint64 {
	h := xxhash.Sum64String(string(instance)) ^ callerHash
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
