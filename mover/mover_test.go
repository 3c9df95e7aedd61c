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

// bench is a mover with inputs that the test sets.
type bench struct {
	*Mover
	clock         *clockwork.FakeClock
	mu            sync.Mutex
	configuration configurator.Configuration
	counts        model
	submitted     []string
	times         []time.Time
	// answer is the result of Submit; nil applies the statement.
	answer error
	logs   *observer.ObservedLogs
}

func newBench(text string) *bench {
	b := &bench{clock: clockwork.NewFakeClockAt(epoch), configuration: declared(text), counts: model{}}
	core, logs := observer.New(zap.InfoLevel)
	b.logs = logs
	current := func() configurator.Configuration {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.configuration
	}
	counts := func() []jujubegate.RouteCount {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.counts.counts()
	}
	submit := func(_ context.Context, p configurator.Proposal) error {
		b.mu.Lock()
		defer b.mu.Unlock()
		if p.After != b.configuration.Generation() {
			return &configurator.ConflictError{Generation: b.configuration.Generation()}
		}
		text := p.Statements
		b.submitted = append(b.submitted, text)
		b.times = append(b.times, b.clock.Now())
		if b.answer != nil {
			return b.answer
		}
		var err error
		b.configuration, err = apply(b.configuration, text, b.clock.Now())
		return err
	}
	b.Mover = New(b.clock, current, counts, counts,
		func() []jujubegate.TargetReport { return warmReports(current(), 2) }, submit, NewHalts())
	b.Log = zap.New(core)
	return b
}

// pass adds ticks with a block of answers each.
func (b *bench) pass(ticks int, counts []jujubegate.RouteCount) {
	for range ticks {
		b.mu.Lock()
		b.counts.add(counts)
		b.mu.Unlock()
		b.Step(context.Background())
		b.clock.Advance(Tick)
	}
}

func (b *bench) move() configurator.MoveSpec {
	m, _ := b.configuration.Move("Desk")
	return m
}

func TestMover(t *testing.T) {
	const bringIn = `BringIn Version v2 { Service = Desk; Deadline = 100s; };`
	Convey("A good version gets the whole traffic, with one log line per decision", t, func() {
		b := newBench(bringIn)
		b.pass(200, block(0, 1))
		So(b.move().State, ShouldEqual, configurator.Done)
		So(b.submitted, ShouldHaveLength, 4)
		for i := range 3 {
			So(b.times[i+1], ShouldHappenOnOrAfter, b.times[i].Add(StepTime(b.move())))
		}
		So(b.logs.Len(), ShouldEqual, 4)
		So(b.logs.All()[0].Message, ShouldStartWith, "mover: ")
		verdict, forecast := b.Columns("Desk")
		So(verdict, ShouldEqual, "Good")
		So(forecast, ShouldEqual, "")
	})
	Convey("A bad version is halted at once, and taken back when the store returns", t, func() {
		b := newBench(bringIn)
		b.answer = &configurator.UnavailableError{Cause: errors.New("outage")}
		b.pass(10, block(30, 1))
		So(b.Halts.Halted("Desk", "v2"), ShouldBeTrue)
		So(b.move().State, ShouldEqual, configurator.Proving)
		So(len(b.submitted), ShouldBeGreaterThan, 2)
		verdict, _ := b.Columns("Desk")
		So(verdict, ShouldStartWith, "Bad: route Search")
		b.answer = nil
		b.pass(1, nil)
		So(b.move().State, ShouldEqual, configurator.TakenBack)
		So(b.move().Reason, ShouldStartWith, "Bad: route Search, without load: errors")
		Convey("An operator brings it in again", func() {
			var err error
			b.configuration, err = apply(b.configuration, bringIn, b.clock.Now())
			So(err, ShouldBeNil)
			b.pass(2, nil)
			So(b.Halts.Halted("Desk", "v2"), ShouldBeFalse)
			So(b.move().State, ShouldEqual, configurator.Proving)
		})
	})
	Convey("An instance that is not the one to act halts but submits nothing", t, func() {
		b := newBench(bringIn)
		b.MaySubmit = func() bool { return false }
		b.pass(20, block(30, 1))
		So(b.Halts.Halted("Desk", "v2"), ShouldBeTrue)
		So(b.submitted, ShouldBeEmpty)
	})
	Convey("A halt of a peer takes the version back without own evidence", t, func() {
		b := newBench(bringIn)
		b.Halts.Merge([]Halt{{"Desk", "v2", epoch, "Bad: seen by a peer"}})
		b.pass(1, nil)
		So(b.move().Reason, ShouldEqual, "Bad: seen by a peer")
	})
	results := []struct {
		name    string
		err     error
		outcome string
		// tries is the number of proposals in 2 s.
		tries int
	}{
		{"conflict", &configurator.ConflictError{Generation: 7, Author: "x"}, "Conflict", 10},
		{"unknown", &configurator.OutcomeUnknownError{Cause: errors.New("lost")}, "Unknown", 10},
		{"timeout", context.DeadlineExceeded, "Unknown", 10},
		{"refused", jujubegate.Findings{{Message: "no"}}, "Refused", 1},
	}
	for _, r := range results {
		Convey("After "+r.name+": guards against a mover that gives up or floods the log", t, func() {
			b := newBench(bringIn)
			b.answer = r.err
			b.Halts.Merge([]Halt{{"Desk", "v2", epoch, "bad"}})
			b.pass(10, nil)
			So(b.submitted, ShouldHaveLength, r.tries)
			So(b.logs.Len(), ShouldEqual, 1)
			So(b.logs.All()[0].ContextMap()["Outcome"], ShouldEqual, r.outcome)
		})
	}
	Convey("A configuration that changes during a decision ends it", t, func() {
		b := newBench(bringIn)
		b.Halts.Merge([]Halt{{"Desk", "v2", epoch, "bad"}})
		current, calls := b.Configuration, 0
		b.Configuration = func() configurator.Configuration {
			// Judging asks once, deciding twice.
			if calls++; calls == 3 {
				b.configuration, _ = apply(b.configuration, `TakeBack Version v2 { Service = Desk; Reason = "operator"; };`, epoch)
			}
			return current()
		}
		b.pass(2, nil)
		So(b.submitted, ShouldBeEmpty)
		So(b.move().Reason, ShouldEqual, "operator")
	})
}

func TestRun(t *testing.T) {
	// Guards against a loop that outlives its context or skips ticks.
	defer goleak.VerifyNone(t)
	b := newBench(`BringIn Version v2 { Service = Desk; Deadline = 1s; };`)
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { b.Run(ctx) })
	for range 6 {
		if err := b.clock.BlockUntilContext(ctx, 2); err != nil {
			t.Fatal(err)
		}
		b.clock.Advance(Tick)
	}
	if err := b.clock.BlockUntilContext(ctx, 2); err != nil {
		t.Fatal(err)
	}
	cancel()
	done.Wait()
	m := b.move()
	if m.State != configurator.TakenBack || !strings.HasPrefix(m.Reason, "deadline ") {
		t.Errorf("after the deadline the move is %v", m)
	}
}
