package leaser

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"jujubegate.example/jujubegate"
)

var start = time.Unix(1000, 0)

// member returns the member i of a fleet.
func member(i int) Member {
	return Member{
		Instance: jujubegate.Instance(fmt.Sprintf("i%03d", i)), Incarnation: "a", PeerAddress: fmt.Sprintf("a%d", i),
	}
}

// coreOf returns member 0 with a view of n in force.
func coreOf(n int) *core {
	c := newCore(member(0), DefaultTiming())
	v := View{Epoch: 5}
	for i := range n {
		v.Members = append(v.Members, member(i))
	}
	c.tick(start, 1)
	c.adopt(v, start)
	return c
}

// hear takes an answer of member i to a heartbeat sent at a time.
func (c *core) hear(i int, sent time.Duration, epoch jujubegate.Epoch) {
	at := start.Add(sent)
	c.answer(member(i), at, at.Add(100*time.Millisecond), HeartbeatAnswer{Receiver: member(i), Epoch: epoch, Generation: 1})
}

func TestLease(t *testing.T) {
	second := time.Second
	cases := []struct {
		name  string
		n     int
		input func(c *core)
		// last is the latest moment at which the lease holds, -1 if it never does.
		last time.Duration
	}{
		{"a single member counts from its last tick", 1, func(*core) {}, 3 * second},
		{"no answer", 3, func(*core) {}, -1},
		{"a majority from the send time", 3, func(c *core) { c.hear(1, 0, 5) }, 3 * second},
		{"half of the members is no majority", 4, func(c *core) { c.hear(1, 0, 5) }, -1},
		{"the oldest answer of the majority counts", 5, func(c *core) {
			c.tick(start.Add(second), 1)
			c.hear(1, 0, 5)
			c.hear(2, second, 5)
		}, 3 * second},
		{"an answer with an earlier epoch counts", 3, func(c *core) { c.hear(1, 0, 4) }, 3 * second},
		{"an answer with a later epoch does not", 3, func(c *core) { c.hear(1, 0, 6) }, -1},
		{"another start of a member does not", 3, func(c *core) {
			m := member(1)
			m.Incarnation = "b"
			c.answer(member(1), start, start, HeartbeatAnswer{Receiver: m, Epoch: 5})
		}, -1},
		{"a read of the view in force", 3, func(c *core) {
			c.viewAnswer(viewRead{sentAt: start, view: c.view, version: 9, ok: true}, start.Add(second))
		}, 3 * second},
		{"a read of an earlier view", 3, func(c *core) {
			c.viewAnswer(viewRead{sentAt: start, view: View{Epoch: 4}, version: 9, ok: true}, start)
		}, -1},
		{"a failed read", 3, func(c *core) { c.viewAnswer(viewRead{sentAt: start}, start) }, -1},
		{"a missing view", 3, func(c *core) { c.viewAnswer(viewRead{sentAt: start, ok: true}, start) }, -1},
	}
	Convey("Guards against a lease that outlives its reason", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				core := coreOf(c.n)
				c.input(core)
				s := core.state()
				So(s.Serving(start.Add(c.last-1)), ShouldEqual, c.last > 0)
				So(s.MayOwnTargets(start.Add(max(c.last, 0))), ShouldBeFalse)
			})
		}
	})
}

func TestGone(t *testing.T) {
	live := Listing{Live: []ListedInstance{{Instance: member(1).Instance}}}
	named := Listing{Gone: []jujubegate.Instance{member(1).Instance}}
	type reading struct {
		at   time.Duration
		list Listing
	}
	s := time.Second
	cases := []struct {
		name     string
		readings []reading
		heard    time.Duration
		ended    bool
	}{
		{"named as gone for the hold time", []reading{{3 * s, named}, {8 * s, named}}, 0, true},
		{"not long enough", []reading{{3 * s, named}, {7 * s, named}}, 0, false},
		{"listed as live in between", []reading{{3 * s, named}, {5 * s, live}, {8 * s, named}}, 0, false},
		{"lacking but never seen", []reading{{3 * s, Listing{}}, {9 * s, Listing{}}}, 0, false},
		{"lacking after it was seen", []reading{{2 * s, live}, {3 * s, Listing{}}, {8 * s, Listing{}}}, 0, true},
		{"heard in between", []reading{{3 * s, named}, {8 * s, named}}, 5 * s, false},
	}
	Convey("Guards against trust in a list that lags", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				core := coreOf(2)
				for _, r := range c.readings {
					if c.heard > 0 && r.at > c.heard {
						core.hear(1, c.heard, 5)
					}
					core.list(r.list, true, start.Add(r.at))
				}
				So(core.ended[member(1).ID()], ShouldEqual, c.ended)
			})
		}
	})
}

func TestEnds(t *testing.T) {
	replaced := member(1)
	replaced.Incarnation = "b"
	Convey("Guards against a late answer of an earlier process that ends its successor", t, func() {
		c := coreOf(2)
		c.request(start.Add(2*time.Second), HeartbeatRequest{Sender: replaced})
		So(c.ended[member(1).ID()], ShouldBeFalse) // a request proves nothing about the address
		c.hear(1, time.Second, 5)                  // sent before the successor was known
		So(c.ended[replaced.ID()], ShouldBeFalse)
		at := start.Add(3 * time.Second)
		c.answer(member(1), at, at, HeartbeatAnswer{Receiver: replaced})
		So(c.ended[member(1).ID()], ShouldBeTrue)
	})
}

func BenchmarkHeartbeatRound(b *testing.B) {
	// One round is half a second of a cell: the ticks, and a request and an
	// answer of every other member.
	for _, n := range []int{8, 32, 110} {
		b.Run(fmt.Sprintf("%d members", n), func(b *testing.B) {
			c, now := coreOf(n), start
			for b.Loop() {
				for range 5 {
					now = now.Add(100 * time.Millisecond)
					c.tick(now, 1)
					c.state()
				}
				for i := 1; i < n; i++ {
					c.answer(member(i), now, now, HeartbeatAnswer{Receiver: member(i), Epoch: 5, Generation: 1})
					c.request(now, HeartbeatRequest{Sender: member(i), Epoch: 5, Generation: 1})
				}
			}
		})
	}
}
