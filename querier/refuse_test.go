package querier

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/configurator"
	"jujubegate.example/jujubegate/leaser"
)

func TestQueryRefusals(t *testing.T) {
	// Guards against a refusal with a wrong outcome, and against sub-requests of a
	// query that can't be answered.
	search := Request{Service: fakeService, Route: fakeRoute}
	partial := search
	partial.AllowPartial = true
	cases := []struct {
		name    string
		request Request
		change  func(f *fakeTopology, q *Querier)
		reason  jujubegate.Reason
		outcome jujubegate.Outcome
		retry   bool
		sends   bool
	}{
		{"no lease", search, func(_ *fakeTopology, q *Querier) {
			q.Serving = func(time.Time) bool { return false }
		}, jujubegate.Isolated, jujubegate.NotRun, true, false},
		{"unknown service", Request{Service: "Nothing", Route: fakeRoute}, nil, jujubegate.UnknownService, jujubegate.NotRun, false, false},
		{"unknown route", Request{Service: fakeService, Route: "Nothing"}, nil, jujubegate.UnknownRoute, jujubegate.NotRun, false, false},
		{"route for orders", Request{Service: fakeService, Route: fakeOrderRoute}, nil, jujubegate.BadRequest, jujubegate.NotRun, false, false},
		{"no reports", search, func(_ *fakeTopology, q *Querier) {
			q.Report = newReportCache().Get
		}, jujubegate.NoCoverage, jujubegate.NotRun, true, false},
		{"no reports, partial allowed", partial, func(_ *fakeTopology, q *Querier) {
			q.Report = newReportCache().Get
		}, jujubegate.NoCoverage, jujubegate.NotRun, true, false},
		{"no owners", search, func(_ *fakeTopology, q *Querier) {
			q.Owner = func(jujubegate.Address) (leaser.Member, bool) { return leaser.Member{}, false }
		}, jujubegate.NoCoverage, jujubegate.NotRun, true, false},
		{"one shard without owner", search, func(_ *fakeTopology, q *Querier) {
			owner := q.Owner
			q.Owner = func(a jujubegate.Address) (leaser.Member, bool) {
				if a == address(1, 0) || a == address(1, 1) {
					return leaser.Member{}, false
				}
				return owner(a)
			}
		}, jujubegate.NoCoverage, jujubegate.NotRun, true, false},
		{"no target of the version", search, func(f *fakeTopology, _ *Querier) {
			f.spec.Version = "v9"
		}, jujubegate.NoCoverage, jujubegate.NotRun, true, false},
		{"one shard always sheds", search, func(_ *fakeTopology, q *Querier) {
			q.Dispatch = failShard(0, jujubegate.Shed, jujubegate.NotRun)(q.Dispatch)
		}, jujubegate.Shed, jujubegate.Ran, false, true},
		{"every shard drains", search, func(_ *fakeTopology, q *Querier) {
			// All targets have the same owner. Otherwise the query ends while other
			// streams are open, and it is unknown what ran there.
			q.Owner = func(jujubegate.Address) (leaser.Member, bool) { return leaser.Member{Instance: "i0"}, true }
			q.Dispatch = failShard(-1, jujubegate.TargetDraining, jujubegate.NotRun)(q.Dispatch)
		}, jujubegate.TargetDraining, jujubegate.NotRun, false, true},
		{"no answer in time", search, func(_ *fakeTopology, q *Querier) {
			q.Dispatch = func(ctx context.Context, _ leaser.Member, _ jujubegate.Batch,
				_ func([]jujubegate.SubResult, []jujubegate.TargetReport),
			) error {
				<-ctx.Done()
				return ctx.Err()
			}
		}, jujubegate.DeadlinePassed, jujubegate.Unknown, false, true},
	}
	Convey("A query is refused with", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				f := newTopology(4, 2)
				f.spec.Deadline = 50 * time.Millisecond
				q := newRealFake(f, 8)
				if c.change != nil {
					c.change(f, q)
				}
				dispatch, sends := q.Dispatch, false
				var mu sync.Mutex
				q.Dispatch = func(ctx context.Context, owner leaser.Member, b jujubegate.Batch,
					deliver func([]jujubegate.SubResult, []jujubegate.TargetReport),
				) error {
					mu.Lock()
					sends = true
					mu.Unlock()
					return dispatch(ctx, owner, b, deliver)
				}
				_, refusal := q.Query(context.Background(), c.request)
				So(refusal, ShouldNotBeNil)
				So(refusal.Reason, ShouldEqual, c.reason)
				So(refusal.Outcome, ShouldEqual, c.outcome)
				So(refusal.RetryAfter > 0, ShouldEqual, c.retry)
				mu.Lock()
				So(sends, ShouldEqual, c.sends)
				mu.Unlock()
			})
		}
	})
}

// failShard replaces the results of a shard, or of all shards if it is -1, by
// refusals.
func failShard(shard int, reason jujubegate.Reason, outcome jujubegate.Outcome) func(dispatchFunc) dispatchFunc {
	return func(next dispatchFunc) dispatchFunc {
		return func(ctx context.Context, owner leaser.Member, b jujubegate.Batch,
			deliver func([]jujubegate.SubResult, []jujubegate.TargetReport),
		) error {
			return next(ctx, owner, b, func(results []jujubegate.SubResult, reports []jujubegate.TargetReport) {
				for i := range results {
					if shard < 0 || results[i].Shard == shard {
						results[i].Refusal = &jujubegate.Refusal{Reason: reason, Outcome: outcome}
					}
				}
				deliver(results, reports)
			})
		}
	}
}

// sendLog records the sub-requests of a query, with their times, and the
// cancellations.
type sendLog struct {
	mu        sync.Mutex
	start     time.Time
	sent      []jujubegate.SubRequest
	sentAt    []time.Duration
	cancelled []jujubegate.SubRequest
}

func TestHedges(t *testing.T) {
	// Guards against a straggler that delays the answer, a second hedge, a
	// hedge to the same target, and a slower attempt that is not cancelled.
	synctest.Test(t, func(t *testing.T) {
		f := newTopology(4, 3)
		f.spec.Deadline = 10 * time.Second
		q := newFake(f, clockwork.NewRealClock(), 12)
		var log sendLog
		log.start = time.Now()
		q.Cancel = func(_ leaser.Member, _ string, subs []jujubegate.SubRequest) {
			log.mu.Lock()
			defer log.mu.Unlock()
			log.cancelled = append(log.cancelled, subs...)
		}
		q.Dispatch = func(ctx context.Context, _ leaser.Member, b jujubegate.Batch,
			deliver func([]jujubegate.SubResult, []jujubegate.TargetReport),
		) error {
			for _, sub := range b.SubRequests {
				log.mu.Lock()
				log.sent = append(log.sent, sub)
				log.sentAt = append(log.sentAt, time.Since(log.start))
				log.mu.Unlock()
				delay := 10 * time.Millisecond
				if sub.Shard == 2 {
					delay = 200 * time.Millisecond // both attempts are slow
				}
				if sub.Shard == 3 && sub.Attempt == 1 {
					delay = 5 * time.Second
				}
				select {
				case <-ctx.Done():
					return ctx.Err()
				case <-time.After(delay):
				}
				deliver([]jujubegate.SubResult{goodResult(&b, sub, 4)}, nil)
			}
			return nil
		}
		answer, refusal := q.Query(context.Background(), Request{Service: fakeService, Route: fakeRoute})
		if refusal != nil || !answer.Coverage.Whole() || answer.Hedges != 2 {
			t.Fatalf("answer %+v, refusal %v", answer, refusal)
		}
		if took := time.Since(log.start); took > 450*time.Millisecond {
			t.Fatalf("query took %v", took)
		}
		log.mu.Lock()
		defer log.mu.Unlock()
		targets := make(map[jujubegate.Address]bool)
		for i, sub := range log.sent {
			if targets[sub.Target] {
				t.Fatalf("target %s got two attempts", sub.Target)
			}
			targets[sub.Target] = true
			if sub.Attempt == 2 && log.sentAt[i] < 30*time.Millisecond {
				t.Fatalf("hedge after %v", log.sentAt[i])
			}
		}
		if len(log.sent) != 6 {
			t.Fatalf("sent %v", log.sent)
		}
		if len(log.cancelled) == 0 || log.cancelled[0].Shard != 3 || log.cancelled[0].Attempt != 1 {
			t.Fatalf("cancelled %v", log.cancelled)
		}
	})
}

func TestRerunOnNewerSnapshot(t *testing.T) {
	// Guards against a query that fails or mixes snapshots because the targets drop
	// its snapshot while it runs.
	cases := []struct {
		name    string
		newer   bool
		partial bool
		want    jujubegate.Snapshot
		whole   bool
	}{
		{"a newer one is held", true, false, 3, true},
		{"no newer one, partial allowed", false, true, 2, false},
		{"no newer one", false, false, 0, false},
	}
	Convey("When a snapshot is dropped and", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				f := newTopology(4, 2)
				q := newRealFake(f, 8)
				next := q.Dispatch
				q.Dispatch = func(ctx context.Context, owner leaser.Member, b jujubegate.Batch,
					deliver func([]jujubegate.SubResult, []jujubegate.TargetReport),
				) error {
					return next(ctx, owner, b, func(results []jujubegate.SubResult, _ []jujubegate.TargetReport) {
						var reports []jujubegate.TargetReport
						for i := range results {
							if results[i].Shard == 1 && b.Snapshot == 2 {
								results[i].Refusal = &jujubegate.Refusal{Reason: jujubegate.SnapshotNotHeld, Outcome: jujubegate.NotRun}
							}
						}
						for _, t := range f.targets {
							if c.newer {
								reports = append(reports, jujubegate.TargetReport{
									Target: t.Address, State: jujubegate.Warm, Limit: 4, Snapshots: []jujubegate.Snapshot{3},
								})
							}
						}
						deliver(results, reports)
					})
				}
				answer, refusal := q.Query(context.Background(), Request{Service: fakeService, Route: fakeRoute, AllowPartial: c.partial})
				if c.want == 0 {
					So(refusal.Reason, ShouldEqual, jujubegate.SnapshotNotHeld)
					return
				}
				So(refusal, ShouldBeNil)
				So(answer.Snapshot, ShouldEqual, c.want)
				So(answer.Coverage.Whole(), ShouldEqual, c.whole)
			})
		}
	})
}

func TestMoveFallsBackToOldVersion(t *testing.T) {
	// Guards against a query that is refused because the new version has no target
	// of one shard.
	Convey("A query of a version that lacks a shard", t, func() {
		f := newTopology(4, 2)
		for i := range f.targets {
			f.targets[i].Version = "v1"
			if f.targets[i].DataCentre == "dc1" && f.targets[i].Shard != 2 {
				f.targets[i].Version = "v2"
			}
		}
		f.move = &configurator.MoveSpec{From: "v1", To: "v2", State: configurator.Shifting, Share: 100}
		q := newRealFake(f, 8)
		answer, refusal := q.Query(context.Background(), Request{Service: fakeService, Route: fakeRoute})
		So(refusal, ShouldBeNil)
		So(answer.Version, ShouldEqual, jujubegate.Version("v1"))
		So(answer.Coverage.Whole(), ShouldBeTrue)
	})
}
