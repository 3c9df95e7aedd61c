package target_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/standin/target"
)

func TestAnswersAndRefusals(t *testing.T) {
	// Guards against a target that differs from the protocol, so that the
	// dialer would be built against something else.
	cases := []struct {
		name   string
		set    string
		change func(r *target.Request)
		status int
		reason string
		ran    bool
	}{
		{"plain query", `{}`, func(*target.Request) {}, 200, "", false},
		{"snapshot that is held", `{"Snapshots": [{"Snapshot": 4, "Shards": 2}]}`, func(r *target.Request) { r.Snapshot = 4 }, 200, "", false},
		{"snapshot that is not held", `{}`, func(r *target.Request) { r.Snapshot = 9 }, 409, target.SnapshotNotHeld, false},
		{"no snapshot", `{"Snapshots": []}`, func(*target.Request) {}, 409, target.SnapshotNotHeld, false},
		{"draining", `{"Draining": true}`, func(*target.Request) {}, 503, target.Draining, false},
		{"deadline passed", `{}`, func(r *target.Request) { r.DeadlineMs = 0 }, 504, target.DeadlinePassed, false},
		{"another shard", `{}`, func(r *target.Request) { r.Shard = 3 }, 400, target.BadRequest, false},
		{"another service", `{}`, func(r *target.Request) { r.Service = "Invoicing" }, 400, target.BadRequest, false},
		{"no request ID", `{}`, func(r *target.Request) { r.RequestID = "" }, 400, target.BadRequest, false},
		{"faulty version", `{"Faults": [{"Kind": "Errors"}]}`, func(*target.Request) {}, 500, target.VersionError, true},
	}
	Convey("The answer to", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				d := start(quick())
				control(d, c.set)
				r := request("r1")
				c.change(&r)
				for _, path := range []string{"/query", "/order"} {
					end := newClient(d).post(context.Background(), path, r)
					if path == "/order" && c.name == "snapshot that is not held" {
						// An order is answered from any snapshot.
						So(end.status, ShouldEqual, 200)
						continue
					}
					So(end.status, ShouldEqual, c.status)
					So(end.refusal.Refusal, ShouldEqual, c.reason)
					So(end.refusal.Ran, ShouldEqual, c.ran)
					if end.status == http.StatusOK {
						So(end.answer.RequestID, ShouldEqual, "r1")
						So(string(end.answer.Rows[0].Echo), ShouldEqual, `{"q":"r1"}`)
					}
				}
				ran := c.status == 200 || c.ran
				So(d.OrderRuns(r.RequestID) > 0, ShouldEqual, ran || c.name == "snapshot that is not held")
			})
		}
	})
}

func TestSlotsAndQueue(t *testing.T) {
	// Guards against a target that runs more than its slots, or whose queue
	// grows without limit or outlasts the deadline.
	Convey("With 2 slots and a queue of 3", t, func() {
		s := quick()
		s.Slots, s.QueueLength, s.ServiceTimeMs = 2, 3, 60
		d := start(s)
		c := newClient(d)
		Convey("10 queries at once", func() {
			results := c.overlapping(d, 10, func(s target.Stats) bool { return s.Refused[target.Shed] == 5 })
			So(count(results, 200), ShouldEqual, 5)
			So(count(results, 429), ShouldEqual, 5)
			So(d.Stats().MaxInFlight, ShouldEqual, 2)
			So(d.Stats().Refused[target.Shed], ShouldEqual, 5)
			So(c.query("after").status, ShouldEqual, 200)
		})
		Convey("a queued query is refused when its deadline passes", func() {
			control(d, `{"ServiceTimeMs": 200}`)
			go func() { _ = c.together(2) }()
			eventually(func() bool { return d.Stats().InFlight == 2 })
			r := request("queued")
			r.DeadlineMs = 30
			end := c.post(context.Background(), "/query", r)
			So(end.refusal, ShouldResemble, target.Refusal{RequestID: "queued", Refusal: target.DeadlinePassed, Detail: "deadline passed in the queue"})
			eventually(func() bool { return d.Stats().InFlight == 0 && d.Stats().Queued == 0 })
		})
		Convey("a query whose connection closes gives its slot back at once", func() {
			control(d, `{"Stalled": true}`)
			ctx, cancel := context.WithTimeout(context.Background(), 80*time.Millisecond)
			defer cancel()
			So(c.post(ctx, "/query", request("gone")).status, ShouldEqual, 0)
			eventually(func() bool { return d.Stats().InFlight == 0 })
			So(d.Stats().Cancelled, ShouldEqual, 1)
		})
		Convey("stalled queries are answered once the stall ends", func() {
			control(d, `{"Stalled": true}`)
			done := make(chan result)
			go func() { done <- c.query("stalled") }()
			eventually(func() bool { return d.Stats().InFlight == 1 })
			time.Sleep(80 * time.Millisecond)
			So(d.Stats().Answered, ShouldEqual, 0)
			control(d, `{"Stalled": false}`)
			So((<-done).status, ShouldEqual, 200)
		})
		Convey("a draining target finishes what runs", func() {
			done := make(chan result)
			go func() { done <- c.query("before") }()
			eventually(func() bool { return d.Stats().InFlight == 1 })
			control(d, `{"Draining": true}`)
			So(c.query("after").refusal.Refusal, ShouldEqual, target.Draining)
			So((<-done).status, ShouldEqual, 200)
		})
	})
}

func TestOrders(t *testing.T) {
	// Guards against double runs that are not seen and lost answers that
	// didn't run.
	Convey("Orders", t, func() {
		d := start(quick())
		c := newClient(d)
		order := func(id string) result { return c.post(context.Background(), "/order", request(id)) }
		Convey("are counted by request ID", func() {
			So(order("a").status, ShouldEqual, 200)
			So(order("b").status, ShouldEqual, 200)
			So(d.Stats().DoubleRuns, ShouldEqual, 0)
			So(order("a").status, ShouldEqual, 200)
			So(d.Stats().DoubleRuns, ShouldEqual, 1)
			So(d.Stats().DoubleRunIDs, ShouldResemble, []string{"a"})
			So(d.OrderRuns("a"), ShouldEqual, 2)
			So(c.query("a").status, ShouldEqual, 200)
			So(d.OrderRuns("a"), ShouldEqual, 2)
		})
		Convey("run although their answer is lost", func() {
			control(d, `{"LostOrderShare": 1}`)
			So(order("a").status, ShouldEqual, 0)
			So(d.OrderRuns("a"), ShouldEqual, 1)
			So(c.query("q").status, ShouldEqual, 200)
		})
		Convey("run to their end although the connection closes", func() {
			control(d, `{"ServiceTimeMs": 100}`)
			ctx, cancel := context.WithTimeout(context.Background(), 40*time.Millisecond)
			defer cancel()
			So(c.post(ctx, "/order", request("a")).status, ShouldEqual, 0)
			So(d.OrderRuns("a"), ShouldEqual, 1)
			So(d.Stats().InFlight, ShouldEqual, 1)
			eventually(func() bool { return d.Stats().Answered == 1 })
		})
	})
}

func TestRepartition(t *testing.T) {
	// Guards against key ranges of one snapshot that overlap or leave gaps.
	Convey("The shards of each snapshot cover the key space", t, func() {
		for _, shards := range []int{1, 3, 7, 20, 30} {
			var coverage jujubegate.Coverage
			for shard := range shards {
				var err error
				coverage, err = coverage.With(target.KeyRangeOf(shard, shards))
				So(err, ShouldBeNil)
			}
			So(coverage.Whole(), ShouldBeTrue)
		}
	})
	Convey("A target answers from the partition map of the snapshot", t, func() {
		s := quick()
		s.Shard, s.Rows = 2, 50
		s.Snapshots = []target.SnapshotSpec{{Snapshot: 1, Shards: 4}}
		d := start(s)
		So(d.Control(target.Control{AddSnapshots: []target.SnapshotSpec{{Snapshot: 3, Shards: 8}, {Snapshot: 2, Shards: 2}}}), ShouldBeNil)
		c := newClient(d)
		ask := func(snapshot int64) result {
			r := request("r")
			r.Shard, r.Snapshot = 2, snapshot
			return c.post(context.Background(), "/query", r)
		}
		So(ask(1).answer.RangeStart, ShouldEqual, 1<<31)
		So(ask(3).answer.RangeEnd, ShouldEqual, 3<<29)
		So(ask(0).answer.Snapshot, ShouldEqual, 3)
		// Snapshot 2 has two shards, so shard 2 is not one of them.
		So(ask(2).refusal.Refusal, ShouldEqual, target.SnapshotNotHeld)
		a := ask(3).answer
		So(len(a.Rows), ShouldEqual, 50)
		for _, row := range a.Rows {
			So(row.Key, ShouldBeBetweenOrEqual, a.RangeStart, a.RangeEnd-1)
		}
		So(d.Control(target.Control{RemoveSnapshots: []int64{1}}), ShouldBeNil)
		So(ask(1).refusal.Refusal, ShouldEqual, target.SnapshotNotHeld)
	})
}

func TestWrongAnswers(t *testing.T) {
	// Guards against wrong answers on command that are right after all.
	Convey("On command", t, func() {
		d := start(quick())
		c := newClient(d)
		So(c.query("first").status, ShouldEqual, 200)
		Convey("answers are garbage", func() {
			control(d, `{"GarbageShare": 1}`)
			end := c.query("r")
			So(end.status, ShouldEqual, 200)
			So(json.Valid(end.body), ShouldBeFalse)
		})
		Convey("answers belong to another request", func() {
			control(d, `{"ForeignShare": 1}`)
			So(c.query("second").answer.RequestID, ShouldEqual, "first")
			So(c.query("third").answer.RequestID, ShouldEqual, "second")
		})
		Convey("answers are from another snapshot", func() {
			control(d, `{"WrongSnapshotShare": 1}`)
			r := request("r")
			r.Snapshot = 1
			So(c.post(context.Background(), "/query", r).answer.Snapshot, ShouldNotEqual, 1)
		})
		Reset(func() { So(d.Stats().Garbled, ShouldBeGreaterThan, 0) })
	})
}

func TestFaultyVersions(t *testing.T) {
	// Guards against faults that appear at the wrong time, route or load: the
	// verdicts on versions would be tested against something else.
	cases := []struct {
		name     string
		faults   string
		route    string
		after    time.Duration
		parallel int
		errors   int
		slow     bool
	}{
		{"errors at once", `[{"Kind": "Errors"}]`, "Search", 0, 1, 1, false},
		{"errors later, before", `[{"Kind": "Errors", "AfterMs": 5000}]`, "Search", 0, 1, 0, false},
		{"errors later, after", `[{"Kind": "Errors", "AfterMs": 30}]`, "Search", 50 * time.Millisecond, 1, 1, false},
		{"errors on another route", `[{"Kind": "Errors", "Route": "Book"}]`, "Search", 0, 1, 0, false},
		{"errors on this route", `[{"Kind": "Errors", "Route": "Search"}]`, "Search", 0, 1, 1, false},
		{"errors under load, idle", `[{"Kind": "Errors", "MinInFlight": 4}]`, "Search", 0, 1, 0, false},
		{"errors under load, loaded", `[{"Kind": "Errors", "MinInFlight": 4}]`, "Search", 0, 4, 1, false},
		{"slow", `[{"Kind": "Slow", "Factor": 10}]`, "Search", 0, 1, 0, true},
	}
	Convey("A version with", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				s := quick()
				s.Slots, s.ServiceTimeMs = 4, 25
				d := start(s)
				control(d, fmt.Sprintf(`{"Faults": %s}`, c.faults))
				time.Sleep(c.after)
				began := time.Now()
				results := newClient(d).overlapping(d, c.parallel, func(s target.Stats) bool { return s.InFlight == c.parallel })
				So(count(results, 500), ShouldEqual, c.errors)
				So(count(results, 200), ShouldEqual, c.parallel-c.errors)
				So(time.Since(began) >= 250*time.Millisecond, ShouldEqual, c.slow)
			})
		}
	})
	Convey("A fault that starts later counts from the command, not from the start", t, func() {
		clock := clockwork.NewFakeClock()
		s := quick()
		s.ServiceTimeMs = 0
		d, err := target.New(s, clock, zap.NewNop())
		So(err, ShouldBeNil)
		Reset(func() { _ = d.Close(context.Background()) })
		c := newClient(d)
		clock.Advance(time.Minute)
		control(d, `{"Faults": [{"Kind": "Errors", "AfterMs": 5000}]}`)
		clock.Advance(4999 * time.Millisecond)
		So(c.query("before").status, ShouldEqual, 200)
		clock.Advance(time.Millisecond)
		So(c.query("after").status, ShouldEqual, 500)
	})
}
