package admitter

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

func TestMaxMinShareMatchesReference(t *testing.T) {
	// Guards against a quota that is exceeded, or not used up although there is
	// demand, by comparison with a bisection.
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOfN(rapid.Float64Range(0, 100), 0, 20).Draw(t, "demands")
		quota := rapid.Float64Range(0, 500).Draw(t, "quota")
		served := func(share float64) float64 {
			sum := 0.0
			for _, d := range demands {
				sum += min(d, share)
			}
			return sum
		}
		low, high := 0.0, quota
		for range 100 {
			if middle := (low + high) / 2; served(middle) <= quota {
				low = middle
			} else {
				high = middle
			}
		}
		want := served(low)
		if got := served(maxMinShare(demands, quota)); got > quota+1e-6 || got < want-1e-6 {
			t.Fatalf("served %v, want %v of %v", got, want, quota)
		}
	})
}

func TestPrioritiesAndCallersUnderOverload(t *testing.T) {
	// Guards against a query that is refused while less important ones are
	// admitted, and against a caller that takes the share of the others.
	capacity := simCapacity
	cases := []struct {
		name    string
		sources []source
		least   []float64
		most    []float64
	}{
		{
			"high priority first",
			[]source{{"a", 3, 0.5 * capacity}, {"b", 1, 1.5 * capacity}},
			[]float64{0.47 * capacity, 0.35 * capacity},
			[]float64{0.52 * capacity, 0.5 * capacity},
		},
		{
			"three priorities",
			[]source{{"a", 3, 0.4 * capacity}, {"b", 2, 0.3 * capacity}, {"c", 1, 1.3 * capacity}},
			[]float64{0.37 * capacity, 0.27 * capacity, 0.15 * capacity},
			[]float64{0.42 * capacity, 0.32 * capacity, 0.3 * capacity},
		},
		{
			"a greedy caller",
			[]source{{"greedy", 2, 1.7 * capacity}, {"modest", 2, 0.3 * capacity}},
			[]float64{0.55 * capacity, 0.27 * capacity},
			[]float64{0.72 * capacity, 0.31 * capacity},
		},
		{
			"two greedy callers",
			[]source{{"a", 2, 1 * capacity}, {"b", 2, 3 * capacity}},
			[]float64{0.42 * capacity, 0.42 * capacity},
			[]float64{0.55 * capacity, 0.55 * capacity},
		},
	}
	Convey("Good queries per source with", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				good := newSimulation(4).run(c.sources)
				t.Logf("%s: %.0f queries/s of a capacity of %.0f", c.name, good, simCapacity)
				for i := range good {
					So(good[i], ShouldBeBetween, c.least[i], c.most[i])
				}
			})
		}
	})
}

func TestRecoveryAfterOutage(t *testing.T) {
	// Guards against a limit that stays low after an outage.
	Convey("After 5 s without a good query", t, func() {
		a := New()
		now := start
		step := func(result Result) (admitted int) {
			for range 100 {
				now = now.Add(10 * time.Millisecond)
				if ticket, refusal := a.Admit(now, "Repairs", 20, 2, "a"); refusal == nil {
					admitted++
					a.Done(now, ticket, result)
				}
			}
			return admitted
		}
		for range 5 {
			step(Congested)
		}
		limit, limited := a.Limit("Repairs")
		So(limited, ShouldBeTrue)
		So(limit, ShouldBeLessThan, 20)
		seconds := 0
		for step(Good) < 95 && seconds < 60 {
			seconds++
		}
		t.Logf("95%% of the queries admitted %d s after the outage", seconds)
		So(seconds, ShouldBeLessThan, 15)
		for range 20 {
			step(Good)
		}
		_, limited = a.Limit("Repairs")
		So(limited, ShouldBeFalse)
	})
}

func TestRefusals(t *testing.T) {
	// Guards against unbounded memory for queries in flight or caller names,
	// refusals without a time to retry, and refusals of a service that is not
	// overloaded.
	Convey("With many queries in flight", t, func() {
		a := New()
		admit := func(priority int) *jujubegate.Refusal {
			_, refusal := a.Admit(start, "Repairs", 16, priority, "a")
			return refusal
		}
		count := func(priority int) int {
			n := 0
			for admit(priority) == nil {
				n++
			}
			return n
		}
		So(count(1), ShouldEqual, maxInFlight/2/16)
		So(count(2), ShouldEqual, maxInFlight/4/16)
		So(count(7), ShouldEqual, maxInFlight/4/16)
		refusal := admit(3)
		So(refusal.Reason, ShouldEqual, jujubegate.Overloaded)
		So(refusal.Outcome, ShouldEqual, jujubegate.NotRun)
		So(refusal.RetryAfter, ShouldBeGreaterThan, 0)
		a.Done(start, Ticket{service: "Repairs", shards: 16}, Neutral)
		So(admit(3), ShouldBeNil)
		So(a.InFlight(), ShouldEqual, maxInFlight)
	})
	Convey("A service that is not overloaded is not limited by another", t, func() {
		a := New()
		now := start
		refused := 0
		for range 4000 {
			now = now.Add(time.Millisecond)
			if ticket, refusal := a.Admit(now, "Bad", 20, 3, "a"); refusal == nil {
				a.Done(now, ticket, Congested)
			}
			ticket, refusal := a.Admit(now, "Repairs", 20, 1, "a")
			if refusal != nil {
				refused++
				continue
			}
			a.Done(now, ticket, Good)
		}
		So(refused, ShouldEqual, 0)
	})
	Convey("Many caller names don't bypass the limit or fill the memory", t, func() {
		a := New()
		now := start
		admitted := 0
		for i := range 60_000 {
			now = now.Add(time.Millisecond)
			ticket, refusal := a.Admit(now, "Repairs", 20, 1, jujubegate.Caller(fmt.Sprint(i)))
			if refusal != nil {
				continue
			}
			result := Good
			if limit, limited := a.Limit("Repairs"); !limited || limit > 100 {
				result = Congested
			}
			a.Done(now, ticket, result)
			if i >= 30_000 {
				admitted++
			}
		}
		So(len(a.services["Repairs"].classes[1].callers), ShouldBeLessThanOrEqualTo, maxCallers+1)
		So(admitted, ShouldBeBetween, 30*50, 30*150)
	})
}

func TestAdmitterConcurrently(t *testing.T) {
	// Guards against an error in the count of sub-requests in flight when queries
	// are admitted concurrently.
	a := New()
	var group sync.WaitGroup
	for g := range 8 {
		group.Go(func() {
			random := rand.New(rand.NewPCG(1, uint64(g)))
			now := start
			for range 3000 {
				now = now.Add(time.Duration(random.IntN(2000)) * time.Microsecond)
				if ticket, refusal := a.Admit(now, "Repairs", 20, random.IntN(5), "a"); refusal == nil {
					a.Done(now, ticket, Result(random.IntN(3)))
				}
			}
		})
	}
	group.Wait()
	if n := a.InFlight(); n != 0 {
		t.Fatalf("%d sub-requests in flight", n)
	}
}

// BenchmarkAdmit measures the admission of one query with 100 callers.
func BenchmarkAdmit(b *testing.B) {
	a := New()
	callers := make([]jujubegate.Caller, 100)
	for i := range callers {
		callers[i] = jujubegate.Caller(fmt.Sprintf("caller-%d", i))
	}
	now := start
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		ticket, refusal := a.Admit(now, "Repairs", 20, 2, callers[i%len(callers)])
		if refusal == nil {
			a.Done(now, ticket, Good)
		}
	}
}
