package advertiser

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/smartystreets/goconvey/convey"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/leaser"
)

var start = time.Unix(1000, 0)

// fleet returns the state of the first of n live members, spread over the given
// number of data centres.
func fleet(n, centres int) *leaser.State {
	s := &leaser.State{LeaseFrom: start, Lease: 3 * time.Second, Peers: map[leaser.ID]leaser.Peer{}}
	for i := range n {
		m := leaser.Member{
			Instance: jujubegate.Instance(fmt.Sprintf("i%d", i)), CallerAddress: fmt.Sprintf("10.0.0.%d:80", i),
			DataCentre: jujubegate.DataCentre(fmt.Sprintf("dc%d", i%centres)),
		}
		s.View.Members = append(s.View.Members, m)
		s.Peers[m.ID()] = leaser.Peer{Member: m, Heard: start}
	}
	s.Self = s.View.Members[0]
	return s
}

// changePeer changes the record of the peer with the number i.
func changePeer(s *leaser.State, i int, f func(p *leaser.Peer)) {
	id := s.View.Members[i].ID()
	p := s.Peers[id]
	f(&p)
	s.Peers[id] = p
}

func TestLookup(t *testing.T) {
	cases := []struct {
		name   string
		change func(s *leaser.State)
		after  time.Duration
		want   []string
	}{
		{"the caller's data centre comes first", func(*leaser.State) {}, 0, []string{"10.0.0.1:80", "10.0.0.0:80", "10.0.0.2:80"}},
		{"a leaving peer", func(s *leaser.State) {
			changePeer(s, 1, func(p *leaser.Peer) { p.Member.Leaving = true })
		}, 0, []string{"10.0.0.0:80", "10.0.0.2:80"}},
		{"a peer marked as leaving in the view", func(s *leaser.State) { s.View.Members[1].Leaving = true }, 0, []string{"10.0.0.0:80", "10.0.0.2:80"}},
		{"an ended peer", func(s *leaser.State) { changePeer(s, 1, func(p *leaser.Peer) { p.Ended = true }) }, 0, []string{"10.0.0.0:80", "10.0.0.2:80"}},
		{"silent peers", func(*leaser.State) {}, MaxHeartbeatAge, []string{"10.0.0.0:80"}},
		{"this instance leaves", func(s *leaser.State) { s.Self.Leaving = true }, 0, []string{"10.0.0.1:80", "10.0.0.2:80"}},
		{"this instance leaves and is the last", func(s *leaser.State) { s.Self.Leaving = true }, MaxHeartbeatAge, []string{"10.0.0.0:80"}},
		{"this instance doesn't serve, the peers are silent", func(*leaser.State) {}, 3 * time.Second, nil},
	}
	Convey("The answer lists the instances that serve, and none that doesn't", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				s := fleet(3, 3)
				c.change(s)
				a := New(func() *leaser.State { return s }).Lookup("dc1", 1, start.Add(c.after))
				if len(c.want) > 1 && c.want[0] == "10.0.0.1:80" {
					So(a.Addresses[0], ShouldEqual, c.want[0])
				}
				So(len(a.Addresses), ShouldEqual, len(c.want))
				for _, address := range c.want {
					So(a.Addresses, ShouldContain, address)
				}
				So(a.ValidFor, ShouldEqual, 30*time.Second)
			})
		}
	})
}

func TestLookupSpreadsCallers(t *testing.T) {
	cases := []struct{ members, centres int }{{8, 1}, {8, 4}, {8, 2}, {24, 3}}
	Convey("The first addresses of the answers are spread evenly over the instances", t, func() {
		for _, c := range cases {
			first, short := map[string]int{}, 0
			s := fleet(c.members, c.centres)
			const callers = 20000
			for i := range callers {
				centre := jujubegate.DataCentre(fmt.Sprintf("dc%d", i%c.centres))
				a := New(func() *leaser.State { return s }).Lookup(centre, xxhash.Sum64String(fmt.Sprint("caller", i)), start)
				if len(a.Addresses) != 4 {
					short++
				}
				first[a.Addresses[0]]++
			}
			most, mean := 0, float64(callers)/float64(c.members)
			for _, n := range first {
				most = max(most, n)
			}
			t.Logf("%d members in %d data centres: most used first %.3f of the mean", c.members, c.centres, float64(most)/mean)
			So(short, ShouldEqual, 0)
			So(len(first), ShouldEqual, c.members)
			So(float64(most)/mean, ShouldBeLessThan, 1.1)
		}
	})
}

func TestLeaver(t *testing.T) {
	type step struct {
		at   time.Duration
		p    Progress
		want Stage
	}
	busy := Progress{Queries: 1, SubRequests: 1}
	cases := []struct {
		name    string
		steps   []step
		overrun bool
	}{
		{"in order", []step{
			{0, busy, Announced},
			{time.Second, busy, Holding},
			{32 * time.Second, busy, Holding},
			{33 * time.Second, busy, Refusing},
			{34 * time.Second, Progress{SubRequests: 1}, Draining},
			{35 * time.Second, Progress{SubRequests: 1, HandedOver: true}, Draining},
			{36 * time.Second, Progress{}, Draining},
			{37 * time.Second, Progress{HandedOver: true}, Released},
			{38 * time.Second, Progress{HandedOver: true, Departed: true}, Done},
		}, false},
		{"a query that doesn't end", []step{
			{time.Second, busy, Holding},
			{33 * time.Second, busy, Refusing},
			{62 * time.Second, busy, Refusing},
			{63 * time.Second, busy, Released},
			{68 * time.Second, busy, Done},
		}, true},
		{"a sub-request that doesn't end", []step{
			{time.Second, busy, Holding},
			{33 * time.Second, Progress{SubRequests: 1, HandedOver: true}, Draining},
			{63 * time.Second, Progress{SubRequests: 1, HandedOver: true}, Released},
		}, true},
		{"no handover because the store is down", []step{
			{time.Second, busy, Holding},
			{33 * time.Second, Progress{}, Draining},
			{62 * time.Second, Progress{}, Draining},
			{63 * time.Second, Progress{}, Released},
			{67 * time.Second, Progress{}, Released},
			{68 * time.Second, Progress{}, Done},
		}, false},
	}
	Convey("The leaving sequence waits for accepted work, but no longer than its limits", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				l := NewLeaver(DefaultLimits())
				So(l.Advance(start, Progress{}), ShouldEqual, Serving)
				So(l.Leaving(), ShouldBeFalse)
				l.Begin(start)
				l.Begin(start.Add(time.Hour))
				So(l.Leaving(), ShouldBeTrue)
				for _, s := range c.steps {
					So(l.Advance(start.Add(s.at), s.p).String(), ShouldEqual, s.want.String())
					So(l.AcceptsWork(), ShouldEqual, s.want < Refusing)
				}
				So(l.Overrun(), ShouldEqual, c.overrun)
			})
		}
	})
}
