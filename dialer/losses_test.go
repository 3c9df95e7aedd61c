package dialer

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestLossesTellRestarts(t *testing.T) {
	// Guards against a cold start for each connection that a target closes, and
	// against a restart that new connections hide.
	const old, opened = 0, 1
	at := func(ms int) time.Time { return time.Unix(0, 0).Add(time.Duration(ms) * time.Millisecond) }
	cases := []struct {
		name      string
		events    func(s *losses)
		checked   int
		broken    bool
		restarted bool
	}{
		{"nothing", func(*losses) {}, 0, false, false},
		{"the only connection", func(s *losses) { s.lost(&conn{era: old}, 0, at(0)) }, 1, true, true},
		{"one of two", func(s *losses) { s.lost(&conn{era: old}, 1, at(0)) }, 1, true, false},
		{"two of two", func(s *losses) {
			s.lost(&conn{era: old}, 1, at(0))
			s.lost(&conn{era: old}, 0, at(1))
		}, 1, true, true},
		{"two of two, one opened between", func(s *losses) {
			s.lost(&conn{era: old}, 1, at(0))
			s.lost(&conn{era: old}, 1, at(1))
		}, 1, true, true},
		{"one of two, and the one opened since", func(s *losses) {
			s.lost(&conn{era: old}, 1, at(0))
			s.lost(&conn{era: opened}, 1, at(1))
		}, 1, true, false},
		{"one of two, the other closed by this side", func(s *losses) {
			s.lost(&conn{era: old}, 1, at(0))
			s.ended(&conn{era: old})
		}, 1, true, true},
		{"two of two, but long apart", func(s *losses) {
			s.lost(&conn{era: old}, 1, at(0))
			s.take(at(3000))
			s.lost(&conn{era: old}, 1, at(3001))
		}, 3002, true, false},
	}
	Convey("Closed connections", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				s := &losses{}
				c.events(s)
				broken, restarted := s.take(at(c.checked))
				So(broken, ShouldEqual, c.broken)
				So(restarted, ShouldEqual, c.restarted)
				again, _ := s.take(at(c.checked))
				So(again, ShouldBeFalse)
			})
		}
		Convey("with a refused connection after them are a restart", func() {
			s := &losses{}
			So(s.unreachable(), ShouldBeFalse)
			s.lost(&conn{}, 1, at(0))
			So(s.unreachable(), ShouldBeTrue)
		})
	})
}
