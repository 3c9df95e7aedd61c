package orderer

import (
	"context"
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
	) (querier.Place, *jujubegate.Refusal) {
		return querier.Place{
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

func newRequest() Request {
	return Request{
		Service: "Pellets", Route: "Book", Caller: "zora", ID: uuid.Must(uuid.NewV7()),
		Key: "k1", Body: []byte(`{"Bags":3}`), First: true,
	}
}

func TestOrderRunsOnce(t *testing.T) {
	// Guards against a second run when the caller repeats an order.
	Convey("A repeated order", t, func() {
		var runs atomic.Int64
		store := newFakeStore()
		o := newFake(store, clockwork.NewRealClock(), &runs)
		request := newRequest()
		record, refusal := o.Order(context.Background(), request)
		So(refusal, ShouldBeNil)
		So(string(record.Rows), ShouldEqual, `[{"Booked":true}]`)
		request.First = false

		Convey("returns the recorded answer", func() {
			again, refusal := newFake(store, clockwork.NewRealClock(), &runs).Order(context.Background(), request)
			So(refusal, ShouldBeNil)
			So(again.Rows, ShouldResemble, record.Rows)
			So(runs.Load(), ShouldEqual, 1)
		})
		Convey("is refused with another body", func() {
			request.Body = []byte(`{"Bags":4}`)
			_, refusal := o.Order(context.Background(), request)
			So(refusal.Reason, ShouldEqual, jujubegate.Duplicate)
			So(refusal.Detail, ShouldContainSubstring, "body")
			So(runs.Load(), ShouldEqual, 1)
		})
		Convey("is refused while the store is down, with an unknown outcome", func() {
			store.fault = func(string, string) (bool, error) { return false, storer.ErrUnavailable }
			_, refusal := o.Order(context.Background(), request)
			So(refusal.Reason, ShouldEqual, jujubegate.StoreDown)
			So(refusal.Outcome, ShouldEqual, jujubegate.Unknown)
		})
	})
}
