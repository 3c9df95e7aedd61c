package dispatcher

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/configurator"
	"jujubegate.example/jujubegate/dialer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestPermissionIsCheckedBeforeEachSend(t *testing.T) {
	// Guards against a send after the permission was lost between the decision
	// and the send: the owner was paused, or the data centre was taken out.
	deny := []struct {
		name   string
		deny   func(*permission)
		reason jujubegate.Reason
	}{
		{"lost ownership", func(p *permission) { p.owned.Store(false) }, jujubegate.NotOwner},
		{"out of service", func(p *permission) { p.allowed.Store(false) }, jujubegate.OutOfService},
	}
	Convey("A target that may not receive work", t, func() {
		for _, c := range deny {
			s := newStub()
			d, p := newOwner(s)
			Convey(c.name+" before the batch", func() {
				c.deny(p)
				r := (<-do(d, context.Background(), batch("q", time.Second)))[0].Refusal
				So(r.Reason, ShouldEqual, c.reason)
				So(r.Outcome, ShouldEqual, jujubegate.NotRun)
				So(s.sends.Load(), ShouldEqual, 0)
			})
			Convey(c.name+" while it waits", func() {
				first := do(d, context.Background(), batch("q1", time.Second))
				request := <-s.sent
				second := do(d, context.Background(), batch("q2", time.Second))
				awaitQueued(d)
				c.deny(p)
				request.answer <- goodResult
				So((<-first)[0].Refusal, ShouldBeNil)
				So((<-second)[0].Refusal.Reason, ShouldEqual, c.reason)
				So(s.sends.Load(), ShouldEqual, 1)
			})
			Convey(c.name+" at an update", func() {
				first := do(d, context.Background(), batch("q1", time.Second))
				request := <-s.sent
				second := do(d, context.Background(), batch("q2", time.Second))
				awaitQueued(d)
				c.deny(p)
				d.Update([]jujubegate.Target{{Address: address, Service: "Desk"}}, []configurator.ServiceSpec{spec})
				So((<-second)[0].Refusal.Reason, ShouldEqual, c.reason)
				request.answer <- goodResult
				<-first
			})
			Reset(func() { d.Close(context.Background()) })
		}
	})
}

func TestCancelAndDeadline(t *testing.T) {
	// Guards against an order that is cancelled, a wrong outcome, and
	// sub-requests that stay queued or running beyond their deadline.
	cases := []struct {
		name  string
		order bool
		// queued makes the sub-request wait behind another one.
		queued   bool
		deadline time.Duration
		stop     func(d *Dispatcher, cancel func())
		answer   bool
		reason   jujubegate.Reason
		outcome  jujubegate.Outcome
	}{
		{"cancelled, queued", false, true, time.Second, func(d *Dispatcher, _ func()) { d.Cancel("q", nil) }, false, jujubegate.Cancelled, jujubegate.NotRun},
		{"cancelled, queued order", true, true, time.Second, func(d *Dispatcher, _ func()) { d.Cancel("q", nil) }, false, jujubegate.Cancelled, jujubegate.NotRun},
		{"cancelled, running", false, false, time.Second, func(d *Dispatcher, _ func()) { d.Cancel("q", nil) }, false, jujubegate.Cancelled, jujubegate.Unknown},
		{"cancelled by attempt", false, false, time.Second, func(d *Dispatcher, _ func()) {
			d.Cancel("q", []jujubegate.SubRequest{{Target: address, Attempt: 1}})
		}, false, jujubegate.Cancelled, jujubegate.Unknown},
		{"cancelled, other attempt", false, false, time.Second, func(d *Dispatcher, _ func()) {
			d.Cancel("q", []jujubegate.SubRequest{{Target: address, Attempt: 2}})
		}, true, "", 0},
		{"cancelled, other query", false, false, time.Second, func(d *Dispatcher, _ func()) { d.Cancel("p", nil) }, true, "", 0},
		{"cancelled, running order", true, false, time.Second, func(d *Dispatcher, _ func()) { d.Cancel("q", nil) }, true, "", 0},
		{"context ended, queued", false, true, time.Second, func(_ *Dispatcher, cancel func()) { cancel() }, false, jujubegate.Cancelled, jujubegate.NotRun},
		{"context ended, running", false, false, time.Second, func(_ *Dispatcher, cancel func()) { cancel() }, false, jujubegate.Cancelled, jujubegate.Unknown},
		{"context ended, running order", true, false, time.Second, func(_ *Dispatcher, cancel func()) { cancel() }, true, "", 0},
		{"deadline, queued", false, true, 150 * time.Millisecond, nil, false, jujubegate.DeadlinePassed, jujubegate.NotRun},
		{"deadline, running", false, false, 150 * time.Millisecond, nil, false, jujubegate.DeadlinePassed, jujubegate.Unknown},
		{"deadline, running order, late answer", true, false, 150 * time.Millisecond, nil, true, "", 0},
		{"deadline, running order, no answer", true, false, 150 * time.Millisecond, nil, false, jujubegate.DeadlinePassed, jujubegate.Unknown},
	}
	Convey("A sub-request", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				s := newStub()
				d, _ := newOwner(s)
				var ahead *stubRequest
				var first <-chan []jujubegate.SubResult
				if c.queued {
					first = do(d, context.Background(), batch("ahead", time.Second))
					ahead = <-s.sent
				}
				b := batch("q", c.deadline)
				b.Order = c.order
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				done := do(d, ctx, b)
				var request *stubRequest
				if c.queued {
					awaitQueued(d)
				} else {
					request = <-s.sent
				}
				if c.stop != nil {
					c.stop(d, cancel)
				}
				if c.answer {
					// Wait until a cancellation would have arrived, or until the deadline has passed.
					wait := 50 * time.Millisecond
					if c.stop == nil {
						wait += time.Until(request.Deadline)
					}
					time.Sleep(wait)
					request.answer <- goodResult
				}
				results := <-done
				So(results, ShouldHaveLength, 1)
				if c.reason == "" {
					So(results[0].Refusal, ShouldBeNil)
				} else {
					So(results[0].Refusal.Reason, ShouldEqual, c.reason)
					So(results[0].Refusal.Outcome, ShouldEqual, c.outcome)
				}
				if request != nil && c.order {
					So(context.Cause(request.ctx), ShouldNotEqual, dialer.ErrDeadline)
				}
				if request != nil && c.order && !c.answer {
					// The result was delivered, but the order still runs and holds its slot.
					So(request.ctx.Err(), ShouldBeNil)
					So(d.InFlight(), ShouldEqual, 1)
					request.answer <- goodResult
				}
				if ahead != nil {
					ahead.answer <- goodResult
					<-first
				}
				So(s.sends.Load(), ShouldEqual, 1)
				d.Close(context.Background())
			})
		}
	})
}

func TestOwnershipChanges(t *testing.T) {
	// Guards against interrupted requests, leaked connections, and a target
	// that is added again and receives more requests than its limit.
	Convey("A target with a request in flight and one that waits is removed", t, func() {
		s := newStub()
		d, _ := newOwner(s)
		first := do(d, context.Background(), batch("q1", time.Second))
		request := <-s.sent
		second := do(d, context.Background(), batch("q2", time.Second))
		awaitQueued(d)
		d.Update(nil, nil)
		So((<-second)[0].Refusal.Reason, ShouldEqual, jujubegate.NotOwner)
		So((<-do(d, context.Background(), batch("q3", time.Second)))[0].Refusal.Reason, ShouldEqual, jujubegate.NotOwner)
		So(d.InFlight(), ShouldEqual, 1)
		So(d.InFlightAt(address), ShouldEqual, 1)
		So(s.closed.Load(), ShouldEqual, 0)
		Convey("its request finishes and its connections close", func() {
			request.answer <- goodResult
			So((<-first)[0].Refusal, ShouldBeNil)
			for s.closed.Load() == 0 {
				time.Sleep(time.Millisecond)
			}
			So(d.InFlight(), ShouldEqual, 0)
		})
		Convey("if it is added again, its request still counts", func() {
			d.Update([]jujubegate.Target{{Address: address, Service: "Desk"}}, []configurator.ServiceSpec{spec})
			report := d.Reports()[0]
			So(report.State, ShouldEqual, jujubegate.Cold)
			So(report.InFlight, ShouldEqual, report.Limit)
			request.answer <- goodResult
			<-first
			So(s.closed.Load(), ShouldEqual, 0)
		})
		d.Close(context.Background())
		So(s.closed.Load(), ShouldEqual, 1)
	})
	Convey("An updated declaration", t, func() {
		s := newStub()
		d, _ := newOwner(s)
		s.warm(d)
		So(d.Reports()[0].Limit, ShouldEqual, 2)
		same := jujubegate.Target{Address: address, Service: "Desk"}
		Convey("keeps a warm target warm", func() {
			d.Update([]jujubegate.Target{same}, []configurator.ServiceSpec{{Slots: 3, Name: "Desk", Connections: 9, ColdLimit: 1}})
			So(d.Reports()[0].Limit, ShouldEqual, 3)
			So(s.bounds.Load(), ShouldEqual, 9)
		})
		Convey("of another version starts cold", func() {
			same.Version = "v2"
			d.Update([]jujubegate.Target{same}, []configurator.ServiceSpec{spec})
			So(d.Reports()[0].State, ShouldEqual, jujubegate.Cold)
			So(s.bounds.Load(), ShouldEqual, 2)
		})
		d.Close(context.Background())
	})
}

func TestDrainingTarget(t *testing.T) {
	// Guards against new requests to a draining target.
	cases := []struct {
		name  string
		drain func(d *Dispatcher, s *stub, running *stubRequest)
	}{
		{"by its own refusal", func(_ *Dispatcher, _ *stub, r *stubRequest) {
			r.answer <- dialer.Result{Refusal: newRefusal(jujubegate.TargetDraining, ""), Replied: true}
		}},
		{"by its load report", func(_ *Dispatcher, s *stub, r *stubRequest) {
			s.events.Loaded(dialer.Load{State: jujubegate.Draining}, nil)
			r.answer <- goodResult
		}},
		{"by a call of Drain", func(d *Dispatcher, _ *stub, r *stubRequest) {
			d.Drain(address)
			r.answer <- goodResult
		}},
	}
	Convey("A target that is draining", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				s := newStub()
				d, _ := newOwner(s)
				first := do(d, context.Background(), batch("q1", time.Second))
				request := <-s.sent
				second := do(d, context.Background(), batch("q2", time.Second))
				awaitQueued(d)
				c.drain(d, s, request)
				<-first
				So((<-second)[0].Refusal.Reason, ShouldEqual, jujubegate.TargetDraining)
				So((<-do(d, context.Background(), batch("q3", time.Second)))[0].Refusal.Reason, ShouldEqual, jujubegate.TargetDraining)
				So(d.Reports()[0].State, ShouldEqual, jujubegate.Draining)
				So(s.sends.Load(), ShouldEqual, 1)
				d.Close(context.Background())
			})
		}
	})
}

func TestCloseWaitsForOrders(t *testing.T) {
	// Guards against a planned shutdown that interrupts a running order.
	Convey("Close", t, func() {
		s := newStub()
		d, _ := newOwner(s)
		running := do(d, context.Background(), orderBatch("q", time.Second))
		request := <-s.sent
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		closed := make(chan struct{})
		go func() {
			d.Close(ctx)
			close(closed)
		}()
		for {
			r := (<-do(d, context.Background(), batch("late", 10*time.Millisecond)))[0].Refusal
			if r.Reason == jujubegate.Leaving {
				break
			}
		}
		select {
		case <-closed:
			t.Error("closed with an order in flight")
		case <-time.After(20 * time.Millisecond):
		}
		request.answer <- goodResult
		So((<-running)[0].Refusal, ShouldBeNil)
		<-closed
		So(s.closed.Load(), ShouldEqual, 1)
	})
}

func TestNewTargetUsesNormalTimeOfService(t *testing.T) {
	// Guards against a new target whose slow answers while cold are taken as
	// its normal service time.
	Convey("A target that is added later", t, func() {
		s, later := newStub(), newStub()
		d, _ := newOwner(s)
		s.warm(d)
		s.events.Loaded(dialer.Load{State: jujubegate.Warm}, nil)
		d.settings.Open = later.open
		added := jujubegate.Target{Address: "b:1", Service: "Desk", Shard: 1}
		d.Update([]jujubegate.Target{{Address: address, Service: "Desk"}, added}, []configurator.ServiceSpec{spec})
		So(d.targets["b:1"].limiter.NormalTime(), ShouldEqual, d.targets[address].limiter.NormalTime())
		So(d.targets["b:1"].limiter.NormalTime(), ShouldBeGreaterThan, 0)
		So(d.Reports()[1].State, ShouldEqual, jujubegate.Cold)
		d.Close(context.Background())
	})
}

func TestLogLines(t *testing.T) {
	// Guards against decisions and state changes that are not logged.
	Convey("The dispatcher logs", t, func() {
		core, lines := observer.New(zap.DebugLevel)
		s := newStub()
		d, _ := newOwner(s)
		d.settings.Log = zap.New(core)
		s.warm(d)
		s.events.Restarted()
		d.Close(context.Background())
		So(lines.FilterMessage("dispatcher: placement decision").FilterLevelExact(zap.DebugLevel).Len(), ShouldBeGreaterThan, 0)
		changes := lines.FilterMessage("dispatcher: target state changed").FilterLevelExact(zap.InfoLevel).All()
		So(changes, ShouldHaveLength, 2)
		So(changes[0].ContextMap()["To"], ShouldEqual, "Warm")
		So(changes[1].ContextMap()["To"], ShouldEqual, "Cold")
		So(changes[1].ContextMap()["Why"], ShouldEqual, "restarted")
	})
}

func TestReportsSinceMark(t *testing.T) {
	// Guards against unchanged reports that are returned again, and against
	// changed ones that are missed.
	Convey("Reports since a mark", t, func() {
		s := newStub()
		d, _ := newOwner(s)
		reports, mark := d.ReportsSince(0)
		So(reports, ShouldHaveLength, 1)
		So(reports[0].State, ShouldEqual, jujubegate.Cold)
		reports, mark = d.ReportsSince(mark)
		So(reports, ShouldBeEmpty)
		s.warm(d)
		reports, mark = d.ReportsSince(mark)
		So(reports, ShouldHaveLength, 1)
		So(reports[0].State, ShouldEqual, jujubegate.Warm)
		So(reports[0].Snapshots, ShouldResemble, []jujubegate.Snapshot{7})
		reports, _ = d.ReportsSince(mark)
		So(reports, ShouldBeEmpty)
		So(d.Reports(), ShouldHaveLength, 1)
		d.Close(context.Background())
	})
}
