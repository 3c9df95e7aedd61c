package mover

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/configurator"
)

// moverHarness is a mover with inputs that the test controls.
type moverHarness struct {
	*Mover
	clock         *clockwork.FakeClock
	mu            sync.Mutex
	configuration configurator.Configuration
	counts        referenceTally
	submitted     []string
	submitTimes   []time.Time
	// submitErr is returned by Submit; if it is nil, the statement is applied.
	submitErr error
	logs      *observer.ObservedLogs
}

func newMoverHarness(text string) *moverHarness {
	h := &moverHarness{clock: clockwork.NewFakeClockAt(epoch), configuration: configurationWith(text), counts: referenceTally{}}
	core, logs := observer.New(zap.InfoLevel)
	h.logs = logs
	current := func() configurator.Configuration {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.configuration
	}
	counts := func() []jujubegate.RouteCount {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.counts.counts()
	}
	submit := func(_ context.Context, p configurator.Proposal) error {
		h.mu.Lock()
		defer h.mu.Unlock()
		if p.After != h.configuration.Generation() {
			return &configurator.ConflictError{Generation: h.configuration.Generation()}
		}
		text := p.Statements
		h.submitted = append(h.submitted, text)
		h.submitTimes = append(h.submitTimes, h.clock.Now())
		if h.submitErr != nil {
			return h.submitErr
		}
		var err error
		h.configuration, err = apply(h.configuration, text, h.clock.Now())
		return err
	}
	h.Mover = New(h.clock, current, counts, counts,
		func() []jujubegate.TargetReport { return warmReports(current(), 2) }, submit, NewHalts())
	h.Log = zap.New(core)
	return h
}

// runTicks runs a number of ticks and adds the counts before each of them.
func (h *moverHarness) runTicks(ticks int, counts []jujubegate.RouteCount) {
	for range ticks {
		h.mu.Lock()
		h.counts.add(counts)
		h.mu.Unlock()
		h.Step(context.Background())
		h.clock.Advance(Tick)
	}
}

func (h *moverHarness) move() configurator.MoveSpec {
	m, _ := h.configuration.Move("Desk")
	return m
}

func TestMover(t *testing.T) {
	const bringIn = `BringIn Version v2 { Service = Desk; Deadline = 100s; };`
	Convey("A good version gets all the traffic, with one log line per decision", t, func() {
		h := newMoverHarness(bringIn)
		h.runTicks(200, blockCounts(0, 1))
		So(h.move().State, ShouldEqual, configurator.Done)
		So(h.submitted, ShouldHaveLength, 4)
		for i := range 3 {
			So(h.submitTimes[i+1], ShouldHappenOnOrAfter, h.submitTimes[i].Add(StepTime(h.move())))
		}
		So(h.logs.Len(), ShouldEqual, 4)
		So(h.logs.All()[0].Message, ShouldStartWith, "mover: ")
		verdict, forecast := h.Columns("Desk")
		So(verdict, ShouldEqual, "Good")
		So(forecast, ShouldEqual, "")
	})
	Convey("A bad version is halted immediately, and taken back once the store is available", t, func() {
		h := newMoverHarness(bringIn)
		h.submitErr = &configurator.UnavailableError{Cause: errors.New("outage")}
		h.runTicks(10, blockCounts(30, 1))
		So(h.Halts.Halted("Desk", "v2"), ShouldBeTrue)
		So(h.move().State, ShouldEqual, configurator.Proving)
		So(len(h.submitted), ShouldBeGreaterThan, 2)
		verdict, _ := h.Columns("Desk")
		So(verdict, ShouldStartWith, "Bad: route Search")
		h.submitErr = nil
		h.runTicks(1, nil)
		So(h.move().State, ShouldEqual, configurator.TakenBack)
		So(h.move().Reason, ShouldStartWith, "Bad: route Search, without load: errors")
		Convey("An operator brings it in again", func() {
			var err error
			h.configuration, err = apply(h.configuration, bringIn, h.clock.Now())
			So(err, ShouldBeNil)
			h.runTicks(2, nil)
			So(h.Halts.Halted("Desk", "v2"), ShouldBeFalse)
			So(h.move().State, ShouldEqual, configurator.Proving)
		})
	})
	Convey("An instance that may not submit halts bad versions but submits nothing", t, func() {
		h := newMoverHarness(bringIn)
		h.MaySubmit = func() bool { return false }
		h.runTicks(20, blockCounts(30, 1))
		So(h.Halts.Halted("Desk", "v2"), ShouldBeTrue)
		So(h.submitted, ShouldBeEmpty)
	})
	Convey("A halt of a peer takes the version back without evidence at this instance", t, func() {
		h := newMoverHarness(bringIn)
		h.Halts.Merge([]Halt{{"Desk", "v2", epoch, "Bad: seen by a peer"}})
		h.runTicks(1, nil)
		So(h.move().Reason, ShouldEqual, "Bad: seen by a peer")
	})
	results := []struct {
		name    string
		err     error
		outcome string
		// submissions is the expected number of submissions in 2 s.
		submissions int
	}{
		{"conflict", &configurator.ConflictError{Generation: 7, Author: "x"}, "Conflict", 10},
		{"unknown", &configurator.OutcomeUnknownError{Cause: errors.New("lost")}, "Unknown", 10},
		{"timeout", context.DeadlineExceeded, "Unknown", 10},
		{"refused", jujubegate.Findings{{Message: "no"}}, "Refused", 1},
	}
	for _, r := range results {
		Convey("After "+r.name+": guards against a mover that stops submitting or floods the log", t, func() {
			h := newMoverHarness(bringIn)
			h.submitErr = r.err
			h.Halts.Merge([]Halt{{"Desk", "v2", epoch, "bad"}})
			h.runTicks(10, nil)
			So(h.submitted, ShouldHaveLength, r.submissions)
			So(h.logs.Len(), ShouldEqual, 1)
			So(h.logs.All()[0].ContextMap()["Outcome"], ShouldEqual, r.outcome)
		})
	}
	Convey("No statement is submitted if the configuration changes during a decision", t, func() {
		h := newMoverHarness(bringIn)
		h.Halts.Merge([]Halt{{"Desk", "v2", epoch, "bad"}})
		current, calls := h.Configuration, 0
		h.Configuration = func() configurator.Configuration {
			// The configuration is read once for judging and twice for deciding.
			if calls++; calls == 3 {
				h.configuration, _ = apply(h.configuration, `TakeBack Version v2 { Service = Desk; Reason = "operator"; };`, epoch)
			}
			return current()
		}
		h.runTicks(2, nil)
		So(h.submitted, ShouldBeEmpty)
		So(h.move().Reason, ShouldEqual, "operator")
	})
}

func TestRun(t *testing.T) {
	// Guards against loops that outlive the context or skip ticks.
	defer goleak.VerifyNone(t)
	h := newMoverHarness(`BringIn Version v2 { Service = Desk; Deadline = 1s; };`)
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { h.Run(ctx) })
	for range 6 {
		if err := h.clock.BlockUntilContext(ctx, 2); err != nil {
			t.Fatal(err)
		}
		h.clock.Advance(Tick)
	}
	if err := h.clock.BlockUntilContext(ctx, 2); err != nil {
		t.Fatal(err)
	}
	cancel()
	done.Wait()
	m := h.move()
	if m.State != configurator.TakenBack || !strings.HasPrefix(m.Reason, "deadline ") {
		t.Errorf("after the deadline the move is %v", m)
	}
}
