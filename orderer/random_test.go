package orderer

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/storer"
)

// caseCount returns the number of random cases: JUJUBEGATE_CASES, or the default if
// that is not set.
func caseCount(defaultCount int) int {
	if n, err := strconv.Atoi(os.Getenv("JUJUBEGATE_CASES")); err == nil && n > 0 {
		return n
	}
	return defaultCount
}

const ordersPerSimulation = 20

// newID returns a UUIDv7 with the given time. uuid.NewV7 can't be used: it never goes
// back behind the latest time of the process, which is later than the time in a
// synctest bubble.
func newID(at time.Time, random *rand.Rand) uuid.UUID {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:], uint64(at.UnixMilli())<<16|uint64(random.Uint32()&0xffff))
	binary.BigEndian.PutUint64(id[8:], random.Uint64())
	id[6] = id[6]&0x0f | 0x70
	id[8] = id[8]&0x3f | 0x80
	return id
}

// observedAnswer is an answer that a caller received.
type observedAnswer struct {
	// number is the index of the request among those with the same ID, in the order
	// in which they were sent.
	number  int
	outcome jujubegate.Outcome
	reason  jujubegate.Reason
	record  Record
}

// testCaller is a caller with one order, which it sends up to six times.
type testCaller struct {
	sim      *simulation
	random   *rand.Rand
	request  Request
	observed []observedAnswer
}

// run sends the order repeatedly. It adds the calls to the group, because they may
// go on after the caller has stopped waiting.
func (c *testCaller) run(group *sync.WaitGroup) {
	for n := range 1 + c.random.IntN(6) {
		request := c.request
		request.First = n == 0 || c.sim.alwaysFirst
		if n > 0 && c.random.IntN(20) == 0 {
			request.Body = []byte("another body")
		}
		request.Timeout = time.Duration(50+c.random.IntN(1500)) * time.Millisecond
		// If the caller waits for less than the timeout, it repeats the order while the
		// previous request still runs, and never receives its answer.
		waitTime := request.Timeout + time.Second
		if c.random.IntN(4) == 0 {
			waitTime = time.Duration(c.random.IntN(200)) * time.Millisecond
		}
		instance := c.sim.instances[c.random.IntN(len(c.sim.instances))]
		ctx, cancel := context.WithCancel(context.WithValue(context.Background(), callKey{}, callInfo{number: n}))
		answered := make(chan observedAnswer, 1)
		group.Go(func() {
			v := observedAnswer{number: n, outcome: jujubegate.Ran}
			record, refusal := instance.orderer.Order(ctx, request)
			v.record = record
			if refusal != nil {
				v.outcome, v.reason = refusal.Outcome, refusal.Reason
			}
			answered <- v
		})
		select {
		case v := <-answered:
			c.observed = append(c.observed, v)
		case <-time.After(waitTime):
			if c.random.IntN(2) == 0 {
				cancel() // the caller closes the connection
			}
		}
		defer cancel()
		time.Sleep(time.Duration(c.random.IntN([]int{50, 2500}[c.random.IntN(2)])) * time.Millisecond)
	}
}

// verify checks the answers that the caller received against the recorded runs.
func (c *testCaller) verify() error {
	runs := c.sim.runs[c.request.ID]
	if len(runs) > 1 {
		return fmt.Errorf("order %s ran %d times", c.request.ID, len(runs))
	}
	for _, v := range c.observed {
		if v.reason == jujubegate.Duplicate {
			continue // says nothing about the order with the other body
		}
		switch v.outcome {
		case jujubegate.NotRun:
			if len(runs) > 0 && runs[0].call.number <= v.number {
				return fmt.Errorf("order %s was refused as not run (%s) by call %d but ran for call %d",
					c.request.ID, v.reason, v.number, runs[0].call.number)
			}
		case jujubegate.Ran:
			if len(runs) != 1 {
				return fmt.Errorf("order %s was answered but ran %d times", c.request.ID, len(runs))
			}
			want := fmt.Sprintf(`[{"Order":%q}]`, c.request.ID)
			if v.reason == "" && string(v.record.Rows) != want {
				return fmt.Errorf("order %s was answered with %s", c.request.ID, v.record.Rows)
			}
		}
	}
	return nil
}

type stats struct{ orders, ran, notRun, unknown, duplicates, started int }

// runSimulation runs orders in a random simulation and returns the errors of all
// checks. setup changes the simulation before the run.
func runSimulation(t *testing.T, seed uint64, skew time.Duration, setup func(sim *simulation), s *stats) (errs error) {
	synctest.Test(t, func(*testing.T) {
		random := rand.New(rand.NewPCG(seed, 1))
		sim := newSimulation(random, skew)
		setup(sim)
		ctx, cancel := context.WithCancel(context.Background())
		var callers, calls, repairs sync.WaitGroup
		for _, instance := range sim.instances {
			repairs.Go(func() { instance.orderer.Run(ctx) })
		}
		testCallers := make([]*testCaller, ordersPerSimulation)
		for i := range testCallers {
			own := rand.New(rand.NewPCG(seed, uint64(i)+100))
			id := newID(time.Now(), own)
			testCallers[i] = &testCaller{sim: sim, random: own, request: Request{
				Service: "Pellets", Route: "Book", Caller: "zora", ID: id, Key: id.String(), Body: []byte("body"),
			}}
			callers.Go(func() {
				time.Sleep(time.Duration(own.IntN(8000)) * time.Millisecond)
				testCallers[i].run(&calls)
			})
		}
		if sim.randomBelow(2) == 0 {
			time.Sleep(time.Duration(sim.randomBelow(8000)) * time.Millisecond)
			sim.crash(sim.instances[0])
		}
		if sim.randomBelow(3) == 0 {
			time.Sleep(time.Duration(sim.randomBelow(4000)) * time.Millisecond)
			sim.setOutage(true)
			time.Sleep(time.Duration(sim.randomBelow(4000)) * time.Millisecond)
			sim.setOutage(false)
		}
		callers.Wait()
		sim.mu.Lock()
		sim.faultsOff = true
		sim.mu.Unlock()
		time.Sleep(5 * time.Minute) // repairs finish
		for _, instance := range sim.instances {
			if n := instance.orderer.PendingRepairs(); n > 0 && !instance.crashed {
				errs = errors.Join(errs, fmt.Errorf("%d repairs are left", n))
			}
		}
		close(sim.ended)
		calls.Wait()
		cancel()
		repairs.Wait()
		synctest.Wait()
		sim.mu.Lock() // orders the reads after the writes of streams that outlive their call
		defer sim.mu.Unlock()
		for _, c := range testCallers {
			errs = errors.Join(errs, c.verify(), sim.verifyRecord(c, s))
			s.add(c)
		}
		for _, f := range sim.violations {
			errs = errors.Join(errs, errors.New(f))
		}
	})
	return errs
}

// setOutage starts or ends an outage of the store.
func (sim *simulation) setOutage(on bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.outage = on
}

// verifyRecord checks the final record of an order against its runs.
func (sim *simulation) verifyRecord(c *testCaller, s *stats) error {
	o := &Orderer{Store: sim.store.store()}
	record, refusal := o.Lookup(context.Background(), c.request.Service, c.request.ID)
	runs := len(sim.runs[c.request.ID])
	if refusal != nil {
		if refusal.Reason != NoRecord || runs > 0 {
			return fmt.Errorf("order %s ran %d times and has no record: %w", c.request.ID, runs, refusal)
		}
		return nil
	}
	switch {
	case record.State == Ran && runs != 1, record.State == NotRun && runs != 0:
		return fmt.Errorf("order %s is recorded as %s and ran %d times", c.request.ID, record.State, runs)
	case record.State == Started:
		s.started++
	}
	return nil
}

func (s *stats) add(c *testCaller) {
	s.orders++
	for _, v := range c.observed {
		switch {
		case v.reason == jujubegate.Duplicate:
			s.duplicates++
		case v.outcome == jujubegate.Ran:
			s.ran++
		case v.outcome == jujubegate.NotRun:
			s.notRun++
		default:
			s.unknown++
		}
	}
}

func TestOrdersInRandomSimulations(t *testing.T) {
	// Guards against an order that runs twice and against a false NotRun, under lost
	// answers, late writes, outages, pauses, crashes, and concurrent repeats through
	// several instances.
	var s stats
	for i := range max(caseCount(4000)/ordersPerSimulation, 1) {
		if err := runSimulation(t, uint64(i), maxClockSkew/2, func(*simulation) {}, &s); err != nil {
			t.Fatalf("seed %d: %v", i, err)
		}
	}
	t.Logf("%+v", s)
	if s.orders >= 4000 && (s.ran == 0 || s.notRun == 0 || s.unknown == 0) {
		t.Fatal("the cases did not cover all outcomes")
	}
}

func TestChecksCatchBrokenRules(t *testing.T) {
	// Negative control: the checks must detect a simulation in which one rule is
	// broken.
	cases := []struct {
		name  string
		skew  time.Duration
		setup func(sim *simulation)
	}{
		{"store ignores versions", 0, func(sim *simulation) {
			for _, instance := range sim.instances {
				put, get := instance.orderer.Store.Put, sim.get
				instance.orderer.Store.Put = func(ctx context.Context, key string, value []byte, _ int64) (storer.Object, error) {
					sim.store.mu.Lock()
					o, _ := get(key)
					sim.store.mu.Unlock()
					return put(ctx, key, value, o.Version)
				}
			}
		}},
		{"tokens are not unique", 0, func(sim *simulation) {
			for _, instance := range sim.instances {
				instance.orderer.NewToken = func() string { return "token" }
			}
		}},
		{"targets report runs as not run", 0, func(sim *simulation) { sim.falseNotRun = true }},
		{"clocks differ too much", 20 * time.Second, func(sim *simulation) { sim.faultPercent, sim.pausePercent = 0, 50 }},
		{"callers repeat orders as first ones", 0, func(sim *simulation) {
			sim.faultPercent = 40
			sim.alwaysFirst = true
		}},
	}
	for _, c := range cases {
		var err error
		n := 0
		for ; n < 2000 && err == nil; n++ {
			err = runSimulation(t, uint64(n), c.skew, c.setup, &stats{})
		}
		if err == nil {
			t.Errorf("%s: not detected", c.name)
		}
		t.Logf("%s: detected after %d simulations", c.name, n)
	}
}
