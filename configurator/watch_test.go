package configurator

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/storer"
)

func TestRunIdleRate(t *testing.T) {
	// Guards against a busy loop, and against calling a failing store more often
	// than necessary.
	cases := []struct {
		name    string
		watcher bool
		objects bool
		err     error
		low     int
		high    int
	}{
		{"not a watcher", false, false, nil, 0, 0},
		{"watch returns nothing at once", true, false, nil, 90, 220},
		{"watch returns known changes", true, true, nil, 90, 220},
		{"store fails", true, false, storer.ErrUnavailable, 8, 40},
	}
	const simulated = 100 * time.Second
	Convey("Number of watches in 100 s", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
				s := newFakeStore(1)
				proposeAll(t, newFollower(s), deskText)
				calls := 0 // read after Run has ended
				store := s.store()
				store.Watch = func(ctx context.Context, prefix string, _ int64, _ time.Duration) ([]storer.Object, error) {
					calls++
					if c.objects {
						return s.list(ctx, prefix, "", 10)
					}
					return nil, c.err
				}
				clock := clockwork.NewFakeClock()
				f := New(store, clock, zap.NewNop())
				f.IsWatcher = func() bool { return c.watcher }
				// A follower that never waits would block the test without a limit.
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				done := make(chan error, 1)
				go func() { done <- f.Run(ctx) }()
				for range simulated / (100 * time.Millisecond) {
					if err := clock.BlockUntilContext(ctx, 1); err != nil {
						cancel()
						<-done
						t.Fatal(err)
					}
					clock.Advance(100 * time.Millisecond)
				}
				cancel()
				So(<-done, ShouldEqual, context.Canceled)
				t.Logf("%s: %d", c.name, calls)
				So(calls, ShouldBeGreaterThanOrEqualTo, c.low)
				So(calls, ShouldBeLessThanOrEqualTo, c.high)
				So(f.Current().Generation(), ShouldEqual, jujubegate.Generation(1))
			})
		}
	})
}

func TestRunFollowsAndWritesSnapshots(t *testing.T) {
	// Guards against a watcher that misses changes or never writes a snapshot.
	Convey("A watcher applies the changes of another instance", t, func() {
		defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
		s := newFakeStore(1)
		source := newFollower(s)
		f := New(s.store(), fastClock{clockwork.NewRealClock()}, zap.NewNop())
		f.IsWatcher = func() bool { return true }
		var pushed atomic.Int64
		f.OnChange = func(changes []Change) { pushed.Add(int64(len(changes))) }
		proposeAll(t, source, deskText)
		So(f.Load(context.Background()), ShouldBeNil)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		done := make(chan error, 1)
		go func() { done <- f.Run(ctx) }()
		for i := 2; i <= 70; i++ {
			proposeAll(t, source, alterSlots(i))
		}
		for (f.Current().Generation() < 70 || f.storedSnapshot.Load() < snapshotInterval) && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		So(pushed.Load(), ShouldEqual, 69)
		So(f.Current(), ShouldResemble, source.Current())
		So(f.ConfirmedAt(), ShouldHappenWithin, time.Minute, time.Now())
		cancel()
		<-done
		snapshot, version, err := f.log.ReadSnapshot(context.Background())
		So(err, ShouldBeNil)
		So(version, ShouldBeGreaterThan, 0)
		So(snapshot.Generation, ShouldBeGreaterThanOrEqualTo, jujubegate.Generation(snapshotInterval))
	})
}
