package leaser_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/leaser"
	"jujubegate.example/jujubegate/storer"
)

// memory is a store in memory that loses every second answer to a write.
type memory struct {
	mu     sync.Mutex
	object storer.Object
	puts   int
}

func (m *memory) store() storer.Store {
	return storer.Store{
		Get: func(context.Context, string) (storer.Object, error) {
			m.mu.Lock()
			defer m.mu.Unlock()
			if m.object.Version == 0 {
				return storer.Object{}, storer.ErrNotFound
			}
			return m.object, nil
		},
		Put: func(_ context.Context, key string, value []byte, version int64) (storer.Object, error) {
			m.mu.Lock()
			defer m.mu.Unlock()
			if m.object.Version != version {
				return storer.Object{}, storer.ErrConflict
			}
			m.object = storer.Object{Key: key, Version: version + 1, Value: value}
			if m.puts++; m.puts%2 == 1 {
				return storer.Object{}, storer.ErrUnknown
			}
			return m.object, nil
		},
	}
}

// quick returns intervals of a tenth of the defaults.
func quick() leaser.Timing {
	t := leaser.DefaultTiming()
	for _, d := range []*time.Duration{
		&t.Heartbeat, &t.Suspicion, &t.Lease, &t.Margin, &t.GoneHold, &t.ReadInterval, &t.ProposalDelay, &t.ProposalStep, &t.Tick,
	} {
		*d /= 10
	}
	return t
}

func eventually(condition func() bool) bool {
	for range 1000 {
		if condition() {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

func TestLeaserRuns(t *testing.T) {
	// Guards against a runner that loses inputs, races with its queries or
	// leaves goroutines behind.
	defer goleak.VerifyNone(t)
	Convey("Three instances form a view, follow a generation, and one leaves", t, func() {
		var mem memory
		var mu sync.Mutex
		all := map[string]*leaser.Leaser{}
		later := make(chan jujubegate.Generation, 1000)
		views := make(chan leaser.View, 1000)
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		start := func(i int) *leaser.Leaser {
			address := fmt.Sprintf("a%d", i)
			// The last instance is ahead in configuration, the others follow.
			var generation atomic.Int64
			generation.Store(int64(1 + i/2))
			l := leaser.New(leaser.Options{
				Self: leaser.Member{
					Instance: jujubegate.Instance(fmt.Sprintf("i%d", i)), Incarnation: "1", PeerAddress: address,
				},
				Cell: "all", Timing: quick(), Store: mem.store(), Clock: clockwork.NewRealClock(),
				Heartbeat: func(_ context.Context, to leaser.Member, r leaser.HeartbeatRequest) (leaser.HeartbeatAnswer, error) {
					mu.Lock()
					peer := all[to.PeerAddress]
					mu.Unlock()
					if peer == nil {
						return leaser.HeartbeatAnswer{}, context.DeadlineExceeded
					}
					return peer.HandleHeartbeat(r), nil
				},
				ListInstances: func(context.Context) (leaser.Listing, bool) { return leaser.Listing{}, false },
				Generation:    func() jujubegate.Generation { return jujubegate.Generation(generation.Load()) },
				OnGeneration: func(_ leaser.Member, g jujubegate.Generation) {
					generation.Store(int64(g))
					later <- g
				},
				OnView:      func(v leaser.View) { views <- v },
				WaitDrained: func(context.Context, leaser.View) error { return nil },
			})
			mu.Lock()
			all[address] = l
			mu.Unlock()
			running.Go(func() { _ = l.Run(ctx) })
			return l
		}
		ls := []*leaser.Leaser{start(0), start(1), start(2)}
		members := func(n int, ls ...*leaser.Leaser) func() bool {
			return func() bool {
				for _, l := range ls {
					if len(l.View().Members) != n || !l.MayOwnTargets(time.Now()) {
						return false
					}
				}
				return true
			}
		}
		So(eventually(members(3, ls...)), ShouldBeTrue)
		So(<-later, ShouldEqual, jujubegate.Generation(2))
		So((<-views).Epoch, ShouldBeGreaterThan, jujubegate.Epoch(0))
		So(ls[0].Peers(), ShouldHaveLength, 2)
		So(ls[0].Peers()[0].Member.Instance, ShouldEqual, jujubegate.Instance("i1"))

		limit, done := context.WithTimeout(ctx, 10*time.Second)
		defer done()
		So(ls[2].Leave(limit), ShouldBeNil)
		So(ls[2].State().Self.Leaving, ShouldBeTrue)
		So(ls[2].MayOwnTargets(time.Now()), ShouldBeFalse)
		So(eventually(members(2, ls[0], ls[1])), ShouldBeTrue)
		id := leaser.ID{Instance: "i2", Incarnation: "1"}
		So(eventually(func() bool { return ls[0].Releases()[id] > 0 }), ShouldBeTrue)

		cancel()
		running.Wait()
		So(eventually(func() bool { return !ls[0].Serving(time.Now()) }), ShouldBeTrue)
		ended, stop := context.WithCancel(context.Background())
		stop()
		So(ls[0].Leave(ended), ShouldNotBeNil)
	})
}
