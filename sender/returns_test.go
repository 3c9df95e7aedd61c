package sender

import (
	"testing"
	"time"

	"jujubegate.example/jujubegate/connector"
	"jujubegate.example/jujubegate/router"
)

func TestCallersOfTargetsThatAreDown(t *testing.T) {
	// Guards against a service that seems to have no wait because its targets are down,
	// and against callers that all come back at the moment when they are tried again.
	route := &router.Route{Name: "r", Idempotent: true, Attempts: 2, Objective: 200 * ms, Timeout: time.Second}
	cases := []struct {
		name        string
		targets     []behaviour
		paused      bool
		unreachable bool
		admission   [2]time.Duration
	}{
		{"all up", []behaviour{ok, ok}, false, false, [2]time.Duration{0, 0}},
		{"one down", []behaviour{nil, ok}, false, false, [2]time.Duration{0, 0}},
		{"all down", []behaviour{nil, nil}, false, true, [2]time.Duration{ms, time.Second}},
		{"none listed", nil, false, true, [2]time.Duration{noTargetDelay, noTargetDelay}},
		{"one down, one paused", []behaviour{nil, ok}, true, true, [2]time.Duration{ms, time.Second}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, 50, c.targets...)
			for _, r := range f.sender.settings.Tracker.Replicas(service) {
				// Whether a target is down is known from the last connection to it.
				_, _ = r.Pool.Send(t.Context(), &connector.Request{ID: "id", Method: "GET", URI: "/", Host: "h", Deadline: time.Now().Add(time.Second)})
				if c.paused && r.Entry().ID == "t-1" {
					f.sender.settings.Tracker.ObservePause(r, connector.Pause{Asked: true, Valid: true, For: time.Hour})
				}
			}
			wait := f.sender.Wait(route, service)
			if wait.Unreachable != c.unreachable || wait.Admission < c.admission[0] || wait.Admission > c.admission[1] {
				t.Errorf("unreachable %v, admitted after %v, want %v, %v", wait.Unreachable, wait.Admission, c.unreachable, c.admission)
			}
			if !c.unreachable {
				return
			}
			earliest, latest := time.Hour, time.Duration(0)
			for range 100 {
				at := f.sender.ReturnAfter(service, wait)
				earliest, latest = min(earliest, at), max(latest, at)
			}
			if earliest < wait.Total() || latest-earliest < wait.Total()/4 {
				t.Errorf("callers return after %v to %v, want no sooner than %v and spread", earliest, latest, wait.Total())
			}
		})
	}
}
