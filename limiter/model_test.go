package limiter

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"jujubegate.example/jujubegate"
)

// event is an entry in the history of the model: a result, a load report or a
// restart.
type event struct {
	at, started time.Time
	kind        Kind
	slow        bool
	report      jujubegate.TargetState
	restart     bool
	probe       bool
}

// model is a reference implementation of the limiter. It keeps all requests and
// events and computes each value from the whole history.
type model struct {
	requests []modelRequest
	events   []event
}

type modelRequest struct {
	ticket  Ticket
	started time.Time
	// ends is when the request stops counting as in flight; zero while it runs.
	ends  time.Time
	probe bool
}

func (m *model) inFlight(now time.Time) int {
	n := 0
	for _, r := range m.requests {
		if r.ends.IsZero() || now.Before(r.ends) {
			n++
		}
	}
	return n
}

// modelState is the state that a replay of the history computes.
type modelState struct {
	cold                bool
	allowed             int
	ejected             bool
	until               time.Time
	coldSince, lastSign time.Time
	coldSigns, streak   int
	streakNeeded        int
	failures            int
	ejectionTime        time.Duration
	report              jujubegate.TargetState
	reportedAt          time.Time
}

func (s *modelState) turnCold(at time.Time) {
	s.cold, s.allowed, s.coldSince, s.streak, s.coldSigns, s.report = true, bounds.ColdLimit, at, 0, 0, 0
}

func (s *modelState) slowDown() {
	if s.cold && s.allowed > bounds.ColdLimit {
		s.streakNeeded = min(s.streakNeeded*2, maxStreak)
		s.allowed = bounds.ColdLimit
	}
}

func (s *modelState) eject(at time.Time) {
	s.ejectionTime = min(max(2*s.ejectionTime, minEjection), maxEjection)
	s.ejected, s.until = true, at.Add(s.ejectionTime)
}

func (s *modelState) recordFailure(at time.Time) {
	s.failures++
	switch {
	case s.ejected && !at.Before(s.until):
		s.eject(at)
	case !s.ejected && s.failures >= maxFailures:
		s.eject(at)
		s.turnCold(at)
	}
}

func (s *modelState) recordAnswer(e event) {
	if e.slow {
		s.coldSigns, s.lastSign = s.coldSigns+1, e.at
		s.streak /= 2
		if s.coldSigns >= maxColdSigns {
			s.streak = 0
			if !s.cold || s.allowed > bounds.ColdLimit && !e.started.Before(s.coldSince) {
				s.slowDown()
				s.turnCold(e.at)
			}
		}
		return
	}
	if !e.started.Before(s.lastSign) {
		s.coldSigns = 0
	}
	if s.cold && !e.started.Before(s.coldSince) {
		s.streak++
		needed := s.streakNeeded
		if s.report == 0 || e.at.Sub(s.reportedAt) > reportValidity {
			needed *= unreportedFactor
		}
		if s.streak >= needed && s.report != jujubegate.Cold || s.streak >= needed && e.at.Sub(s.reportedAt) > reportValidity {
			s.streak = 0
			s.allowed = min(s.allowed+max(1, s.allowed/2), bounds.Slots)
			if s.allowed == bounds.Slots {
				s.cold, s.streakNeeded = false, max(s.streakNeeded/2, minStreak)
			}
		}
	}
}

func (s *modelState) apply(e event) {
	switch {
	case e.restart:
		s.turnCold(e.at)
		return
	case e.report != 0:
		if e.report == jujubegate.Cold && (!s.cold || s.allowed > bounds.ColdLimit) {
			s.turnCold(e.at)
		}
		s.report, s.reportedAt = e.report, e.at
		return
	}
	wasEjected := s.ejected
	switch e.kind {
	case Answered:
		s.recordAnswer(e)
		s.failures = 0
		if !wasEjected {
			s.ejectionTime /= 2
		}
	case Shed, Broken:
		s.slowDown()
		s.turnCold(e.at)
		s.recordFailure(e.at)
	case BadAnswer:
		s.recordFailure(e.at)
	case TimedOut:
		s.recordAnswer(event{at: e.at, started: e.started, slow: true})
		s.recordFailure(e.at)
	}
	if e.probe && wasEjected && e.kind == Answered {
		s.ejected, s.failures = false, 0
		s.turnCold(e.at)
	}
}

func (m *model) replay() modelState {
	s := modelState{allowed: bounds.Slots, streakNeeded: initialStreak / 2}
	for _, e := range m.events {
		s.apply(e)
	}
	return s
}

func (m *model) limit(now time.Time) int {
	s := m.replay()
	if s.ejected {
		for _, r := range m.requests {
			if r.probe && r.ends.IsZero() {
				return 0
			}
		}
		if now.Before(s.until) {
			return 0
		}
		return 1
	}
	if s.coldSigns > 0 {
		return bounds.ColdLimit
	}
	return s.allowed
}

func TestLimiterMatchesModel(t *testing.T) {
	// Guards against errors in the limiter's incremental state, by comparison
	// with a model that replays the whole history.
	rapid.Check(t, func(t *rapid.T) {
		d := newDriver().warm()
		m := &model{}
		for range rapid.IntRange(80, 100).Draw(t, "steps") {
			step(t, d, m)
			if got, want := d.InFlight(d.now), m.inFlight(d.now); got != want {
				t.Fatalf("%d in flight, want %d", got, want)
			}
			if got, want := d.Limit(d.now), m.limit(d.now); got != want {
				t.Fatalf("limit %d, want %d; model %+v", got, want, m.replay())
			}
			if d.violations > 0 {
				t.Fatal("the limiter exceeded its limit")
			}
		}
	})
}

func step(t *rapid.T, d *driver, m *model) {
	switch rapid.SampledFrom([]string{
		"start", "start", "start", "answer", "answer", "burst", "burst", "burst", "burst", "failures", "fail", "abandon", "closed", "late", "report", "restart", "wait",
	}).Draw(t, "step") {
	case "burst":
		m.events = append(m.events, event{at: d.now, report: jujubegate.Warm})
		d.Report(jujubegate.Warm, d.now)
		for range rapid.IntRange(1, initialStreak).Draw(t, "answers") {
			startRequest(t, d, m)
			endRequest(t, d, m, Answered, false)
		}
	case "failures":
		for range maxFailures {
			startRequest(t, d, m)
			endRequest(t, d, m, BadAnswer, false)
		}
	case "late":
		for _, r := range m.requests {
			if !r.ends.IsZero() && !d.now.Before(r.ends) {
				d.Finish(r.ticket, Result{Kind: Shed}, d.now)
				d.Closed(r.ticket, d.now)
			}
		}
	case "start":
		startRequest(t, d, m)
	case "answer":
		endRequest(t, d, m, Answered, rapid.Bool().Draw(t, "slow"))
	case "fail":
		endRequest(t, d, m, rapid.SampledFrom([]Kind{Shed, Broken, BadAnswer, BadAnswer, NotSent}).Draw(t, "kind"), false)
	case "abandon":
		if r := pickRunning(t, m); r != nil {
			r.ends = d.now.Add(DefaultGrace)
			probe := r.probe
			r.probe = false
			m.events = append(m.events, event{at: d.now, started: r.started, kind: TimedOut, probe: probe})
			d.Abandon(r.ticket, Result{Kind: TimedOut}, d.now)
		}
	case "closed":
		for i := range m.requests {
			if r := &m.requests[i]; !r.ends.IsZero() && d.now.Before(r.ends) {
				r.ends = d.now
				d.Closed(r.ticket, d.now)
				return
			}
		}
	case "report":
		state := rapid.SampledFrom([]jujubegate.TargetState{jujubegate.Warm, jujubegate.Warm, jujubegate.Cold}).Draw(t, "state")
		m.events = append(m.events, event{at: d.now, report: state})
		d.Report(state, d.now)
	case "restart":
		m.events = append(m.events, event{at: d.now, restart: true})
		d.Restarted(d.now)
	case "wait":
		d.now = d.now.Add(rapid.SampledFrom([]time.Duration{time.Millisecond, 400 * time.Millisecond, 3 * time.Second}).Draw(t, "wait"))
	}
}

func startRequest(t *rapid.T, d *driver, m *model) {
	ejected, want := m.replay().ejected, m.limit(d.now) > m.inFlight(d.now)
	ticket, ok := d.Acquire(d.now)
	if ok != want {
		t.Fatalf("started %v, want %v", ok, want)
	}
	if ok {
		m.requests = append(m.requests, modelRequest{ticket: ticket, started: d.now, probe: ejected})
	}
	d.now = d.now.Add(time.Microsecond)
}

// pickRunning returns one of the running requests, nil if there is none.
func pickRunning(t *rapid.T, m *model) *modelRequest {
	var running []int
	for i := range m.requests {
		if m.requests[i].ends.IsZero() {
			running = append(running, i)
		}
	}
	if len(running) == 0 {
		return nil
	}
	return &m.requests[rapid.SampledFrom(running).Draw(t, "flight")]
}

func endRequest(t *rapid.T, d *driver, m *model, k Kind, slow bool) {
	r := pickRunning(t, m)
	if r == nil {
		return
	}
	took := warmTime
	if slow {
		took = slowTime
	}
	m.events = append(m.events, event{at: d.now, started: r.started, kind: k, slow: slow, probe: r.probe})
	r.ends, r.probe = d.now, false
	d.Finish(r.ticket, Result{Kind: k, Latency: took}, d.now)
}
