package tracker

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"

	"jujubegate.example/jujubegate/connector"
)

func TestTargetIsFloodedAfterItsPause(t *testing.T) {
	// Guards against all requests at once when a pause ends, against a target that stays
	// out of use because its test request was given up, and against a pause that a
	// shorter one cuts.
	clock := clockwork.NewFakeClock()
	tr := newTracker(clock)
	tr.Update([]Entry{entry(1)}, ago(clock, 0))
	r := tr.Replicas("s")[0]
	ask := func(d time.Duration) { tr.ObservePause(r, connector.Pause{Asked: true, Valid: true, For: d}) }
	permitted := func() int {
		n := 0
		for range 10 * maxReturning {
			if r.Admissible(clock.Now()) && r.Permit(clock.Now(), false) {
				n++
			}
		}
		return n
	}
	Convey("A target that has asked for a pause", t, func() {
		ask(3 * time.Second)
		ask(time.Second)
		So(permitted(), ShouldEqual, 0)
		So(r.MayHedge(clock.Now()), ShouldBeFalse)
		So(r.AdmitDelay(clock.Now()), ShouldEqual, 3*time.Second)
		So(tr.PausedCount(), ShouldEqual, 1)
		clock.Advance(2 * time.Second)
		So(permitted(), ShouldEqual, 0)
		clock.Advance(time.Second)
		So(permitted(), ShouldEqual, 1)
		r.EndPermitted(clock.Now(), false)
		So(permitted(), ShouldEqual, 1)
		for allowed := 1; allowed <= maxReturning; allowed *= 2 {
			for range allowed {
				r.EndPermitted(clock.Now(), false)
			}
			r.EndPermitted(clock.Now(), true)
			if allowed < maxReturning {
				So(permitted(), ShouldEqual, 2*allowed)
			}
		}
		So(permitted(), ShouldEqual, 10*maxReturning)
		So(tr.PausedCount(), ShouldEqual, 0)
		So(r.MayHedge(clock.Now()), ShouldBeTrue)
	})
}

func TestLimitKeepsTargetOutAfterItsPause(t *testing.T) {
	// Guards against a request that the pause allows and the named limit withholds: it
	// never ends, so that it must not count as one at the target.
	clock := clockwork.NewFakeClock()
	tr := newTracker(clock)
	tr.share = 0.5
	tr.Update([]Entry{entry(1)}, ago(clock, 0))
	r := tr.Replicas("s")[0]
	tr.ObserveLimit(r, connector.Limit{Named: true, Valid: true, PerSecond: 2}, clock.Now())
	tr.ObservePause(r, connector.Pause{Asked: true, Valid: true, For: 3 * time.Second})
	permitted := func() int {
		n := 0
		for range 10 {
			if r.Permit(clock.Now(), false) {
				n++
			}
		}
		return n
	}
	Convey("A target with a limit of one request a second that has asked for a pause", t, func() {
		So(permitted(), ShouldEqual, 0)
		clock.Advance(3 * time.Second)
		So(permitted(), ShouldEqual, 1)
		r.EndPermitted(clock.Now(), true)
		So(permitted(), ShouldEqual, 0)
		clock.Advance(time.Second)
		So(permitted(), ShouldEqual, 1)
		r.EndPermitted(clock.Now(), true)
		clock.Advance(time.Second)
		So(permitted(), ShouldEqual, 1)
	})
}
