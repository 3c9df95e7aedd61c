package storer_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"
	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/storer"
)

func TestMemoryFaults(t *testing.T) {
	// Guards against faults that are set but not injected: tests that rely on
	// them would pass without testing anything. The time of a bubble stands still while the
	// process stalls.
	synctest.Test(t, testMemoryFaults)
}

func testMemoryFaults(t *testing.T) {
	ctx := context.Background()
	cases := []struct {
		name    string
		faults  storer.Faults
		write   error
		read    error
		applied bool
	}{
		{"none", storer.Faults{}, nil, storer.ErrNotFound, true},
		{"outage", storer.Faults{Outage: true}, storer.ErrUnavailable, storer.ErrUnavailable, false},
		{"hang", storer.Faults{Hang: true}, storer.ErrUnknown, storer.ErrUnavailable, false},
		{"lost answers", storer.Faults{LostAnswers: 1}, storer.ErrUnknown, storer.ErrNotFound, true},
		{"lost requests", storer.Faults{LostRequests: 1}, storer.ErrUnknown, storer.ErrNotFound, false},
		{"late writes", storer.Faults{LateWrites: 1, LateBy: 5 * time.Millisecond}, storer.ErrUnknown, storer.ErrNotFound, true},
		{"latency beyond the timeout", storer.Faults{Latency: 40 * time.Millisecond}, storer.ErrUnknown, storer.ErrUnavailable, true},
	}
	Convey("A memory store with faults", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				m := storer.NewMemory(clockwork.NewRealClock(), 1)
				m.SetFaults(c.faults)
				shortContext := func() context.Context {
					limited, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
					Reset(cancel)
					return limited
				}
				_, err := m.Get(shortContext(), "other")
				So(matchedError(err), ShouldEqual, c.read)
				_, err = m.Put(shortContext(), "k", []byte("v"), 0)
				So(matchedError(err), ShouldEqual, c.write)
				time.Sleep(50 * time.Millisecond)
				m.SetFaults(storer.Faults{})
				So(m.Revision() > 0, ShouldEqual, c.applied)
				So(m.Calls(), ShouldResemble, storer.Calls{Gets: 1, Puts: 1})
			})
		}
		Convey("a watch that is blocked by a hang returns the changes made before the hang", func() {
			m := storer.NewMemory(clockwork.NewRealClock(), 1)
			stop := make(chan struct{})
			go func() {
				defer close(stop)
				time.Sleep(10 * time.Millisecond)
				// The watch sees the late write and the hang in one wake-up.
				m.SetFaults(storer.Faults{LateWrites: 1, LateBy: 1})
				_, _ = m.Put(ctx, "k", []byte("v"), 0)
				m.SetFaults(storer.Faults{Hang: true})
				time.Sleep(10 * time.Millisecond)
				m.SetFaults(storer.Faults{})
			}()
			seen, err := m.Watch(ctx, "", 0, time.Second)
			<-stop
			So(err, ShouldBeNil)
			So(keys(seen), ShouldResemble, []string{"k"})
		})
		Convey("an outage fails a waiting watch", func() {
			m := storer.NewMemory(clockwork.NewRealClock(), 1)
			go func() {
				time.Sleep(10 * time.Millisecond)
				m.SetFaults(storer.Faults{Outage: true})
			}()
			_, err := m.Watch(ctx, "", 0, time.Minute)
			So(matchedError(err), ShouldEqual, storer.ErrUnavailable)
		})
	})
}

// stalledClock is the clock of a process that stalls whenever it waits: all timers are
// over when it goes on.
type stalledClock struct{ jujubegate.Clock }

func (stalledClock) After(d time.Duration) <-chan time.Time {
	time.Sleep(2 * d)
	over := make(chan time.Time, 1)
	over <- time.Now()
	return over
}

func TestStallHidesLatency(t *testing.T) {
	// Guards against a call that succeeds although its context ended before the injected
	// latency, because the process stalled until both were over.
	m := storer.NewMemory(stalledClock{clockwork.NewRealClock()}, 1)
	m.SetFaults(storer.Faults{Latency: 10 * time.Millisecond})
	for range 20 {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
		_, err := m.Put(ctx, "k", []byte("v"), 0)
		cancel()
		if !errors.Is(err, storer.ErrUnknown) {
			t.Fatalf("put: %v, want %v", err, storer.ErrUnknown)
		}
	}
}
