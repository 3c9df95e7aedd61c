package gossiper

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/connector"
	"jujubegate.example/jujubegate/promoter"
	"jujubegate.example/jujubegate/replicator"
	"jujubegate.example/jujubegate/screener"
	"jujubegate.example/jujubegate/tracker"
	"jujubegate.example/jujubegate/wire"
)

const (
	// messageOverhead stands for the headers of a request and its response.
	messageOverhead = 500
	// drainTime is how long a target that leaves goes on serving.
	drainTime = 3 * time.Second
	// trip is the time of a message between two instances.
	trip = time.Millisecond
)

// memoryFleet is a fleet of gossipers that exchange messages in memory.
type memoryFleet struct {
	instances []*Gossiper
	// store is what the instances read; nil if they read none. Drain is how long a target
	// that leaves goes on serving.
	store *memoryStore
	drain time.Duration
	// promoters are those of the instances in the same order.
	promoters []*promoter.Promoter
	screeners []*screener.Screener
	trackers  []*tracker.Tracker
	cancels   []context.CancelFunc
	running   sync.WaitGroup

	mu       sync.Mutex
	handlers map[string]http.Handler
	// dark holds the addresses that do not answer, and cut the data centres that
	// others do not reach.
	dark     map[string]bool
	cut      map[jujubegate.DataCentre]bool
	farBytes int
}

// newMemoryFleet starts a fleet. The first instances of the first data centres are
// the seeds.
func newMemoryFleet(dataCentres, each int) *memoryFleet {
	return newMemoryFleetOf(dataCentres, each, nil, drainTime)
}

// newMemoryFleetOf starts a fleet that reads a store, if it is not nil.
func newMemoryFleetOf(dataCentres, each int, store *memoryStore, drain time.Duration) *memoryFleet {
	f := &memoryFleet{store: store, drain: drain, handlers: make(map[string]http.Handler), dark: make(map[string]bool), cut: make(map[jujubegate.DataCentre]bool)}
	peers := largeFleet(dataCentres, each)
	seeds := []string{peers[0].PeerAddress, peers[each%len(peers)].PeerAddress, peers[len(peers)-1].PeerAddress}
	for _, p := range peers {
		f.start(p, seeds)
	}
	return f
}

func (f *memoryFleet) start(p Peer, seeds []string) {
	clock := clockwork.NewRealClock()
	p.Incarnation, p.CallerAddress, p.Capacity = 1, p.PeerAddress, 200
	var g *Gossiper
	failures := replicator.NewFailures(p.Instance, clock, func() { g.TriggerRound() })
	var source replicator.Source
	if f.store != nil {
		source = f.store.source(p.Instance)
	}
	r := replicator.New(replicator.Settings{Kind: leadKind, Source: source, Clock: clock, Log: zap.NewNop(), Failures: failures, Changed: func(*replicator.State) {}})
	var targets *tracker.Tracker
	replicators := []*replicator.Replicator{r}
	if f.store != nil {
		apply := updateTargets(func() *tracker.Tracker { return targets })
		replicators = append(replicators, replicator.New(replicator.Settings{
			Kind: targetKind, Source: source, Clock: clock, Log: zap.NewNop(), Failures: failures,
			Changed: func(s *replicator.State) {
				apply(s)
				if !s.FromPeer || g.Size() > FullMeshLimit {
					g.TriggerRound()
				}
			},
		}))
	}
	moves := promoter.New(promoter.Settings{
		Clock: clock, Log: zap.NewNop(), Instance: p.Instance, Incarnation: p.Incarnation, FleetSize: func() int { return g.Size() },
		Rank:  func() int { return g.Rank("k") },
		Share: func() float64 { return 1 }, Versions: func(jujubegate.Service) map[jujubegate.Version]int {
			return map[jujubegate.Version]int{"v1": 3, "v2": 3}
		},
		Write:      func(context.Context, promoter.Move, promoter.State) error { return errors.New("the store is down") },
		OnRollback: func() { g.TriggerRound() },
	})
	screen := screener.New(screener.Settings{
		Clock: clock, Log: zap.NewNop(), Changed: func() { g.TriggerRound() },
	})
	targets = tracker.New(tracker.Settings{
		Clock: clock, Log: zap.NewNop(), Drain: f.drain,
		StoreReads: func() tracker.StoreReads {
			h := replicators[len(replicators)-1].Holding()
			reads := tracker.StoreReads{ConfirmedAt: clock.Now().Add(-h.Age)}
			if h.Gap.StoreAway() || h.Gap.Failed > 0 {
				reads.OutageEndedAt = h.Gap.EndedAt
			}
			return reads
		}, Changed: func() { g.TriggerRound() },
		NewPool: func(e tracker.Entry, bound int) *connector.Pool {
			return connector.New(connector.Settings{Target: e.Address, TargetID: e.ID, Names: &connector.HeaderNames{}, Clock: clock}, bound)
		},
	})
	g = New(Settings{
		LocalNotices: func(whole bool) *wire.Notices {
			return &wire.Notices{Tallies: moves.Tallies(whole), Verdicts: moves.Verdicts(), Screenings: screen.News(whole), Departures: targets.Departures(whole)}
		},
		NoticesReceived: func(n *wire.Notices) {
			moves.MergeVerdicts(n.Verdicts)
			moves.MergeTallies(n.Tallies)
			screen.Merge(n.Screenings)
			targets.MergeDepartures(n.Departures)
		},
		Self: p, Fleet: "f", Seeds: seeds, Clock: clock, Log: zap.NewNop(), Replicators: replicators, Failures: failures,
		Serving: func() bool { return true }, Changed: func([]Peer) {}, Client: &memoryClient{f, p},
	})
	_, handler := g.Handler()
	f.mu.Lock()
	f.handlers[p.PeerAddress] = handler
	f.instances = append(f.instances, g)
	f.promoters = append(f.promoters, moves)
	f.screeners = append(f.screeners, screen)
	f.trackers = append(f.trackers, targets)
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	f.cancels = append(f.cancels, cancel)
	f.running.Go(func() { g.Run(ctx) })
	f.running.Go(func() { moves.Run(ctx) })
	if f.store != nil {
		var reader *replicator.Reader
		reader = replicator.NewReader(clock, func() time.Duration { return g.ReadAfter(leadKind, reader.Complete()) }, r, replicators[1:]...)
		f.running.Go(func() { targets.Run(ctx) })
		f.running.Go(func() { reader.Run(ctx) })
	}
}

func (f *memoryFleet) stop() {
	for _, cancel := range f.cancels {
		cancel()
	}
	f.running.Wait()
	// Exchanges end after their timeouts.
	time.Sleep(time.Second)
}

// takeFarBytes returns the bytes between data centres since the last call.
func (f *memoryFleet) takeFarBytes() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.farBytes
	f.farBytes = 0
	return n
}

// setDark makes instances silent, as if they had lost power.
func (f *memoryFleet) setDark(instances []*Gossiper) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, g := range instances {
		f.dark[g.settings.Self.PeerAddress] = true
	}
}

func (f *memoryFleet) setCut(dataCentre jujubegate.DataCentre, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[dataCentre] = cut
}

// waitFor waits until each of the instances counts the wanted number of live peers,
// and returns how long that took.
func (f *memoryFleet) waitFor(t *testing.T, instances []*Gossiper, peers int, within time.Duration) time.Duration {
	t.Helper()
	start := time.Now()
	for time.Since(start) < within {
		wrong := 0
		for _, g := range instances {
			if len(g.Peers()) != peers {
				wrong++
			}
		}
		if wrong == 0 {
			return time.Since(start)
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Errorf("not all of %d instances count %d live peers after %v", len(instances), peers, within)
	return within
}

// memoryClient sends the messages of one instance.
type memoryClient struct {
	fleet *memoryFleet
	self  Peer
}

// Do serves the request at the instance it is for.
func (c *memoryClient) Do(r *http.Request) (*http.Response, error) {
	f := c.fleet
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	handler := f.handlers[r.URL.Host]
	var dataCentre jujubegate.DataCentre
	for _, g := range f.instances {
		if g.settings.Self.PeerAddress == r.URL.Host {
			dataCentre = g.settings.Self.DataCentre
		}
	}
	far := dataCentre != c.self.DataCentre
	lost := f.dark[r.URL.Host] || f.dark[c.self.PeerAddress] || far && (f.cut[dataCentre] || f.cut[c.self.DataCentre])
	f.mu.Unlock()
	if handler == nil {
		return nil, errors.New("connection refused")
	}
	if lost {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	time.Sleep(trip)
	request := r.Clone(r.Context())
	request.Body = io.NopCloser(bytes.NewReader(body))
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, request)
	time.Sleep(trip)
	if far {
		f.mu.Lock()
		f.farBytes += len(body) + w.Body.Len() + messageOverhead
		f.mu.Unlock()
	}
	return w.Result(), r.Context().Err()
}

func TestLargeFleet(t *testing.T) {
	// Guards against a fleet of nearly 200 instances whose control traffic grows with
	// each start, that takes long to see the loss of instances, and that does not
	// agree again after a partition. Exchanges told each change to everyone for five
	// seconds: a start took 120 MB between data centres.
	const dataCentres, each = 6, 32
	const all = dataCentres * each
	// The budget of an instance in bytes a second holds with the start included.
	const budget = 3000
	synctest.Test(t, func(t *testing.T) {
		f := newMemoryFleet(dataCentres, each)
		defer f.stop()
		started := f.waitFor(t, f.instances, all-1, 10*time.Second)
		time.Sleep(20*time.Second - started)
		startBytes := f.takeFarBytes()
		if startBytes > budget*20*all {
			t.Errorf("%d bytes between data centres in the first 20 s, want at most %d", startBytes, budget*20*all)
		}
		time.Sleep(20 * time.Second)
		steadyBytes := f.takeFarBytes()
		if steadyBytes > budget*20*all {
			t.Errorf("%d bytes between data centres in 20 s without a change, want at most %d", steadyBytes, budget*20*all)
		}
		lost, left := f.instances[:10], f.instances[10:]
		f.setDark(lost)
		// A lost instance must not be looked up 4 s after its loss plus 3 s.
		detected := f.waitFor(t, left, all-11, 7*time.Second)
		// The partition lasts for longer than a suspicion, so that both sides count
		// the other one as dead.
		cut := jujubegate.DataCentre("dc-5")
		f.setCut(cut, true)
		inside, outside := f.instances[5*each:], f.instances[10:5*each]
		f.waitFor(t, inside, each-1, 20*time.Second)
		f.waitFor(t, outside, len(outside)-1, 20*time.Second)
		f.setCut(cut, false)
		healed := f.waitFor(t, left, all-11, 20*time.Second)
		t.Logf("start %d, steady %d far bytes; all known after %v, losses after %v, partition healed after %v", startBytes, steadyBytes, started, detected, healed)
	})
}
