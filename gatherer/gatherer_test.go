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

func TestTopMatchesSort(t *testing.T) {
	// Guards against records that are lost or out of order, and against merging
	// equal records into one.
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 20).Draw(t, "most")
		parts := rapid.SliceOfN(rapid.SliceOfN(rapid.ByteRange(0, 3), 0, 100), 0, 8).Draw(t, "parts")
		top := NewTop(limit)
		var all [][]byte
		for _, p := range parts {
			top.Add(p)
			for len(p) >= RecordBytes {
				all = append(all, p[:RecordBytes])
				p = p[RecordBytes:]
			}
		}
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		if want := bytes.Join(all[:min(limit, len(all))], nil); !bytes.Equal(top.Bytes(), want) {
			t.Fatalf("got %x, want %x", top.Bytes(), want)
		}
	})
}

// shardPlan says when and how a shard answers.
type shardPlan struct {
	after  time.Duration
	status int
	notRun bool
}

const shardCount = 10

func returnAfter(_ jujubegate.Service, w sender.Wait) time.Duration { return w.Total() }

func uniformPlans(after time.Duration) []shardPlan {
	plans := make([]shardPlan, shardCount)
	for i := range plans {
		plans[i] = shardPlan{after: after, status: 200}
	}
	return plans
}

func replacePlans(plans []shardPlan, p shardPlan, indexes ...int) []shardPlan {
	plans = slices.Clone(plans)
	for _, i := range indexes {
		plans[i] = p
	}
	return plans
}

func TestGather(t *testing.T) {
	// Guards against answers below the floor, answers that wait for a straggler
	// beyond the objective, and reporting NotRun for a query that may have run.
	const ms = time.Millisecond
	late := shardPlan{after: time.Second, status: 200}
	failed := shardPlan{after: 5 * ms, status: 500}
	shed := shardPlan{after: 2 * ms, notRun: true}
	cases := []struct {
		name   string
		plans  []shardPlan
		wait   sender.Wait
		ok     bool
		merged int
		// maxTook is the maximum duration of the query.
		maxTook time.Duration
		outcome jujubegate.Outcome
	}{
		{"all shards in time", uniformPlans(10 * ms), sender.Wait{}, true, 10, 12 * ms, jujubegate.Ran},
		{"one straggler", replacePlans(uniformPlans(10*ms), late, 3), sender.Wait{}, true, 9, 80 * ms, jujubegate.Ran},
		{"one failed shard", replacePlans(uniformPlans(10*ms), failed, 3), sender.Wait{}, true, 9, 12 * ms, jujubegate.Ran},
		{"below the floor at the objective, then above", replacePlans(uniformPlans(10*ms), shardPlan{after: 120 * ms, status: 200}, 1, 2, 3), sender.Wait{}, true, 10, 122 * ms, jujubegate.Ran},
		{"grace period ends", replacePlans(replacePlans(uniformPlans(10*ms), shardPlan{after: 110 * ms, status: 200}, 1, 2), late, 3), sender.Wait{}, true, 9, 140 * ms, jujubegate.Ran},
		{"floor unreachable", replacePlans(uniformPlans(50*ms), failed, 1, 2, 3), sender.Wait{}, false, 0, 7 * ms, jujubegate.Unknown},
		{"nothing ran", replacePlans(uniformPlans(10*ms), shed, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9), sender.Wait{}, false, 0, 4 * ms, jujubegate.NotRun},
		{"overloaded", uniformPlans(10 * ms), sender.Wait{Queue: 80 * ms}, false, 0, ms, jujubegate.NotRun},
		{"short queues", uniformPlans(10 * ms), sender.Wait{Queue: 50 * ms}, true, 10, 12 * ms, jujubegate.Ran},
		{"no targets that can be reached", uniformPlans(10 * ms), sender.Wait{Admission: 50 * ms, Unreachable: true}, false, 0, ms, jujubegate.NotRun},
		{"cold targets at their rate limit", uniformPlans(10 * ms), sender.Wait{Admission: 20 * ms}, false, 0, ms, jujubegate.NotRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clock := clockwork.NewRealClock()
				shards := make([]jujubegate.Service, len(c.plans))
				for i := range shards {
					shards[i] = jujubegate.Service(fmt.Sprint(i))
				}
				send := func(ctx context.Context, call sender.Call) sender.CallResult {
					p := c.plans[slices.Index(shards, call.Service)]
					sentAt := time.Now()
					select {
					case <-time.After(p.after):
					case <-ctx.Done():
					}
					// Like the sender, use an answer that has already been received.
					if time.Since(sentAt) < p.after {
						return sender.CallResult{Outcome: jujubegate.Unknown, Reason: jujubegate.Cancelled}
					}
					if p.notRun {
						return sender.CallResult{Outcome: jujubegate.NotRun, Reason: jujubegate.Shed}
					}
					return sender.CallResult{OK: true, Outcome: jujubegate.Ran, Answer: connector.Answer{
						Status: p.status, Signature: "s" + string(call.Service), Body: make([]byte, RecordBytes),
					}}
				}
				g := New(Settings{Clock: clock, Send: send, Wait: func(*router.Route, jujubegate.Service) sender.Wait { return c.wait }, ReturnAfter: returnAfter})
				route := &router.Route{Objective: 100 * ms, Gather: &router.Gather{Shards: shards, Top: 5, Floor: 0.8}}
				start := time.Now()
				r := g.Gather(t.Context(), Query{Request: &connector.Request{}, Route: route, Due: start.Add(80 * ms)})
				took := time.Since(start)
				if r.OK != c.ok || len(r.Signatures) != c.merged && c.ok || took > c.maxTook {
					t.Errorf("ok %v with %d shards after %v (%s), want %v with %d by %v", r.OK, len(r.Signatures), took, r.Reason, c.ok, c.merged, c.maxTook)
				}
				missing, _ := r.Missing()
				if (len(r.Signatures)+len(missing) != len(shards) || r.OK && len(missing) != r.MissingCount) && r.RetryAfter == 0 {
					t.Errorf("%d merged and %d missing of %d shards", len(r.Signatures), len(missing), len(shards))
				}
				if !r.OK && r.RetryAfter != c.wait.Total() {
					t.Errorf("retry after %v, want %v", r.RetryAfter, c.wait.Total())
				}
				if r.Outcome != c.outcome {
					t.Errorf("outcome %v, want %v", r.Outcome, c.outcome)
				}
				synctest.Wait()
			})
		})
	}
}

func TestDuplicateSignature(t *testing.T) {
	// Guards against listing a signature twice, which invalidates the whole answer.
	Convey("The second shard with the same signature is left out", t, func() {
		s := &queryState{
			query: Query{Route: &router.Route{Gather: &router.Gather{Shards: []jujubegate.Service{"a", "b"}}}},
			top:   NewTop(1), signatures: map[string]struct{}{}, pending: 2, required: 1,
		}
		for i := range 2 {
			s.addResult(&shardResult{i, sender.CallResult{OK: true, Answer: connector.Answer{Status: 200, Signature: "same"}}})
		}
		r := s.finish("", time.Now(), nil)
		So(r.Signatures, ShouldResemble, []string{"same"})
		missing, _ := r.Missing()
		So(missing, ShouldHaveLength, 1)
	})
}

func TestAnswerDoesNotWaitForStragglers(t *testing.T) {
	// Guards against an answer that is ready and waits until the calls of stragglers
	// have ended and reported their attempts for the log.
	const ms = time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		shards := []jujubegate.Service{"0", "1", "2"}
		send := func(ctx context.Context, call sender.Call) sender.CallResult {
			if call.Service == "2" {
				<-ctx.Done()
				time.Sleep(20 * ms)
				return sender.CallResult{Outcome: jujubegate.Unknown, Reason: sender.Late, Attempts: make([]sender.Attempt, 2)}
			}
			return sender.CallResult{OK: true, Outcome: jujubegate.Ran, Attempts: make([]sender.Attempt, 1), Answer: connector.Answer{Status: 200, Signature: string(call.Service)}}
		}
		g := New(Settings{Clock: clockwork.NewRealClock(), Send: send, Wait: func(*router.Route, jujubegate.Service) sender.Wait { return sender.Wait{} }, ReturnAfter: returnAfter})
		route := &router.Route{Objective: 100 * ms, Gather: &router.Gather{Shards: shards, Top: 5, Floor: 0.5}}
		start := time.Now()
		due := start.Add(50 * ms)
		r := g.Gather(t.Context(), Query{Request: &connector.Request{}, Route: route, Due: due})
		if took := time.Since(start); took > 50*ms || !r.OK || r.MissingCount != 1 || !r.DecidedAt.Equal(due) {
			t.Errorf("ok %v with %d shards missing after %v, decided %v after the start", r.OK, r.MissingCount, took, r.DecidedAt.Sub(start))
		}
		missing, attempts := r.Missing()
		if len(missing) != 1 || attempts != 4 || missing[0].Result.Reason != sender.Late {
			t.Errorf("%v missing after %d attempts", missing, attempts)
		}
	})
}
