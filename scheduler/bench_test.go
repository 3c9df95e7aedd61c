package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"jujubegate.example/jujubegate"
)

var callers = []jujubegate.Caller{"a", "b", "c", "d", "e", "f", "g", "h"}

// loaded returns a queue with 64 waiting entries of 8 callers.
func loaded() *Queue[int] {
	q := New[int](0)
	for i := range 64 {
		cycle(q, epoch, i, false)
	}
	return q
}

// cycle is the queue's part in one sub-request.
func cycle(q *Queue[int], now time.Time, i int, pop bool) {
	q.Push(now, Entry[int]{Caller: callers[i%len(callers)], Priority: 1 + i%2, Deadline: now.Add(time.Second)}, busy)
	if pop {
		q.Pop(now, serviceTime)
	}
}

func BenchmarkDecision(b *testing.B) {
	q, now, i := loaded(), epoch, 0
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		cycle(q, now, i, true)
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
	// Guards against garbage per sub-request, also when callers come and go.
	Convey("A decision allocates nothing", t, func() {
		q, now, i := loaded(), epoch, 0
		for range 1000 {
			cycle(q, now, i, true)
			i++
		}
		So(testing.AllocsPerRun(1000, func() {
			now = now.Add(time.Millisecond)
			cycle(q, now, i, true)
			i++
		}), ShouldEqual, 0)
	})
}
