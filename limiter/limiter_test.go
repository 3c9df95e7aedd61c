package limiter

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"jujubegate.example/jujubegate"
)

var (
	epoch  = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	bounds = Settings{Slots: 4, ColdLimit: 1, Connections: 25}
)

const (
	warmTime = 10 * time.Millisecond
	slowTime = 200 * time.Millisecond
)

// driver runs a limiter in virtual time.
type driver struct {
	*Limiter
	now        time.Time
	violations int
}

func newDriver() *driver {
	d := &driver{Limiter: New(bounds, epoch), now: epoch}
	d.Violation = func(string, string) { d.violations++ }
	return d
}

// one runs a request to its end and reports whether it could start.
func (d *driver) one(k Kind, took time.Duration) bool {
	t, ok := d.Acquire(d.now)
	if !ok {
		return false
	}
	d.now = d.now.Add(took)
	d.Finish(t, Result{Kind: k, Latency: took}, d.now)
	return true
}

func (d *driver) many(n int, k Kind, took time.Duration) {
	for range n {
		d.one(k, took)
	}
}

// warm brings the target to its slots.
func (d *driver) warm() *driver {
	for d.Limit(d.now) < bounds.Slots {
		d.Report(jujubegate.Warm, d.now)
		d.one(Answered, warmTime)
	}
	return d
}

func TestLimitFollowsEvents(t *testing.T) {
	// Guards against a ramp that ignores a sign of cold or never recovers.
	cases := []struct {
		name   string
		events func(d *driver)
		limit  int
		state  jujubegate.TargetState
	}{
		{"new", func(*driver) {}, 1, jujubegate.Cold},
		{"answers without a load report grow slowly", func(d *driver) {
			d.many(newStreak, Answered, warmTime)
		}, 1, jujubegate.Cold},
		{"new, reported warm too few times", func(d *driver) {
			for range newReports - 1 {
				d.Report(jujubegate.Warm, d.now)
				d.many(maxStreak, Answered, warmTime)
			}
		}, 1, jujubegate.Cold},
		{"of a known service, reported warm once", func(d *driver) {
			d.SetExpectedTime(warmTime)
			d.Report(jujubegate.Warm, d.now)
			d.many(newStreak, Answered, warmTime)
		}, 2, jujubegate.Cold},
		{"reported cold holds the cold limit", func(d *driver) {
			for range 1000 {
				d.Report(jujubegate.Cold, d.now)
				d.one(Answered, warmTime)
			}
		}, 1, jujubegate.Cold},
		{"warm", func(d *driver) { d.warm() }, 4, jujubegate.Warm},
		{"one slow answer clamps", func(d *driver) { d.warm().one(Answered, slowTime) }, 1, jujubegate.Warm},
		{"a normal answer ends the clamp", func(d *driver) {
			d.warm().one(Answered, slowTime)
			d.one(Answered, warmTime)
		}, 4, jujubegate.Warm},
		{"time-outs within the normal time say nothing", func(d *driver) {
			d.warm().many(ejectAfter, TimedOut, warmTime)
		}, 4, jujubegate.Warm},
		{"long time-outs are cold", func(d *driver) { d.warm().many(4, TimedOut, slowTime) }, 1, jujubegate.Cold},
		{"three slow answers clamp", func(d *driver) { d.warm().many(3, Answered, slowTime) }, 1, jujubegate.Warm},
		{"four slow answers are cold", func(d *driver) { d.warm().many(4, Answered, slowTime) }, 1, jujubegate.Cold},
		{"a closed connection clamps", func(d *driver) {
			d.warm().Suspect(d.now)
			d.Suspect(d.now)
		}, 1, jujubegate.Warm},
		{"shed is cold", func(d *driver) { d.warm().one(Shed, time.Millisecond) }, 1, jujubegate.Cold},
		{"broken is cold", func(d *driver) { d.warm().one(Broken, time.Millisecond) }, 1, jujubegate.Cold},
		{"restart is cold", func(d *driver) { d.warm().Restarted(d.now) }, 1, jujubegate.Cold},
		{"reported cold again", func(d *driver) { d.warm().Report(jujubegate.Cold, d.now) }, 1, jujubegate.Cold},
		{"a report before the turn does not count", func(d *driver) {
			d.warm().Report(jujubegate.Warm, d.now)
			d.Restarted(d.now)
			d.many(maxStreak/2, Answered, warmTime)
		}, 1, jujubegate.Cold},
		{"still a few times slower stays at the cold limit", func(d *driver) {
			d.warm().Restarted(d.now)
			for range 100 {
				d.Report(jujubegate.Warm, d.now)
				d.one(Answered, 3*warmTime)
			}
		}, 1, jujubegate.Cold},
		{"a lasting new service time is learned", func(d *driver) {
			d.warm().Restarted(d.now)
			for range relearnAfter + 2*maxStreak {
				d.Report(jujubegate.Warm, d.now)
				d.one(Answered, slowTime)
			}
		}, 4, jujubegate.Warm},
		{"an error of the target is an answer", func(d *driver) { d.warm().many(9, Answered, warmTime) }, 4, jujubegate.Warm},
		{"draining", func(d *driver) { d.warm().one(Draining, 0) }, 0, jujubegate.Draining},
		{"a stale report does not call a draining target back", func(d *driver) {
			d.warm().Drain(d.now)
			d.now = d.now.Add(drainHold / 2)
			d.Report(jujubegate.Warm, d.now)
		}, 0, jujubegate.Draining},
		{"a later report does", func(d *driver) {
			d.warm().Drain(d.now)
			d.now = d.now.Add(drainHold)
			d.Report(jujubegate.Warm, d.now)
		}, 1, jujubegate.Cold},
		{"so does a report after a restart", func(d *driver) {
			d.warm().Drain(d.now)
			d.Restarted(d.now)
			d.Report(jujubegate.Warm, d.now)
		}, 1, jujubegate.Cold},
		{"failures eject", func(d *driver) { d.warm().many(ejectAfter, BadAnswer, warmTime) }, 0, jujubegate.Ejected},
		{"a success between failures does not", func(d *driver) {
			d.warm().many(ejectAfter-1, BadAnswer, warmTime)
			d.one(Answered, warmTime)
			d.many(ejectAfter-1, BadAnswer, warmTime)
		}, 4, jujubegate.Warm},
		{"unreachable load reports eject", func(d *driver) {
			for range ejectAfter {
				d.Unreachable(d.now)
			}
		}, 0, jujubegate.Ejected},
	}
	Convey("A target", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				d := newDriver()
				c.events(d)
				So(d.Limit(d.now), ShouldEqual, c.limit)
				So(d.State(d.now), ShouldEqual, c.state)
				So(d.InFlight(d.now), ShouldEqual, 0)
				So(d.violations, ShouldEqual, 0)
			})
		}
	})
}

func TestEjectionTimeIsBounded(t *testing.T) {
	// Guards against ejections that grow without bound, or that send more than one probe.
	Convey("An ejected target that keeps failing", t, func() {
		d := newDriver().warm()
		d.many(ejectAfter, BadAnswer, 0)
		want := ejectBase
		for range 10 {
			So(d.State(d.now), ShouldEqual, jujubegate.Ejected)
			So(d.ejection.until.Sub(d.now), ShouldEqual, want)
			d.now = d.now.Add(want - 1)
			So(d.Limit(d.now), ShouldEqual, 0)
			d.now = d.now.Add(1)
			probe, ok := d.Acquire(d.now)
			So(ok, ShouldBeTrue)
			_, second := d.Acquire(d.now)
			So(second, ShouldBeFalse)
			d.Finish(probe, Result{Kind: TimedOut}, d.now)
			want = min(want*2, ejectMax)
		}
		d.now = d.now.Add(ejectMax)
		Convey("recovers cold with one good probe", func() {
			So(d.one(Answered, warmTime), ShouldBeTrue)
			So(d.State(d.now), ShouldEqual, jujubegate.Cold)
			So(d.Limit(d.now), ShouldEqual, bounds.ColdLimit)
		})
		So(d.violations, ShouldEqual, 0)
	})
}

func TestAbandonedRequestsCount(t *testing.T) {
	// Guards against sending to a cold target that still runs a cancelled request.
	Convey("A cold target with an abandoned request", t, func() {
		d := newDriver()
		abandoned, _ := d.Acquire(d.now)
		d.Abandon(abandoned, Result{Kind: Cancelled}, d.now)
		So(d.Available(d.now), ShouldEqual, 0)
		Convey("is free once the close was seen", func() {
			d.Closed(abandoned, d.now)
			So(d.Available(d.now), ShouldEqual, 1)
		})
		Convey("is free after the grace", func() {
			So(d.Available(d.now.Add(DefaultGrace-1)), ShouldEqual, 0)
			d.now = d.now.Add(DefaultGrace)
			So(d.Available(d.now), ShouldEqual, 1)
			Convey("and a late close frees no other request", func() {
				_, ok := d.Acquire(d.now)
				So(ok, ShouldBeTrue)
				d.Closed(abandoned, d.now)
				d.Finish(abandoned, Result{}, d.now)
				So(d.Available(d.now), ShouldEqual, 0)
			})
		})
	})
}

func TestConnectionBounds(t *testing.T) {
	// Guards against more connections to a cold target than it can accept.
	Convey("Connections", t, func() {
		d := newDriver()
		So(d.ConnectionBound(), ShouldEqual, bounds.ColdLimit+1)
		So(d.ConnectionsWanted(d.now), ShouldEqual, bounds.ColdLimit+1)
		d.warm()
		So(d.ConnectionBound(), ShouldEqual, bounds.Connections)
		So(d.ConnectionsWanted(d.now), ShouldEqual, bounds.Slots+1)
		d.Restarted(d.now)
		So(d.ConnectionBound(), ShouldEqual, bounds.ColdLimit+1)
		d.SetSettings(Settings{Slots: 2, ColdLimit: 2, Connections: 1})
		So(d.ConnectionBound(), ShouldEqual, 1)
		So(d.Limit(d.now), ShouldEqual, 2)
	})
}

func TestViolationIsReported(t *testing.T) {
	// Guards against a check that cannot fail.
	Convey("A request beyond the limit is a violation", t, func() {
		d := newDriver()
		d.flights.start(d.now)
		d.flights.start(d.now)
		d.check(d.now)
		So(d.violations, ShouldEqual, 1)
	})
}
