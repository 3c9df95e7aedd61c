package tracker

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/balancer"
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
		tr.ObservePause(r, connector.Pause{Asked: true})
		So([]int64{tr.PausesAsked(), tr.PausesUnreadable()}, ShouldResemble, []int64{1, 1})
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

func TestPauseEndsWithChangeOfTarget(t *testing.T) {
	// Guards against requests to a paused target because something else about it changes
	// or holds requests back too.
	cold := entry(1)
	cold.ColdFor = 5 * time.Second
	moved := entry(1)
	moved.Service, moved.Version = "s2", "v2"
	restarted := entry(1)
	restarted.Started++
	cases := []struct {
		name   string
		change func(clock *clockwork.FakeClock, tr *Tracker, r *Replica)
		want   bool
	}{
		{"nothing", func(*clockwork.FakeClock, *Tracker, *Replica) {}, false},
		{"it is listed as cold", func(clock *clockwork.FakeClock, tr *Tracker, _ *Replica) {
			tr.Update([]Entry{cold}, ago(clock, 0))
		}, false},
		{"it is listed with another range and version", func(clock *clockwork.FakeClock, tr *Tracker, _ *Replica) {
			tr.Update([]Entry{moved}, ago(clock, 0))
		}, false},
		{"it names a limit, which ends", func(clock *clockwork.FakeClock, tr *Tracker, r *Replica) {
			tr.ObserveLimit(r, connector.Limit{Named: true, Valid: true, PerSecond: 100}, clock.Now())
			tr.ObserveLimit(r, connector.Limit{}, clock.Now().Add(time.Second))
		}, false},
		{"its data centre is evacuated and returns", func(clock *clockwork.FakeClock, tr *Tracker, r *Replica) {
			tr.SetOutOfService(jujubegate.Set[jujubegate.DataCentre]{}.With(r.Entry().DataCentre))
			tr.SetOutOfService(jujubegate.Set[jujubegate.DataCentre]{})
		}, false},
		{"it fails answers", func(clock *clockwork.FakeClock, _ *Tracker, r *Replica) {
			for range 20 {
				r.Begin(clock.Now())
				r.Done(clock.Now(), balancer.Failed, time.Millisecond)
			}
		}, false},
		{"it starts again", func(clock *clockwork.FakeClock, tr *Tracker, _ *Replica) {
			tr.Update([]Entry{restarted}, ago(clock, 0))
		}, true},
	}
	Convey("A paused target", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				clock := clockwork.NewFakeClock()
				tr := newTracker(clock)
				tr.share = 1
				tr.Update([]Entry{entry(1)}, ago(clock, 0))
				r := tr.Replicas("s")[0]
				tr.ObservePause(r, connector.Pause{Asked: true, Valid: true, For: 3 * time.Second})
				c.change(clock, tr, r)
				clock.Advance(2 * time.Second)
				list := append(tr.Replicas("s"), tr.Replicas("s2")...)
				So(list, ShouldHaveLength, 1)
				now := clock.Now()
				So(list[0].Admissible(now) && list[0].Permit(now, false), ShouldEqual, c.want)
			})
		}
	})
}
