package gatherer

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/connector"
	"jujubegate.example/jujubegate/router"
	"jujubegate.example/jujubegate/sender"
)

func TestTopMatchesASort(t *testing.T) {
	// Guards against records that are lost, out of order or counted once though
	// equal ones all count.
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.IntRange(1, 20).Draw(t, "most")
		parts := rapid.SliceOfN(rapid.SliceOfN(rapid.ByteRange(0, 3), 0, 100), 0, 8).Draw(t, "parts")
		top := NewTop(most)
		var all [][]byte
		for _, p := range parts {
			top.Add(p)
			for len(p) >= RecordBytes {
				all = append(all, p[:RecordBytes])
				p = p[RecordBytes:]
			}
		}
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		if want := bytes.Join(all[:min(most, len(all))], nil); !bytes.Equal(top.Bytes(), want) {
			t.Fatalf("got %x, want %x", top.Bytes(), want)
		}
	})
}

// shardPlan is when and how a shard answers.
type shardPlan struct {
	after  time.Duration
	status int
	notRun bool
}

const shardCount = 10

func plan(after time.Duration) []shardPlan {
	plans := make([]shardPlan, shardCount)
	for i := range plans {
		plans[i] = shardPlan{after: after, status: 200}
	}
	return plans
}

func with(plans []shardPlan, p shardPlan, at ...int) []shardPlan {
	plans = slices.Clone(plans)
	for _, i := range at {
		plans[i] = p
	}
	return plans
}

func TestGather(t *testing.T) {
	// Guards against answers below the floor, answers that wait for a straggler
	// past the objective, and false statements that a query has not run.
	const ms = time.Millisecond
	late := shardPlan{after: time.Second, status: 200}
	failed := shardPlan{after: 5 * ms, status: 500}
	shed := shardPlan{after: 2 * ms, notRun: true}
	cases := []struct {
		name  string
		plans []shardPlan
		wait  sender.Wait
		ok    bool
		in    int
		// took is the latest time of the answer.
		took time.Duration
		ran  jujubegate.Outcome
	}{
		{"all in time", plan(10 * ms), sender.Wait{}, true, 10, 12 * ms, jujubegate.Ran},
		{"one straggler", with(plan(10*ms), late, 3), sender.Wait{}, true, 9, 100*ms - ReplyReserve, jujubegate.Ran},
		{"one failed", with(plan(10*ms), failed, 3), sender.Wait{}, true, 9, 12 * ms, jujubegate.Ran},
		{"below the floor at the objective, then above", with(plan(10*ms), shardPlan{after: 120 * ms, status: 200}, 1, 2, 3), sender.Wait{}, true, 10, 122 * ms, jujubegate.Ran},
		{"late wait ends", with(with(plan(10*ms), shardPlan{after: 110 * ms, status: 200}, 1, 2), late, 3), sender.Wait{}, true, 9, 140 * ms, jujubegate.Ran},
		{"floor out of reach", with(plan(50*ms), failed, 1, 2, 3), sender.Wait{}, false, 0, 7 * ms, jujubegate.Unknown},
		{"nothing ran", with(plan(10*ms), shed, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9), sender.Wait{}, false, 0, 4 * ms, jujubegate.NotRun},
		{"overloaded", plan(10 * ms), sender.Wait{Queue: 80 * ms}, false, 0, ms, jujubegate.NotRun},
		{"short queues", plan(10 * ms), sender.Wait{Queue: 50 * ms}, true, 10, 12 * ms, jujubegate.Ran},
		{"cold targets without a turn", plan(10 * ms), sender.Wait{Admission: 20 * ms}, false, 0, ms, jujubegate.NotRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clock := clockwork.NewRealClock()
				shards := make([]jujubegate.Service, len(c.plans))
				for i := range shards {
					shards[i] = jujubegate.Service(fmt.Sprint(i))
				}
				send := func(ctx context.Context, call sender.Call) sender.Outcome {
					p := c.plans[slices.Index(shards, call.Service)]
					sentAt := time.Now()
					select {
					case <-time.After(p.after):
					case <-ctx.Done():
					}
					// An answer that is in counts, as with the sender.
					if time.Since(sentAt) < p.after {
						return sender.Outcome{Ran: jujubegate.Unknown, Reason: jujubegate.Cancelled}
					}
					if p.notRun {
						return sender.Outcome{Ran: jujubegate.NotRun, Reason: jujubegate.Shed}
					}
					return sender.Outcome{OK: true, Ran: jujubegate.Ran, Answer: connector.Answer{
						Status: p.status, Signature: "s" + string(call.Service), Body: make([]byte, RecordBytes),
					}}
				}
				g := New(Settings{Clock: clock, Send: send, Wait: func(*router.Route, jujubegate.Service) sender.Wait { return c.wait }})
				route := &router.Route{Objective: 100 * ms, Gather: &router.Gather{Shards: shards, Top: 5, Floor: 0.8}}
				begun := time.Now()
				r := g.Gather(t.Context(), Query{Request: &connector.Request{}, Route: route, Arrival: begun})
				took := time.Since(begun)
				if r.OK != c.ok || len(r.Signatures) != c.in && c.ok || took > c.took {
					t.Errorf("ok %v with %d shards after %v (%s), want %v with %d by %v", r.OK, len(r.Signatures), took, r.Reason, c.ok, c.in, c.took)
				}
				if len(r.Signatures)+len(r.Missing) != len(shards) && r.RetryAfter == 0 {
					t.Errorf("%d in and %d missing of %d", len(r.Signatures), len(r.Missing), len(shards))
				}
				if !r.OK && r.RetryAfter != c.wait.Total() {
					t.Errorf("retry after %v, want %v", r.RetryAfter, c.wait.Total())
				}
				if r.Ran != c.ran {
					t.Errorf("ran %v, want %v", r.Ran, c.ran)
				}
				synctest.Wait()
			})
		})
	}
}

func TestSignatureTwice(t *testing.T) {
	// Guards against one signature standing twice, which spoils the whole answer.
	Convey("The second part with the same signature is left out", t, func() {
		w := &gathering{
			query: Query{Route: &router.Route{Gather: &router.Gather{Shards: []jujubegate.Service{"a", "b"}}}},
			top:   NewTop(1), signatures: map[string]struct{}{}, pending: 2, least: 1,
		}
		for i := range 2 {
			w.take(&part{i, sender.Outcome{OK: true, Answer: connector.Answer{Status: 200, Signature: "same"}}})
		}
		r := w.finish("")
		So(r.Signatures, ShouldResemble, []string{"same"})
		So(r.Missing, ShouldHaveLength, 1)
	})
}
