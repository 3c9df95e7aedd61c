// Package gossiper lets equal instances know which of them live and hands the
// objects that one of them read from the store to those that cannot reach it.
package gossiper

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/replicator"
	"jujubegate.example/jujubegate/wire"
	"jujubegate.example/jujubegate/wire/wireconnect"
)

const (
	// Period is the time between two rounds of exchanges.
	Period = 500 * time.Millisecond
	// lonelyPeriod is the same while no other instance is known, as after a start
	// that was faster than that of the seeds.
	lonelyPeriod = 100 * time.Millisecond
	// lonelyRounds bounds the number of such rounds.
	lonelyRounds = 20
	// fanOut is the number of peers that one round asks in a large fleet.
	fanOut = 2
	// FullMeshLimit is the number of peers up to which each pair of instances
	// exchanges news in each round.
	FullMeshLimit = 16
	// compressFrom is the size of an answer in bytes from which on it is
	// compressed: lists of targets are, exchanges would only grow dearer.
	compressFrom = 1024
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = 400 * time.Millisecond
	// fetchTimeout bounds the transfer of one kind.
	fetchTimeout = 2 * time.Second
	// wholeEvery is the number of rounds of which one tells all instances and
	// not just what changed, in case news was lost.
	wholeEvery = 32
)

// Settings are the dependencies of a Gossiper.
type Settings struct {
	Self  Peer
	Fleet string
	// Seeds are peer addresses to ask first; they may be stale.
	Seeds []string
	Clock jujubegate.Clock
	Log   *zap.Logger
	// Replicators hold the objects that are passed on.
	Replicators []*replicator.Replicator
	// Serving reports whether this instance takes new requests.
	Serving func() bool
	// Changed is called with the instances that live after each change.
	Changed func([]Peer)
	// LocalTallies returns what this instance saw of versions that are moved, and Hear
	// takes in what a peer saw; nil tells and hears nothing.
	LocalTallies    func() []*wire.Tally
	TalliesReceived func(peer string, tallies []*wire.Tally)
	// Client sends the exchanges.
	Client connect.HTTPClient
}

// Gossiper keeps the instances. It is safe for concurrent use.
type Gossiper struct {
	settings Settings
	round    atomic.Int64
	// incarnation is raised above one that peers know from an earlier start.
	incarnation atomic.Int64
	beat        atomic.Int64
	serving     atomic.Bool

	mu      sync.Mutex
	members members
	// contacts are peer addresses that were never heard from.
	contacts map[string]struct{}
	fetching map[string]bool
	// failing holds the peers whose calls to the store fail, by kind.
	failing map[string]jujubegate.Set[string]
	kick    chan struct{}
}

// New returns a gossiper that knows itself and the seeds.
func New(settings Settings) *Gossiper {
	g := &Gossiper{
		settings: settings, members: members{log: settings.Log, records: make(map[string]*record)},
		contacts: make(map[string]struct{}), fetching: make(map[string]bool),
		failing: make(map[string]jujubegate.Set[string]), kick: make(chan struct{}, 1),
	}
	g.incarnation.Store(settings.Self.Incarnation)
	g.AddContacts(settings.Seeds...)
	return g
}

// Self returns this instance.
func (g *Gossiper) Self() Peer { return peerOf(g.self()) }

// Size returns the number of instances that were heard from of late, with this
// one. It falls only a while after instances have ended, so that what they
// still hold of shared limits is not given away.
func (g *Gossiper) Size() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.members.records) + 1
}

// AddContacts adds peer addresses to ask.
func (g *Gossiper) AddContacts(addresses ...string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, a := range addresses {
		if a != "" && a != g.settings.Self.PeerAddress {
			g.contacts[a] = struct{}{}
		}
	}
}

// Handler returns the path and the handler of the Gossip service.
func (g *Gossiper) Handler() (string, http.Handler) {
	return wireconnect.NewGossipHandler(g, connect.WithCompressMinBytes(compressFrom))
}

// Run exchanges news until the context ends.
func (g *Gossiper) Run(ctx context.Context) {
	kicked := false
	for ctx.Err() == nil {
		round := g.round.Add(1)
		g.update(func(m *members, now time.Time) bool { return m.review(now) })
		for _, address := range g.partners(kicked) {
			go g.exchange(ctx, address, round%wholeEvery == 0)
		}
		period := Period
		if round <= lonelyRounds && g.Size() == 1 {
			period = lonelyPeriod
		}
		select {
		case <-g.settings.Clock.After(period):
			kicked = false
		case <-g.kick:
			kicked = true
		case <-ctx.Done():
		}
	}
}

// update changes the members, and tells of it if it made a difference, which it
// reports.
func (g *Gossiper) update(change func(*members, time.Time) bool) bool {
	g.mu.Lock()
	changed := change(&g.members, g.settings.Clock.Now())
	peers := g.members.alive()
	g.mu.Unlock()
	if changed {
		g.settings.Changed(peers)
	}
	return changed
}

// TriggerRound starts the next round at once, since there is news.
func (g *Gossiper) TriggerRound() {
	select {
	case g.kick <- struct{}{}:
	default:
	}
}

// Announce tells live peers the state of this instance at once.
func (g *Gossiper) Announce(ctx context.Context) {
	var group sync.WaitGroup
	for _, address := range g.partners(true) {
		group.Go(func() { g.exchange(ctx, address, false) })
	}
	group.Wait()
}

// Peers returns the other instances that live.
func (g *Gossiper) Peers() []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.alive()
}

// partners returns the peers of the next round: some that live, and one that
// is suspected, gone or was never heard from. With news, all of a small fleet
// are asked.
func (g *Gossiper) partners(news bool) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var live, other []string
	for a := range g.contacts {
		other = append(other, a)
	}
	for _, r := range g.members.records {
		if r.suspected() || r.dead() {
			other = append(other, r.peering.PeerAddress)
		} else {
			live = append(live, r.peering.PeerAddress)
		}
	}
	rand.Shuffle(len(other), func(i, j int) { other[i], other[j] = other[j], other[i] })
	if len(live) == 0 {
		return other[:min(len(other), FullMeshLimit)]
	}
	if !news || len(live) > FullMeshLimit {
		live = chosen(g.settings.Self.PeerAddress, live)
	}
	return append(live, other[:min(len(other), 1)]...)
}

// chosen returns the peers that one of them asks in a round. In a small fleet
// these are the half that comes after it in a ring, so that each pair exchanges
// news once, in a large one a few at random.
func chosen(self string, live []string) []string {
	if len(live) > FullMeshLimit {
		rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
		return live[:fanOut]
	}
	slices.Sort(live)
	after, _ := slices.BinarySearch(live, self)
	ring := append(slices.Clone(live[after:]), live[:after]...)
	return ring[:(len(live)+1)/2]
}

// self returns this instance as exchanges tell it.
func (g *Gossiper) self() *wire.Peering {
	if serving := g.settings.Serving(); g.serving.Swap(serving) != serving {
		g.beat.Add(1)
	}
	s := g.settings.Self
	return &wire.Peering{
		Instance: string(s.Instance), Incarnation: g.incarnation.Load(), DataCentre: string(s.DataCentre),
		PeerAddress: s.PeerAddress, CallerAddress: s.CallerAddress, Capacity: s.Capacity,
		Beat: g.beat.Load(), Serving: g.serving.Load(),
	}
}

func (g *Gossiper) news(whole bool) []*wire.Peering {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.news(g.settings.Clock.Now(), whole)
}

func (g *Gossiper) holdings() []*wire.Holding {
	held := make([]*wire.Holding, 0, len(g.settings.Replicators))
	for _, r := range g.settings.Replicators {
		held = append(held, &wire.Holding{
			Kind: r.Kind(), Revision: r.Revision(), AgeMs: r.Age().Milliseconds(), Failing: r.Failing(),
		})
	}
	return held
}
