package sender

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/connector"
	"jujubegate.example/jujubegate/router"
	"jujubegate.example/jujubegate/screener"
)

func TestRetryFollowsCrashedTarget(t *testing.T) {
	// Guards against retries of a request that crashes its targets, and against a
	// request without a retry that only shared a target with such a one.
	cases := []struct {
		name string
		// elsewhere is what happens to the request at other targets meanwhile.
		elsewhere func(s *screener.Screener, run *screener.Run)
		answered  bool
	}{
		{"it crashes others too", func(s *screener.Screener, run *screener.Run) {
			for _, target := range []string{"b", "c"} {
				run.BeginAttempt(target)
				s.RecordEnd(target)
				run.RecordCrash(target)
				run.EndAttempt()
			}
		}, false},
		{"another target answers it", func(_ *screener.Screener, run *screener.Run) { run.RecordAnswer() }, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := screener.New(screener.Settings{Clock: clockwork.NewRealClock(), Log: zap.NewNop()})
			crash := make(chan struct{})
			var f *fixture
			f = newFixture(t, 50, func(string) string {
				// An ended process refuses new connections when its last ones close.
				f.listeners[0].Close()
				close(crash)
				return ""
			}, ok)
			run, _ := s.Begin("1", func() screener.Key { return screener.Key{} })
			run.BeginAttempt("z")
			var elsewhere sync.WaitGroup
			elsewhere.Go(func() {
				<-crash
				time.Sleep(60 * ms)
				if got := f.runs[1].Load(); got > 0 {
					t.Errorf("%d retries before it was known what becomes of the request elsewhere", got)
				}
				c.elsewhere(s, run)
				run.EndAttempt()
			})
			request := &connector.Request{ID: "id", Method: "GET", URI: "/", Host: "h", Deadline: time.Now().Add(time.Second)}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			call := &callState{
				sender: f.sender, ctx: ctx, start: time.Now(), results: make(chan *completion, 8),
				call:   Call{Request: request, Route: &router.Route{Name: "r", Idempotent: true, Attempts: 2}, Service: service, Run: run},
				budget: f.sender.repeatBudget(service), latency: f.sender.Latency("r"),
			}
			// The first attempt goes to the target that crashes.
			call.candidates.repeats = f.sender.settings.Tracker.Replicas(service)
			for _, r := range call.candidates.repeats {
				if r.Entry().ID == "t-0" {
					call.candidates.first = append(call.candidates.first, r)
				}
			}
			result := call.loop()
			elsewhere.Wait()
			if result.OK != c.answered {
				t.Errorf("answered %v, want %v", result.OK, c.answered)
			}
			if !c.answered && (f.runs[1].Load() > 0 || result.Reason != jujubegate.CrashesTargets || result.Outcome != jujubegate.Unknown) {
				t.Errorf("%d retries, reason %s, outcome %s, want none, CrashesTargets and Unknown", f.runs[1].Load(), result.Reason, result.Outcome)
			}
		})
	}
}

func TestErrorOfTargetClearsRequest(t *testing.T) {
	// Guards against a request that crashes its targets and counts as harmless because one
	// of them answered instead of running it, for instance when its time was up.
	cases := []struct {
		status int
		ran    bool
	}{
		{200, true}, {204, true}, {400, true}, {404, true}, {408, false}, {429, false}, {500, false}, {502, false}, {503, false}, {504, false},
	}
	for _, c := range cases {
		s := screener.New(screener.Settings{Clock: clockwork.NewRealClock(), Log: zap.NewNop()})
		f := newFixture(t, 50, func(id string) string {
			return fmt.Sprintf("HTTP/1.1 %d X\r\nX-Id: %s\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n", c.status, id)
		})
		run, _ := s.Begin("1", func() screener.Key { return screener.Key{} })
		f.sender.Send(t.Context(), Call{
			Service: service, Run: run, Route: &router.Route{Name: "r", Idempotent: true, Attempts: 1},
			Request: &connector.Request{ID: "id", Method: "GET", URI: "/", Host: "h", Deadline: time.Now().Add(time.Second)},
		})
		if run.Answered() != c.ran {
			t.Errorf("status %d: cleared %v, want %v", c.status, run.Answered(), c.ran)
		}
	}
}
