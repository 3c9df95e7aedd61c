package target

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"
)

func TestLimiterReturnsAllSlots(t *testing.T) {
	// Guards against a slot that is lost or granted twice when a queued request is
	// cancelled while it gets the slot, or when the target restarts.
	Convey("All slots are free after requests that are cancelled at random times", t, func() {
		s := &Settings{Slots: 3, QueueLength: 8}
		limiter := newLimiter(clockwork.NewRealClock(), s, func() {})
		var wg sync.WaitGroup
		for seed := range uint64(8) {
			wg.Go(func() {
				random := rand.New(rand.NewPCG(seed, seed))
				for range 3000 {
					ctx, cancel := context.WithCancel(context.Background())
					stop := time.AfterFunc(time.Duration(random.IntN(40))*time.Microsecond, cancel)
					a, err := limiter.acquire(ctx, s, time.Now().Add(time.Minute))
					if err == nil {
						if a.inFlight < 1 || a.inFlight > s.Slots {
							t.Errorf("got %d running requests with %d slots", a.inFlight, s.Slots)
						}
						time.Sleep(time.Duration(random.IntN(20)) * time.Microsecond)
						a.release(s, true)
					}
					if seed == 0 && random.IntN(200) == 0 {
						limiter.restart(s)
					}
					stop.Stop()
					cancel()
				}
			})
		}
		wg.Wait()
		_, inUse, queued := limiter.state(s)
		So(inUse, ShouldEqual, 0)
		So(queued, ShouldEqual, 0)
	})
}

func TestLimiterDropsRequestsDuringRestart(t *testing.T) {
	// Guards against requests on connections that are still open during a restart
	// and that run or count as another overload.
	Convey("Requests during the restart are dropped", t, func() {
		clock := clockwork.NewFakeClock()
		s := &Settings{Slots: 2, ColdLimit: 1, RestartMs: 100}
		overloads := 0
		limiter := newLimiter(clock, s, func() { overloads++ })
		acquire := func() (*admission, error) {
			return limiter.acquire(context.Background(), s, clock.Now().Add(time.Second))
		}
		first, err := acquire()
		So(err, ShouldBeNil)
		_, err = acquire()
		So(errors.Is(err, errRestarted), ShouldBeTrue)
		first.release(s, true)
		for range 3 {
			_, err = acquire()
			So(errors.Is(err, errRestarted), ShouldBeTrue)
		}
		So(overloads, ShouldEqual, 1)
		clock.Advance(100 * time.Millisecond)
		_, err = acquire()
		So(err, ShouldBeNil)
		So(overloads, ShouldEqual, 1)
	})
}

func TestServiceTimes(t *testing.T) {
	// Guards against service times that are not reproducible with a seed and against
	// a wrong share of stragglers.
	Convey("Service times depend on the seed and have the configured distribution", t, func() {
		run := func(seed uint64) []time.Duration {
			s := Settings{Sigma: 0.5, ServiceTimeMs: 5, StraggleShare: 0.01, StraggleFactor: 20}
			times, sampler := make([]time.Duration, 20_000), newSampler(seed)
			for i := range times {
				times[i] = sampler.serviceTime(&s)
			}
			return times
		}
		first := run(1)
		So(slices.Equal(run(1), first), ShouldBeTrue)
		So(slices.Equal(run(2), first), ShouldBeFalse)
		slices.Sort(first)
		So(first[10_000].Seconds(), ShouldAlmostEqual, 0.005, 0.0003)
		stragglers := 0
		for _, d := range first {
			if d > 40*time.Millisecond {
				stragglers++
			}
		}
		So(stragglers, ShouldBeBetween, 130, 280)
	})
}
