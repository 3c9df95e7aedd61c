package gossiper

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"jujubegate.example/jujubegate"
)

const (
	// failoverAge is the age of the newest confirmation from which on instances that
	// are not the first in rank read the store. It covers two watches, since one
	// confirms the time at which it was sent, a round and a margin.
	failoverAge = 2 * time.Second
	// failoverStep is added to failoverAge for each rank, so that not all instances
	// read at once when the first one fails.
	failoverStep = 250 * time.Millisecond
	// initialReadDelay is how long a new instance waits for the state of peers before
	// it reads the store.
	initialReadDelay = 50 * time.Millisecond
	// initialReadDelayNonSeed is the delay of an instance that is not a seed: seeds
	// that start at the same time read the store and pass the state on.
	initialReadDelayNonSeed = 600 * time.Millisecond
	// initialReadStep is added to the delay for each rank, so that when a whole fleet
	// starts a few instances read and the others get the state from them.
	initialReadStep = 60 * time.Millisecond
)

// ReadAfter returns the age of a kind's newest confirmation from which on this
// instance reads the store itself. It is 0 for the first instance in rank, so that
// one instance reads for all while nothing fails. If complete is false, some kind
// has no state yet, and the result only gives peers the time to send theirs.
func (g *Gossiper) ReadAfter(kind string, complete bool) time.Duration {
	rank, others := g.rank(kind)
	if !complete {
		wait := initialReadDelayNonSeed
		if others > 0 || len(g.settings.Seeds) == 0 || slices.Contains(g.settings.Seeds, g.settings.Self.PeerAddress) {
			wait = initialReadDelay
		}
		return wait + time.Duration(rank)*initialReadStep
	}
	if rank == 0 {
		return 0
	}
	return failoverAge + time.Duration(rank)*failoverStep + propagationDelay(others)
}

// propagationDelay returns the time that a change needs to reach all instances; 0
// if each pair of instances has an exchange in every round.
func propagationDelay(others int) time.Duration {
	if others <= FullMeshLimit {
		return 0
	}
	// Within a data centre, to another one by a relay, and within that one.
	rounds := math.Ceil(math.Log(float64(others))/math.Log(fanOut+1)) + 1
	return time.Duration(rounds) * Period
}

// Rank returns the rank of this instance among the live ones that can read a kind
// from the store; 0 is the first. Each kind has its own order.
func (g *Gossiper) Rank(kind string) int {
	rank, _ := g.rank(kind)
	return rank
}

// rank returns the rank of this instance as Rank does, and the number of the
// other live instances.
func (g *Gossiper) rank(kind string) (rank, others int) {
	ownWeight := weight(kind, string(g.settings.Self.Instance))
	failing := g.failingElsewhere()
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, r := range g.members.records {
		if r.suspected() || r.dead() {
			continue
		}
		others++
		if !g.failing[kind].Has(r.peering.PeerAddress) && !failing.Has(jujubegate.Instance(name)) && weight(kind, name) > ownWeight {
			rank++
		}
	}
	return rank, others
}

// weight is the rendezvous-hashing weight of an instance for a kind or another key.
func weight(kind, instance string) uint64 { return xxhash.Sum64String(kind + "/" + instance) }
