package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/jonboulle/clockwork"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/configurator"
	"jujubegate.example/jujubegate/dialer"
	"jujubegate.example/jujubegate/limiter"
)

const randomTargets = 4

// simulation runs a few targets in virtual time and collects failed checks.
type simulation struct {
	mu      sync.Mutex
	random  *rand.Rand
	targets [randomTargets]*simTarget
	// ran counts the executions of each order.
	ran      map[string]int
	failures []string
	// owned is false while the instance doesn't own the targets.
	owned bool
}

// simTarget is a target that sheds all but one request while it is cold, and
// none while it is warm.
type simTarget struct {
	// coldLeft is the number of answers until the target is warm.
	running, coldLeft int
	// coldSeenAt is when the owner saw the first sign of the current cold start;
	// zero if it has seen none.
	coldSeenAt time.Time
	// overBound counts the requests beyond the first that arrived after the
	// owner had seen a sign of the cold start.
	overBound int
	events    Events
}

func (t *simTarget) noteCold() {
	if t.coldSeenAt.IsZero() {
		t.coldSeenAt = time.Now()
	}
}

func (s *simulation) fail(format string, arguments ...any) {
	s.failures = append(s.failures, fmt.Sprintf(format, arguments...))
}

func randomAddress(i int) jujubegate.Address { return jujubegate.Address(fmt.Sprintf("t%d:1", i)) }

func (s *simulation) open(t jujubegate.Target, _ int, e Events) Link {
	target := &simTarget{events: e, coldLeft: 20, coldSeenAt: time.Now()}
	s.targets[t.Shard] = target
	return Link{
		Send:     func(ctx context.Context, r dialer.Request) dialer.Result { return s.send(ctx, target, r) },
		SetBound: func(int, int) {}, SetConnections: func(int) {}, Close: func() {},
	}
}

// send simulates one request to a target.
func (s *simulation) send(ctx context.Context, target *simTarget, r dialer.Request) dialer.Result {
	if refusal := r.Permit(); refusal != nil {
		return dialer.Result{Refusal: refusal}
	}
	s.mu.Lock()
	if !s.owned {
		s.fail("sent without ownership")
	}
	target.running++
	cold := target.coldLeft > 0
	if cold && target.running > 1 {
		target.running--
		if !target.coldSeenAt.IsZero() && time.Now().After(target.coldSeenAt) {
			target.overBound++
		}
		s.mu.Unlock()
		time.Sleep(time.Millisecond)
		s.mu.Lock()
		target.noteCold()
		s.mu.Unlock()
		return dialer.Result{Refusal: newRefusal(jujubegate.Shed, ""), Replied: true, ServiceTime: time.Millisecond}
	}
	if r.Order {
		s.ran[r.RequestID]++
	}
	took := time.Duration(7+s.random.IntN(6)) * time.Millisecond
	if cold {
		took *= 8
	}
	if s.random.IntN(100) == 0 {
		took *= 20
	}
	draw := s.random.IntN(200)
	ignoresCancel := s.random.IntN(3) == 0
	s.mu.Unlock()
	started := time.Now()
	closed := make(chan struct{})
	end := func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		target.running--
		if cold {
			target.coldLeft = max(target.coldLeft-1, 0)
			if ctx.Err() == nil || errors.Is(context.Cause(ctx), dialer.ErrDeadline) {
				target.noteCold()
			}
		}
		close(closed)
	}
	select {
	case <-time.After(took):
		end()
	case <-ctx.Done():
		if ignoresCancel {
			go func() {
				// The bound holds only for targets that end a cancelled request within the grace period.
				time.Sleep(min(max(took-time.Since(started), 0), limiter.DefaultGrace-time.Millisecond))
				end()
			}()
		} else {
			end()
		}
		reason := jujubegate.Cancelled
		if errors.Is(context.Cause(ctx), dialer.ErrDeadline) {
			reason = jujubegate.DeadlinePassed
		}
		return dialer.Result{
			Refusal: &jujubegate.Refusal{Reason: reason}, Closed: closed, ServiceTime: time.Since(started),
		}
	}
	result := dialer.Result{Replied: true, ServiceTime: time.Since(started)}
	switch draw {
	case 0:
		result.Refusal = &jujubegate.Refusal{Reason: jujubegate.BadAnswer}
	case 1:
		result.Refusal = &jujubegate.Refusal{Reason: jujubegate.TargetError, Outcome: jujubegate.Ran}
	case 2:
		result = dialer.Result{Refusal: &jujubegate.Refusal{Reason: jujubegate.TargetDown}, ServiceTime: time.Since(started)}
	}
	return result
}

// reportLoads delivers load reports once a second, and turns targets cold
// without warning.
func (s *simulation) reportLoads(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(time.Second)
		for _, target := range s.targets {
			s.mu.Lock()
			if target.coldLeft == 0 && s.random.IntN(5) == 0 {
				target.coldLeft, target.coldSeenAt = 20, time.Time{}
			}
			state := jujubegate.Warm
			if target.coldLeft > 0 {
				state = jujubegate.Cold
				target.noteCold()
			}
			s.mu.Unlock()
			target.events.Loaded(dialer.Load{State: state}, nil)
		}
	}
}

// query runs one batch and checks its results.
func (s *simulation) query(d *Dispatcher, id string) {
	s.mu.Lock()
	order, timeout, cancelled := s.random.IntN(5) == 0, s.random.IntN(400), s.random.IntN(4) == 0
	b := jujubegate.Batch{
		QueryID: id, Service: "Desk", Caller: jujubegate.Caller(id[len(id)-1:]), Priority: 1 + s.random.IntN(3),
		Deadline: time.Now().Add(time.Duration(timeout) * time.Millisecond), Order: order,
	}
	if order {
		b.SubRequests = []jujubegate.SubRequest{{Target: randomAddress(s.random.IntN(randomTargets)), Attempt: 1}}
	} else {
		for i := range randomTargets {
			b.SubRequests = append(b.SubRequests, jujubegate.SubRequest{Shard: i, Target: randomAddress(i), Attempt: 1})
		}
	}
	cancelAfter := time.Duration(s.random.IntN(timeout+1)) * time.Millisecond
	s.mu.Unlock()
	if cancelled {
		time.AfterFunc(cancelAfter, func() { d.Cancel(id, nil) })
	}
	seen := map[jujubegate.Address]int{}
	d.Do(context.Background(), b, func(results []jujubegate.SubResult) {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, r := range results {
			seen[r.Target]++
			if order && r.Refusal != nil && r.Refusal.Outcome == jujubegate.NotRun && s.ran[id] > 0 {
				s.fail("order %s ran and was reported as not run: %v", id, r.Refusal)
			}
		}
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sub := range b.SubRequests {
		if seen[sub.Target] != 1 {
			s.fail("query %s has %d results of %s", id, seen[sub.Target], sub.Target)
		}
	}
	if s.ran[id] > 1 {
		s.fail("order %s ran %d times", id, s.ran[id])
	}
}

// simulate runs queries at random times for a length of virtual time. It
// returns the failed checks, the number of requests above the bound of cold
// targets, and the number of requests sent.
func simulate(seed uint64, coldLimit int, length time.Duration) (failures []string, overBound, sent int) {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 2)), ran: map[string]int{}, owned: true}
	d := New(Settings{
		MaySend: func(jujubegate.Address, time.Time) bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.owned
		},
		Allowed: func(jujubegate.Target) bool { return true },
		Open:    s.open, Clock: clockwork.NewRealClock(),
		Count: func(name string, n int64) {
			if name == CountSent {
				s.mu.Lock()
				sent += int(n)
				s.mu.Unlock()
			}
		},
		Violation: func(name, detail string) { s.failures = append(s.failures, name+": "+detail) },
	})
	var targets []jujubegate.Target
	for i := range randomTargets {
		targets = append(targets, jujubegate.Target{Address: randomAddress(i), Service: "Desk", Shard: i})
	}
	d.Update(targets, []configurator.ServiceSpec{{Name: "Desk", Slots: 3, ColdLimit: coldLimit, Connections: 25}})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { s.reportLoads(ctx) })
	until := time.Now().Add(length)
	for i := 0; time.Now().Before(until); i++ {
		running.Go(func() { s.query(d, fmt.Sprintf("q%d", i)) })
		s.mu.Lock()
		pause := time.Duration(s.random.ExpFloat64() * float64(5*time.Millisecond))
		s.owned = s.random.IntN(50) != 0
		s.mu.Unlock()
		time.Sleep(pause)
	}
	cancel()
	running.Wait()
	d.Close(context.Background())
	if n := d.InFlight(); n != 0 {
		s.fail("%d in flight after the close", n)
	}
	for _, target := range s.targets {
		overBound += target.overBound
	}
	return s.failures, overBound, sent
}

func TestRandomisedSoak(t *testing.T) {
	// Guards against lost or duplicate results, orders that run twice, orders
	// that ran and are reported as not run, and load above the cold limit.
	seeds := 3
	if os.Getenv("JUJUBEGATE_SOAK") != "" {
		seeds = 100
	}
	first, _ := strconv.ParseUint(os.Getenv("JUJUBEGATE_SEED"), 10, 64)
	run := func(seed uint64, coldLimit int) (failures []string, overBound, sent int) {
		synctest.Test(t, func(*testing.T) { failures, overBound, sent = simulate(seed, coldLimit, 30*time.Second) })
		return failures, overBound, sent
	}
	Convey("Random queries to targets that turn cold without warning", t, func() {
		for seed := first; seed < first+uint64(seeds); seed++ {
			failures, overBound, sent := run(seed, 1)
			So(failures, ShouldBeEmpty)
			So(overBound, ShouldEqual, 0)
			So(sent, ShouldBeGreaterThan, 1000)
		}
	})
	Convey("Negative control: without the ramp the bound is exceeded", t, func() {
		_, overBound, _ := run(first, 3)
		So(overBound, ShouldBeGreaterThan, 0)
	})
}
