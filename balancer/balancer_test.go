package balancer

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"jujubegate.example/jujubegate"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var start = time.Unix(1_800_000_000, 0)

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func warm(load, limit int, latency time.Duration) Option {
	return Option{Replica: &Replica{}, State: jujubegate.Warm, Load: load, Limit: limit, Latency: latency}
}

// shares returns how often each option is chosen of 1,000 times.
func shares(now time.Time, options []Option, skip uint64) map[int]int {
	counts := make(map[int]int)
	random := newRandom()
	for range 1000 {
		counts[Choose(now, options, skip, random)]++
	}
	return counts
}

func fail(o *Option, times int, now time.Time) {
	for range times {
		o.Replica.Begin()
		o.Replica.Done(now, Failed, time.Millisecond)
	}
}

func TestChoose(t *testing.T) {
	// Guards against requests to targets that must or should not get them.
	const ms = time.Millisecond
	cases := []struct {
		name    string
		options func() []Option
		skip    uint64
		least   map[int]int
		most    map[int]int
	}{
		{"equal ones share", func() []Option { return []Option{warm(0, 2, ms), warm(0, 2, ms)} }, 0, map[int]int{0: 400, 1: 400}, nil},
		{"tried ones are skipped", func() []Option { return []Option{warm(0, 2, ms), warm(0, 2, ms)} }, 1, map[int]int{1: 1000}, nil},
		{"none is left", func() []Option { return []Option{warm(0, 2, ms)} }, 1, map[int]int{-1: 1000}, nil},
		{"draining and ejected by the owner", func() []Option {
			a, b, c := warm(0, 2, ms), warm(0, 2, ms), warm(9, 2, ms)
			a.State, b.State = jujubegate.Draining, jujubegate.Ejected
			return []Option{a, b, c}
		}, 0, map[int]int{2: 1000}, nil},
		{"only draining", func() []Option {
			a := warm(0, 2, ms)
			a.State = jujubegate.Draining
			return []Option{a}
		}, 0, map[int]int{-1: 1000}, nil},
		{"cold at its limit gets nothing", func() []Option {
			a := warm(1, 1, ms)
			a.State = jujubegate.Cold
			return []Option{a, warm(8, 2, ms)}
		}, 0, map[int]int{1: 1000}, nil},
		{"cold at this root's own limit gets nothing", func() []Option {
			a := warm(0, 1, ms)
			a.State = jujubegate.Cold
			a.Replica.Begin()
			return []Option{a, warm(8, 2, ms)}
		}, 0, map[int]int{1: 1000}, nil},
		{"cold with half the limit gets a small share", func() []Option {
			a := warm(0, 1, ms)
			a.State = jujubegate.Cold
			return []Option{a, warm(0, 2, ms)}
		}, 0, map[int]int{0: 60}, map[int]int{0: 160}},
		{"20 times slower", func() []Option { return []Option{warm(0, 2, 100*ms), warm(0, 2, 5*ms)} }, 0, nil, map[int]int{0: 5}},
		{"long queue in a fresh report", func() []Option {
			options := []Option{warm(0, 2, 5*ms), warm(0, 2, 5*ms)}
			Choose(start.Add(-ms), options, 0, newRandom())
			options[0].Load = 8
			return options
		}, 0, nil, map[int]int{0: 100}},
		{"long queue in an old report", func() []Option { return []Option{warm(8, 2, 5*ms), warm(0, 2, 5*ms)} }, 0, map[int]int{0: 400, 1: 400}, nil},
		{"more of this root's own requests", func() []Option {
			a := warm(0, 2, 5*ms)
			a.Replica.Begin()
			return []Option{a, warm(0, 2, 5*ms)}
		}, 0, nil, map[int]int{0: 60}},
		{"report hides a straggler", func() []Option {
			a := warm(0, 2, ms)
			a.Replica.Begin()
			a.Replica.Done(start, Answered, 100*ms)
			return []Option{a, warm(0, 2, 5*ms)}
		}, 0, nil, map[int]int{0: 5}},
		{"far data centre", func() []Option {
			a := warm(0, 2, ms)
			a.Distance = 3 * ms
			return []Option{a, warm(0, 2, ms)}
		}, 0, nil, map[int]int{0: 50}},
		{"refused a moment ago", func() []Option {
			a := warm(0, 2, ms)
			a.Replica.Begin()
			a.Replica.Done(start, Refused, ms)
			return []Option{a, warm(8, 2, ms)}
		}, 0, map[int]int{1: 1000}, nil},
		{"excluded half a second ago", func() []Option {
			a := warm(0, 2, ms)
			a.Replica.Begin()
			a.Replica.Done(start.Add(-500*ms), Excluded, ms)
			return []Option{a, warm(8, 2, ms)}
		}, 0, map[int]int{1: 1000}, nil},
		{"failures in a row", func() []Option {
			a := warm(0, 2, ms)
			fail(&a, failuresToEject, start)
			return []Option{a, warm(8, 2, ms)}
		}, 0, map[int]int{1: 1000}, nil},
		{"overtaken in a row", func() []Option {
			a := warm(0, 2, ms)
			for range failuresToEject {
				a.Replica.Begin()
				a.Replica.Done(start, Overtaken, ms)
			}
			return []Option{a, warm(8, 2, ms)}
		}, 0, map[int]int{1: 1000}, nil},
		{"overtaken once", func() []Option {
			a := warm(0, 2, ms)
			a.Replica.Begin()
			a.Replica.Done(start, Overtaken, ms)
			return []Option{a, warm(0, 2, ms)}
		}, 0, map[int]int{0: 300}, nil},
		{"both failed: half stays", func() []Option {
			a, b := warm(0, 2, ms), warm(0, 2, ms)
			fail(&a, failuresToEject, start)
			fail(&b, failuresToEject+1, start)
			return []Option{a, b}
		}, 0, map[int]int{0: 1000}, nil},
		{"the only one failed", func() []Option {
			a := warm(0, 2, ms)
			fail(&a, failuresToEject, start)
			return []Option{a}
		}, 0, map[int]int{0: 1000}, nil},
	}
	Convey("Of the options", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				got := shares(start, c.options(), c.skip)
				for i, n := range c.least {
					So(got[i], ShouldBeGreaterThanOrEqualTo, n)
				}
				for i, n := range c.most {
					So(got[i], ShouldBeLessThanOrEqualTo, n)
				}
			})
		}
	})
}

func TestProbes(t *testing.T) {
	// Guards against a recovered target that stays excluded, and against full
	// load on one that has not recovered.
	Convey("An ejected target", t, func() {
		options := []Option{warm(0, 2, time.Millisecond), warm(0, 2, time.Millisecond)}
		bad := &options[0]
		fail(bad, failuresToEject, start)
		later := start.Add(minEjection)
		random := newRandom()
		So(Choose(later, options, 0, random), ShouldEqual, 0)
		bad.Replica.Begin()

		Convey("gets one probe at a time", func() {
			So(shares(later, options, 0), ShouldResemble, map[int]int{1: 1000})
		})
		Convey("is excluded for longer after a failed probe", func() {
			bad.Replica.Done(later, Failed, time.Millisecond)
			So(shares(later.Add(minEjection), options, 0), ShouldResemble, map[int]int{1: 1000})
			So(Choose(later.Add(2*minEjection), options, 0, random), ShouldEqual, 0)
		})
		Convey("returns after an answered probe, until the next failure", func() {
			bad.Replica.Done(later, Answered, time.Millisecond)
			So(shares(later, options, 0)[0], ShouldBeGreaterThan, 300)
			fail(bad, 1, later)
			So(shares(later, options, 0)[0], ShouldEqual, 0)
		})
	})
	Convey("A target that was avoided as slow is tried again", t, func() {
		options := []Option{warm(0, 2, 0), warm(0, 2, 5*time.Millisecond)}
		options[0].Replica.Begin()
		options[0].Replica.Done(start, Answered, 200*time.Millisecond)
		So(shares(start, options, 0)[0], ShouldBeLessThan, 5)
		So(shares(start.Add(12*time.Second), options, 0)[0], ShouldBeGreaterThan, 300)
	})
}

// naiveSet returns the options that may be chosen, by the rules written out one
// after the other.
func naiveSet(now time.Time, options []Option, skip uint64) map[int]bool {
	usable := make(map[int]bool)
	for i, o := range options {
		if (o.State == jujubegate.Warm || o.State == jujubegate.Cold) && o.Limit > 0 && skip>>i&1 == 0 {
			usable[i] = true
		}
	}
	// Exclude ejected ones in the order of their failures, at most half.
	excluded := make(map[int]bool)
	for len(excluded) < len(options)/2 {
		worst := -1
		for i, o := range options {
			if o.Replica.ejectedUntil.Load() == 0 || excluded[i] {
				continue
			}
			if worst < 0 || o.Replica.Failures() >= options[worst].Replica.Failures() {
				worst = i
			}
		}
		if worst < 0 {
			break
		}
		excluded[worst] = true
	}
	healthy := make(map[int]bool)
	for i := range usable {
		if !excluded[i] {
			healthy[i] = true
		}
	}
	if len(healthy) == 0 {
		healthy = usable
	}
	free := make(map[int]bool)
	for i := range healthy {
		o := options[i]
		load := max(o.Load, o.Replica.Outstanding())
		if (o.State != jujubegate.Cold || load < o.Limit) && o.Replica.refusedUntil.Load() <= now.UnixNano() {
			free[i] = true
		}
	}
	if len(free) > 0 {
		return free
	}
	return healthy
}

func TestChooseMatchesNaive(t *testing.T) {
	// Guards against a choice outside of the set that the rules allow.
	rapid.Check(t, func(t *rapid.T) {
		options := make([]Option, rapid.IntRange(0, 6).Draw(t, "options"))
		for i := range options {
			o := warm(rapid.IntRange(0, 4).Draw(t, "load"), rapid.IntRange(0, 3).Draw(t, "limit"), time.Millisecond)
			o.State = jujubegate.TargetState(rapid.IntRange(0, 4).Draw(t, "state"))
			fail(&o, rapid.IntRange(0, 2*failuresToEject).Draw(t, "failures"), start)
			for range rapid.IntRange(0, 3).Draw(t, "outstanding") {
				o.Replica.Begin()
			}
			if rapid.Bool().Draw(t, "refused") {
				o.Replica.Begin()
				o.Replica.Done(start, Refused, 0)
			}
			options[i] = o
		}
		skip := rapid.Uint64Range(0, 63).Draw(t, "skip")
		want := naiveSet(start, options, skip)
		seen := make(map[int]bool)
		random := newRandom()
		// The least preferred one of two gets 1 in 9,300 of the requests here.
		for n := 0; n < 200 || n < 200_000 && len(want) > 1 && len(seen) < 2; n++ {
			i := Choose(start, options, skip, random)
			if len(want) == 0 && i != -1 || len(want) > 0 && !want[i] {
				t.Fatalf("chose %d, allowed are %v", i, want)
			}
			seen[i] = true
		}
		if len(want) > 1 && len(seen) < 2 {
			t.Fatalf("only %v of %v were chosen", seen, want)
		}
	})
}

func TestReplicaConcurrently(t *testing.T) {
	// Guards against outstanding requests that are lost or counted twice.
	b := New()
	var group sync.WaitGroup
	for g := range 8 {
		group.Go(func() {
			random := rand.New(rand.NewPCG(1, uint64(g)))
			for range 2000 {
				r := b.Replica(jujubegate.Address(fmt.Sprint(random.IntN(3))))
				r.Begin()
				r.Done(start, Result(random.IntN(6)), time.Duration(random.IntN(1000)))
			}
		})
	}
	group.Wait()
	for a, r := range b.replicas {
		if r.Outstanding() != 0 {
			t.Fatalf("target %s has %d outstanding requests", a, r.Outstanding())
		}
	}
	b.Keep(func(a jujubegate.Address) bool { return a == "1" })
	if len(b.replicas) != 1 {
		t.Fatalf("%d targets kept", len(b.replicas))
	}
}

// BenchmarkChoose is one decision with its begin and end, over fan-outs that
// differ in the number of targets that the caches must hold.
func BenchmarkChoose(b *testing.B) {
	for _, shards := range []int{20, 30, 1100} {
		b.Run(fmt.Sprintf("FanOut=%d", shards), func(b *testing.B) {
			options := make([][]Option, shards)
			for i := range options {
				options[i] = []Option{warm(1, 2, 5*time.Millisecond), warm(0, 2, 6*time.Millisecond)}
			}
			random := newRandom()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				o := options[i%shards]
				r := o[Choose(start, o, 0, random)].Replica
				r.Begin()
				r.Done(start, Answered, 5*time.Millisecond)
			}
		})
	}
}
