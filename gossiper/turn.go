package gossiper

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// takeOver is the age of the newest confirmation from which on the next
	// instance in rank reads the store: a watch, a round and a margin.
	takeOver = 1300 * time.Millisecond
	// takeOverStep separates the instances further down in rank, so that not
	// all read at once when the first one fails.
	takeOverStep = 250 * time.Millisecond
	// firstRead is how long a new instance waits for what peers hold.
	firstRead = 50 * time.Millisecond
	// firstReadOther is the same for an instance that is no seed: seeds that start
	// at the same time read the store and tell the others.
	firstReadOther = 150 * time.Millisecond
	// firstReadStep separates new instances by rank, so that in a fleet that
	// starts as a whole a few read and the others hear from them.
	firstReadStep = 60 * time.Millisecond
)

// ReadAfter returns the age of the newest confirmation of a kind from which on this
// instance reads the store itself: at once for the first in rank, so that one
// instance reads for all while nothing fails. Without all states it waits only
// for what peers hold.
func (g *Gossiper) ReadAfter(kind string, complete bool) time.Duration {
	rank, others := g.rank(kind)
	if !complete {
		wait := firstReadOther
		if len(g.settings.Seeds) == 0 || slices.Contains(g.settings.Seeds, g.settings.Self.PeerAddress) {
			wait = firstRead
		}
		return wait + time.Duration(rank)*firstReadStep
	}
	if rank == 0 {
		return 0
	}
	return takeOver + time.Duration(rank)*takeOverStep + spread(others)
}

// spread is the time that news needs to reach all instances.
func spread(others int) time.Duration {
	if others <= FullMeshLimit {
		return 0
	}
	rounds := math.Ceil(math.Log(float64(others)) / math.Log(fanOut+1))
	return time.Duration(rounds) * Period
}

// Rank returns this instance's place among those that live, in an order of its
// own for each kind.
func (g *Gossiper) Rank(kind string) int {
	rank, _ := g.rank(kind)
	return rank
}

// rank returns this instance's place among those that live and reach the store,
// in an order of its own for each kind, and the number of the others that live.
func (g *Gossiper) rank(kind string) (rank, others int) {
	own := weight(kind, string(g.settings.Self.Instance))
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, r := range g.members.records {
		if r.suspected() || r.dead() {
			continue
		}
		others++
		if !g.failing[kind].Has(r.peering.PeerAddress) && weight(kind, name) > own {
			rank++
		}
	}
	return rank, others
}

func weight(kind, instance string) uint64 { return xxhash.Sum64String(kind + "/" + instance) }
