package estimator

import (
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"
)

const ms = time.Millisecond

func request(budget time.Duration) Request {
	return Request{Route: "r", Objective: 60 * ms, Timeout: 600 * ms, Budget: budget, Trip: 6 * ms}
}

func TestEstimate(t *testing.T) {
	// Guards against one reserve for all callers: requests after a lookup on a new
	// connection were answered too late, the others 18 ms earlier than needed and
	// without the shards that came in that time.
	usual := []time.Duration{600 * ms, 585 * ms, 600 * ms, 585 * ms, 576 * ms, 600 * ms, 585 * ms, 600 * ms}
	cases := []struct {
		name          string
		before        []time.Duration
		last          time.Duration
		trip, elapsed time.Duration
	}{
		{"the first of all", nil, 600 * ms, 3 * ms, 0},
		{"the first of all, after a lookup", nil, 585 * ms, 3 * ms, 15 * ms},
		{"kept connection", usual, 600 * ms, 3 * ms, 0},
		{"looked up first", usual, 585 * ms, 3 * ms, 15 * ms},
		{"looked up, new connection", usual, 576 * ms, 3 * ms, 24 * ms},
		{"repeated by the caller", usual, 400 * ms, 3 * ms, 0},
		{"other callers wait longer", append([]time.Duration{1000 * ms, 1000 * ms, 993 * ms, 1000 * ms}, usual...), 585 * ms, 3 * ms, 15 * ms},
		{"a caller that waits a little longer", append([]time.Duration{620 * ms}, usual...), 585 * ms, 3 * ms, 15 * ms},
		{"few were seen, none from the start", []time.Duration{585 * ms, 576 * ms}, 585 * ms, 3 * ms, 15 * ms},
		{"callers wait for less than the route's timeout", slices.Repeat([]time.Duration{580 * ms, 580 * ms, 565 * ms}, 10), 565 * ms, 3 * ms, 15 * ms},
	}
	Convey("A request", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				e := New(clockwork.NewFakeClock())
				for _, budget := range c.before {
					e.ObserveRequest(request(budget))
				}
				So(e.ObserveRequest(request(c.last)), ShouldResemble, Estimate{Before: c.trip + c.elapsed, After: 3*ms + defaultWork + margin})
			})
		}
	})
	Convey("Of a far caller more time passes on the way", t, func() {
		r := request(600 * ms)
		r.Trip = 16 * ms
		So(New(clockwork.NewFakeClock()).ObserveRequest(r), ShouldResemble, Estimate{Before: 8 * ms, After: 8*ms + defaultWork + margin})
	})
}

func TestEstimatesFollowTheCallers(t *testing.T) {
	// Guards against an observation that counts for ever, such as the time of callers
	// that were changed since.
	clock := clockwork.NewFakeClock()
	e := New(clock)
	for range 100 {
		e.ObserveRequest(request(340 * ms))
		e.ObserveAnswer(30 * ms)
	}
	Convey("Observations are forgotten after two windows", t, func() {
		So(e.ObserveRequest(request(300*ms)), ShouldResemble, Estimate{43 * ms, 3*ms + margin + e.workTime(60*ms)})
		So(e.workTime(60*ms), ShouldEqual, 12*ms)
		So(e.workTime(time.Second), ShouldAlmostEqual, 30*ms, float64(ms))
		for range 3 {
			clock.Advance(window)
			for range 100 {
				e.ObserveRequest(request(300 * ms))
				e.ObserveAnswer(2 * ms)
			}
		}
		So(e.ObserveRequest(request(300*ms)), ShouldResemble, Estimate{3 * ms, 3*ms + margin + e.workTime(60*ms)})
		So(e.workTime(60*ms), ShouldAlmostEqual, 2*ms, float64(ms)/10)
	})
}

func TestLeft(t *testing.T) {
	// Guards against a request that is late already and is answered at once without
	// most of its shards.
	cases := []struct {
		name     string
		estimate Estimate
		want     time.Duration
		inTime   bool
	}{
		{"early", Estimate{3 * ms, 5 * ms}, 52 * ms, true},
		{"nearly late", Estimate{50 * ms, 5 * ms}, 5 * ms, true},
		{"late", Estimate{60 * ms, 5 * ms}, 55 * ms, false},
		{"no time at all", Estimate{0, 70 * ms}, 0, false},
	}
	Convey("Of an objective of 60 ms is left", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				left, inTime := c.estimate.Left(60 * ms)
				So(left, ShouldEqual, c.want)
				So(inTime, ShouldEqual, c.inTime)
			})
		}
	})
}
