package scheduler

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"jujubegate.example/jujubegate"
)

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

const serviceTime = 10 * time.Millisecond

// busy is the load of a target with two slots, both in use.
var busy = Load{Limit: 2, InFlight: 2, ServiceTime: serviceTime}

func entry(caller string, priority int, deadline time.Duration) Entry[int] {
	return Entry[int]{Caller: jujubegate.Caller(caller), Priority: priority, Deadline: epoch.Add(deadline)}
}

func TestPushRefusesEarly(t *testing.T) {
	// Guards against queueing an entry that cannot be served in time, and against
	// refusing one that can.
	cases := []struct {
		name     string
		waiting  int
		load     Load
		deadline time.Duration
		reason   jujubegate.Reason
		retry    time.Duration
	}{
		{"free slot", 0, Load{2, 1, serviceTime}, serviceTime, "", 0},
		{"next in line", 0, busy, 15 * time.Millisecond, "", 0},
		{"next in line, too late", 0, busy, 14 * time.Millisecond, jujubegate.Overloaded, time.Millisecond},
		{"four ahead", 4, busy, 35 * time.Millisecond, "", 0},
		{"four ahead, too late", 4, busy, 30 * time.Millisecond, jujubegate.Overloaded, 5 * time.Millisecond},
		{"four of its caller with later deadlines", 4, busy, 15 * time.Millisecond, "", 0},
		{"shorter than the service time", 0, Load{2, 0, serviceTime}, 9 * time.Millisecond, jujubegate.DeadlinePassed, 0},
		{"passed", 0, Load{2, 0, 0}, -1, jujubegate.DeadlinePassed, 0},
		{"unknown service time", 4, Load{2, 2, 0}, 1, "", 0},
		{"full", 8, Load{2, 2, time.Microsecond}, time.Hour, jujubegate.Overloaded, time.Millisecond},
	}
	Convey("An entry", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				q := New[int](8)
				for range c.waiting {
					_, v := q.Push(epoch, entry("a", 1, 20*time.Millisecond), Load{})
					So(v.Refusal(), ShouldBeNil)
				}
				_, v := q.Push(epoch, entry("a", 1, c.deadline), c.load)
				So(v.Reason, ShouldEqual, c.reason)
				So(v.RetryAfter, ShouldEqual, c.retry)
				if r := v.Refusal(); r != nil {
					So(r.Outcome, ShouldEqual, jujubegate.NotRun)
				}
			})
		}
	})
}

func TestOrder(t *testing.T) {
	// Guards against a caller that delays the others by many entries, and against
	// ignored priorities or deadlines.
	cases := []struct {
		name   string
		pushed []Entry[int]
		served string
	}{
		{"in turn between callers", []Entry[int]{
			entry("a", 1, 50), entry("a", 1, 60), entry("a", 1, 70), entry("b", 1, 90), entry("c", 1, 80),
		}, "[a50 b90 c80 a60 a70]"},
		{"by deadline within a caller", []Entry[int]{
			entry("a", 1, 70), entry("a", 1, 50), entry("a", 1, 60), entry("a", 1, 50),
		}, "[a50 a50 a60 a70]"},
		{"by priority first", []Entry[int]{
			entry("a", 1, 50), entry("b", 3, 90), entry("a", 2, 60), entry("b", 3, 80),
		}, "[b80 b90 a60 a50]"},
	}
	Convey("Entries are served", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				q := New[int](0)
				for _, e := range c.pushed {
					q.Push(epoch, e, Load{})
				}
				var served []string
				for {
					e, ok := q.Pop(epoch, 0)
					if !ok {
						break
					}
					served = append(served, fmt.Sprintf("%s%d", e.Caller, e.Deadline.Sub(epoch)))
				}
				So(fmt.Sprint(served), ShouldEqual, c.served)
			})
		}
	})
}

func TestFairnessUnderLoad(t *testing.T) {
	// Guards against a caller that gets more than its share by sending 50 times as
	// much as another.
	Convey("Two callers that always have waiting entries get equal shares", t, func() {
		q := New[int](0)
		served := map[jujubegate.Caller]int{}
		for range 1000 {
			for range 100 {
				q.Push(epoch, entry("heavy", 1, time.Hour), Load{})
			}
			for range 2 {
				q.Push(epoch, entry("light", 1, time.Hour), Load{})
			}
			for range 4 {
				e, _ := q.Pop(epoch, 0)
				served[e.Caller]++
			}
		}
		So(served["light"], ShouldBeBetweenOrEqual, 1995, 2000)
		So(served["heavy"]+served["light"], ShouldEqual, 4000)
	})
}
