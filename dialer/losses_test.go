package dialer

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestLossTrackerDetectsRestarts(t *testing.T) {
	// Guards against treating a target as restarted, and thus cold, whenever it
	// closes a single connection, and against missing a restart because new
	// connections were opened during it.
	const old, opened = 0, 1
	at := func(ms int) time.Time { return time.Unix(0, 0).Add(time.Duration(ms) * time.Millisecond) }
	cases := []struct {
		name      string
		events    func(s *lossTracker)
		checked   int
		lost      bool
		restarted bool
	}{
		{"none", func(*lossTracker) {}, 0, false, false},
		{"the only connection", func(s *lossTracker) { s.recordLoss(&conn{windowNumber: old}, 0, at(0)) }, 1, true, true},
		{"one of two", func(s *lossTracker) { s.recordLoss(&conn{windowNumber: old}, 1, at(0)) }, 1, true, false},
		{"two of two", func(s *lossTracker) {
			s.recordLoss(&conn{windowNumber: old}, 1, at(0))
			s.recordLoss(&conn{windowNumber: old}, 0, at(1))
		}, 1, true, true},
		{"two of two, another opened in between", func(s *lossTracker) {
			s.recordLoss(&conn{windowNumber: old}, 1, at(0))
			s.recordLoss(&conn{windowNumber: old}, 1, at(1))
		}, 1, true, true},
		{"one of two, and one opened since", func(s *lossTracker) {
			s.recordLoss(&conn{windowNumber: old}, 1, at(0))
			s.recordLoss(&conn{windowNumber: opened}, 1, at(1))
		}, 1, true, false},
		{"one of two, the other closed by this side", func(s *lossTracker) {
			s.recordLoss(&conn{windowNumber: old}, 1, at(0))
			s.recordClose(&conn{windowNumber: old})
		}, 1, true, true},
		{"two of two, in different windows", func(s *lossTracker) {
			s.recordLoss(&conn{windowNumber: old}, 1, at(0))
			s.check(at(3000))
			s.recordLoss(&conn{windowNumber: old}, 1, at(3001))
		}, 3002, true, false},
	}
	Convey("Closed connections", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				s := &lossTracker{}
				c.events(s)
				lost, restarted := s.check(at(c.checked))
				So(lost, ShouldEqual, c.lost)
				So(restarted, ShouldEqual, c.restarted)
				again, _ := s.check(at(c.checked))
				So(again, ShouldBeFalse)
			})
		}
		Convey("followed by a refused connection are a restart", func() {
			s := &lossTracker{}
			So(s.recordDialFailure(), ShouldBeFalse)
			s.recordLoss(&conn{}, 1, at(0))
			So(s.recordDialFailure(), ShouldBeTrue)
		})
	})
}
