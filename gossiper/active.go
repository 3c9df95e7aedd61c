package gossiper

import (
	"slices"

	"jujubegate.example/jujubegate"
)

const (
	// activeShare is the part of the fleet's capacity that the active instances
	// have at least.
	activeShare = 0.25
	// minActive and minActiveDataCentres are the numbers of instances and of
	// data centres that are active at least, if there are as many.
	minActive            = 3
	minActiveDataCentres = 2
	// equalCapacity is the part of a capacity down to which another one counts
	// as equal to it.
	equalCapacity = 0.75
)

// Active returns those instances of a fleet that callers are sent to: the
// strongest, whose answers are the fastest, and as many of them as can carry
// the load after a loss. In a fleet of equal instances it returns all.
func Active(fleet []Peer) []Peer {
	var serving []Peer
	var total int64
	for _, p := range fleet {
		if p.Serving {
			serving = append(serving, p)
			total += p.Capacity
		}
	}
	slices.SortStableFunc(serving, func(a, b Peer) int { return int(b.Capacity - a.Capacity) })
	var sum, class int64
	centres := jujubegate.NewSet[jujubegate.DataCentre]()
	for i, p := range serving {
		enough := float64(sum) >= activeShare*float64(total) && i >= minActive && centres.Len() >= minActiveDataCentres
		if enough && float64(p.Capacity) < equalCapacity*float64(class) {
			return serving[:i]
		}
		if float64(p.Capacity) < equalCapacity*float64(class) || class == 0 {
			class = p.Capacity
		}
		sum += p.Capacity
		centres = centres.With(p.DataCentre)
	}
	return serving
}

// RankOf returns how many peers come before an instance in the order of a key,
// in which each key has its own order.
func RankOf(key string, instance jujubegate.Instance, peers []Peer) int {
	own := weight(key, string(instance))
	place := 0
	for _, p := range peers {
		if weight(key, string(p.Instance)) > own {
			place++
		}
	}
	return place
}
