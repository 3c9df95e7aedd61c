package limiter

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// runRequest makes the calls to the limiter for one sub-request.
func runRequest(l *Limiter, now time.Time) time.Time {
	t, _ := l.Acquire(now)
	now = now.Add(warmTime)
	l.Finish(t, Result{Kind: Answered, Latency: warmTime}, now)
	return now
}

func BenchmarkDecision(b *testing.B) {
	d := newDriver().warm()
	now := d.now
	b.ReportAllocs()
	for b.Loop() {
		now = runRequest(d.Limiter, now)
	}
}

func TestDecisionDoesNotAllocate(t *testing.T) {
	// Guards against allocations per sub-request.
	Convey("A decision allocates nothing", t, func() {
		d := newDriver().warm()
		now := d.now
		So(testing.AllocsPerRun(1000, func() {
			now = runRequest(d.Limiter, now)
			t, _ := d.Acquire(now)
			d.Abandon(t, Result{Kind: Cancelled}, now)
			d.Closed(t, now)
		}), ShouldEqual, 0)
	})
}
