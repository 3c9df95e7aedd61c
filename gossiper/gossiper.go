// Package gossiper implements a gossip protocol between equal instances. It
// detects which of them are live, and passes the objects that one instance has
// read from the store on to those that cannot reach it.
package gossiper

import (
	"context"
	"net/http"
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
	// bootstrapPeriod replaces Period while no other instance is known, for example
	// because this instance has started faster than the seeds.
	bootstrapPeriod = 100 * time.Millisecond
	// bootstrapRounds is the number of rounds after the start that may use
	// bootstrapPeriod.
	bootstrapRounds = 20
	// minTriggerPeriod is the least time between two rounds of a large fleet, however
	// many changes there are to spread.
	minTriggerPeriod = 100 * time.Millisecond
	// compressMinBytes is the size from which on a message is compressed. Lists of
	// targets and of instances are larger; for other exchanges compression would cost
	// more than it saves.
	compressMinBytes = 1024
	// maxMessageBytes bounds a message after decompression: all objects of a kind.
	maxMessageBytes = 32 << 20
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = 400 * time.Millisecond
	// fetchTimeout bounds the transfer of one kind.
	fetchTimeout = 2 * time.Second
	// wholePause is the least time between two exchanges of the states of all
	// instances that are due to a difference. The others send only changes, which can
	// be lost.
	wholePause = 4 * time.Second
)

// Settings are the dependencies of a Gossiper.
type Settings struct {
	Self  Peer
	Fleet string
	// Seeds are the peer addresses to contact first; they may be stale.
	Seeds []string
	Clock jujubegate.Clock
	Log   *zap.Logger
	// Replicators hold the objects that are passed on to peers, one for each kind.
	Replicators []*replicator.Replicator
	// Failures holds which instances failed to reach the store; nil if the replicators
	// read none.
	Failures *replicator.Failures
	// Serving reports whether this instance takes new requests.
	Serving func() bool
	// Changed is called with the live peers after each change.
	Changed func([]Peer)
	// LocalNotices returns what this instance knows of targets, versions and requests and
	// must still tell, or all of it if whole is set. NoticesReceived is called with what
	// a peer knows. Both may be nil.
	LocalNotices    func(whole bool) *wire.Notices
	NoticesReceived func(notices *wire.Notices)
	// Client sends the requests to peers.
	Client connect.HTTPClient
}

// Gossiper tracks the instances of the fleet and exchanges state with them. It is
// safe for concurrent use.
type Gossiper struct {
	settings Settings
	// incarnation is raised if peers know a higher one from an earlier start.
	incarnation atomic.Int64
	beat        atomic.Int64
	serving     atomic.Bool
	// askedBackAt is the time of the last askBack.
	askedBackAt atomic.Pointer[time.Time]
	// wholeAt is the time of the last exchange of all states due to a difference.
	wholeAt atomic.Pointer[time.Time]

	mu      sync.Mutex
	members members
	// contacts are the peer addresses whose instance is not known yet.
	contacts map[string]struct{}
	fetching map[string]bool
	// failing holds the addresses of the peers whose calls to the store fail, by kind.
	failing map[string]jujubegate.Set[string]
	trigger chan struct{}
}

// New returns a gossiper that knows only itself and the seeds.
func New(settings Settings) *Gossiper {
	if settings.Failures == nil {
		settings.Failures = replicator.NewFailures(settings.Self.Instance, settings.Clock, func() {})
	}
	g := &Gossiper{
		settings: settings, members: members{log: settings.Log, records: make(map[string]*record)},
		contacts: make(map[string]struct{}), fetching: make(map[string]bool),
		failing: make(map[string]jujubegate.Set[string]), trigger: make(chan struct{}, 1),
	}
	g.incarnation.Store(settings.Self.Incarnation)
	g.AddContacts(settings.Seeds...)
	return g
}

// Self returns this instance.
func (g *Gossiper) Self() Peer { return peerOf(g.self()) }

// Size returns the number of known instances, including this one. A dead instance
// counts for some time, since its connections and requests can outlast it and its
// share of the shared limits must not be given to others meanwhile.
func (g *Gossiper) Size() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.members.records) + 1
}

// AddContacts adds peer addresses to contact in the next rounds.
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
	return wireconnect.NewGossipHandler(g, connect.WithCompressMinBytes(compressMinBytes), connect.WithReadMaxBytes(maxMessageBytes))
}

// Run exchanges state with peers until the context ends.
func (g *Gossiper) Run(ctx context.Context) {
	triggered := false
	for round := 1; ctx.Err() == nil; round++ {
		started := g.settings.Clock.Now()
		g.update(func(m *members, now time.Time) bool { return m.expire(now) })
		for _, address := range g.partners(triggered) {
			go g.exchange(ctx, address, false)
		}
		period := Period
		if round <= bootstrapRounds && g.Size() == 1 {
			period = bootstrapPeriod
		}
		select {
		case <-g.settings.Clock.After(period):
			triggered = false
		case <-g.trigger:
			triggered = true
			if g.Size() > FullMeshLimit+1 {
				g.sleep(ctx, minTriggerPeriod-g.settings.Clock.Since(started))
			}
		case <-ctx.Done():
		}
	}
}

func (g *Gossiper) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-g.settings.Clock.After(d):
	case <-ctx.Done():
	}
}

// update calls change with the members. If change returns true, update calls
// Settings.Changed. It starts a round at once if the loss of an instance must be
// spread.
func (g *Gossiper) update(change func(*members, time.Time) bool) {
	g.mu.Lock()
	changed := change(&g.members, g.settings.Clock.Now())
	peers, urgent := g.members.live(), g.members.urgent
	g.members.urgent = false
	g.mu.Unlock()
	if changed {
		g.settings.Changed(peers)
	}
	if urgent {
		g.TriggerRound()
	}
}

// TriggerRound starts the next round at once in order to spread a change.
func (g *Gossiper) TriggerRound() {
	select {
	case g.trigger <- struct{}{}:
	default:
	}
}

// Announce sends the state of this instance to its peers and waits for their
// responses.
func (g *Gossiper) Announce(ctx context.Context) {
	var group sync.WaitGroup
	for _, address := range g.partners(true) {
		group.Go(func() { g.exchange(ctx, address, false) })
	}
	group.Wait()
}

// Peers returns the other live instances. The slice must not be changed.
func (g *Gossiper) Peers() []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.live()
}

// DataCentreOf returns the data centre of the peer with an address; empty if it is
// not known.
func (g *Gossiper) DataCentreOf(peerAddress string) jujubegate.DataCentre {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.members.records {
		if r.peering.PeerAddress == peerAddress {
			return jujubegate.DataCentre(r.peering.DataCentre)
		}
	}
	return ""
}

// self returns the state of this instance for exchanges. It raises the beat if
// Serving has changed.
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

// news returns the states of other instances for an exchange with a peer.
func (g *Gossiper) news(whole bool) []*wire.Peering {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.news(whole)
}

// digest returns a hash of the states of all live instances, this one included.
func (g *Gossiper) digest(self *wire.Peering) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.liveDigest() ^ digestOf(self)
}

func (g *Gossiper) holdings() []*wire.Holding {
	held := make([]*wire.Holding, 0, len(g.settings.Replicators))
	for _, r := range g.settings.Replicators {
		h := r.Holding()
		held = append(held, &wire.Holding{
			Kind: r.Kind(), Era: h.Era, Revision: h.Revision, Kept: int64(h.Kept), AgeMs: ageMillis(h.Age), Failing: r.Failing(),
			OutageAgeMs: g.outageAgeMillis(h),
		})
	}
	return held
}

// outageAgeMillis returns the age of a recent outage of the store; 0 if there was none.
func (g *Gossiper) outageAgeMillis(h replicator.Holding) int64 {
	if !h.Gap.StoreAway() {
		return 0
	}
	return max(ageMillis(g.settings.Clock.Since(h.Gap.OutageEndedAt)), 1)
}

// ageMillis returns an age in milliseconds, rounded up so that it is not too short.
func ageMillis(age time.Duration) int64 { return (age + time.Millisecond - 1).Milliseconds() }
