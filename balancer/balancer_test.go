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

func warmOption(load, limit int, latency time.Duration) Option {
	return Option{Replica: &Replica{}, State: jujubegate.Warm, Load: load, Limit: limit, Latency: latency}
}

// choiceCounts returns how often Choose returns each index in 1,000 calls.
func choiceCounts(now time.Time, options []Option, skip uint64) map[int]int {
	counts := make(map[int]int)
	random := newRandom()
	for range 1000 {
		counts[Choose(now, options, skip, random)]++
	}
	return counts
}

func recordFailures(o *Option, times int, now time.Time) {
	for range times {
		o.Replica.Begin()
		o.Replica.Done(now, Failed, time.Millisecond)
	}
}

func TestChoose(t *testing.T) {
	// Guards against requests to targets that must not or should not get them.
	const ms = time.Millisecond
	cases := []struct {
		name    string
		options func() []Option
		skip    uint64
		least   map[int]int
		most    map[int]int
	}{
		{"equal ones get equal shares", func() []Option { return []Option{warmOption(0, 2, ms), warmOption(0, 2, ms)} }, 0, map[int]int{0: 400, 1: 400}, nil},
		{"skipped ones get nothing", func() []Option { return []Option{warmOption(0, 2, ms), warmOption(0, 2, ms)} }, 1, map[int]int{1: 1000}, nil},
		{"none is left", func() []Option { return []Option{warmOption(0, 2, ms)} }, 1, map[int]int{-1: 1000}, nil},
		{"draining and ejected by the owner", func() []Option {
			a, b, c := warmOption(0, 2, ms), warmOption(0, 2, ms), warmOption(9, 2, ms)
			a.State, b.State = jujubegate.Draining, jujubegate.Ejected
			return []Option{a, b, c}
		}, 0, map[int]int{2: 1000}, nil},
		{"only draining", func() []Option {
			a := warmOption(0, 2, ms)
			a.State = jujubegate.Draining
			return []Option{a}
		}, 0, map[int]int{-1: 1000}, nil},
		{"cold at its limit gets nothing", func() []Option {
			a := warmOption(1, 1, ms)
			a.State = jujubegate.Cold
			return []Option{a, warmOption(8, 2, ms)}
		}, 0, map[int]int{1: 1000}, nil},
		{"cold at its limit by this instance's own requests gets nothing", func() []Option {
			a := warmOption(0, 1, ms)
			a.State = jujubegate.Cold
			a.Replica.Begin()
			return []Option{a, warmOption(8, 2, ms)}
		}, 0, map[int]int{1: 1000}, nil},
		{"cold with half the limit gets a small share", func() []Option {
			a := warmOption(0, 1, ms)
			a.State = jujubegate.Cold
			return []Option{a, warmOption(0, 2, ms)}
		}, 0, map[int]int{0: 60}, map[int]int{0: 160}},
		{"20 times slower", func() []Option { return []Option{warmOption(0, 2, 100*ms), warmOption(0, 2, 5*ms)} }, 0, nil, map[int]int{0: 5}},
		{"long queue in a fresh report", func() []Option {
			options := []Option{warmOption(0, 2, 5*ms), warmOption(0, 2, 5*ms)}
			Choose(start.Add(-ms), options, 0, newRandom())
			options[0].Load = 8
			return options
		}, 0, nil, map[int]int{0: 100}},
		{"long queue in an old report", func() []Option { return []Option{warmOption(8, 2, 5*ms), warmOption(0, 2, 5*ms)} }, 0, map[int]int{0: 400, 1: 400}, nil},
		{"more outstanding requests of this instance", func() []Option {
			a := warmOption(0, 2, 5*ms)
			a.Replica.Begin()
			return []Option{a, warmOption(0, 2, 5*ms)}
		}, 0, nil, map[int]int{0: 60}},
		{"slow, but reported as fast", func() []Option {
			a := warmOption(0, 2, ms)
			a.Replica.Begin()
			a.Replica.Done(start, Answered, 100*ms)
			return []Option{a, warmOption(0, 2, 5*ms)}
		}, 0, nil, map[int]int{0: 5}},
		{"far data centre", func() []Option {
			a := warmOption(0, 2, ms)
			a.Distance = 3 * ms
			return []Option{a, warmOption(0, 2, ms)}
		}, 0, nil, map[int]int{0: 50}},
		{"refused a moment ago", func() []Option {
			a := warmOption(0, 2, ms)
			a.Replica.Begin()
			a.Replica.Done(start, Refused, ms)
			return []Option{a, warmOption(8, 2, ms)}
		}, 0, map[int]int{1: 1000}, nil},
		{"excluded half a second ago", func() []Option {
			a := warmOption(0, 2, ms)
			a.Replica.Begin()
			a.Replica.Done(start.Add(-500*ms), Excluded, ms)
			return []Option{a, warmOption(8, 2, ms)}
		}, 0, map[int]int{1: 1000}, nil},
		{"failures in a row", func() []Option {
			a := warmOption(0, 2, ms)
			recordFailures(&a, failuresToEject, start)
			return []Option{a, warmOption(8, 2, ms)}
		}, 0, map[int]int{1: 1000}, nil},
		{"overtaken in a row", func() []Option {
			a := warmOption(0, 2, ms)
			for range failuresToEject {
				a.Replica.Begin()
				a.Replica.Done(start, Overtaken, ms)
			}
			return []Option{a, warmOption(8, 2, ms)}
		}, 0, map[int]int{1: 1000}, nil},
		{"overtaken once", func() []Option {
			a := warmOption(0, 2, ms)
			a.Replica.Begin()
			a.Replica.Done(start, Overtaken, ms)
			return []Option{a, warmOption(0, 2, ms)}
		}, 0, map[int]int{0: 300}, nil},
		{"both failed: only half are ejected", func() []Option {
			a, b := warmOption(0, 2, ms), warmOption(0, 2, ms)
			recordFailures(&a, failuresToEject, start)
			recordFailures(&b, failuresToEject+1, start)
			return []Option{a, b}
		}, 0, map[int]int{0: 1000}, nil},
		{"the only one failed", func() []Option {
			a := warmOption(0, 2, ms)
			recordFailures(&a, failuresToEject, start)
			return []Option{a}
		}, 0, map[int]int{0: 1000}, nil},
	}
	Convey("Of the options", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				got := choiceCounts(start, c.options(), c.skip)
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
	// Guards against a recovered target that stays ejected, and against full load on
	// one that has not recovered.
	Convey("An ejected target", t, func() {
		options := []Option{warmOption(0, 2, time.Millisecond), warmOption(0, 2, time.Millisecond)}
		bad := &options[0]
		recordFailures(bad, failuresToEject, start)
		later := start.Add(minEjection)
		random := newRandom()
		So(Choose(later, options, 0, random), ShouldEqual, 0)
		bad.Replica.Begin()

		Convey("gets one probe at a time", func() {
			So(choiceCounts(later, options, 0), ShouldResemble, map[int]int{1: 1000})
		})
		Convey("is ejected for longer after a failed probe", func() {
			bad.Replica.Done(later, Failed, time.Millisecond)
			So(choiceCounts(later.Add(minEjection), options, 0), ShouldResemble, map[int]int{1: 1000})
			So(Choose(later.Add(2*minEjection), options, 0, random), ShouldEqual, 0)
		})
		Convey("returns after an answered probe, until the next failure", func() {
			bad.Replica.Done(later, Answered, time.Millisecond)
			So(choiceCounts(later, options, 0)[0], ShouldBeGreaterThan, 300)
			recordFailures(bad, 1, later)
			So(choiceCounts(later, options, 0)[0], ShouldEqual, 0)
		})
	})
	Convey("A target that was avoided for its latency is tried again", t, func() {
		options := []Option{warmOption(0, 2, 0), warmOption(0, 2, 5*time.Millisecond)}
		options[0].Replica.Begin()
		options[0].Replica.Done(start, Answered, 200*time.Millisecond)
		So(choiceCounts(start, options, 0)[0], ShouldBeLessThan, 5)
		So(choiceCounts(start.Add(12*time.Second), options, 0)[0], ShouldBeGreaterThan, 300)
	})
}

// naiveSet returns the options that may be chosen, by a straightforward
// implementation of the rules.
func naiveSet(now time.Time, options []Option, skip uint64) map[int]bool {
	usable := make(map[int]bool)
	for i, o := range options {
		if (o.State == jujubegate.Warm || o.State == jujubegate.Cold) && o.Limit > 0 && skip>>i&1 == 0 {
			usable[i] = true
		}
	}
	// Exclude at most half of the options: the ejected ones with the most failures.
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
	// Guards against a choice outside the set that the rules allow, and against an
	// allowed option that is never chosen.
	rapid.Check(t, func(t *rapid.T) {
		options := make([]Option, rapid.IntRange(0, 6).Draw(t, "options"))
		for i := range options {
			o := warmOption(rapid.IntRange(0, 4).Draw(t, "load"), rapid.IntRange(0, 3).Draw(t, "limit"), time.Millisecond)
			o.State = jujubegate.TargetState(rapid.IntRange(0, 4).Draw(t, "state"))
			recordFailures(&o, rapid.IntRange(0, 2*failuresToEject).Draw(t, "failures"), start)
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
		// The less preferred one of two options gets at least 1 in 9,300 requests here.
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
	// Guards against attempts that are counted twice or not at all.
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

// BenchmarkChoose measures one choice with its Begin and Done. The fan-outs differ
// in the number of targets that the CPU caches must hold.
func BenchmarkChoose(b *testing.B) {
	for _, shards := range []int{20, 30, 1100} {
		b.Run(fmt.Sprintf("FanOut=%d", shards), func(b *testing.B) {
			options := make([][]Option, shards)
			for i := range options {
				options[i] = []Option{warmOption(1, 2, 5*time.Millisecond), warmOption(0, 2, 6*time.Millisecond)}
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
