package hedger

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"jujubegate.example/jujubegate"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var start = time.Unix(1_800_000_000, 0)

func TestRetry(t *testing.T) {
	// Guards against a second execution of a request that may have run, and
	// against useless retries.
	const ms = time.Millisecond
	type in struct {
		reason     jujubegate.Reason
		outcome    jujubegate.Outcome
		idempotent bool
		order      bool
		left       time.Duration
	}
	cases := []struct {
		name string
		in   in
		want Decision
	}{
		{"not run on any route", in{jujubegate.TargetDraining, jujubegate.NotRun, false, false, 50 * ms}, RetryElsewhere},
		{"shed", in{jujubegate.Shed, jujubegate.NotRun, false, false, 50 * ms}, RetryElsewhere},
		{"not the owner", in{jujubegate.NotOwner, jujubegate.NotRun, true, false, 50 * ms}, RetryElsewhere},
		{"error on an idempotent route", in{jujubegate.TargetError, jujubegate.Ran, true, false, 50 * ms}, RetryElsewhere},
		{"error on another route", in{jujubegate.TargetError, jujubegate.Ran, false, false, 50 * ms}, GiveUp},
		{"unknown on an idempotent route", in{jujubegate.TargetDown, jujubegate.Unknown, true, false, 50 * ms}, RetryElsewhere},
		{"unknown on another route", in{jujubegate.TargetDown, jujubegate.Unknown, false, false, 50 * ms}, GiveUp},
		{"order that did not run", in{jujubegate.Shed, jujubegate.NotRun, true, true, 50 * ms}, GiveUp},
		{"order that failed", in{jujubegate.TargetError, jujubegate.Ran, true, true, 50 * ms}, GiveUp},
		{"no time left", in{jujubegate.Shed, jujubegate.NotRun, true, false, 0}, GiveUp},
		{"less time than a sub-request takes", in{jujubegate.Shed, jujubegate.NotRun, true, false, 4 * ms}, GiveUp},
		{"deadline passed", in{jujubegate.DeadlinePassed, jujubegate.NotRun, true, false, 50 * ms}, GiveUp},
		{"cancelled", in{jujubegate.Cancelled, jujubegate.NotRun, true, false, 50 * ms}, GiveUp},
		{"bad request", in{jujubegate.BadRequest, jujubegate.NotRun, true, false, 50 * ms}, GiveUp},
	}
	Convey("After a refusal", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				r := &jujubegate.Refusal{Reason: c.in.reason, Outcome: c.in.outcome}
				So(DecideRetry(r, c.in.idempotent, c.in.order, c.in.left, 5*ms), ShouldEqual, c.want)
			})
		}
	})
}

func TestDelayMatchesSortedSamples(t *testing.T) {
	// Guards against a delay that is far from the quantile of the samples.
	rapid.Check(t, func(t *rapid.T) {
		l := NewRouteLatency()
		n := rapid.IntRange(0, 2000).Draw(t, "samples")
		seed := rapid.Uint64().Draw(t, "seed")
		random := rand.New(rand.NewPCG(seed, 1))
		samples := make([]time.Duration, n)
		for i := range samples {
			samples[i] = time.Duration(2000+random.ExpFloat64()*20_000) * time.Microsecond
		}
		for chunk := range slices.Chunk(samples, 20) {
			l.Observe(start, chunk...)
		}
		l.refresh()
		if n < minSamples {
			if l.Delay() != defaultDelay {
				t.Fatalf("delay %v after %d samples", l.Delay(), n)
			}
			return
		}
		slices.Sort(samples)
		// The histogram keeps two significant digits: the delay may differ by 1%
		// and by one rank.
		rank := int(float64(n) * hedgeQuantile / 100)
		low, high := samples[max(rank-1, 0)], samples[min(rank+1, n-1)]
		if got := l.Delay(); got < low*98/100 || got > high*102/100 {
			t.Fatalf("delay %v, want between %v and %v", got, low, high)
		}
	})
}

func TestDelayFollowsLatency(t *testing.T) {
	// Guards against a delay that does not adapt, so that every sub-request is
	// hedged after the latency rose, or none after it fell.
	Convey("A learned delay", t, func() {
		l := NewRouteLatency()
		observe := func(from time.Time, took time.Duration) {
			for i := range 60 {
				for range 10 {
					l.Observe(from.Add(time.Duration(i)*100*time.Millisecond), took)
				}
			}
		}
		observe(start, 10*time.Millisecond)
		So(l.Delay(), ShouldAlmostEqual, 10*time.Millisecond, float64(time.Millisecond))
		So(l.Typical(), ShouldAlmostEqual, 10*time.Millisecond, float64(time.Millisecond))
		Convey("rises within a window", func() {
			observe(start.Add(6*time.Second), 40*time.Millisecond)
			So(l.Delay(), ShouldAlmostEqual, 40*time.Millisecond, float64(time.Millisecond))
		})
		Convey("falls after two windows", func() {
			observe(start.Add(6*time.Second), 2*time.Millisecond)
			observe(start.Add(12*time.Second), 2*time.Millisecond)
			So(l.Delay(), ShouldAlmostEqual, 2*time.Millisecond, float64(time.Millisecond))
		})
		Convey("is at least the minimum", func() {
			observe(start.Add(6*time.Second), time.Microsecond)
			observe(start.Add(12*time.Second), time.Microsecond)
			So(l.Delay(), ShouldEqual, minDelay)
		})
	})
}

// referenceBudget is a simple implementation of Budget that keeps tokens as a
// fraction and adds them one sub-request at a time.
type referenceBudget struct {
	tokens          float64
	sent, refused   int
	windowEnd       time.Time
	overloadedUntil time.Time
}

func (b *referenceBudget) rollWindow(now time.Time) {
	if !now.Before(b.windowEnd) {
		b.windowEnd, b.sent, b.refused = now.Add(overloadWindow), 0, 0
	}
}

func (b *referenceBudget) capTokens(now time.Time) {
	if now.Before(b.overloadedUntil) {
		b.tokens = min(b.tokens, 5)
	}
}

func (b *referenceBudget) send(now time.Time, subRequests int) {
	b.rollWindow(now)
	for range subRequests {
		b.sent++
		if now.Before(b.overloadedUntil) {
			b.tokens += 0.01
		} else {
			b.tokens += 0.05
		}
	}
	b.tokens = min(b.tokens, 220)
	b.capTokens(now)
}

func (b *referenceBudget) take(now time.Time, needed float64) bool {
	tokens := b.tokens
	if now.Before(b.overloadedUntil) {
		tokens = min(tokens, 5)
	}
	if tokens < needed-1e-6 {
		return false
	}
	b.tokens = tokens - 1
	return true
}

func (b *referenceBudget) refuse(now time.Time) {
	b.rollWindow(now)
	b.refused++
	if b.refused >= 5 && float64(b.refused) >= float64(b.sent)/50 {
		b.overloadedUntil = now.Add(2 * time.Second)
	}
}

func TestBudgetMatchesReference(t *testing.T) {
	// Guards against more extra sub-requests than 5%, or 1% in an overload, by
	// comparison with a simple implementation.
	rapid.Check(t, func(t *rapid.T) {
		b := &New().Budget
		reference := &referenceBudget{tokens: 25}
		now := start
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				count := rapid.SampledFrom([]int{1, 20, 1100}).Draw(t, "sent")
				b.AddSent(now, count)
				reference.send(now, count)
			case 1:
				if got, want := b.TakeRetry(now), reference.take(now, 1); got != want {
					t.Fatalf("retry %v, want %v with %v tokens", got, want, reference.tokens)
				}
			case 2:
				if got, want := b.TakeHedge(now), reference.take(now, 4); got != want {
					t.Fatalf("hedge %v, want %v with %v tokens", got, want, reference.tokens)
				}
			case 3:
				b.RecordRefusal(now)
				reference.refuse(now)
			case 4:
				count := rapid.SampledFrom([]int{20, 1100}).Draw(t, "again")
				want := !now.Before(reference.overloadedUntil)
				if want {
					reference.tokens = min(reference.tokens, max(reference.tokens-float64(count), -220))
				}
				if b.Borrow(now, count) != want {
					t.Fatalf("borrow %v, want %v", !want, want)
				}
			}
		}
	})
}

func TestExtraLoadIsBounded(t *testing.T) {
	// Guards against more extra sub-requests than the budget allows when several
	// goroutines take as many as they can.
	cases := []struct {
		name       string
		overloaded bool
		share      float64
		saved      int64
	}{
		{"normal load", false, 0.05, initialTokens / tokenUnit},
		{"overload", true, 0.01, initialTokens / tokenUnit},
	}
	Convey("Extra sub-requests under", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				b := &New().Budget
				var extra, sent atomic.Int64
				var group sync.WaitGroup
				for range 4 {
					group.Go(func() {
						for range 5000 {
							b.AddSent(start, 20)
							sent.Add(20)
							for range 5 {
								if c.overloaded {
									b.RecordRefusal(start)
								}
								if b.TakeHedge(start) || b.TakeRetry(start) {
									extra.Add(1)
								}
							}
						}
					})
				}
				group.Wait()
				limit := int64(c.share*float64(sent.Load())) + c.saved
				So(extra.Load(), ShouldBeLessThanOrEqualTo, limit)
				So(extra.Load(), ShouldBeGreaterThan, limit*9/10)
			})
		}
	})
}

func BenchmarkObserve(b *testing.B) {
	for _, fanOut := range []int{20, 30, 1100} {
		b.Run(fmt.Sprintf("FanOut=%d", fanOut), func(b *testing.B) {
			l := New().Route("Repairs", "Search")
			samples := make([]time.Duration, fanOut)
			for i := range samples {
				samples[i] = time.Duration(i+1) * 100 * time.Microsecond
			}
			b.ReportAllocs()
			for b.Loop() {
				l.Observe(start, samples...)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*fanOut), "ns/result")
		})
	}
}

func BenchmarkBudget(b *testing.B) {
	budget := &New().Budget
	b.ReportAllocs()
	for b.Loop() {
		budget.AddSent(start, 20)
		budget.TakeHedge(start)
	}
}
