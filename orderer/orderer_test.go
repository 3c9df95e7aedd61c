package orderer

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/configurator"
	"jujubegate.example/jujubegate/leaser"
	"jujubegate.example/jujubegate/querier"
	"jujubegate.example/jujubegate/storer"
)

// newFake returns an orderer over the store; runs counts the orders that reach
// the target.
func newFake(f *fakeStore, clock jujubegate.Clock, runs *atomic.Int64) *Orderer {
	o := New(f.store(), nil, clock, rate.Inf, zap.NewNop())
	o.Serving = trueAlways
	o.Place = func(_ time.Time, _ string, service jujubegate.Service, _ jujubegate.Route, _ jujubegate.Caller,
		shardOf func(int) int,
	) (querier.Placement, *jujubegate.Refusal) {
		return querier.Placement{
			Service:    configurator.ServiceSpec{Name: service, Deadline: time.Second},
			Owner:      leaser.Member{Instance: "i0"},
			SubRequest: jujubegate.SubRequest{Shard: shardOf(4), Target: "10.0.0.1:9000", Attempt: 1},
		}, nil
	}
	o.Dispatch = func(_ context.Context, _ leaser.Member, b jujubegate.Batch,
		deliver func([]jujubegate.SubResult, []jujubegate.TargetReport),
	) error {
		runs.Add(1)
		sub := b.SubRequests[0]
		deliver([]jujubegate.SubResult{{
			Shard: sub.Shard, Attempt: sub.Attempt, Target: sub.Target, Rows: []byte(`[{"Booked":true}]`),
		}}, nil)
		return nil
	}
	return o
}

func newRequest(at time.Time) Request {
	return Request{
		Service: "Pellets", Route: "Book", Caller: "zora",
		ID:  newID(at, rand.New(rand.NewPCG(uint64(at.UnixNano()), 1))),
		Key: "k1", Body: []byte(`{"Bags":3}`), First: true,
	}
}

func TestRepeatedOrders(t *testing.T) {
	// Guards against a second run, and against another caller's answer, when an
	// ID is used again.
	cases := []struct {
		name    string
		change  func(q *Request)
		reason  jujubegate.Reason
		outcome jujubegate.Outcome
		detail  string
	}{
		{"same request", func(*Request) {}, "", jujubegate.Ran, ""},
		{"another body", func(q *Request) { q.Body = []byte(`{"Bags":4}`) }, jujubegate.Duplicate, jujubegate.NotRun, "body"},
		{"another key", func(q *Request) { q.Key = "k2" }, jujubegate.Duplicate, jujubegate.NotRun, "key"},
		{"another route", func(q *Request) { q.Route = "Cancel" }, jujubegate.Duplicate, jujubegate.NotRun, "route"},
		{"another caller", func(q *Request) { q.Caller = "petko" }, jujubegate.Duplicate, jujubegate.NotRun, "caller"},
	}
	Convey("A second order with the same ID and", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				var runs atomic.Int64
				store := newFakeStore()
				clock := clockwork.NewRealClock()
				request := newRequest(clock.Now())
				first, refusal := newFake(store, clock, &runs).Order(context.Background(), request)
				So(refusal, ShouldBeNil)
				So(string(first.Rows), ShouldEqual, `[{"Booked":true}]`)
				request.First = false
				c.change(&request)
				again, refusal := newFake(store, clock, &runs).Order(context.Background(), request)
				So(runs.Load(), ShouldEqual, 1)
				if c.reason == "" {
					So(refusal, ShouldBeNil)
					So(string(again.Rows), ShouldEqual, string(first.Rows))
					return
				}
				So(refusal.Reason, ShouldEqual, c.reason)
				So(refusal.Outcome, ShouldEqual, c.outcome)
				So(refusal.Detail, ShouldContainSubstring, c.detail)
				So(again.Rows, ShouldBeNil)
			})
		}
	})
}

func TestOrderRefusals(t *testing.T) {
	// Guards against an order that runs although it was refused, and against a
	// "not run" that an earlier request with the ID may have made false.
	fails := func(o *Orderer, result *jujubegate.Refusal, err error) {
		o.Dispatch = func(_ context.Context, _ leaser.Member, b jujubegate.Batch,
			deliver func([]jujubegate.SubResult, []jujubegate.TargetReport),
		) error {
			if result != nil {
				sub := b.SubRequests[0]
				deliver([]jujubegate.SubResult{{Shard: sub.Shard, Attempt: 1, Target: sub.Target, Refusal: result}}, nil)
			}
			return err
		}
	}
	cases := []struct {
		name   string
		change func(o *Orderer, f *fakeStore, q *Request)
		reason jujubegate.Reason
		// first and later are the outcomes of a first request and of a repeat.
		first, later jujubegate.Outcome
		state        State // of the record, empty for none
	}{
		{"random UUID", func(_ *Orderer, _ *fakeStore, q *Request) { q.ID = uuid.New() }, jujubegate.BadRequest, jujubegate.NotRun, jujubegate.NotRun, ""},
		{"ID of yesterday", func(_ *Orderer, _ *fakeStore, q *Request) { *q = withTime(*q, -25*time.Hour) }, jujubegate.Expired, jujubegate.NotRun, jujubegate.Unknown, ""},
		{"ID from the future", func(_ *Orderer, _ *fakeStore, q *Request) { *q = withTime(*q, 2*time.Minute) }, jujubegate.BadRequest, jujubegate.NotRun, jujubegate.Unknown, ""},
		{"no lease", func(o *Orderer, _ *fakeStore, _ *Request) { o.Serving = func(time.Time) bool { return false } }, jujubegate.Isolated, jujubegate.NotRun, jujubegate.Unknown, ""},
		{"store down", func(_ *Orderer, f *fakeStore, _ *Request) {
			f.fault = func(string, string) (bool, error) { return false, storer.ErrUnavailable }
		}, jujubegate.StoreDown, jujubegate.NotRun, jujubegate.Unknown, ""},
		{"too many writes", func(o *Orderer, _ *fakeStore, _ *Request) { o.WriteLimiter = rate.NewLimiter(1, 1) }, jujubegate.Overloaded, jujubegate.NotRun, jujubegate.Unknown, ""},
		{"lease lost while recording", func(o *Orderer, _ *fakeStore, _ *Request) {
			calls := 0
			o.Serving = func(time.Time) bool { calls++; return calls == 1 }
		}, jujubegate.Isolated, jujubegate.NotRun, jujubegate.NotRun, NotRun},
		{"deadline passed while recording", func(o *Orderer, f *fakeStore, q *Request) {
			q.Timeout = 20 * time.Millisecond
			f.fault = func(method, _ string) (bool, error) {
				if method == "Put" {
					time.Sleep(30 * time.Millisecond)
				}
				return true, nil
			}
		}, jujubegate.DeadlinePassed, jujubegate.NotRun, jujubegate.NotRun, NotRun},
		{"target sheds", func(o *Orderer, _ *fakeStore, _ *Request) {
			fails(o, &jujubegate.Refusal{Reason: jujubegate.Shed, Outcome: jujubegate.NotRun}, nil)
		}, jujubegate.Shed, jujubegate.NotRun, jujubegate.NotRun, NotRun},
		{"target fails", func(o *Orderer, _ *fakeStore, _ *Request) {
			fails(o, &jujubegate.Refusal{Reason: jujubegate.TargetError, Outcome: jujubegate.Ran}, nil)
		}, jujubegate.TargetError, jujubegate.Ran, jujubegate.Ran, Ran},
		{"answer lost", func(o *Orderer, _ *fakeStore, _ *Request) { fails(o, nil, errors.New("connection reset")) }, jujubegate.TargetDown, jujubegate.Unknown, jujubegate.Unknown, Unknown},
	}
	Convey("An order is refused with", t, func() {
		for _, c := range cases {
			for _, first := range []bool{true, false} {
				name := c.name + map[bool]string{true: ", first request", false: ", repeat"}[first]
				Convey(name, func() {
					var runs atomic.Int64
					f := newFakeStore()
					clock := clockwork.NewRealClock()
					o := newFake(f, clock, &runs)
					request := newRequest(clock.Now())
					request.First = first
					c.change(o, f, &request)
					_, refusal := o.Order(context.Background(), request)
					So(refusal, ShouldNotBeNil)
					So(refusal.Reason, ShouldEqual, c.reason)
					want := c.later
					if first {
						want = c.first
					}
					So(refusal.Outcome, ShouldEqual, want)
					So(runs.Load(), ShouldEqual, 0)
					f.fault = nil
					record, refusal := o.Lookup(context.Background(), request.Service, request.ID)
					So(refusal == nil, ShouldEqual, c.state != "")
					So(record.State, ShouldEqual, c.state)
				})
			}
		}
	})
}

// withTime returns the request with an ID of another time.
func withTime(q Request, offset time.Duration) Request {
	q.ID = newID(time.Now().Add(offset), rand.New(rand.NewPCG(1, 1)))
	return q
}

func TestOrderAgainAfterNotRun(t *testing.T) {
	// Guards against an order that can never be sent again after a refusal, and
	// against one that is started again by a request from before the refusal.
	cases := []struct {
		name    string
		after   time.Duration
		outcome jujubegate.Outcome
		runs    int64
	}{
		{"at once", 0, jujubegate.NotRun, 0},
		{"within the difference of clocks", 800 * time.Millisecond, jujubegate.Unknown, 0},
		{"later", 1100 * time.Millisecond, jujubegate.Ran, 1},
	}
	Convey("An order that did not run is sent again", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				var runs atomic.Int64
				f := newFakeStore()
				clock := clockwork.NewFakeClockAt(time.Now())
				o := newFake(f, clock, &runs)
				request := newRequest(clock.Now())
				lease := false
				o.Serving = func(time.Time) bool { lease = !lease; return lease }
				_, refusal := o.Order(context.Background(), request)
				So(refusal.Outcome, ShouldEqual, jujubegate.NotRun)
				So(refusal.RetryAfter, ShouldBeGreaterThan, 0)
				o.Serving = trueAlways
				clock.Advance(c.after)
				request.First = false
				record, refusal := o.Order(context.Background(), request)
				So(runs.Load(), ShouldEqual, c.runs)
				if c.outcome == jujubegate.Ran {
					So(refusal, ShouldBeNil)
					So(record.State, ShouldEqual, Ran)
					return
				}
				So(refusal.Outcome, ShouldEqual, c.outcome)
			})
		}
	})
}

func TestOrderOfCrashedCreator(t *testing.T) {
	// Guards against a second send when the creator's fate is unknown.
	Convey("An order that was started and never finished", t, func() {
		var runs atomic.Int64
		f := newFakeStore()
		clock := clockwork.NewRealClock()
		o := newFake(f, clock, &runs)
		request := newRequest(clock.Now())
		crashed := &call{o: o, request: &request, key: key(request.Service, request.ID), started: clock.Now()}
		_, version, refusal := crashed.claim(context.Background())
		So(refusal, ShouldBeNil)
		So(version, ShouldBeGreaterThan, 0)
		request.First = false
		_, refusal = o.Order(context.Background(), request)
		So(refusal.Reason, ShouldEqual, InProgress)
		So(refusal.Outcome, ShouldEqual, jujubegate.Unknown)
		So(runs.Load(), ShouldEqual, 0)
	})
}

func TestLargeAnswers(t *testing.T) {
	// Guards against records that exceed the store's limit, and against an
	// answer that the caller does not get because it is not recorded.
	Convey("A large answer", t, func() {
		var runs atomic.Int64
		f := newFakeStore()
		clock := clockwork.NewRealClock()
		o := newFake(f, clock, &runs)
		rows := []byte(`["` + strings.Repeat("x", maxRecordedRows) + `"]`)
		o.Dispatch = func(_ context.Context, _ leaser.Member, b jujubegate.Batch,
			deliver func([]jujubegate.SubResult, []jujubegate.TargetReport),
		) error {
			sub := b.SubRequests[0]
			deliver([]jujubegate.SubResult{{Shard: sub.Shard, Attempt: 1, Target: sub.Target, Rows: rows}}, nil)
			return nil
		}
		request := newRequest(clock.Now())
		record, refusal := o.Order(context.Background(), request)
		So(refusal, ShouldBeNil)
		So(bytes.Equal(record.Rows, rows), ShouldBeTrue)
		record, refusal = o.Lookup(context.Background(), request.Service, request.ID)
		So(refusal, ShouldBeNil)
		So(record.State, ShouldEqual, Ran)
		So(record.RowsOmitted, ShouldBeTrue)
		So(len(f.objects[key(request.Service, request.ID)].Value), ShouldBeLessThan, 1000)
	})
}

func TestRepairs(t *testing.T) {
	// Guards against a record that stays unfinished after an outage, and
	// against memory that grows with its length.
	Convey("A final write that fails", t, func() {
		var runs atomic.Int64
		f := newFakeStore()
		clock := clockwork.NewRealClock()
		o := newFake(f, clock, &runs)
		puts := 0
		f.fault = func(method, _ string) (bool, error) {
			if method == "Put" {
				puts++
			}
			return puts < 2, map[bool]error{true: nil, false: storer.ErrUnavailable}[puts < 2]
		}
		request := newRequest(clock.Now())
		_, refusal := o.Order(context.Background(), request)
		So(refusal, ShouldBeNil)
		So(o.PendingRepairs(), ShouldEqual, 1)
		So(o.RepairOnce(context.Background()), ShouldBeFalse)
		So(o.PendingRepairs(), ShouldEqual, 1)
		f.fault = nil
		So(o.RepairOnce(context.Background()), ShouldBeTrue)
		So(o.PendingRepairs(), ShouldEqual, 0)
		record, refusal := o.Lookup(context.Background(), request.Service, request.ID)
		So(refusal, ShouldBeNil)
		So(record.State, ShouldEqual, Ran)
	})
	Convey("The queue is bounded", t, func() {
		q := newRepairQueue()
		rows := make([]byte, maxRecordedRows)
		taken := 0
		for q.put(pendingRecord{record: Record{Rows: rows}}) {
			taken++
		}
		So(taken, ShouldEqual, maxRepairs)
		So(q.rows, ShouldEqual, maxRepairRows)
	})
}

func TestOrdererOfQuerier(t *testing.T) {
	// Guards against an orderer that keeps the function fields which the querier
	// had when the orderer was built.
	Convey("An orderer follows its querier", t, func() {
		clock := clockwork.NewRealClock()
		q := querier.New("dc0", clock, rand.New(rand.NewPCG(1, 2)), zap.NewNop())
		o := New(newFakeStore().store(), q, clock, 100, zap.NewNop())
		_, refusal := o.Order(context.Background(), newRequest(clock.Now()))
		So(refusal.Reason, ShouldEqual, jujubegate.Isolated)
		q.Serving = trueAlways
		_, refusal = o.Order(context.Background(), newRequest(clock.Now()))
		So(refusal.Reason, ShouldEqual, jujubegate.UnknownService)
		So(refusal.Outcome, ShouldEqual, jujubegate.NotRun)
		sent := false
		q.Dispatch = func(context.Context, leaser.Member, jujubegate.Batch,
			func([]jujubegate.SubResult, []jujubegate.TargetReport),
		) error {
			sent = true
			return nil
		}
		So(o.Dispatch(context.Background(), leaser.Member{}, jujubegate.Batch{}, nil), ShouldBeNil)
		So(sent, ShouldBeTrue)
	})
}
