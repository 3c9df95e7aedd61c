package assembler

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/configurator"
	"jujubegate.example/jujubegate/loader"
)

func TestMoveEvaluationDoesNotBlockHeartbeats(t *testing.T) {
	// Guards against a deadlock of the counts, which call back into the mover, with
	// the evaluation of a move: during a move, heartbeats were no longer answered.
	const statements = `Declare Service Desk { Shards = 1; Slots = 2; Connections = 4; ColdLimit = 1; Deadline = 1s; };
Declare Route Desk.Search { Idempotent = true; };
Declare Target "127.0.0.1:1" { Service = Desk; Shard = 0; DataCentre = A; Version = v1; };
Declare Target "127.0.0.1:2" { Service = Desk; Shard = 0; DataCentre = A; Version = v2; };
BringIn Version v2 { Service = Desk; Share = 5; Deadline = 1h; OnMissed = TakeBack; };`
	settings, err := loader.Parse("test", []byte(`Instance = "entry1"
DataCentre = "A"
PeerAddress = "127.0.0.1:7001"
CallerAddress = "127.0.0.1:7002"
[Store]
Addresses = ["127.0.0.1:1"]
`))
	if err != nil {
		t.Fatal(err)
	}
	Convey("Evaluating a move and counting for heartbeats do not deadlock", t, func() {
		d, err := New(settings, clockwork.NewRealClock(), zap.NewNop())
		So(err, ShouldBeNil)
		So(d.follower.Apply([]configurator.Change{{Generation: 1, Author: "ops", Token: "t", At: time.Now().UTC(), Statements: statements}}), ShouldBeNil)
		target := jujubegate.Target{Address: "127.0.0.1:2", Service: "Desk", DataCentre: "A", Version: "v2"}
		done := make(chan int)
		go func() {
			for range 20 {
				d.finished(target, "Search", 1, false, time.Millisecond)
				d.mover.Step(t.Context())
				d.countsOfMovingServices()
			}
			done <- len(d.countsOfMovingServices())
		}()
		select {
		case counts := <-done:
			So(counts, ShouldEqual, 1)
		case <-time.After(10 * time.Second):
			So("finished", ShouldEqual, "deadlock")
		}
	})
}
