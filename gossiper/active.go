package gossiper

import (
	"slices"

	"jujubegate.example/jujubegate"
)

const (
	// minActiveShare is the least share of the fleet's capacity that the active
	// instances have together.
	minActiveShare = 0.25
	// minActive and minActiveDataCentres are the least numbers of active instances
	// and of their data centres, as far as the fleet has that many.
	minActive            = 3
	minActiveDataCentres = 2
	// equalCapacityRatio is the least ratio of an instance's capacity to that of a
	// stronger one at which both count as equal.
	equalCapacityRatio = 0.75
)

// Active returns the serving instances that callers are sent to. These are the
// ones with the most capacity, which answer fastest, and enough of them to carry
// the load after some are lost. In a fleet of equal instances it returns all.
func Active(fleet []Peer) []Peer {
	var serving []Peer
	var totalCapacity int64
	for _, p := range fleet {
		if p.Serving {
			serving = append(serving, p)
			totalCapacity += p.Capacity
		}
	}
	slices.SortStableFunc(serving, func(a, b Peer) int { return int(b.Capacity - a.Capacity) })
	var activeCapacity, classCapacity int64
	dataCentres := jujubegate.NewSet[jujubegate.DataCentre]()
	for i, p := range serving {
		enough := float64(activeCapacity) >= minActiveShare*float64(totalCapacity) && i >= minActive && dataCentres.Len() >= minActiveDataCentres
		if enough && float64(p.Capacity) < equalCapacityRatio*float64(classCapacity) {
			return serving[:i]
		}
		if float64(p.Capacity) < equalCapacityRatio*float64(classCapacity) || classCapacity == 0 {
			classCapacity = p.Capacity
		}
		activeCapacity += p.Capacity
		dataCentres = dataCentres.With(p.DataCentre)
	}
	return serving
}

// RankOf returns the number of peers that precede an instance in the order that
// rendezvous hashing gives for a key.
func RankOf(key string, instance jujubegate.Instance, peers []Peer) int {
	ownWeight := weight(key, string(instance))
	rank := 0
	for _, p := range peers {
		if weight(key, string(p.Instance)) > ownWeight {
			rank++
		}
	}
	return rank
}
