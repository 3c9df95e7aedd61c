package querier

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/configurator"
)

func TestPlace(t *testing.T) {
	// Guards against an order that goes to another shard or to a target that must not
	// serve, and against a placement that leaves the target's count of outstanding
	// requests increased.
	place := func(q *Querier, shard int) (Placement, *jujubegate.Refusal) {
		return q.Place(time.Now(), "id", fakeService, fakeOrderRoute, "zora", func(shards int) int { return shard % shards })
	}
	Convey("The place of an order", t, func() {
		f := newTopology(4, 2)
		q := newRealFake(f, 8)
		Convey("is a target of its shard with its owner and newest snapshot", func() {
			for shard := range 4 {
				p, refusal := place(q, shard)
				So(refusal, ShouldBeNil)
				So(p.SubRequest.Shard, ShouldEqual, shard)
				So(p.SubRequest.Target, ShouldBeIn, address(shard, 0), address(shard, 1))
				So(p.Snapshot, ShouldEqual, jujubegate.Snapshot(2))
				owner, _ := q.Owner(p.SubRequest.Target)
				So(p.Owner, ShouldResemble, owner)
				So(q.Balancer.Replica(p.SubRequest.Target).Outstanding(), ShouldEqual, 0)
			}
		})
		Convey("is not in a data centre that is out", func() {
			f.out = "dc0"
			for range 20 {
				p, refusal := place(q, 1)
				So(refusal, ShouldBeNil)
				So(p.SubRequest.Target, ShouldEqual, address(1, 1))
			}
		})
		Convey("is of the version that serves", func() {
			for i := range f.targets {
				f.targets[i].Version = jujubegate.Version([]string{"v1", "v2"}[i%2])
			}
			f.move = &configurator.MoveSpec{From: "v1", To: "v2", State: configurator.TakenBack}
			p, refusal := place(q, 1)
			So(refusal, ShouldBeNil)
			So(p.SubRequest.Target, ShouldEqual, address(1, 0))
		})
		Convey("does not exist without a report", func() {
			q.Report = newReportCache().Get
			_, refusal := place(q, 1)
			So(refusal.Reason, ShouldEqual, jujubegate.NoCoverage)
			So(refusal.Outcome, ShouldEqual, jujubegate.NotRun)
		})
		Convey("does not exist without a lease", func() {
			q.Serving = func(time.Time) bool { return false }
			_, refusal := place(q, 1)
			So(refusal.Reason, ShouldEqual, jujubegate.Isolated)
		})
	})
}
