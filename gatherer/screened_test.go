package gatherer

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/connector"
	"jujubegate.example/jujubegate/router"
	"jujubegate.example/jujubegate/screener"
	"jujubegate.example/jujubegate/sender"
)

func TestSuspectedQueryReachesAllShards(t *testing.T) {
	// Guards against a query that crashed the targets of all its shards, comes again and
	// crashes them all once more, and against one that was suspected wrongly and is not
	// answered.
	key := func() screener.Key { return screener.KeyOf("GET", "h", "/x", nil) }
	cases := []struct {
		name    string
		answers bool
		// down is the number of shards without a target.
		down    int
		sent    int
		outcome jujubegate.Outcome
	}{
		{"its first target ends", false, 0, 1, jujubegate.Unknown},
		{"its first target answers", true, 0, shardCount, jujubegate.Ran},
		{"the first shard is down, a target answers", true, 1, shardCount, jujubegate.Ran},
		{"the first shard is down, a target ends", false, 1, 2, jujubegate.Unknown},
	}
	Convey("A suspected query", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				clock := clockwork.NewFakeClock()
				s := screener.New(screener.Settings{Clock: clock, Log: zap.NewNop()})
				first, _ := s.Begin("1", key)
				for _, target := range []string{"a", "b", "c"} {
					first.BeginAttempt(target)
					s.RecordEnd(target)
					first.RecordCrash(target)
				}
				first.Finish()
				clock.Advance(time.Second)
				run, _ := s.Begin("2", key)
				var mu sync.Mutex
				sent := 0
				g := New(Settings{
					Clock: clock, ReturnAfter: returnAfter,
					Wait: func(*router.Route, jujubegate.Service) sender.Wait { return sender.Wait{} },
					Send: func(_ context.Context, call sender.Call) sender.CallResult {
						mu.Lock()
						defer mu.Unlock()
						sent++
						if int(call.Service[0]-'a') < c.down {
							return sender.CallResult{Reason: jujubegate.NoCoverage, Outcome: jujubegate.NotRun}
						}
						call.Run.BeginAttempt(string(call.Service))
						if !c.answers {
							s.RecordEnd(string(call.Service))
							call.Run.RecordCrash(string(call.Service))
							return sender.CallResult{Reason: jujubegate.CrashesTargets, Outcome: jujubegate.Unknown}
						}
						call.Run.RecordAnswer()
						return sender.CallResult{OK: true, Answer: connector.Answer{Status: 200, Signature: string(call.Service)}}
					},
				})
				shards := make([]jujubegate.Service, shardCount)
				for i := range shards {
					shards[i] = jujubegate.Service(rune('a' + i))
				}
				result := g.Gather(context.Background(), Query{
					Request: &connector.Request{}, Run: run,
					Route: &router.Route{Idempotent: true, Gather: &router.Gather{Shards: shards, Floor: 0.8, Top: 5}},
				})
				So(sent, ShouldEqual, c.sent)
				So(result.Outcome, ShouldEqual, c.outcome)
				So(result.OK, ShouldEqual, c.answers)
			})
		}
	})
}
