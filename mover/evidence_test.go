package mover

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"jujubegate.example/jujubegate"
)

// referenceTally is a simple model of Tally on a plain map.
type referenceTally map[CellKey]jujubegate.RouteCount

func (m referenceTally) observe(t jujubegate.Target, route jujubegate.Route, inFlight int, failed bool, took time.Duration) {
	load := jujubegate.Unloaded
	if inFlight > 1 {
		load = jujubegate.Loaded
	}
	k := CellKey{t.Service, t.Version, route, load}
	c := m[k]
	c.Service, c.Version, c.Route, c.Load = t.Service, t.Version, route, load
	c.Answers++
	if failed {
		c.Errors++
	} else {
		bucket := 0
		for bucket < jujubegate.LatencyBuckets-1 && took > UpperBound(bucket) {
			bucket++
		}
		c.Latency[bucket]++
	}
	m[k] = c
}

func (m referenceTally) counts() []jujubegate.RouteCount {
	list := []jujubegate.RouteCount{}
	for _, c := range m {
		list = append(list, c)
	}
	slices.SortFunc(list, compareCounts)
	return list
}

func (m referenceTally) add(counts []jujubegate.RouteCount) {
	for _, c := range counts {
		m[KeyOf(c)] = addCounts(m[KeyOf(c)], c)
	}
}

func TestTallyAndFleetModel(t *testing.T) {
	// Guards against answers that are counted twice or not at all when an
	// instance restarts or heartbeats are lost, repeated or out of order.
	rapid.Check(t, func(t *rapid.T) {
		fleet, all := NewFleetTally(), referenceTally{}
		tallies, models := make([]*Tally, 2), make([]referenceTally, 2)
		restarts, finished := make([]int, 2), make([]referenceTally, 2)
		var delayed []func()
		deliver := func(i int) func() {
			counts, name, incarnation := tallies[i].Counts(), jujubegate.Instance(rune('a'+i)), string(rune('0'+restarts[i]))
			return func() { fleet.Merge(name, incarnation, counts, epoch) }
		}
		for i := range tallies {
			tallies[i], models[i], finished[i] = NewTally(nil), referenceTally{}, referenceTally{}
			deliver(i)() // empty counts as the starting point
		}
		for range rapid.IntRange(1, 60).Draw(t, "actions") {
			i := rapid.IntRange(0, 1).Draw(t, "instance")
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				deliver(i)()
				finished[i].add(models[i].counts())
				restarts[i]++
				tallies[i], models[i] = NewTally(nil), referenceTally{}
			case 1, 2:
				delayed = append(delayed, deliver(i))
			case 3:
				if len(delayed) > 0 {
					rapid.SampledFrom(delayed).Draw(t, "late")()
				}
			default:
				target := jujubegate.Target{
					Service: "Desk", Version: rapid.SampledFrom([]jujubegate.Version{"v1", "v2"}).Draw(t, "version"),
				}
				route := rapid.SampledFrom([]jujubegate.Route{"Search", "Book"}).Draw(t, "route")
				inFlight, failed := rapid.IntRange(1, 3).Draw(t, "inFlight"), rapid.Bool().Draw(t, "failed")
				took := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "took"))
				tallies[i].Observe(target, route, inFlight, failed, took, epoch)
				models[i].observe(target, route, inFlight, failed, took)
			}
			if !slices.Equal(tallies[i].Counts(), models[i].counts()) {
				t.Fatalf("tally %v, model %v", tallies[i].Counts(), models[i].counts())
			}
		}
		for i := range tallies {
			deliver(i)()
			all.add(finished[i].counts())
			all.add(models[i].counts())
		}
		if !slices.Equal(fleet.Totals(), all.counts()) && len(all) > 0 {
			t.Fatalf("fleet %v, model %v", fleet.Totals(), all.counts())
		}
	})
}

func TestColdTargets(t *testing.T) {
	// Guards against taking back a good version because its targets are slow
	// until they are warm, and against ignoring slow answers forever or after a
	// target was warm once.
	Convey("Slow answers count after a target was first warm, or after a minute", t, func() {
		isWarm := map[jujubegate.Address]bool{}
		tally := NewTally(func(a jujubegate.Address) bool { return isWarm[a] })
		steps := []struct {
			at     time.Duration
			isWarm bool
			failed bool
			timed  uint64
			errors uint64
		}{
			{0, false, false, 0, 0},
			{time.Second, false, true, 0, 1},
			{2 * time.Second, true, false, 1, 1},
			{3 * time.Second, false, false, 2, 1},
		}
		for _, s := range steps {
			isWarm["a"] = s.isWarm
			tally.Observe(jujubegate.Target{Address: "a"}, "Search", 1, s.failed, time.Second, epoch.Add(s.at))
			So(tally.Counts()[0].Errors, ShouldEqual, s.errors)
			So(tally.Counts()[0].Latency[Bucket(time.Second)], ShouldEqual, s.timed)
		}
		late := jujubegate.Target{Address: "b", Version: "v2"}
		tally.Observe(late, "Search", 1, false, time.Second, epoch)
		tally.Observe(late, "Search", 1, false, time.Second, epoch.Add(maxWarmUp))
		So(tally.Counts()[1].Answers, ShouldEqual, 2)
		So(tally.Counts()[1].Latency[Bucket(time.Second)], ShouldEqual, 1)
	})
}

func TestFirstContact(t *testing.T) {
	// Guards against adding all the old counts of an instance as one block when
	// it is first heard of.
	Convey("The first counts of an instance only set the starting point", t, func() {
		f := NewFleetTally()
		f.Merge("a", "1", []jujubegate.RouteCount{{Service: "Desk", Answers: 1000}}, epoch)
		So(f.Totals(), ShouldBeEmpty)
		f.Merge("a", "1", []jujubegate.RouteCount{{Service: "Desk", Answers: 1007}}, epoch)
		So(f.Totals()[0].Answers, ShouldEqual, 7)
		Convey("A silent process is dropped, and its next counts set a new starting point", func() {
			f.Merge("b", "1", nil, epoch.Add(3*time.Hour))
			So(len(f.processes), ShouldEqual, 1)
			f.Merge("a", "1", []jujubegate.RouteCount{{Service: "Desk", Answers: 2000}}, epoch.Add(3*time.Hour))
			So(f.Totals()[0].Answers, ShouldEqual, 7)
		})
	})
}

func BenchmarkObserve(b *testing.B) {
	tally := NewTally(func(jujubegate.Address) bool { return true })
	target := jujubegate.Target{Address: "10.0.0.1:9000", Service: "DispatchDesk", Version: "v2"}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		tally.Observe(target, "Search", 1+i&1, i&63 == 0, time.Duration(i&1023)*50*time.Microsecond, epoch)
	}
}

func BenchmarkObserveParallel(b *testing.B) {
	tally := NewTally(nil)
	target := jujubegate.Target{Address: "10.0.0.1:9000", Service: "DispatchDesk", Version: "v2"}
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			tally.Observe(target, "Search", 1, false, 10*time.Millisecond, epoch)
		}
	})
}

func TestTallyToVerdict(t *testing.T) {
	// Guards against evidence that is lost between Observe and the verdict.
	cases := []struct {
		name    string
		factor  float64 // on the service times of the new version
		failing float64
		want    Outcome
		kind    Kind
	}{
		{"equal", 1, 0.001, Good, 0},
		{"slow", 2.5, 0.001, Bad, Slowness},
		{"failing", 1, 0.08, Bad, Errors},
	}
	move, _ := declared(`BringIn Version v2 { Service = Desk; Deadline = 2h; };`).Move("Desk")
	for _, c := range cases {
		random, tally, fleet := rand.New(rand.NewPCG(7, 7)), NewTally(nil), NewFleetTally()
		trial := NewTrial(move, []jujubegate.Route{"Search"}, FleetBlockInterval, FalseAlarmProbability)
		var before []jujubegate.RouteCount
		fleet.Merge("a", "1", nil, epoch)
		for now := epoch; trial.Judgement().Verdict.Outcome == Undecided && now.Sub(epoch) < time.Minute; {
			for i := range 1000 {
				version, failing, factor := jujubegate.Version("v1"), 0.001, 1.0
				if i%20 == 0 {
					version, failing, factor = "v2", c.failing, c.factor
				}
				took := time.Duration(factor * math.Exp(0.4*random.NormFloat64()) * float64(10*time.Millisecond))
				tally.Observe(jujubegate.Target{Service: "Desk", Version: version}, "Search", 1, random.Float64() < failing, took, now)
			}
			now = now.Add(FleetBlockInterval)
			fleet.Merge("a", "1", tally.Counts(), now)
			after := fleet.Totals()
			trial.Add(now, move, Difference(before, after))
			before = after
		}
		if v := trial.Judgement().Verdict; v.Outcome != c.want || v.Kind != c.kind {
			t.Errorf("%s: %s", c.name, v)
		}
	}
}
