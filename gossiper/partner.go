package gossiper

import (
	"math/rand/v2"
	"slices"

	"jujubegate.example/jujubegate"
)

const (
	// fanOut is the number of live peers that an instance contacts per round in a
	// fleet with more than FullMeshLimit peers.
	fanOut = 2
	// FullMeshLimit is the number of peers up to which each pair of instances
	// exchanges its state in every round.
	FullMeshLimit = 16
	// minNear is the least number of peers in the same data centre that take the
	// place of random peers in a large fleet.
	minNear = 4
	// relays is the number of instances of each data centre that contact another data
	// centre in every round.
	relays = 3
	// farChance is the probability with which any other instance does so, which
	// covers relays that do not know of each other's loss.
	farChance = 0.1
	// relayKey is the key that ranks the instances of a data centre as relays.
	relayKey = "relay"
)

// partners returns the addresses to contact in the next round: some live peers,
// all of them if all is set and the fleet is small, and one that is suspected, dead
// or not known yet. Without live peers it returns up to FullMeshLimit of the latter.
func (g *Gossiper) partners(all bool) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var other []string
	for a := range g.contacts {
		other = append(other, a)
	}
	for _, r := range g.members.records {
		if r.suspected() || r.dead() {
			other = append(other, r.peering.PeerAddress)
		}
	}
	shuffle(other)
	live := g.members.live()
	var partners []string
	switch {
	case len(live) == 0:
		return other[:min(len(other), FullMeshLimit)]
	case len(live) > FullMeshLimit:
		partners = selectNearPartners(g.settings.Self, live, all)
	case all:
		partners = addresses(live)
	default:
		partners = selectRingPartners(g.settings.Self.PeerAddress, addresses(live))
	}
	return append(partners, other[:min(len(other), 1)]...)
}

// selectRingPartners returns the half of the live peers that follows an instance in
// the ring of sorted addresses, so that each pair of instances has an exchange.
func selectRingPartners(self string, live []string) []string {
	slices.Sort(live)
	after, _ := slices.BinarySearch(live, self)
	ring := append(slices.Clone(live[after:]), live[:after]...)
	return ring[:(len(live)+1)/2]
}

// selectNearPartners returns the live peers that an instance of a large fleet
// contacts in a round. These are random ones in its data centre, since traffic
// between data centres is billed. A few instances of each data centre also contact
// another one, or each other one if wide is set.
func selectNearPartners(self Peer, live []Peer, wide bool) []string {
	var near []Peer
	far := make(map[jujubegate.DataCentre][]Peer)
	for _, p := range live {
		if p.DataCentre == self.DataCentre {
			near = append(near, p)
			continue
		}
		far[p.DataCentre] = append(far[p.DataCentre], p)
	}
	if len(near) < minNear {
		all := addresses(live)
		shuffle(all)
		return all[:min(fanOut, len(all))]
	}
	relay := RankOf(relayKey, self.Instance, near) < relays
	partners := addresses(near)
	shuffle(partners)
	partners = partners[:fanOut]
	if len(far) == 0 || !relay && rand.Float64() >= farChance {
		return partners
	}
	var chosen []string
	for _, peers := range far {
		chosen = append(chosen, peers[rand.IntN(len(peers))].PeerAddress)
	}
	if shuffle(chosen); !wide || !relay {
		chosen = chosen[:1]
	}
	return append(partners, chosen...)
}

func addresses(peers []Peer) []string {
	list := make([]string, len(peers))
	for i, p := range peers {
		list[i] = p.PeerAddress
	}
	return list
}

func shuffle(list []string) {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}
