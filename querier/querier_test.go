package querier

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/leaser"
)

const testDeadline = 500 * time.Millisecond

func alwaysTrue(time.Time) bool { return true }

type dispatchFunc = Dispatch

func TestQueryAnswers(t *testing.T) {
	// Guards against an answer with missing or misordered rows, and against a missing
	// retry after a broken stream.
	cases := []struct {
		name    string
		wrap    func(next dispatchFunc) dispatchFunc
		retries int
	}{
		{"all answer", func(next dispatchFunc) dispatchFunc { return next }, 0},
		{"first attempt of shard 3 down", failAttempt(3, 1, jujubegate.TargetDown), 1},
		{"snapshot not held by one replica", failAttempt(2, 1, jujubegate.SnapshotNotHeld), 1},
		{"stream of shard 5 breaks", func(next dispatchFunc) dispatchFunc {
			return func(ctx context.Context, owner leaser.Member, b jujubegate.Batch,
				deliver func([]jujubegate.SubResult, []jujubegate.TargetReport),
			) error {
				if containsShard(&b, 5) && b.SubRequests[0].Attempt == 1 {
					return errors.New("connection reset")
				}
				return next(ctx, owner, b, deliver)
			}
		}, 1},
	}
	Convey("A query over 8 shards with 2 replicas", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				f := newTopology(8, 2)
				q := newRealFake(f, 16)
				q.Dispatch = c.wrap(q.Dispatch)
				answer, refusal := q.Query(context.Background(), Request{Service: fakeService, Route: fakeRoute})
				So(refusal, ShouldBeNil)
				So(answer.Coverage.Whole(), ShouldBeTrue)
				So(answer.Snapshot, ShouldEqual, 2)
				So(answer.Retries, ShouldEqual, c.retries)
				So(string(answer.Rows), ShouldEqual, `[{"Shard":0,"Snapshot":2},{"Shard":1,"Snapshot":2},`+
					`{"Shard":2,"Snapshot":2},{"Shard":3,"Snapshot":2},{"Shard":4,"Snapshot":2},`+
					`{"Shard":5,"Snapshot":2},{"Shard":6,"Snapshot":2},{"Shard":7,"Snapshot":2}]`)
			})
		}
	})
}

// failAttempt replaces the result of one attempt of one shard by a refusal.
func failAttempt(shard, attempt int, reason jujubegate.Reason) func(dispatchFunc) dispatchFunc {
	return func(next dispatchFunc) dispatchFunc {
		return func(ctx context.Context, owner leaser.Member, b jujubegate.Batch,
			deliver func([]jujubegate.SubResult, []jujubegate.TargetReport),
		) error {
			return next(ctx, owner, b, func(results []jujubegate.SubResult, reports []jujubegate.TargetReport) {
				for i := range results {
					if r := &results[i]; r.Shard == shard && r.Attempt == attempt {
						r.Refusal = &jujubegate.Refusal{Reason: reason, Outcome: jujubegate.NotRun}
					}
				}
				deliver(results, reports)
			})
		}
	}
}
