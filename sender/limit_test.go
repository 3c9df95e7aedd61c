package sender

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"jujubegate.example/jujubegate"
)

// limiting answers after d and names a limit.
func limiting(d time.Duration, perSecond float64) behaviour {
	return after(d, func(id string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: s\r\nX-Limit: %g\r\nContent-Length: 0\r\n\r\n", id, perSecond)
	})
}

func TestWaitingRequestsExceedNamedLimit(t *testing.T) {
	// Guards against requests that were waiting for a connection when the target named
	// its limit and are then sent all the same.
	const requests, perSecond, lasts = 40, 5.0, time.Second
	f := newFixture(t, 0, limiting(20*ms, perSecond))
	var group sync.WaitGroup
	var mu sync.Mutex
	answered := 0
	for range requests {
		group.Go(func() {
			result := f.send(false, 1, lasts)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case result.OK:
				answered++
			case result.Outcome != jujubegate.NotRun || result.Reason != jujubegate.Overloaded || result.RetryAfter <= 0:
				t.Errorf("outcome %s, reason %s, retry after %v", result.Outcome, result.Reason, result.RetryAfter)
			}
		})
	}
	group.Wait()
	// The pool opens 8 connections; the limit is named by their answers.
	if most := 8 + limitBurst + int(perSecond*lasts.Seconds()); int(f.received()) > most || answered != int(f.received()) {
		t.Errorf("the target received %d requests, %d of them answered, want at most %d, all answered", f.received(), answered, most)
	}
}

func TestHedgeUsesLastRequestOfNamedLimit(t *testing.T) {
	// Guards against hedges that use up the limit of a target, so that calls which
	// have no other target are rejected.
	f := newFixture(t, 100, limiting(0, 4), limiting(60*ms, 1000))
	for range 20 {
		f.send(true, 1, time.Second)
	}
	time.Sleep(time.Second)
	limited := f.sender.settings.Tracker.Replicas(service)
	for _, r := range limited {
		perSecond, ok := r.Limit()
		if !ok {
			t.Fatal("a target names no limit")
		}
		if perSecond != 4 {
			continue
		}
		now := time.Now()
		if !r.MayHedge(now) || !r.Permit(now, false) {
			t.Fatal("two requests are not admitted after a second at 4/s")
		}
		if r.MayHedge(now) {
			t.Error("a hedge may use the last request that the limit allows")
		}
		if !r.Admissible(now) {
			t.Error("a first attempt may not use it")
		}
	}
}

func TestRejectedCallersReturnTogether(t *testing.T) {
	// Guards against callers that are all told to come back when the next request is
	// admitted, so that all but one of them are rejected again.
	const perSecond = 4.0
	now := time.Unix(100, 0)
	wait := Wait{Admission: 100 * ms, PerSecond: perSecond}
	cases := []struct {
		name  string
		wait  Wait
		after time.Duration
		want  time.Duration
	}{
		{"first", wait, 0, 100 * ms},
		{"second", wait, 0, 350 * ms},
		{"third, later", wait, 200 * ms, 400 * ms},
		{"when all have returned", wait, time.Second, 100 * ms},
		{"no limit named", Wait{Queue: 30 * ms}, 0, 30 * ms},
	}
	var r returns
	for _, c := range cases {
		now = now.Add(c.after)
		if got := r.next(now, c.wait); got != c.want {
			t.Errorf("%s: return after %v, want %v", c.name, got, c.want)
		}
	}
	for range 100 {
		if got := r.next(now, wait); got > maxReturnDelay {
			t.Fatalf("return after %v, want at most %v", got, maxReturnDelay)
		}
	}
}
