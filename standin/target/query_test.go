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
	// Guards against a target that deviates from the protocol, so that the dialer
	// would be tested against a different one.
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
		{"wrong shard", `{}`, func(r *target.Request) { r.Shard = 3 }, 400, target.BadRequest, false},
		{"wrong service", `{}`, func(r *target.Request) { r.Service = "Invoicing" }, 400, target.BadRequest, false},
		{"no request ID", `{}`, func(r *target.Request) { r.RequestID = "" }, 400, target.BadRequest, false},
		{"faulty version", `{"Faults": [{"Kind": "Errors"}]}`, func(*target.Request) {}, 500, target.VersionError, true},
	}
	Convey("The answer to", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				backEnd := start(quickSettings())
				control(backEnd, c.set)
				r := request("r1")
				c.change(&r)
				for _, path := range []string{"/query", "/order"} {
					got := newClient(backEnd).post(context.Background(), path, r)
					if path == "/order" && c.name == "snapshot that is not held" {
						// An order doesn't need the requested snapshot.
						So(got.status, ShouldEqual, 200)
						continue
					}
					So(got.status, ShouldEqual, c.status)
					So(got.refusal.Refusal, ShouldEqual, c.reason)
					So(got.refusal.Ran, ShouldEqual, c.ran)
					if got.status == http.StatusOK {
						So(got.answer.RequestID, ShouldEqual, "r1")
						So(string(got.answer.Rows[0].Echo), ShouldEqual, `{"q":"r1"}`)
					}
				}
				ran := c.status == 200 || c.ran
				So(backEnd.OrderRuns(r.RequestID) > 0, ShouldEqual, ran || c.name == "snapshot that is not held")
			})
		}
	})
}

func TestSlotsAndQueue(t *testing.T) {
	// Guards against a target that runs more requests than it has slots, whose queue
	// exceeds its limit, or that keeps requests in the queue beyond their deadline.
	Convey("With 2 slots and a queue of 3", t, func() {
		s := quickSettings()
		s.Slots, s.QueueLength, s.ServiceTimeMs = 2, 3, 60
		backEnd := start(s)
		c := newClient(backEnd)
		Convey("of 10 concurrent queries 5 are shed", func() {
			results := c.queryOverlapping(backEnd, 10, func(s target.Stats) bool { return s.Refused[target.Shed] == 5 })
			So(count(results, 200), ShouldEqual, 5)
			So(count(results, 429), ShouldEqual, 5)
			So(backEnd.Stats().MaxInFlight, ShouldEqual, 2)
			So(backEnd.Stats().Refused[target.Shed], ShouldEqual, 5)
			So(c.query("after").status, ShouldEqual, 200)
		})
		Convey("a queued query is refused when its deadline passes", func() {
			control(backEnd, `{"ServiceTimeMs": 200}`)
			go func() { _ = c.queryConcurrently(2) }()
			eventually(func() bool { return backEnd.Stats().InFlight == 2 })
			r := request("queued")
			r.DeadlineMs = 30
			got := c.post(context.Background(), "/query", r)
			So(got.refusal, ShouldResemble, target.Refusal{RequestID: "queued", Refusal: target.DeadlinePassed, Detail: "deadline passed in the queue"})
			eventually(func() bool { return backEnd.Stats().InFlight == 0 && backEnd.Stats().Queued == 0 })
		})
		Convey("a query whose connection closes returns its slot at once", func() {
			control(backEnd, `{"Stalled": true}`)
			ctx, cancel := context.WithTimeout(context.Background(), 80*time.Millisecond)
			defer cancel()
			So(c.post(ctx, "/query", request("gone")).status, ShouldEqual, 0)
			eventually(func() bool { return backEnd.Stats().InFlight == 0 })
			So(backEnd.Stats().Cancelled, ShouldEqual, 1)
		})
		Convey("stalled queries are answered after the stall ends", func() {
			control(backEnd, `{"Stalled": true}`)
			done := make(chan result)
			go func() { done <- c.query("stalled") }()
			eventually(func() bool { return backEnd.Stats().InFlight == 1 })
			time.Sleep(80 * time.Millisecond)
			So(backEnd.Stats().Answered, ShouldEqual, 0)
			control(backEnd, `{"Stalled": false}`)
			So((<-done).status, ShouldEqual, 200)
		})
		Convey("a draining target finishes running queries and refuses new ones", func() {
			done := make(chan result)
			go func() { done <- c.query("before") }()
			eventually(func() bool { return backEnd.Stats().InFlight == 1 })
			control(backEnd, `{"Draining": true}`)
			So(c.query("after").refusal.Refusal, ShouldEqual, target.Draining)
			So((<-done).status, ShouldEqual, 200)
		})
	})
}

func TestOrders(t *testing.T) {
	// Guards against double runs that are not counted, and against orders that don't
	// run although only their answer should be lost.
	Convey("Orders", t, func() {
		backEnd := start(quickSettings())
		c := newClient(backEnd)
		order := func(id string) result { return c.post(context.Background(), "/order", request(id)) }
		Convey("are counted by request ID", func() {
			So(order("a").status, ShouldEqual, 200)
			So(order("b").status, ShouldEqual, 200)
			So(backEnd.Stats().DoubleRuns, ShouldEqual, 0)
			So(order("a").status, ShouldEqual, 200)
			So(backEnd.Stats().DoubleRuns, ShouldEqual, 1)
			So(backEnd.Stats().DoubleRunIDs, ShouldResemble, []string{"a"})
			So(backEnd.OrderRuns("a"), ShouldEqual, 2)
			So(c.query("a").status, ShouldEqual, 200)
			So(backEnd.OrderRuns("a"), ShouldEqual, 2)
		})
		Convey("run even if their answer is lost", func() {
			control(backEnd, `{"LostOrderShare": 1}`)
			So(order("a").status, ShouldEqual, 0)
			So(backEnd.OrderRuns("a"), ShouldEqual, 1)
			So(c.query("q").status, ShouldEqual, 200)
		})
		Convey("run to completion even if the connection closes", func() {
			control(backEnd, `{"ServiceTimeMs": 100}`)
			ctx, cancel := context.WithTimeout(context.Background(), 40*time.Millisecond)
			defer cancel()
			So(c.post(ctx, "/order", request("a")).status, ShouldEqual, 0)
			So(backEnd.OrderRuns("a"), ShouldEqual, 1)
			So(backEnd.Stats().InFlight, ShouldEqual, 1)
			eventually(func() bool { return backEnd.Stats().Answered == 1 })
		})
	})
}

func TestPartitionMapPerSnapshot(t *testing.T) {
	// Guards against key ranges of one snapshot that overlap or leave gaps, and
	// against answers with the key range of another snapshot.
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
	Convey("A target answers with the key range of the requested snapshot", t, func() {
		s := quickSettings()
		s.Shard, s.Rows = 2, 50
		s.Snapshots = []target.SnapshotSpec{{Snapshot: 1, Shards: 4}}
		backEnd := start(s)
		So(backEnd.Control(target.Control{AddSnapshots: []target.SnapshotSpec{{Snapshot: 3, Shards: 8}, {Snapshot: 2, Shards: 2}}}), ShouldBeNil)
		c := newClient(backEnd)
		query := func(snapshot int64) result {
			r := request("r")
			r.Shard, r.Snapshot = 2, snapshot
			return c.post(context.Background(), "/query", r)
		}
		So(query(1).answer.RangeStart, ShouldEqual, 1<<31)
		So(query(3).answer.RangeEnd, ShouldEqual, 3<<29)
		So(query(0).answer.Snapshot, ShouldEqual, 3)
		// The shards of snapshot 2 are 0 and 1, so the target doesn't hold it.
		So(query(2).refusal.Refusal, ShouldEqual, target.SnapshotNotHeld)
		a := query(3).answer
		So(len(a.Rows), ShouldEqual, 50)
		for _, row := range a.Rows {
			So(row.Key, ShouldBeBetweenOrEqual, a.RangeStart, a.RangeEnd-1)
		}
		So(backEnd.Control(target.Control{RemoveSnapshots: []int64{1}}), ShouldBeNil)
		So(query(1).refusal.Refusal, ShouldEqual, target.SnapshotNotHeld)
	})
}

func TestInjectedWrongAnswers(t *testing.T) {
	// Guards against settings for corrupted answers that have no effect: tests that
	// rely on them would pass without testing anything.
	Convey("When the settings say so", t, func() {
		backEnd := start(quickSettings())
		c := newClient(backEnd)
		So(c.query("first").status, ShouldEqual, 200)
		Convey("answers are not valid JSON", func() {
			control(backEnd, `{"GarbageShare": 1}`)
			got := c.query("r")
			So(got.status, ShouldEqual, 200)
			So(json.Valid(got.body), ShouldBeFalse)
		})
		Convey("answers carry the ID of another request", func() {
			control(backEnd, `{"ForeignShare": 1}`)
			So(c.query("second").answer.RequestID, ShouldEqual, "first")
			So(c.query("third").answer.RequestID, ShouldEqual, "second")
		})
		Convey("answers are from another snapshot", func() {
			control(backEnd, `{"WrongSnapshotShare": 1}`)
			r := request("r")
			r.Snapshot = 1
			So(c.post(context.Background(), "/query", r).answer.Snapshot, ShouldNotEqual, 1)
		})
		Reset(func() { So(backEnd.Stats().Garbled, ShouldBeGreaterThan, 0) })
	})
}

func TestFaultyVersions(t *testing.T) {
	// Guards against faults that occur at the wrong time, on the wrong route or at
	// the wrong load: the verdicts on versions would be tested against other faults.
	cases := []struct {
		name     string
		faults   string
		route    string
		after    time.Duration
		parallel int
		errors   int
		slow     bool
	}{
		{"immediate errors", `[{"Kind": "Errors"}]`, "Search", 0, 1, 1, false},
		{"delayed errors, before the delay", `[{"Kind": "Errors", "AfterMs": 5000}]`, "Search", 0, 1, 0, false},
		{"delayed errors, after the delay", `[{"Kind": "Errors", "AfterMs": 30}]`, "Search", 50 * time.Millisecond, 1, 1, false},
		{"errors on another route", `[{"Kind": "Errors", "Route": "Book"}]`, "Search", 0, 1, 0, false},
		{"errors on this route", `[{"Kind": "Errors", "Route": "Search"}]`, "Search", 0, 1, 1, false},
		{"errors under load, idle", `[{"Kind": "Errors", "MinInFlight": 4}]`, "Search", 0, 1, 0, false},
		{"errors under load, loaded", `[{"Kind": "Errors", "MinInFlight": 4}]`, "Search", 0, 4, 1, false},
		{"slow", `[{"Kind": "Slow", "Factor": 10}]`, "Search", 0, 1, 0, true},
	}
	Convey("A version with", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				s := quickSettings()
				s.Slots, s.ServiceTimeMs = 4, 25
				backEnd := start(s)
				control(backEnd, fmt.Sprintf(`{"Faults": %s}`, c.faults))
				time.Sleep(c.after)
				began := time.Now()
				results := newClient(backEnd).queryOverlapping(backEnd, c.parallel, func(s target.Stats) bool { return s.InFlight == c.parallel })
				So(count(results, 500), ShouldEqual, c.errors)
				So(count(results, 200), ShouldEqual, c.parallel-c.errors)
				So(time.Since(began) >= 250*time.Millisecond, ShouldEqual, c.slow)
			})
		}
	})
	Convey("The delay of a fault counts from the change of the faults, not from the start", t, func() {
		clock := clockwork.NewFakeClock()
		s := quickSettings()
		s.ServiceTimeMs = 0
		backEnd, err := target.New(s, clock, zap.NewNop())
		So(err, ShouldBeNil)
		Reset(func() { _ = backEnd.Close(context.Background()) })
		c := newClient(backEnd)
		clock.Advance(time.Minute)
		control(backEnd, `{"Faults": [{"Kind": "Errors", "AfterMs": 5000}]}`)
		clock.Advance(4999 * time.Millisecond)
		So(c.query("before").status, ShouldEqual, 200)
		clock.Advance(time.Millisecond)
		So(c.query("after").status, ShouldEqual, 500)
	})
}
