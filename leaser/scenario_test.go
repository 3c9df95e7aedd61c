package leaser_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/leaser"
)

// unowned returns the number of targets that nobody may send to.
func (w *world) unowned() int {
	senders, count := w.senders(), 0
	for _, t := range w.configs[len(w.configs)-1] {
		if len(senders[t.Address]) == 0 {
			count++
		}
	}
	return count
}

// gap runs the world for 5 s and until every target has had a sender for a
// second, and returns when some target had none for the last time.
func (w *world) gap(limit time.Duration) time.Duration {
	start, last := w.now, w.now
	for w.now < start+limit && w.now < max(start+5*time.Second, last+time.Second) {
		w.run(w.now + 20*ms)
		if w.unowned() > 0 {
			last = w.now
		}
	}
	return last - start
}

func (w *world) stopAll() {
	for i := range w.slots {
		w.stop(i)
	}
}

func (w *world) startAll() {
	for i := range w.slots {
		w.start(i)
	}
}

func TestScenarios(t *testing.T) {
	cases := []struct {
		name  string
		slots int
		do    func(w *world)
		// gap bounds the time for which some target has no sender.
		gap time.Duration
		// members is the number of members afterwards.
		members int
	}{
		{"one of eight crashes", 8, func(w *world) { w.stop(3) }, 7 * time.Second, 7},
		{"one of two crashes, the list names it as gone", 2, func(w *world) { w.stop(1) }, 16 * time.Second, 1},
		{"one restarts quickly under its name", 8, func(w *world) {
			w.stop(3)
			w.run(w.now + 300*ms)
			w.start(3)
		}, 7 * time.Second, 8},
		{"one restarts while another start of it is removed", 8, func(w *world) {
			w.stop(3)
			w.run(w.now + 2100*ms)
			w.start(3)
		}, 7 * time.Second, 8},
		{"all restart at once", 8, func(w *world) {
			w.stopAll()
			w.startAll()
		}, 8 * time.Second, 8},
		{"both of two restart at once", 2, func(w *world) {
			w.stopAll()
			w.startAll()
		}, 8 * time.Second, 2},
		{"a single one restarts", 1, func(w *world) {
			w.stopAll()
			w.startAll()
		}, 8 * time.Second, 1},
		{"all restart after an hour", 8, func(w *world) {
			w.stopAll()
			w.run(w.now + time.Hour)
			w.startAll()
		}, 8 * time.Second, 8},
		// The longest interval of the protocol is 2 min, so 10 min stand for an hour.
		{"the store is down for long and comes back", 8, func(w *world) {
			w.storeDown, w.stride = true, 100
			w.run(w.now + 10*time.Minute)
			w.storeDown, w.stride = false, 5
		}, 0, 8},
		{"one pauses for 10 s and rejoins", 8, func(w *world) {
			w.slots[3].p.pausedUntil = w.now + 10*time.Second
			w.run(w.now + 12*time.Second)
		}, 3 * time.Second, 8},
		{"one leaves", 8, func(w *world) { w.slots[3].p.leave() }, 2500 * ms, 7},
		{"one of two leaves", 2, func(w *world) { w.slots[1].p.leave() }, 2500 * ms, 1},
		{"all but one leave", 4, func(w *world) {
			for i := range 3 {
				w.slots[i].p.leave()
			}
		}, 5 * time.Second, 1},
		{"one joins, two can't reach each other, the targets change", 8, func(w *world) {
			w.stop(3)
			w.run(w.now + 20*time.Second)
			w.blocked[[2]int{0, 2}], w.blocked[[2]int{0, 3}] = true, true
			w.configure()
			w.start(3)
		}, 5500 * ms, 8}, // until the view before has closed
		{"one joins", 8, func(w *world) {
			w.stop(3)
			w.run(w.now + 20*time.Second)
			w.start(3)
		}, 2500 * ms, 8},
	}
	Convey("Guards against targets without an owner, and against two owners", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				w := newWorld(7, c.slots, leaser.Faults{})
				w.stride = 5
				w.run(20 * time.Second)
				So(w.unowned(), ShouldEqual, 0)
				c.do(w)
				gap := w.gap(30 * time.Second)
				t.Logf("%s: gap %v", c.name, gap)
				So(gap, ShouldBeLessThanOrEqualTo, c.gap)
				w.run(w.now + 10*time.Second)
				So(w.broken, ShouldBeEmpty)
				for _, s := range w.slots {
					if s.p.alive {
						So(s.p.state.View.Members, ShouldHaveLength, c.members)
						So(s.p.state.View.Has(s.p.self.ID()), ShouldBeTrue)
						So(s.p.state.Open, ShouldBeEmpty)
					}
				}
			})
		}
	})
}

func TestJoinWhileStoreIsDown(t *testing.T) {
	Convey("Guards against a new instance that owns targets without being in a view", t, func() {
		w := newWorld(7, 4, leaser.Faults{})
		w.run(20 * time.Second)
		w.stop(2)
		w.run(w.now + 10*time.Second)
		w.storeDown = true
		w.start(2)
		w.run(w.now + 20*time.Second)
		p := w.slots[2].p
		// It learned the view from a listed peer and may act as a root.
		So(p.state.View.Epoch, ShouldBeGreaterThan, jujubegate.Epoch(0))
		So(p.state.Serving(p.clock()), ShouldBeTrue)
		So(p.state.MayOwnTargets(p.clock()), ShouldBeFalse)
		w.storeDown = false
		w.run(w.now + 10*time.Second)
		So(p.state.MayOwnTargets(p.clock()), ShouldBeTrue)
		So(w.unowned(), ShouldEqual, 0)
		So(w.broken, ShouldBeEmpty)
	})
}

func TestIsolatedInstanceStops(t *testing.T) {
	Convey("Guards against an instance that serves without store and majority", t, func() {
		w := newWorld(7, 5, leaser.Faults{})
		w.run(20 * time.Second)
		for i := range 5 {
			w.blocked[[2]int{0, i}], w.blocked[[2]int{i, 0}] = true, true
		}
		w.blocked[[2]int{0, store}] = true
		p := w.slots[0].p
		w.run(w.now + 2*time.Second)
		So(p.state.Serving(p.clock()), ShouldBeTrue)
		w.run(w.now + 1100*ms)
		So(p.state.Serving(p.clock()), ShouldBeFalse)
		w.run(w.now + 5*time.Second)
		So(w.unowned(), ShouldEqual, 0)
		So(w.slots[1].p.state.View.Members, ShouldHaveLength, 4)
	})
}

// cutWriter lets an instance crash, cuts the one that writes the next view
// from its peers, and the others from the store, before they learn of the view.
func (w *world) cutWriter() {
	w.run(20 * time.Second)
	w.stop(int(w.version) % len(w.slots))
	for version := w.version; w.version == version; {
		w.run(w.now + ms)
	}
	w.run(w.now + 5*ms)
	writer := 0
	for i, s := range w.slots {
		if s.p.state.View.Epoch > w.slots[writer].p.state.View.Epoch {
			writer = i
		}
	}
	for i := range w.slots {
		if i != writer {
			w.blocked[[2]int{writer, i}], w.blocked[[2]int{i, writer}], w.blocked[[2]int{i, store}] = true, true, true
		}
	}
	w.run(w.now + 10*time.Second)
}

func TestMajorityAcknowledges(t *testing.T) {
	// The others keep a majority under the old view, the writer serves through
	// the store. Without the rule of the majority it would take over targets
	// that the others still own.
	cases := []struct {
		name   string
		faults leaser.Faults
		broken bool
	}{
		{"with the rule", leaser.Faults{}, false},
		{"without the majority's acknowledgement", leaser.Faults{NoMajorityAck: true}, true},
	}
	Convey("Guards against a takeover that the owners don't know of", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				found := 0
				for seed := uint64(1); seed <= 10; seed++ {
					w := newWorld(seed, 5, c.faults)
					w.cutWriter()
					if w.broken != "" {
						found++
					}
				}
				t.Logf("%s: two senders in %d of 10 runs", c.name, found)
				So(found > 0, ShouldEqual, c.broken)
			})
		}
	})
}

func TestIdleStoreCalls(t *testing.T) {
	Convey("Guards against store calls that grow while nothing changes", t, func() {
		w := newWorld(7, 8, leaser.Faults{})
		w.run(time.Minute)
		w.stride = 100
		w.calls, w.lists = 0, 0
		const length = 10 * time.Minute
		w.run(w.now + length)
		views := float64(w.calls) / 8 / length.Seconds()
		lists := float64(w.lists) / 8 / length.Seconds()
		t.Logf("per instance: %.4f view reads/s, %.4f list reads/s", views, lists)
		// A watcher of the change log adds 0.07 calls/s, on 2 instances only.
		So(views+lists+0.07, ShouldBeLessThanOrEqualTo, 0.1)
	})
}
