package leaser

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"jujubegate.example/jujubegate"
)

var start = time.Unix(1000, 0)

// member returns the member with the number i.
func member(i int) Member {
	return Member{
		Instance: jujubegate.Instance(fmt.Sprintf("i%03d", i)), Incarnation: "a", PeerAddress: fmt.Sprintf("a%d", i),
	}
}

// newTestCore returns the core of member 0 with a current view of n members.
func newTestCore(n int) *core {
	c := newCore(member(0), DefaultTiming())
	v := View{Epoch: 5}
	for i := range n {
		v.Members = append(v.Members, member(i))
	}
	c.tick(start, 1)
	c.applyView(v, start)
	return c
}

// receiveAnswer passes in the answer of member i to a heartbeat that was sent at
// the given time after start.
func (c *core) receiveAnswer(i int, sent time.Duration, epoch jujubegate.Epoch) {
	at := start.Add(sent)
	c.handleAnswer(member(i), at, at.Add(100*time.Millisecond), HeartbeatAnswer{Receiver: member(i), Epoch: epoch, Generation: 1})
}

func TestLease(t *testing.T) {
	second := time.Second
	cases := []struct {
		name  string
		n     int
		input func(c *core)
		// leaseEnd is the time after start at which the lease ends, -1 if none is held.
		leaseEnd time.Duration
	}{
		{"a single member holds the lease from its last tick", 1, func(*core) {}, 3 * second},
		{"no answer", 3, func(*core) {}, -1},
		{"a majority answered, the lease counts from the send time", 3, func(c *core) { c.receiveAnswer(1, 0, 5) }, 3 * second},
		{"half of the members is no majority", 4, func(c *core) { c.receiveAnswer(1, 0, 5) }, -1},
		{"the lease counts from the oldest answer of the majority", 5, func(c *core) {
			c.tick(start.Add(second), 1)
			c.receiveAnswer(1, 0, 5)
			c.receiveAnswer(2, second, 5)
		}, 3 * second},
		{"an answer with an earlier epoch extends the lease", 3, func(c *core) { c.receiveAnswer(1, 0, 4) }, 3 * second},
		{"an answer with a later epoch does not extend it", 3, func(c *core) { c.receiveAnswer(1, 0, 6) }, -1},
		{"an answer of another incarnation does not extend it", 3, func(c *core) {
			m := member(1)
			m.Incarnation = "b"
			c.handleAnswer(member(1), start, start, HeartbeatAnswer{Receiver: m, Epoch: 5})
		}, -1},
		{"a read of the current view", 3, func(c *core) {
			c.handleViewRead(viewRead{sentAt: start, view: c.view, version: 9, ok: true}, start.Add(second))
		}, 3 * second},
		{"a read of an earlier view", 3, func(c *core) {
			c.handleViewRead(viewRead{sentAt: start, view: View{Epoch: 4}, version: 9, ok: true}, start)
		}, -1},
		{"a failed read", 3, func(c *core) { c.handleViewRead(viewRead{sentAt: start}, start) }, -1},
		{"a missing view", 3, func(c *core) { c.handleViewRead(viewRead{sentAt: start, ok: true}, start) }, -1},
	}
	Convey("The lease holds only for as long as the heartbeats or the read that it is based on allow", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				core := newTestCore(c.n)
				c.input(core)
				s := core.snapshot()
				So(s.Serving(start.Add(c.leaseEnd-1)), ShouldEqual, c.leaseEnd > 0)
				So(s.MayOwnTargets(start.Add(max(c.leaseEnd, 0))), ShouldBeFalse)
			})
		}
	})
}

func TestListedAsGone(t *testing.T) {
	listedLive := Listing{Live: []ListedInstance{{Instance: member(1).Instance}}}
	listedGone := Listing{Gone: []jujubegate.Instance{member(1).Instance}}
	type reading struct {
		at   time.Duration
		list Listing
	}
	s := time.Second
	cases := []struct {
		name     string
		readings []reading
		answerAt time.Duration
		ended    bool
	}{
		{"listed as gone for the hold time", []reading{{3 * s, listedGone}, {8 * s, listedGone}}, 0, true},
		{"listed as gone for less than the hold time", []reading{{3 * s, listedGone}, {7 * s, listedGone}}, 0, false},
		{"listed as live in between", []reading{{3 * s, listedGone}, {5 * s, listedLive}, {8 * s, listedGone}}, 0, false},
		{"missing, but never listed as live", []reading{{3 * s, Listing{}}, {9 * s, Listing{}}}, 0, false},
		{"missing after it was listed as live", []reading{{2 * s, listedLive}, {3 * s, Listing{}}, {8 * s, Listing{}}}, 0, true},
		{"answered in between", []reading{{3 * s, listedGone}, {8 * s, listedGone}}, 5 * s, false},
	}
	Convey("A list that lags behind does not end a running process", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				core := newTestCore(2)
				for _, r := range c.readings {
					if c.answerAt > 0 && r.at > c.answerAt {
						core.receiveAnswer(1, c.answerAt, 5)
					}
					core.handleListing(r.list, true, start.Add(r.at))
				}
				So(core.ended[member(1).ID()], ShouldEqual, c.ended)
			})
		}
	})
}

func TestReplacedProcessEnds(t *testing.T) {
	successor := member(1)
	successor.Incarnation = "b"
	Convey("An answer ends only processes known before its heartbeat was sent, so a late answer doesn't end the successor", t, func() {
		c := newTestCore(2)
		c.handleRequest(start.Add(2*time.Second), HeartbeatRequest{Sender: successor})
		So(c.ended[member(1).ID()], ShouldBeFalse) // a request does not show who listens on the address
		c.receiveAnswer(1, time.Second, 5)         // sent before the successor was known
		So(c.ended[successor.ID()], ShouldBeFalse)
		at := start.Add(3 * time.Second)
		c.handleAnswer(member(1), at, at, HeartbeatAnswer{Receiver: successor})
		So(c.ended[member(1).ID()], ShouldBeTrue)
	})
}

func BenchmarkHeartbeatRound(b *testing.B) {
	// One round stands for half a second in a cell: five ticks, and a request and
	// an answer from every other member.
	for _, n := range []int{8, 32, 110} {
		b.Run(fmt.Sprintf("%d members", n), func(b *testing.B) {
			c, now := newTestCore(n), start
			for b.Loop() {
				for range 5 {
					now = now.Add(100 * time.Millisecond)
					c.tick(now, 1)
					c.snapshot()
				}
				for i := 1; i < n; i++ {
					c.handleAnswer(member(i), now, now, HeartbeatAnswer{Receiver: member(i), Epoch: 5, Generation: 1})
					c.handleRequest(now, HeartbeatRequest{Sender: member(i), Epoch: 5, Generation: 1})
				}
			}
		})
	}
}
