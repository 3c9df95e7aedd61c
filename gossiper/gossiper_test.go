package gossiper

import (
	"context"
	"fmt"
	"net"
	"net/http"
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

// member is one gossiper with its server.
type member struct {
	*Gossiper
	server     *http.Server
	replicator *replicator.Replicator
	stop       context.CancelFunc
}

func newMember(t *testing.T, name, seed string) *member {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	clock, log := clockwork.NewRealClock(), zap.NewNop()
	m := &member{}
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

func (m *member) waitFor(t *testing.T, within time.Duration, what string, done func() bool) {
	t.Helper()
	for begun := time.Now(); time.Since(begun) < within; time.Sleep(10 * time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatalf("%s: not within %v: %s; peers %v", m.settings.Self.Instance, within, what, m.Peers())
}

func TestMembership(t *testing.T) {
	// Guards against an instance that is not found, one that is named after its
	// end, and objects that do not reach instances that cannot read them.
	seed := newMember(t, "a", "")
	others := []*member{newMember(t, "b", seed.settings.Self.PeerAddress), newMember(t, "c", seed.settings.Self.PeerAddress)}
	all := append([]*member{seed}, others...)
	for _, m := range all {
		m.waitFor(t, 3*time.Second, "two peers", func() bool { return len(m.Peers()) == 2 })
	}
	seed.replicator.Replace(replicator.Listing{Revision: 7, Objects: []replicator.Object{{Name: "x", Revision: 7, Value: []byte("1")}}}, 0, false)
	for _, m := range others {
		m.waitFor(t, 2*time.Second, "the objects", func() bool { return m.replicator.Revision() == 7 })
	}
	seed.replicator.Apply(7, replicator.Changes{Revision: 9, Changes: []replicator.Change{{Object: replicator.Object{Name: "x"}, Removed: true}}}, 0)
	for _, m := range others {
		m.waitFor(t, 2*time.Second, "the change", func() bool { return m.replicator.Revision() == 9 && len(m.replicator.State().Objects) == 0 })
	}
	others[0].stop()
	others[0].server.Close()
	for _, m := range []*member{seed, others[1]} {
		m.waitFor(t, 3*time.Second, "one peer less", func() bool { return len(m.Peers()) == 1 })
		if m.Size() != 3 {
			t.Errorf("size %d right after an end, want 3: its connections can outlast it", m.Size())
		}
	}
}

func TestStrangers(t *testing.T) {
	// Guards against messages of another fleet, or for another instance, on a
	// reused address.
	m := newMember(t, "a", "")
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
	Convey("A stranger's message changes nothing", t, func() {
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
	// Guards against an instance that is given up although it lives, and one that
	// stays though it does not answer.
	now := time.Unix(1_800_000_000, 0)
	p := &wire.Peering{Instance: "a", Incarnation: 5, Beat: 2, PeerAddress: "x", Serving: true}
	suspected := &wire.Peering{Instance: "a", Incarnation: 5, Beat: 2, PeerAddress: "x", Serving: true, Suspected: true}
	cases := []struct {
		name  string
		steps func(m *members)
		alive int
	}{
		{"heard", func(*members) {}, 1},
		{"one failure", func(m *members) { m.fail("x", now) }, 1},
		{"two failures", func(m *members) { m.fail("x", now); m.fail("x", now) }, 0},
		{"failures, then heard", func(m *members) { m.fail("x", now); m.fail("x", now); m.hear(p, now) }, 1},
		{"suspected by another one", func(m *members) { m.learn(suspected, now) }, 0},
		{"suspicion of an earlier beat", func(m *members) {
			m.hear(&wire.Peering{Instance: "a", Incarnation: 5, Beat: 3, PeerAddress: "x"}, now)
			m.learn(suspected, now)
		}, 1},
		{"denied", func(m *members) {
			m.learn(suspected, now)
			m.learn(&wire.Peering{Instance: "a", Incarnation: 5, Beat: 3, PeerAddress: "x"}, now)
		}, 1},
		{"gone, then told by others as before", func(m *members) {
			m.learn(suspected, now)
			m.review(now.Add(suspectFor))
			m.learn(p, now.Add(suspectFor))
		}, 0},
		{"gone, then heard again", func(m *members) {
			m.learn(suspected, now)
			m.review(now.Add(suspectFor))
			m.hear(p, now.Add(suspectFor))
		}, 1},
	}
	Convey("An instance", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				m := &members{log: zap.NewNop(), records: map[string]*record{}}
				m.hear(p, now)
				c.steps(m)
				So(m.alive(), ShouldHaveLength, c.alive)
			})
		}
	})
}

func TestActive(t *testing.T) {
	// Guards against callers that are sent to weak instances, or to too few.
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
		{"strong ones with too little", append(group(2, 800), group(60, 192)...), 62},
		{"the strong ones lost", group(74, 192), 74},
		{"not serving", []Peer{peer(0, 800, false), peer(1, 192, true)}, 1},
	}
	Convey("Active instances", t, func() {
		for _, c := range cases {
			Convey(c.name, func() { So(Active(c.fleet), ShouldHaveLength, c.want) })
		}
	})
}

func TestFirstReadIsThatOfSeeds(t *testing.T) {
	// Guards against a fleet that starts as a whole and of which each instance
	// reads the store, as 60 did with 279 paid calls, and against instances that
	// wait for seeds that are gone.
	cases := []struct {
		name  string
		self  string
		seeds []string
		want  time.Duration
	}{
		{"seed", "a:1", []string{"a:1", "b:1"}, firstRead},
		{"no seeds at all", "a:1", nil, firstRead},
		{"other instance", "c:1", []string{"a:1", "b:1"}, firstReadOther},
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

func TestChosenPeers(t *testing.T) {
	// Guards against pairs of a small fleet that never exchange news, and against
	// rounds in which all ask all, which doubles the traffic.
	Convey("In a small fleet each pair exchanges news in each round", t, func() {
		for n := 2; n <= FullMeshLimit+1; n++ {
			asked := make(map[[2]int]int)
			total := 0
			for self := range n {
				var live []string
				for other := range n {
					if other != self {
						live = append(live, fmt.Sprintf("10.0.0.%02d:1", other))
					}
				}
				for _, address := range chosen(fmt.Sprintf("10.0.0.%02d:1", self), live) {
					var other int
					_, err := fmt.Sscanf(address, "10.0.0.%02d:1", &other)
					So(err, ShouldBeNil)
					asked[[2]int{min(self, other), max(self, other)}]++
					total++
				}
			}
			So(asked, ShouldHaveLength, n*(n-1)/2)
			So(total, ShouldBeLessThanOrEqualTo, n*(n-1)/2+n)
		}
	})
	Convey("In a large one a few are asked", t, func() {
		So(chosen("self", make([]string, FullMeshLimit+1)), ShouldHaveLength, fanOut)
	})
}
