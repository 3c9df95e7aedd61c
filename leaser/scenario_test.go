package leaser_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/leaser"
)

// countUnowned returns the number of targets to which no process may send.
func (sim *simulation) countUnowned() int {
	senders, count := sim.senders(), 0
	for _, t := range sim.targetLists[len(sim.targetLists)-1] {
		if len(senders[t.Address]) == 0 {
			count++
		}
	}
	return count
}

// measureGap runs the simulation for at least 5 s, until every target has had a
// sender for a second or the limit is reached. It returns the time from the start
// to the last moment at which some target had no sender.
func (sim *simulation) measureGap(limit time.Duration) time.Duration {
	start, last := sim.now, sim.now
	for sim.now < start+limit && sim.now < max(start+5*time.Second, last+time.Second) {
		sim.run(sim.now + 20*ms)
		if sim.countUnowned() > 0 {
			last = sim.now
		}
	}
	return last - start
}

func (sim *simulation) stopAll() {
	for i := range sim.slots {
		sim.stop(i)
	}
}

func (sim *simulation) startAll() {
	for i := range sim.slots {
		sim.start(i)
	}
}

func TestScenarios(t *testing.T) {
	cases := []struct {
		name  string
		slots int
		do    func(sim *simulation)
		// maxGap bounds the time after which every target has a sender again.
		maxGap time.Duration
		// members is the number of members afterwards.
		members int
	}{
		{"one of eight crashes", 8, func(sim *simulation) { sim.stop(3) }, 7 * time.Second, 7},
		{"one of two crashes and is listed as gone", 2, func(sim *simulation) { sim.stop(1) }, 16 * time.Second, 1},
		{"one restarts quickly under its name", 8, func(sim *simulation) {
			sim.stop(3)
			sim.run(sim.now + 300*ms)
			sim.start(3)
		}, 7 * time.Second, 8},
		{"one restarts while its earlier incarnation is removed", 8, func(sim *simulation) {
			sim.stop(3)
			sim.run(sim.now + 2100*ms)
			sim.start(3)
		}, 7 * time.Second, 8},
		{"all restart at once", 8, func(sim *simulation) {
			sim.stopAll()
			sim.startAll()
		}, 8 * time.Second, 8},
		{"both of two restart at once", 2, func(sim *simulation) {
			sim.stopAll()
			sim.startAll()
		}, 8 * time.Second, 2},
		{"a single one restarts", 1, func(sim *simulation) {
			sim.stopAll()
			sim.startAll()
		}, 8 * time.Second, 1},
		{"all restart after an hour", 8, func(sim *simulation) {
			sim.stopAll()
			sim.run(sim.now + time.Hour)
			sim.startAll()
		}, 8 * time.Second, 8},
		// The longest interval of the protocol is 2 min, so 10 min are
		// equivalent to an hour.
		{"the store is down for long and comes back", 8, func(sim *simulation) {
			sim.storeDown, sim.checkEvery = true, 100
			sim.run(sim.now + 10*time.Minute)
			sim.storeDown, sim.checkEvery = false, 5
		}, 0, 8},
		{"one pauses for 10 s and rejoins", 8, func(sim *simulation) {
			sim.slots[3].process.pausedUntil = sim.now + 10*time.Second
			sim.run(sim.now + 12*time.Second)
		}, 3 * time.Second, 8},
		{"one leaves", 8, func(sim *simulation) { sim.slots[3].process.leave() }, 2500 * ms, 7},
		{"one of two leaves", 2, func(sim *simulation) { sim.slots[1].process.leave() }, 2500 * ms, 1},
		{"all but one leave", 4, func(sim *simulation) {
			for i := range 3 {
				sim.slots[i].process.leave()
			}
		}, 5 * time.Second, 1},
		{"one joins, two can't reach each other, the targets change", 8, func(sim *simulation) {
			sim.stop(3)
			sim.run(sim.now + 20*time.Second)
			sim.blocked[[2]int{0, 2}], sim.blocked[[2]int{0, 3}] = true, true
			sim.changeTargets()
			sim.start(3)
		}, 5500 * ms, 8}, // the time until the previous view has closed
		{"one joins", 8, func(sim *simulation) {
			sim.stop(3)
			sim.run(sim.now + 20*time.Second)
			sim.start(3)
		}, 2500 * ms, 8},
	}
	Convey("Every target has exactly one owner again within the bound", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				sim := newSimulation(7, c.slots, leaser.Faults{})
				sim.checkEvery = 5
				sim.run(20 * time.Second)
				So(sim.countUnowned(), ShouldEqual, 0)
				c.do(sim)
				gap := sim.measureGap(30 * time.Second)
				t.Logf("%s: gap %v", c.name, gap)
				So(gap, ShouldBeLessThanOrEqualTo, c.maxGap)
				sim.run(sim.now + 10*time.Second)
				So(sim.violation, ShouldBeEmpty)
				for _, s := range sim.slots {
					if s.process.alive {
						So(s.process.state.View.Members, ShouldHaveLength, c.members)
						So(s.process.state.View.Has(s.process.self.ID()), ShouldBeTrue)
						So(s.process.state.Open, ShouldBeEmpty)
					}
				}
			})
		}
	})
}

func TestJoinWhileStoreIsDown(t *testing.T) {
	Convey("A new instance that is not in the view serves as a root but owns no targets", t, func() {
		sim := newSimulation(7, 4, leaser.Faults{})
		sim.run(20 * time.Second)
		sim.stop(2)
		sim.run(sim.now + 10*time.Second)
		sim.storeDown = true
		sim.start(2)
		sim.run(sim.now + 20*time.Second)
		p := sim.slots[2].process
		// It got the view from a peer in the platform's list and may act as a root.
		So(p.state.View.Epoch, ShouldBeGreaterThan, jujubegate.Epoch(0))
		So(p.state.Serving(p.clock()), ShouldBeTrue)
		So(p.state.MayOwnTargets(p.clock()), ShouldBeFalse)
		sim.storeDown = false
		sim.run(sim.now + 10*time.Second)
		So(p.state.MayOwnTargets(p.clock()), ShouldBeTrue)
		So(sim.countUnowned(), ShouldEqual, 0)
		So(sim.violation, ShouldBeEmpty)
	})
}

func TestIsolatedInstanceStops(t *testing.T) {
	Convey("An instance stops serving when it reaches neither the store nor a majority", t, func() {
		sim := newSimulation(7, 5, leaser.Faults{})
		sim.run(20 * time.Second)
		for i := range 5 {
			sim.blocked[[2]int{0, i}], sim.blocked[[2]int{i, 0}] = true, true
		}
		sim.blocked[[2]int{0, store}] = true
		p := sim.slots[0].process
		sim.run(sim.now + 2*time.Second)
		So(p.state.Serving(p.clock()), ShouldBeTrue)
		sim.run(sim.now + 1100*ms)
		So(p.state.Serving(p.clock()), ShouldBeFalse)
		sim.run(sim.now + 5*time.Second)
		So(sim.countUnowned(), ShouldEqual, 0)
		So(sim.slots[1].process.state.View.Members, ShouldHaveLength, 4)
	})
}

// isolateWriter crashes an instance. It then partitions the instance that writes
// the next view from its peers, and the others from the store, before they
// receive the view.
func (sim *simulation) isolateWriter() {
	sim.run(20 * time.Second)
	sim.stop(int(sim.version) % len(sim.slots))
	for version := sim.version; sim.version == version; {
		sim.run(sim.now + ms)
	}
	sim.run(sim.now + 5*ms)
	writer := 0
	for i, s := range sim.slots {
		if s.process.state.View.Epoch > sim.slots[writer].process.state.View.Epoch {
			writer = i
		}
	}
	for i := range sim.slots {
		if i != writer {
			sim.blocked[[2]int{writer, i}], sim.blocked[[2]int{i, writer}], sim.blocked[[2]int{i, store}] = true, true, true
		}
	}
	sim.run(sim.now + 10*time.Second)
}

func TestMajorityAcknowledges(t *testing.T) {
	// The other instances keep their lease by their majority under the old view,
	// the writer keeps its lease by reading the store. If it did not wait until a
	// majority acknowledged the new view, it would take over targets that the
	// others still own.
	cases := []struct {
		name     string
		faults   leaser.Faults
		violated bool
	}{
		{"takeover after a majority acknowledged the view", leaser.Faults{}, false},
		{"takeover without the acknowledgement", leaser.Faults{NoMajorityAck: true}, true},
	}
	Convey("No takeover before the owners know the new view", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				violations := 0
				for seed := uint64(1); seed <= 10; seed++ {
					sim := newSimulation(seed, 5, c.faults)
					sim.isolateWriter()
					if sim.violation != "" {
						violations++
					}
				}
				t.Logf("%s: two senders in %d of 10 runs", c.name, violations)
				So(violations > 0, ShouldEqual, c.violated)
			})
		}
	})
}

func TestIdleStoreCalls(t *testing.T) {
	Convey("An idle instance stays within 0.1 calls/s to the store and the list", t, func() {
		sim := newSimulation(7, 8, leaser.Faults{})
		sim.run(time.Minute)
		sim.checkEvery = 100
		sim.storeCalls, sim.listCalls = 0, 0
		const length = 10 * time.Minute
		sim.run(sim.now + length)
		views := float64(sim.storeCalls) / 8 / length.Seconds()
		lists := float64(sim.listCalls) / 8 / length.Seconds()
		t.Logf("per instance: %.4f view reads/s, %.4f list reads/s", views, lists)
		// Watching the change log adds 0.07 calls/s, on 2 instances only.
		So(views+lists+0.07, ShouldBeLessThanOrEqualTo, 0.1)
	})
}
