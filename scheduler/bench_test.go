package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"jujubegate.example/jujubegate"
)

var callers = []jujubegate.Caller{"a", "b", "c", "d", "e", "f", "g", "h"}

// newLoadedQueue returns a queue with 64 waiting entries of eight callers.
func newLoadedQueue() *Queue[int] {
	q := New[int](0)
	for i := range 64 {
		runEntry(q, epoch, i, false)
	}
	return q
}

// runEntry makes the calls to the queue for one sub-request.
func runEntry(q *Queue[int], now time.Time, i int, pop bool) {
	q.Push(now, Entry[int]{Caller: callers[i%len(callers)], Priority: 1 + i%2, Deadline: now.Add(time.Second)}, busy)
	if pop {
		q.Pop(now, serviceTime)
	}
}

func BenchmarkDecision(b *testing.B) {
	q, now, i := newLoadedQueue(), epoch, 0
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		runEntry(q, now, i, true)
		i++
	}
}

func BenchmarkDecisionFull(b *testing.B) {
	q := New[int](0)
	for i := range DefaultLength {
		q.Push(epoch, Entry[int]{Caller: callers[i%len(callers)], Deadline: epoch.Add(time.Hour)}, Load{})
	}
	b.ReportAllocs()
	for b.Loop() {
		q.Push(epoch, Entry[int]{Caller: "z", Deadline: epoch.Add(time.Hour)}, busy)
		q.Pop(epoch, serviceTime)
		q.Push(epoch, Entry[int]{Caller: "y", Deadline: epoch.Add(time.Hour)}, busy)
	}
}

func TestDecisionDoesNotAllocate(t *testing.T) {
	// Guards against allocations per sub-request, also when the flows of callers
	// are added and removed.
	Convey("A decision allocates nothing", t, func() {
		q, now, i := newLoadedQueue(), epoch, 0
		for range 1000 {
			runEntry(q, now, i, true)
			i++
		}
		So(testing.AllocsPerRun(1000, func() {
			now = now.Add(time.Millisecond)
			runEntry(q, now, i, true)
			i++
		}), ShouldEqual, 0)
	})
}
