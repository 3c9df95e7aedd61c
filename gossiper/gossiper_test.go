package gossiper

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/replicator"
	"jujubegate.example/jujubegate/wire"
)

// testInstance is a running gossiper with its HTTP server and one replicator.
type testInstance struct {
	*Gossiper
	server     *http.Server
	replicator *replicator.Replicator
	stop       context.CancelFunc
}

func newTestInstance(t *testing.T, name, seed string) *testInstance {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	clock, log := clockwork.NewRealClock(), zap.NewNop()
	m := &testInstance{}
	m.replicator = replicator.New(replicator.Settings{
		Kind: "k", Clock: clock, Log: log, Changed: func(*replicator.State) {},
	})
	transport := &http.Transport{}
	m.Gossiper = New(Settings{
		Self:  Peer{Instance: jujubegate.Instance(name), Incarnation: 1, PeerAddress: l.Addr().String(), CallerAddress: name, Capacity: 1000},
		Fleet: "f", Seeds: []string{seed}, Clock: clock, Log: log, Replicators: []*replicator.Replicator{m.replicator},
		Serving: func() bool { return true }, Changed: func([]Peer) {}, Client: &http.Client{Transport: transport},
	})
	path, handler := m.Handler()
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	m.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = m.server.Serve(l) }()
	ctx, stop := context.WithCancel(context.Background())
	m.stop = stop
	go m.Run(ctx)
	t.Cleanup(func() {
		stop()
		m.server.Close()
		transport.CloseIdleConnections()
	})
	return m
}

func (m *testInstance) waitFor(t *testing.T, within time.Duration, what string, done func() bool) {
	t.Helper()
	for started := time.Now(); time.Since(started) < within; time.Sleep(10 * time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatalf("%s: not within %v: %s; peers %v", m.settings.Self.Instance, within, what, m.Peers())
}

func TestMembership(t *testing.T) {
	// Guards against a live instance that peers do not discover, against an ended one
	// that they still count as live, and against objects that do not reach instances
	// that cannot read the store.
	seed := newTestInstance(t, "a", "")
	others := []*testInstance{newTestInstance(t, "b", seed.settings.Self.PeerAddress), newTestInstance(t, "c", seed.settings.Self.PeerAddress)}
	all := append([]*testInstance{seed}, others...)
	for _, m := range all {
		m.waitFor(t, 3*time.Second, "two peers", func() bool { return len(m.Peers()) == 2 })
	}
	seed.replicator.Replace(replicator.Listing{Position: replicator.Position{Revision: 7}, Objects: []replicator.Object{{Name: "x", Revision: 7, Value: []byte("1")}}}, replicator.Reading{At: time.Now()})
	for _, m := range others {
		m.waitFor(t, 2*time.Second, "the objects", func() bool { return m.replicator.Revision() == 7 })
	}
	seed.replicator.Apply(7, replicator.Changes{Position: replicator.Position{Revision: 9}, Changes: []replicator.Change{{Object: replicator.Object{Name: "x"}, Removed: true}}}, replicator.Reading{At: time.Now()})
	for _, m := range others {
		m.waitFor(t, 2*time.Second, "the change", func() bool { return m.replicator.Revision() == 9 && len(m.replicator.State().Objects) == 0 })
	}
	others[0].stop()
	others[0].server.Close()
	for _, m := range []*testInstance{seed, others[1]} {
		m.waitFor(t, 3*time.Second, "one peer less", func() bool { return len(m.Peers()) == 1 })
		if m.Size() != 3 {
			t.Errorf("size %d right after an instance has ended, want 3: its connections can outlast it", m.Size())
		}
	}
}

func TestMisdirectedMessagesRejected(t *testing.T) {
	// Guards against merging messages of another fleet or for another instance. They
	// arrive when an address is reused.
	m := newTestInstance(t, "a", "")
	own := m.settings.Self.PeerAddress
	sender := &wire.Peering{Instance: "z", PeerAddress: "127.0.0.1:1"}
	cases := []struct {
		name    string
		message *wire.ExchangeRequest
	}{
		{"another fleet", &wire.ExchangeRequest{Fleet: "g", Receiver: own, Sender: sender}},
		{"another receiver", &wire.ExchangeRequest{Fleet: "f", Receiver: "127.0.0.1:2", Sender: sender}},
		{"no sender", &wire.ExchangeRequest{Fleet: "f", Receiver: own}},
	}
	Convey("A misdirected message changes nothing", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				_, err := m.Exchange(context.Background(), connect.NewRequest(c.message))
				So(connect.CodeOf(err), ShouldEqual, connect.CodeInvalidArgument)
				So(m.Peers(), ShouldBeEmpty)
			})
		}
		_, err := m.Fetch(context.Background(), connect.NewRequest(&wire.FetchRequest{Fleet: "g", Kind: "k"}))
		So(connect.CodeOf(err), ShouldEqual, connect.CodeInvalidArgument)
	})
}

func TestSuspicion(t *testing.T) {
	// Guards against a live instance that is declared dead, and against an
	// unresponsive one that still counts as live.
	now := time.Unix(1_800_000_000, 0)
	p := &wire.Peering{Instance: "a", Incarnation: 5, Beat: 2, PeerAddress: "x", Serving: true}
	suspected := &wire.Peering{Instance: "a", Incarnation: 5, Beat: 2, PeerAddress: "x", Serving: true, Suspected: true}
	cases := []struct {
		name  string
		steps func(m *members)
		live  int
	}{
		{"heard", func(*members) {}, 1},
		{"one failure", func(m *members) { m.recordFailure("x", now) }, 1},
		{"two failures", func(m *members) { m.recordFailure("x", now); m.recordFailure("x", now) }, 0},
		{"failures, then reported itself", func(m *members) { m.recordFailure("x", now); m.recordFailure("x", now); m.mergeSelfReport(p) }, 1},
		{"suspected by a peer", func(m *members) { m.mergePeerReport(suspected, now) }, 0},
		{"suspicion of an earlier beat", func(m *members) {
			m.mergeSelfReport(&wire.Peering{Instance: "a", Incarnation: 5, Beat: 3, PeerAddress: "x"})
			m.mergePeerReport(suspected, now)
		}, 1},
		{"denied", func(m *members) {
			m.mergePeerReport(suspected, now)
			m.mergePeerReport(&wire.Peering{Instance: "a", Incarnation: 5, Beat: 3, PeerAddress: "x"}, now)
		}, 1},
		{"dead, then reported by a peer in its old state", func(m *members) {
			m.mergePeerReport(suspected, now)
			m.expire(now.Add(suspicionTimeout))
			m.mergePeerReport(p, now.Add(suspicionTimeout))
		}, 0},
		{"dead, then reported itself", func(m *members) {
			m.mergePeerReport(suspected, now)
			m.expire(now.Add(suspicionTimeout))
			m.mergeSelfReport(p)
		}, 1},
	}
	Convey("An instance", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				m := &members{log: zap.NewNop(), records: map[string]*record{}}
				m.mergeSelfReport(p)
				c.steps(m)
				So(m.live(), ShouldHaveLength, c.live)
			})
		}
	})
}

func TestActive(t *testing.T) {
	// Guards against callers that are sent to weak instances or to too few.
	peer := func(n int, capacity int64, serving bool) Peer {
		return Peer{Instance: jujubegate.Instance(fmt.Sprint(n)), Capacity: capacity, Serving: serving, DataCentre: jujubegate.DataCentre(fmt.Sprint(n % 3))}
	}
	group := func(n int, capacity int64) []Peer {
		var peers []Peer
		for i := range n {
			peers = append(peers, peer(i, capacity, true))
		}
		return peers
	}
	cases := []struct {
		name  string
		fleet []Peer
		want  int
	}{
		{"none", nil, 0},
		{"equal", group(7, 400), 7},
		{"nearly equal", append(group(4, 400), group(3, 350)...), 7},
		{"few strong ones", append(group(8, 800), group(74, 192)...), 8},
		{"strong ones with too little capacity", append(group(2, 800), group(60, 192)...), 62},
		{"the strong ones are lost", group(74, 192), 74},
		{"not serving", []Peer{peer(0, 800, false), peer(1, 192, true)}, 1},
	}
	Convey("Active instances", t, func() {
		for _, c := range cases {
			Convey(c.name, func() { So(Active(c.fleet), ShouldHaveLength, c.want) })
		}
	})
}

func TestSeedsReadFirst(t *testing.T) {
	// Guards against every instance of a starting fleet reading the store: 60
	// instances made 279 billed calls. Also guards against instances that wait for
	// seeds that no longer exist.
	cases := []struct {
		name  string
		self  string
		seeds []string
		want  time.Duration
	}{
		{"seed", "a:1", []string{"a:1", "b:1"}, initialReadDelay},
		{"no seeds at all", "a:1", nil, initialReadDelay},
		{"other instance", "c:1", []string{"a:1", "b:1"}, initialReadDelayNonSeed},
	}
	Convey("An instance that knows no peer and has no state", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				g := New(Settings{Self: Peer{Instance: "i", PeerAddress: c.self}, Seeds: c.seeds, Clock: clockwork.NewFakeClock(), Log: zap.NewNop()})
				So(g.ReadAfter("k", false), ShouldEqual, c.want)
				So(g.ReadAfter("k", true), ShouldEqual, time.Duration(0))
			})
		}
	})
}

func TestSelectPartners(t *testing.T) {
	// Guards against pairs in a small fleet that never have an exchange, and against
	// both instances of a pair contacting each other, which doubles the traffic.
	Convey("In a small fleet each pair has an exchange in each round", t, func() {
		for n := 2; n <= FullMeshLimit+1; n++ {
			exchanges := make(map[[2]int]int)
			total := 0
			for self := range n {
				var live []string
				for other := range n {
					if other != self {
						live = append(live, fmt.Sprintf("10.0.0.%02d:1", other))
					}
				}
				for _, address := range selectRingPartners(fmt.Sprintf("10.0.0.%02d:1", self), live) {
					var other int
					_, err := fmt.Sscanf(address, "10.0.0.%02d:1", &other)
					So(err, ShouldBeNil)
					exchanges[[2]int{min(self, other), max(self, other)}]++
					total++
				}
			}
			So(exchanges, ShouldHaveLength, n*(n-1)/2)
			So(total, ShouldBeLessThanOrEqualTo, n*(n-1)/2+n)
		}
	})
}

// largeFleet returns the instances of a fleet of several data centres with the same
// number of instances each.
func largeFleet(dataCentres, each int) []Peer {
	var fleet []Peer
	for d := range dataCentres {
		for i := range each {
			name := fmt.Sprintf("dc-%d-%02d", d, i)
			fleet = append(fleet, Peer{
				Instance: jujubegate.Instance(name), PeerAddress: name, DataCentre: jujubegate.DataCentre(fmt.Sprint("dc-", d)), Serving: true,
			})
		}
	}
	return fleet
}

func TestLargeFleetStaysInItsDataCentres(t *testing.T) {
	// Guards against exchanges between data centres that grow with the fleet, which
	// took most of the billed bytes of a fleet of 195, and against data centres that
	// learn nothing of each other.
	const dataCentres, each, rounds = 6, 32, 20
	fleet := largeFleet(dataCentres, each)
	dataCentreOf := make(map[string]jujubegate.DataCentre)
	for _, p := range fleet {
		dataCentreOf[p.PeerAddress] = p.DataCentre
	}
	Convey("Exchanges leave a data centre a few times per round", t, func() {
		far, total := 0, 0
		links := make(map[[2]jujubegate.DataCentre]int)
		for i, self := range fleet {
			others := slices.Delete(slices.Clone(fleet), i, i+1)
			for range rounds {
				for _, address := range selectNearPartners(self, others, false) {
					total++
					if dataCentreOf[address] != self.DataCentre {
						far++
						links[[2]jujubegate.DataCentre{self.DataCentre, dataCentreOf[address]}]++
					}
				}
			}
		}
		So(total, ShouldBeLessThanOrEqualTo, len(fleet)*rounds*(fanOut+1))
		So(far, ShouldBeLessThan, 2*rounds*dataCentres*(relays+farChance*each))
		So(links, ShouldHaveLength, dataCentres*(dataCentres-1))
	})
	Convey("To spread a change, relays contact each data centre at once", t, func() {
		reached := jujubegate.NewSet[jujubegate.DataCentre]()
		for i, self := range fleet[:each] {
			others := slices.Delete(slices.Clone(fleet), i, i+1)
			for _, address := range selectNearPartners(self, others, true) {
				reached = reached.With(dataCentreOf[address])
			}
		}
		So(reached.Len(), ShouldEqual, dataCentres)
	})
	Convey("An instance without enough others in its data centre contacts any", t, func() {
		lone := Peer{Instance: "lone", PeerAddress: "lone", DataCentre: "dc-9"}
		So(selectNearPartners(lone, fleet, false), ShouldHaveLength, fanOut)
	})
}

func TestDelayedMessagesConfirmNothing(t *testing.T) {
	// Guards against a confirmation that is newer than the read of the store behind
	// it, because the time on the way between instances does not count. A message
	// that waits at a paused instance can be delayed for any time.
	const late = 300 * time.Millisecond
	a := newTestInstance(t, "a", "")
	reading := replicator.Reading{At: time.Now()}
	a.replicator.Replace(replicator.Listing{Position: replicator.Position{Revision: 7}}, reading)
	holdings := a.holdings()
	time.Sleep(late)
	Convey("An age on a delayed request or response does not become shorter", t, func() {
		sender := &wire.Peering{Instance: "z", PeerAddress: "127.0.0.1:1"}
		b := newTestInstance(t, "b", "")
		b.replicator.Replace(replicator.Listing{Position: replicator.Position{Revision: 7}}, replicator.Reading{At: reading.At.Add(-time.Minute)})
		_, err := b.Exchange(context.Background(), connect.NewRequest(&wire.ExchangeRequest{
			Fleet: "f", Receiver: b.settings.Self.PeerAddress, Sender: sender, Holdings: holdings,
		}))
		So(err, ShouldBeNil)
		So(b.replicator.Age(), ShouldBeGreaterThanOrEqualTo, time.Since(reading.At))
		b.reconcile("127.0.0.1:1", holdings, reading.At)
		So(b.replicator.Age(), ShouldBeGreaterThanOrEqualTo, late)
		So(b.replicator.Age(), ShouldBeLessThan, 30*time.Second)
	})
	Convey("The receiver of a fresher request asks back", t, func() {
		b := newTestInstance(t, "c", "")
		b.replicator.Replace(replicator.Listing{Position: replicator.Position{Revision: 7}}, replicator.Reading{At: reading.At.Add(-time.Minute)})
		b.stop()
		a.exchange(context.Background(), b.settings.Self.PeerAddress, false)
		b.waitFor(t, time.Second, "a confirmation", func() bool { return b.replicator.Age() < 10*time.Second })
	})
}

func TestForgottenInstanceComesBack(t *testing.T) {
	// Guards against an instance that was lost for good and counts in the division of
	// the shared limits for ever, since those that forget it are told of its loss by
	// those that still remember it.
	now := time.Now()
	lost := &wire.Peering{Instance: "lost", Incarnation: 5, PeerAddress: "x", Serving: true}
	a := &members{log: zap.NewNop(), records: map[string]*record{}}
	b := &members{log: zap.NewNop(), records: map[string]*record{}}
	for _, m := range []*members{a, b} {
		m.mergeSelfReport(lost)
	}
	a.suspect(a.records["lost"], now, "test")
	b.suspect(b.records["lost"], now.Add(10*time.Second), "test")
	for range 600 {
		now = now.Add(time.Second)
		a.expire(now)
		b.expire(now)
		for _, p := range a.news(true) {
			b.mergePeerReport(p, now)
		}
		for _, p := range b.news(true) {
			a.mergePeerReport(p, now)
		}
	}
	if len(a.records)+len(b.records) > 0 {
		t.Errorf("%d and %d records of an instance that was lost ten minutes ago", len(a.records), len(b.records))
	}
}
