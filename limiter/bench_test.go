package limiter

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// cycle is the limiter's part in one sub-request.
func cycle(l *Limiter, now time.Time) time.Time {
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
		now = cycle(d.Limiter, now)
	}
}

func TestDecisionDoesNotAllocate(t *testing.T) {
	// Guards against garbage per sub-request.
	Convey("A decision allocates nothing", t, func() {
		d := newDriver().warm()
		now := d.now
		So(testing.AllocsPerRun(1000, func() {
			now = cycle(d.Limiter, now)
			t, _ := d.Acquire(now)
			d.Abandon(t, Result{Kind: Cancelled}, now)
			d.Closed(t, now)
		}), ShouldEqual, 0)
	})
}
