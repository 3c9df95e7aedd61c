package tracker

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"
)

func TestExpiredEntriesWaitForReads(t *testing.T) {
	// Guards against live targets that are given up while the store is away once more
	// before they could write their entries again, and against targets that are used for
	// good because they never do.
	const never = -1
	cases := []struct {
		name string
		// confirmedAfter is the time from the end of the outage to the latest read,
		// outageAgainAfter that to the end of another outage.
		confirmedAfter, outageAgainAfter time.Duration
		at                               time.Duration
		usable                           bool
	}{
		{"soon after the outage", time.Second, never, 2 * time.Second, true},
		{"read again, still missing", 2500 * time.Millisecond, never, 2800 * time.Millisecond, false},
		{"not read again", 500 * time.Millisecond, never, 6 * time.Second, true},
		{"read only before it could be written again", 1900 * time.Millisecond, never, 6 * time.Second, true},
		{"right after another outage", 6100 * time.Millisecond, 6 * time.Second, 6100 * time.Millisecond, true},
		{"some time after another outage", 8 * time.Second, 6 * time.Second, 8500 * time.Millisecond, true},
		{"still missing after another outage", 8500 * time.Millisecond, 6 * time.Second, 8800 * time.Millisecond, false},
	}
	Convey("Two targets whose entries expired in an outage of the store", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				clock := clockwork.NewFakeClock()
				endedAt := clock.Now()
				tr := newTracker(clock)
				tr.settings.StoreReads = func() StoreReads {
					reads := StoreReads{ConfirmedAt: endedAt.Add(c.confirmedAfter)}
					if c.outageAgainAfter != never {
						reads.OutageEndedAt = endedAt.Add(c.outageAgainAfter)
					}
					return reads
				}
				tr.Update([]Entry{entry(0), entry(1)}, Recency{})
				tr.Update(nil, afterOutage(clock, 4*time.Second))
				clock.Advance(c.at)
				tr.sweep()
				want := 0
				if c.usable {
					want = 2
				}
				So(tr.Replicas("s"), ShouldHaveLength, want)
				for _, r := range tr.Replicas("s") {
					So(r.Usable(clock.Now()), ShouldBeTrue)
				}
			})
		}
	})
}
