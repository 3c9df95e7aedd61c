package tracker

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"

	"jujubegate.example/jujubegate"
)

func TestNewVersionGetsRequestsBeforeMoveIsKnown(t *testing.T) {
	// Guards against targets of a new version that are listed before the move to it has
	// been read and get as many requests as the others until then.
	version := func(n int, v jujubegate.Version) Entry {
		e := entry(n)
		e.Version = v
		return e
	}
	old, next := []Entry{version(1, "v1"), version(2, "v1")}, []Entry{version(1, "v1"), version(2, "v1"), version(3, "v2"), version(4, "v2")}
	cases := []struct {
		name  string
		lists [][]Entry
		// confirmed is when the moves were last confirmed, after the last list.
		confirmed time.Duration
		want      int
	}{
		{"moves known before", [][]Entry{old, next}, -time.Millisecond, 2},
		{"moves known since", [][]Entry{old, next}, time.Millisecond, 4},
		{"moves known between two targets", [][]Entry{old, next[:3], next}, -time.Millisecond, 3},
		{"first list", [][]Entry{next}, -time.Hour, 4},
		{"another target of a known version", [][]Entry{old[:1], old}, -time.Millisecond, 2},
		{"written again while held", [][]Entry{old, next, next}, -2 * time.Second, 2},
	}
	Convey("The targets that new requests may use", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				clock := clockwork.NewFakeClock()
				tr := newTracker(clock)
				var confirmed time.Time
				tr.settings.MovesConfirmed = func() time.Time { return confirmed }
				for _, list := range c.lists {
					clock.Advance(time.Second)
					tr.Update(list, ago(clock, 0))
				}
				confirmed = clock.Now().Add(c.confirmed)
				tr.sweep()
				So(len(tr.Replicas("s")), ShouldEqual, c.want)
			})
		}
	})
}
