package transporter

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/configurator"
	"jujubegate.example/jujubegate/leaser"
	"jujubegate.example/jujubegate/mover"
)

// startPeer serves a handler on a loopback port and returns a member with its
// address.
func startPeer(t *testing.T, h *Handler) leaser.Member {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := h.HTTPServer(func(next http.Handler) http.Handler { return next })
	go func() { _ = s.Serve(listener) }()
	t.Cleanup(func() { _ = s.Close() })
	return leaser.Member{Instance: "owner", Incarnation: "1", PeerAddress: listener.Addr().String()}
}

func newPair(t *testing.T) (*Client, *Handler, leaser.Member) {
	clock := clockwork.NewRealClock()
	h := NewHandler(clock, zap.NewNop())
	c := NewClient(clock)
	t.Cleanup(c.Close)
	return c, h, startPeer(t, h)
}

func TestDispatchCarriesResults(t *testing.T) {
	// Guards against a refusal that loses its reason or outcome in transit, and
	// against a refusal that is decoded as a success.
	results := []jujubegate.SubResult{
		{
			Shard: 3, Attempt: 1, Target: "127.0.0.1:1", Snapshot: 7, Range: jujubegate.KeyRange{Start: 1, End: jujubegate.KeySpace},
			Rows: []byte(`[1]`), ServiceTime: 5 * time.Millisecond,
		},
	}
	for reason := range reasonToWire {
		for outcome := range outcomeToWire {
			results = append(results, jujubegate.SubResult{Shard: 4, Attempt: 2, Refusal: &jujubegate.Refusal{
				Reason: reason, Outcome: outcome, RetryAfter: time.Millisecond, Detail: "detail",
			}})
		}
	}
	Convey("A batch and its results pass between instances unchanged", t, func() {
		client, handler, owner := newPair(t)
		sent := jujubegate.Batch{
			QueryID: "q", Service: "DispatchDesk", Route: "Search", Caller: "desk", Snapshot: 7, Priority: 3,
			Deadline: time.Now().Add(time.Minute), Body: []byte(`{}`), Generation: 9,
			SubRequests: []jujubegate.SubRequest{{Shard: 3, Target: "127.0.0.1:1", Attempt: 1}},
		}
		var received jujubegate.Batch
		handler.Run = func(_ context.Context, batch jujubegate.Batch, deliver func([]jujubegate.SubResult)) {
			received = batch
			deliver(results)
		}
		var got []jujubegate.SubResult
		err := client.Dispatch(t.Context(), owner, sent, func(r []jujubegate.SubResult, _ []jujubegate.TargetReport) {
			got = append(got, r...)
		})
		So(err, ShouldBeNil)
		So(got, ShouldResemble, results)
		So(received.Deadline, ShouldHappenWithin, time.Second, sent.Deadline)
		received.Deadline = sent.Deadline
		So(received, ShouldResemble, sent)
	})
}

func TestDispatchRefusesBadBatches(t *testing.T) {
	// Guards against running a malformed batch.
	one := []jujubegate.SubRequest{{Shard: 1, Target: "127.0.0.1:1", Attempt: 1}}
	cases := []struct {
		name  string
		batch jujubegate.Batch
	}{
		{"no query ID", jujubegate.Batch{SubRequests: one}},
		{"no sub-requests", jujubegate.Batch{QueryID: "q"}},
		{"order for two shards", jujubegate.Batch{QueryID: "q", Order: true, SubRequests: append(one, one...)}},
	}
	Convey("A malformed batch is refused before it runs", t, func() {
		client, handler, owner := newPair(t)
		handler.Run = func(context.Context, jujubegate.Batch, func([]jujubegate.SubResult)) { panic("batch was run") }
		for _, c := range cases {
			Convey(c.name, func() {
				err := client.Dispatch(t.Context(), owner, c.batch, func([]jujubegate.SubResult, []jujubegate.TargetReport) {})
				So(err, ShouldNotBeNil)
			})
		}
	})
}

func TestDispatchToUnreachablePeer(t *testing.T) {
	// Guards against waiting for an owner whose process has ended.
	Convey("A dispatch to a peer that does not listen fails at once", t, func() {
		client := NewClient(clockwork.NewRealClock())
		batch := jujubegate.Batch{QueryID: "q", Deadline: time.Now().Add(time.Minute), SubRequests: make([]jujubegate.SubRequest, 1)}
		start := time.Now()
		err := client.Dispatch(t.Context(), leaser.Member{PeerAddress: "127.0.0.1:1"}, batch,
			func([]jujubegate.SubResult, []jujubegate.TargetReport) {})
		So(err, ShouldNotBeNil)
		So(time.Since(start), ShouldBeLessThan, 5*time.Second)
	})
}

func TestHeartbeatCarriesViewAndReports(t *testing.T) {
	// Guards against open views or reports that are lost in transit, after which
	// two owners could send to one target.
	Convey("A heartbeat and its answer pass unchanged", t, func() {
		client, handler, owner := newPair(t)
		sent := leaser.HeartbeatRequest{
			Sender: leaser.Member{Instance: "root", Incarnation: "2", DataCentre: "Sliven", Leaving: true},
			Epoch:  4, Generation: 5, Suspected: []jujubegate.Instance{"x"}, Settled: 2, Released: 3, Agreed: 5,
		}
		view := leaser.View{Epoch: 6, Members: []leaser.Member{owner}, Open: []leaser.View{{Epoch: 5, Members: []leaser.Member{owner}}}}
		answer := leaser.HeartbeatAnswer{
			Receiver: owner, Epoch: 6, Generation: 7, Suspected: []jujubegate.Instance{"y"}, Settled: 3, Released: 4, Agreed: 5, View: &view,
		}
		reports := []jujubegate.TargetReport{{
			Target: "127.0.0.1:1", State: jujubegate.Cold, InFlight: 1, Queued: 2, Limit: 1,
			Latency: 5 * time.Millisecond, Snapshots: []jujubegate.Snapshot{1, 2},
		}}
		var received leaser.HeartbeatRequest
		var marks []uint64
		handler.HandleHeartbeat = func(r leaser.HeartbeatRequest) leaser.HeartbeatAnswer {
			received = r
			return answer
		}
		counts := []jujubegate.RouteCount{{
			Service: "DispatchDesk", Version: "v2", Route: "Search", Load: jujubegate.Loaded, Answers: 3, Errors: 1,
			Latency: [jujubegate.LatencyBuckets]uint64{4: 2},
		}}
		halts := []mover.Halt{{Service: "DispatchDesk", Version: "v2", Started: time.UnixMicro(5).UTC(), Reason: "errors"}}
		handler.Counts = func() []jujubegate.RouteCount { return counts }
		handler.Halts = func() []mover.Halt { return halts }
		var mergedHalts []mover.Halt
		handler.Leaving = func() []jujubegate.Address { return []jujubegate.Address{"127.0.0.1:1"} }
		handler.MergeHalts = func(h []mover.Halt) { mergedHalts = h }
		client.Halts = func() []mover.Halt { return halts }
		handler.ReportsSince = func(mark uint64) ([]jujubegate.TargetReport, uint64) {
			marks = append(marks, mark)
			return reports, 8
		}
		var observed Observation
		client.Observed = func(o Observation) { observed = o }
		got, err := client.Heartbeat(t.Context(), owner, sent)
		So(err, ShouldBeNil)
		So(received, ShouldResemble, sent)
		So(got, ShouldResemble, answer)
		So(observed.Sent, ShouldHappenWithin, time.Second, time.Now())
		observed.Sent = time.Time{}
		So(observed, ShouldResemble, Observation{Peer: owner, Reports: reports, Counts: counts, Halts: halts, Leaving: handler.Leaving()})
		So(mergedHalts, ShouldResemble, halts)

		_, err = client.Heartbeat(t.Context(), owner, sent)
		So(err, ShouldBeNil)
		answer.Receiver.Incarnation = "3"
		_, err = client.Heartbeat(t.Context(), owner, sent)
		So(err, ShouldBeNil)
		// A mark of an earlier incarnation is not valid for the reports of a new one.
		So(marks, ShouldResemble, []uint64{0, 8, 0})
	})
}

func TestChangesPassUnchanged(t *testing.T) {
	// Guards against a change that is altered in transit: the peer would report two
	// different changes with the same generation.
	Convey("A change passes between instances unchanged", t, func() {
		client, handler, peer := newPair(t)
		change := configurator.Change{
			Generation: 3, Author: "ops", Token: "t", At: time.Now().UTC().Truncate(time.Microsecond), Statements: "BringIn DataCentre A;",
		}
		handler.Changes = func(jujubegate.Generation) []configurator.Change { return []configurator.Change{change} }
		var offered []configurator.Change
		handler.Offer = func(changes []configurator.Change) jujubegate.Generation {
			offered = changes
			return 3
		}
		fetched, err := client.FetchChanges(t.Context(), peer, 2)
		So(err, ShouldBeNil)
		So(fetched[0].Equal(change), ShouldBeTrue)
		generation, err := client.PushChanges(t.Context(), peer, fetched)
		So(err, ShouldBeNil)
		So(generation, ShouldEqual, 3)
		So(offered[0].Equal(change), ShouldBeTrue)
	})
}
