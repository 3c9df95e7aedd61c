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

// run runs a request to its end, and reports whether the limit allowed it.
func (d *driver) run(k Kind, took time.Duration) bool {
	t, ok := d.Acquire(d.now)
	if !ok {
		return false
	}
	d.now = d.now.Add(took)
	d.Finish(t, Result{Kind: k, Latency: took}, d.now)
	return true
}

func (d *driver) runMany(n int, k Kind, took time.Duration) {
	for range n {
		d.run(k, took)
	}
}

// warm sends requests until the target is warm.
func (d *driver) warm() *driver {
	for d.Limit(d.now) < bounds.Slots {
		d.Report(jujubegate.Warm, d.now)
		d.run(Answered, warmTime)
	}
	return d
}

func TestLimitFollowsEvents(t *testing.T) {
	// Guards against a limiter that ignores a sign of a cold or failing target,
	// or that never raises the limit again.
	cases := []struct {
		name   string
		events func(d *driver)
		limit  int
		state  jujubegate.TargetState
	}{
		{"new", func(*driver) {}, 1, jujubegate.Cold},
		{"answers without a load report grow slowly", func(d *driver) {
			d.runMany(initialStreak, Answered, warmTime)
		}, 1, jujubegate.Cold},
		{"new, reported warm too few times", func(d *driver) {
			for range initialWarmReports - 1 {
				d.Report(jujubegate.Warm, d.now)
				d.runMany(maxStreak, Answered, warmTime)
			}
		}, 1, jujubegate.Cold},
		{"of a known service, reported warm once", func(d *driver) {
			d.SetExpectedTime(warmTime)
			d.Report(jujubegate.Warm, d.now)
			d.runMany(initialStreak, Answered, warmTime)
		}, 2, jujubegate.Cold},
		{"reported cold holds the cold limit", func(d *driver) {
			for range 1000 {
				d.Report(jujubegate.Cold, d.now)
				d.run(Answered, warmTime)
			}
		}, 1, jujubegate.Cold},
		{"warm", func(d *driver) { d.warm() }, 4, jujubegate.Warm},
		{"one slow answer reduces the limit", func(d *driver) { d.warm().run(Answered, slowTime) }, 1, jujubegate.Warm},
		{"a normal answer restores the limit", func(d *driver) {
			d.warm().run(Answered, slowTime)
			d.run(Answered, warmTime)
		}, 4, jujubegate.Warm},
		{"timeouts within the normal time say nothing", func(d *driver) {
			d.warm().runMany(maxFailures, TimedOut, warmTime)
		}, 4, jujubegate.Warm},
		{"four long timeouts turn it cold", func(d *driver) { d.warm().runMany(4, TimedOut, slowTime) }, 1, jujubegate.Cold},
		{"three slow answers reduce the limit", func(d *driver) { d.warm().runMany(3, Answered, slowTime) }, 1, jujubegate.Warm},
		{"four slow answers turn it cold", func(d *driver) { d.warm().runMany(4, Answered, slowTime) }, 1, jujubegate.Cold},
		{"a closed connection reduces the limit", func(d *driver) {
			d.warm().ConnectionLost(d.now)
			d.ConnectionLost(d.now)
		}, 1, jujubegate.Warm},
		{"a shed request turns it cold", func(d *driver) { d.warm().run(Shed, time.Millisecond) }, 1, jujubegate.Cold},
		{"a broken connection turns it cold", func(d *driver) { d.warm().run(Broken, time.Millisecond) }, 1, jujubegate.Cold},
		{"a restart turns it cold", func(d *driver) { d.warm().Restarted(d.now) }, 1, jujubegate.Cold},
		{"reported cold again", func(d *driver) { d.warm().Report(jujubegate.Cold, d.now) }, 1, jujubegate.Cold},
		{"a report before a restart does not count", func(d *driver) {
			d.warm().Report(jujubegate.Warm, d.now)
			d.Restarted(d.now)
			d.runMany(maxStreak/2, Answered, warmTime)
		}, 1, jujubegate.Cold},
		{"still a few times slower stays at the cold limit", func(d *driver) {
			d.warm().Restarted(d.now)
			for range 100 {
				d.Report(jujubegate.Warm, d.now)
				d.run(Answered, 3*warmTime)
			}
		}, 1, jujubegate.Cold},
		{"a lasting new service time is learned", func(d *driver) {
			d.warm().Restarted(d.now)
			for range relearnAfter + 2*maxStreak {
				d.Report(jujubegate.Warm, d.now)
				d.run(Answered, slowTime)
			}
		}, 4, jujubegate.Warm},
		{"an error of the target is an answer", func(d *driver) { d.warm().runMany(9, Answered, warmTime) }, 4, jujubegate.Warm},
		{"draining", func(d *driver) { d.warm().run(Draining, 0) }, 0, jujubegate.Draining},
		{"a report within the hold time does not end the draining", func(d *driver) {
			d.warm().Drain(d.now)
			d.now = d.now.Add(drainHoldTime / 2)
			d.Report(jujubegate.Warm, d.now)
		}, 0, jujubegate.Draining},
		{"a report after the hold time ends the draining", func(d *driver) {
			d.warm().Drain(d.now)
			d.now = d.now.Add(drainHoldTime)
			d.Report(jujubegate.Warm, d.now)
		}, 1, jujubegate.Cold},
		{"a report after a restart ends the draining", func(d *driver) {
			d.warm().Drain(d.now)
			d.Restarted(d.now)
			d.Report(jujubegate.Warm, d.now)
		}, 1, jujubegate.Cold},
		{"failures eject", func(d *driver) { d.warm().runMany(maxFailures, BadAnswer, warmTime) }, 0, jujubegate.Ejected},
		{"failures with a success between them do not eject", func(d *driver) {
			d.warm().runMany(maxFailures-1, BadAnswer, warmTime)
			d.run(Answered, warmTime)
			d.runMany(maxFailures-1, BadAnswer, warmTime)
		}, 4, jujubegate.Warm},
		{"unreachable load reports eject", func(d *driver) {
			for range maxFailures {
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
	// Guards against ejections of unbounded duration, and against more than one
	// probe at a time.
	Convey("An ejected target that keeps failing", t, func() {
		d := newDriver().warm()
		d.runMany(maxFailures, BadAnswer, 0)
		want := minEjection
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
			want = min(want*2, maxEjection)
		}
		d.now = d.now.Add(maxEjection)
		Convey("is cold after one successful probe", func() {
			So(d.run(Answered, warmTime), ShouldBeTrue)
			So(d.State(d.now), ShouldEqual, jujubegate.Cold)
			So(d.Limit(d.now), ShouldEqual, bounds.ColdLimit)
		})
		So(d.violations, ShouldEqual, 0)
	})
}

func TestAbandonedRequestsCount(t *testing.T) {
	// Guards against requests above the limit of a cold target that still runs a
	// cancelled one.
	Convey("A cold target with an abandoned request", t, func() {
		d := newDriver()
		abandoned, _ := d.Acquire(d.now)
		d.Abandon(abandoned, Result{Kind: Cancelled}, d.now)
		So(d.Available(d.now), ShouldEqual, 0)
		Convey("is free when the connection has closed", func() {
			d.Closed(abandoned, d.now)
			So(d.Available(d.now), ShouldEqual, 1)
		})
		Convey("is free after the grace period", func() {
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
	// Guards against a check that never reports a violation.
	Convey("A request beyond the limit is a violation", t, func() {
		d := newDriver()
		d.requests.add(d.now)
		d.requests.add(d.now)
		d.checkLimit(d.now)
		So(d.violations, ShouldEqual, 1)
	})
}
