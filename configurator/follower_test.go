package configurator

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
)

const deskText = `
Declare Service Desk { Shards = 2; Slots = 2; Connections = 25; ColdLimit = 1; Deadline = 160ms; Priority = High; };
Declare Route Desk.Search { Idempotent = true; };
Declare Target "10.0.0.1:9000" { Service = Desk; Shard = 0; DataCentre = Sliven; Version = v1; };
Declare Target "10.0.0.2:9000" { Service = Desk; Shard = 0; DataCentre = Yambol; Version = v1; };
Declare Target "10.0.0.3:9000" { Service = Desk; Shard = 1; DataCentre = Sliven; Version = v1; };
Declare Target "10.0.0.4:9000" { Service = Desk; Shard = 1; DataCentre = Yambol; Version = v1; };
`

func newFollower(s *fakeStore) *Follower {
	return New(s.store(), clockwork.NewRealClock(), zap.NewNop())
}

func TestProposeAndLoad(t *testing.T) {
	// Guards against a started instance that misses accepted changes.
	Convey("A change accepted by one follower is loaded by another", t, func() {
		s := newFakeStore(1)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		a, b := newFollower(s), newFollower(s)
		g, err := a.Propose(ctx, deskText, "ivan")
		So(err, ShouldBeNil)
		So(g, ShouldEqual, jujubegate.Generation(1))
		So(a.Current().Generation(), ShouldEqual, g)
		So(b.Load(ctx), ShouldBeNil)
		So(b.Current(), ShouldResemble, a.Current())
		So(b.Current().Serving("Desk", OldVersion, nil), ShouldHaveLength, 4)
	})
}
