// Package gossiper lets equal instances know which of them live and hands the
// objects that one of them read from the store to those that cannot reach it.
package gossiper

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
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
	// fanOut is the number of peers that one round asks in a large fleet; with
	// it news reaches 1,200 instances in about six rounds.
	fanOut = 3
	// DirectPeers is the number of peers up to which a round asks all of them.
	DirectPeers = 16
	// tellKnownEvery is the number of rounds of which one tells the other
	// instances too, where all instances ask each other directly.
	tellKnownEvery = 4
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = 400 * time.Millisecond
	// fetchTimeout bounds the transfer of one kind.
	fetchTimeout = 2 * time.Second
	// aliveFor is how long an instance counts as alive after its last news.
	aliveFor = 3 * time.Second
	// forgetAfter is how long a silent instance is still asked now and then.
	forgetAfter = time.Minute
	// maxKnown bounds the instances told in one exchange, the newest first.
	maxKnown = 64
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
	// Client sends the exchanges.
	Client connect.HTTPClient
}

// Peer is one instance. It is immutable.
type Peer struct {
	Instance      jujubegate.Instance
	Incarnation   int64
	DataCentre    jujubegate.DataCentre
	PeerAddress   string
	CallerAddress string
	Serving       bool
}

type record struct {
	peering *wire.Peering
	heardAt time.Time
	alive   bool
}

// Gossiper keeps the instances. It is safe for concurrent use.
type Gossiper struct {
	settings Settings
	beat     atomic.Int64
	// incarnation is raised above one that peers know from an earlier start.
	incarnation atomic.Int64

	mu      sync.Mutex
	records map[string]*record
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
		settings: settings, records: make(map[string]*record), contacts: make(map[string]struct{}),
		fetching: make(map[string]bool), failing: make(map[string]jujubegate.Set[string]),
		kick: make(chan struct{}, 1),
	}
	g.incarnation.Store(settings.Self.Incarnation)
	g.Contact(settings.Seeds...)
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
	return len(g.records) + 1
}

// Contact adds peer addresses to ask.
func (g *Gossiper) Contact(addresses ...string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, a := range addresses {
		if a != "" && a != g.settings.Self.PeerAddress {
			g.contacts[a] = struct{}{}
		}
	}
}

// Handler returns the path and the handler of the Gossip service.
func (g *Gossiper) Handler() (string, http.Handler) { return wireconnect.NewGossipHandler(g) }

// Run exchanges news until the context ends.
func (g *Gossiper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		g.beat.Add(1)
		g.review()
		for _, address := range g.partners() {
			go g.exchange(ctx, address)
		}
		select {
		case <-g.settings.Clock.After(Period):
		case <-g.kick:
		case <-ctx.Done():
		}
	}
}

// Kick starts the next round at once, since there is news.
func (g *Gossiper) Kick() {
	select {
	case g.kick <- struct{}{}:
	default:
	}
}

// Announce tells all live peers the state of this instance at once.
func (g *Gossiper) Announce(ctx context.Context) {
	g.beat.Add(1)
	var group sync.WaitGroup
	for _, p := range g.Peers() {
		group.Go(func() { g.exchange(ctx, p.PeerAddress) })
	}
	group.Wait()
}

// Peers returns the other instances that live.
func (g *Gossiper) Peers() []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.alive()
}

func (g *Gossiper) alive() []Peer {
	var peers []Peer
	for _, r := range g.records {
		if r.alive {
			peers = append(peers, peerOf(r.peering))
		}
	}
	slices.SortFunc(peers, func(a, b Peer) int { return strings.Compare(string(a.Instance), string(b.Instance)) })
	return peers
}

func peerOf(p *wire.Peering) Peer {
	return Peer{
		Instance: jujubegate.Instance(p.Instance), Incarnation: p.Incarnation,
		DataCentre: jujubegate.DataCentre(p.DataCentre), PeerAddress: p.PeerAddress,
		CallerAddress: p.CallerAddress, Serving: p.Serving,
	}
}

// partners returns the peers of the next round: some that live, and one that
// was silent or never heard from.
func (g *Gossiper) partners() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var live, other []string
	for a := range g.contacts {
		other = append(other, a)
	}
	for _, r := range g.records {
		if r.alive {
			live = append(live, r.peering.PeerAddress)
		} else {
			other = append(other, r.peering.PeerAddress)
		}
	}
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	rand.Shuffle(len(other), func(i, j int) { other[i], other[j] = other[j], other[i] })
	if len(live) == 0 {
		return other[:min(len(other), fanOut)]
	}
	asked := fanOut
	if len(live) <= DirectPeers {
		asked = len(live)
	}
	return append(live[:min(len(live), asked)], other[:min(len(other), 1)]...)
}

// review marks instances without news as dead and forgets old ones.
func (g *Gossiper) review() {
	now := g.settings.Clock.Now()
	g.mu.Lock()
	changed := false
	for name, r := range g.records {
		age := now.Sub(r.heardAt)
		if r.alive && age > aliveFor {
			r.alive, changed = false, true
			g.settings.Log.Warn("gossiper: instance is silent", zap.String("Instance", name), zap.Duration("For", age))
		}
		if age > forgetAfter {
			delete(g.records, name)
		}
	}
	peers := g.alive()
	g.mu.Unlock()
	if changed {
		g.settings.Changed(peers)
	}
}

func (g *Gossiper) self() *wire.Peering {
	s := g.settings.Self
	return &wire.Peering{
		Instance: string(s.Instance), Incarnation: g.incarnation.Load(), DataCentre: string(s.DataCentre),
		PeerAddress: s.PeerAddress, CallerAddress: s.CallerAddress,
		Beat: g.beat.Load(), Serving: g.settings.Serving(),
	}
}

// known returns the newest of what is known of other instances.
func (g *Gossiper) known() []*wire.Peering {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.records) <= DirectPeers && len(g.contacts) == 0 && g.beat.Load()%tellKnownEvery != 0 {
		return nil
	}
	records := make([]*record, 0, len(g.records))
	for _, r := range g.records {
		if r.alive {
			records = append(records, r)
		}
	}
	slices.SortFunc(records, func(a, b *record) int { return b.heardAt.Compare(a.heardAt) })
	known := make([]*wire.Peering, 0, min(len(records), maxKnown))
	for _, r := range records[:min(len(records), maxKnown)] {
		known = append(known, r.peering)
	}
	return known
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

func (g *Gossiper) client(address string) wireconnect.GossipClient {
	return wireconnect.NewGossipClient(g.settings.Client, "http://"+address)
}

func (g *Gossiper) exchange(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	answer, err := g.client(address).Exchange(ctx, connect.NewRequest(&wire.ExchangeRequest{
		Fleet: g.settings.Fleet, Receiver: address, Sender: g.self(), Known: g.known(), Holdings: g.holdings(),
	}))
	if err != nil {
		g.settings.Log.Debug("gossiper: exchange failed", zap.String("Address", address), zap.Error(err))
		return
	}
	if from := answer.Msg.Sender.GetPeerAddress(); from != address {
		g.settings.Log.Warn("gossiper: another instance answered", zap.String("Address", address), zap.String("From", from))
		return
	}
	g.learn(append(answer.Msg.Known, answer.Msg.Sender)...)
	g.compare(address, answer.Msg.Holdings)
}

// Exchange answers a peer.
func (g *Gossiper) Exchange(_ context.Context, r *connect.Request[wire.ExchangeRequest]) (*connect.Response[wire.ExchangeResponse], error) {
	m := r.Msg
	if m.Fleet != g.settings.Fleet || m.Receiver != g.settings.Self.PeerAddress || m.Sender == nil {
		return nil, connect.NewError(connect.CodeInvalidArgument,
			fmt.Errorf("message for fleet %q and receiver %q does not belong here", m.Fleet, m.Receiver))
	}
	g.learn(append(m.Known, m.Sender)...)
	g.compare(m.Sender.PeerAddress, m.Holdings)
	return connect.NewResponse(&wire.ExchangeResponse{Sender: g.self(), Known: g.known(), Holdings: g.holdings()}), nil
}

// Fetch returns the objects of a kind, or the changes since a revision.
func (g *Gossiper) Fetch(_ context.Context, r *connect.Request[wire.FetchRequest]) (*connect.Response[wire.FetchResponse], error) {
	if r.Msg.Fleet != g.settings.Fleet {
		return nil, connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("fleet %q is not served here", r.Msg.Fleet))
	}
	held := g.replicator(r.Msg.Kind)
	if held == nil || held.State() == nil {
		return nil, connect.NewError(connect.CodeNotFound, fmt.Errorf("kind %q is not held", r.Msg.Kind))
	}
	age := held.Age().Milliseconds()
	if c, ok := held.Since(r.Msg.After); ok && r.Msg.After > 0 {
		answer := &wire.FetchResponse{Revision: c.Revision, AgeMs: age}
		for _, change := range c.Changes {
			answer.Objects = append(answer.Objects, stored(change.Object, change.Removed))
		}
		return connect.NewResponse(answer), nil
	}
	s := held.State()
	answer := &wire.FetchResponse{Revision: s.Revision, AgeMs: age, Whole: true}
	for _, o := range s.Objects {
		answer.Objects = append(answer.Objects, stored(o, false))
	}
	return connect.NewResponse(answer), nil
}

func stored(o replicator.Object, removed bool) *wire.StoredObject {
	return &wire.StoredObject{Name: o.Name, Revision: o.Revision, Value: o.Value, Removed: removed}
}

func (g *Gossiper) replicator(kind string) *replicator.Replicator {
	for _, r := range g.settings.Replicators {
		if r.Kind() == kind {
			return r
		}
	}
	return nil
}

// learn takes in news of instances.
func (g *Gossiper) learn(news ...*wire.Peering) {
	now := g.settings.Clock.Now()
	g.mu.Lock()
	changed := false
	for _, p := range news {
		if p == nil || p.Instance == "" {
			continue
		}
		if p.Instance == string(g.settings.Self.Instance) {
			g.outlive(p)
			continue
		}
		old := g.records[p.Instance]
		if old != nil && !newer(p, old.peering) {
			continue
		}
		delete(g.contacts, p.PeerAddress)
		if old == nil || !old.alive || old.peering.Serving != p.Serving || old.peering.Incarnation != p.Incarnation {
			changed = true
			g.settings.Log.Info("gossiper: instance heard", zap.String("Instance", p.Instance),
				zap.String("Address", p.PeerAddress), zap.Int64("Incarnation", p.Incarnation), zap.Bool("Serving", p.Serving))
		}
		g.records[p.Instance] = &record{peering: p, heardAt: now, alive: true}
	}
	peers := g.alive()
	g.mu.Unlock()
	if changed {
		g.settings.Changed(peers)
	}
}

// outlive raises the incarnation above one of an earlier start, which can be
// higher if the time of day went back.
func (g *Gossiper) outlive(p *wire.Peering) {
	own := g.incarnation.Load()
	if p.Incarnation > own {
		g.incarnation.CompareAndSwap(own, p.Incarnation+1)
	}
}

func newer(p, old *wire.Peering) bool {
	if p.Incarnation != old.Incarnation {
		return p.Incarnation > old.Incarnation
	}
	return p.Beat > old.Beat
}

// compare takes over the confirmations of a peer, and fetches the kinds of which
// it holds a newer revision.
func (g *Gossiper) compare(address string, holdings []*wire.Holding) {
	for _, h := range holdings {
		r := g.replicator(h.Kind)
		if r == nil {
			continue
		}
		g.mu.Lock()
		if g.failing[h.Kind].Has(address) != h.Failing {
			if h.Failing {
				g.failing[h.Kind] = g.failing[h.Kind].With(address)
			} else {
				g.failing[h.Kind] = g.failing[h.Kind].Without(address)
			}
		}
		wanted := h.Revision > r.Revision() && !g.fetching[h.Kind]
		if wanted {
			g.fetching[h.Kind] = true
		}
		g.mu.Unlock()
		if wanted {
			go g.fetch(address, r)
			continue
		}
		r.Confirm(h.Revision, time.Duration(h.AgeMs)*time.Millisecond)
	}
}

func (g *Gossiper) fetch(address string, r *replicator.Replicator) {
	defer func() {
		g.mu.Lock()
		delete(g.fetching, r.Kind())
		g.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	after := r.Revision()
	answer, err := g.client(address).Fetch(ctx, connect.NewRequest(&wire.FetchRequest{Fleet: g.settings.Fleet, Kind: r.Kind(), After: after}))
	if err != nil {
		g.settings.Log.Warn("gossiper: fetch failed", zap.String("Address", address), zap.String("Kind", r.Kind()), zap.Error(err))
		return
	}
	m := answer.Msg
	age := time.Duration(m.AgeMs) * time.Millisecond
	if m.Whole {
		l := replicator.Listing{Revision: m.Revision}
		for _, o := range m.Objects {
			l.Objects = append(l.Objects, object(o))
		}
		r.Replace(l, age, true)
		return
	}
	c := replicator.Changes{Revision: m.Revision}
	for _, o := range m.Objects {
		c.Changes = append(c.Changes, replicator.Change{Object: object(o), Removed: o.Removed})
	}
	r.Apply(after, c, age)
}

func object(o *wire.StoredObject) replicator.Object {
	return replicator.Object{Name: o.Name, Revision: o.Revision, Value: o.Value}
}
