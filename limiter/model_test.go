package limiter

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"jujubegate.example/jujubegate"
)

// event is one thing that the plain model remembers.
type event struct {
	at, started time.Time
	kind        Kind
	slow        bool
	report      jujubegate.TargetState
	restart     bool
	probe       bool
}

// plain keeps every flight and every event, and works out each answer from
// the whole history.
type plain struct {
	flights []plainFlight
	events  []event
}

type plainFlight struct {
	ticket  Ticket
	started time.Time
	// ends is zero while the request runs.
	ends  time.Time
	probe bool
}

func (p *plain) inFlight(now time.Time) int {
	n := 0
	for _, f := range p.flights {
		if f.ends.IsZero() || now.Before(f.ends) {
			n++
		}
	}
	return n
}

// verdict is what a replay of the history yields.
type verdict struct {
	cold          bool
	allowed       int
	ejected       bool
	until         time.Time
	since, signed time.Time
	signs, streak int
	needed        int
	failures      int
	penalty       time.Duration
	report        jujubegate.TargetState
	reported      time.Time
}

func (v *verdict) toCold(at time.Time) {
	v.cold, v.allowed, v.since, v.streak, v.signs, v.report = true, bounds.ColdLimit, at, 0, 0, 0
}

func (v *verdict) punish() {
	if v.cold && v.allowed > bounds.ColdLimit {
		v.needed = min(v.needed*2, maxStreak)
		v.allowed = bounds.ColdLimit
	}
}

func (v *verdict) eject(at time.Time) {
	v.penalty = min(max(2*v.penalty, ejectBase), ejectMax)
	v.ejected, v.until = true, at.Add(v.penalty)
}

func (v *verdict) fail(at time.Time) {
	v.failures++
	switch {
	case v.ejected && !at.Before(v.until):
		v.eject(at)
	case !v.ejected && v.failures >= ejectAfter:
		v.eject(at)
		v.toCold(at)
	}
}

func (v *verdict) answer(e event) {
	if e.slow {
		v.signs, v.signed = v.signs+1, e.at
		v.streak /= 2
		if v.signs >= signsOfCold {
			v.streak = 0
			if !v.cold || v.allowed > bounds.ColdLimit && !e.started.Before(v.since) {
				v.punish()
				v.toCold(e.at)
			}
		}
		return
	}
	if !e.started.Before(v.signed) {
		v.signs = 0
	}
	if v.cold && !e.started.Before(v.since) {
		v.streak++
		needed := v.needed
		if v.report == 0 || e.at.Sub(v.reported) > reportValidity {
			needed *= unreportedFactor
		}
		if v.streak >= needed && v.report != jujubegate.Cold || v.streak >= needed && e.at.Sub(v.reported) > reportValidity {
			v.streak = 0
			v.allowed = min(v.allowed+max(1, v.allowed/2), bounds.Slots)
			if v.allowed == bounds.Slots {
				v.cold, v.needed = false, max(v.needed/2, minStreak)
			}
		}
	}
}

func (v *verdict) apply(e event) {
	switch {
	case e.restart:
		v.toCold(e.at)
		return
	case e.report != 0:
		if e.report == jujubegate.Cold && (!v.cold || v.allowed > bounds.ColdLimit) {
			v.toCold(e.at)
		}
		v.report, v.reported = e.report, e.at
		return
	}
	wasEjected := v.ejected
	switch e.kind {
	case Answered:
		v.answer(e)
		v.failures = 0
		if !wasEjected {
			v.penalty /= 2
		}
	case Shed, Broken:
		v.punish()
		v.toCold(e.at)
		v.fail(e.at)
	case BadAnswer:
		v.fail(e.at)
	case TimedOut:
		v.answer(event{at: e.at, started: e.started, slow: true})
		v.fail(e.at)
	}
	if e.probe && wasEjected && e.kind == Answered {
		v.ejected, v.failures = false, 0
		v.toCold(e.at)
	}
}

func (p *plain) replay() verdict {
	v := verdict{allowed: bounds.Slots, needed: newStreak / 2}
	for _, e := range p.events {
		v.apply(e)
	}
	return v
}

func (p *plain) limit(now time.Time) int {
	v := p.replay()
	if v.ejected {
		for _, f := range p.flights {
			if f.probe && f.ends.IsZero() {
				return 0
			}
		}
		if now.Before(v.until) {
			return 0
		}
		return 1
	}
	if v.signs > 0 {
		return bounds.ColdLimit
	}
	return v.allowed
}

func TestLimiterMatchesModel(t *testing.T) {
	// Guards against incremental state that drifts from what the history says.
	rapid.Check(t, func(t *rapid.T) {
		d := newDriver().warm()
		p := &plain{}
		for range rapid.IntRange(80, 100).Draw(t, "steps") {
			step(t, d, p)
			if got, want := d.InFlight(d.now), p.inFlight(d.now); got != want {
				t.Fatalf("%d in flight, want %d", got, want)
			}
			if got, want := d.Limit(d.now), p.limit(d.now); got != want {
				t.Fatalf("limit %d, want %d; model %+v", got, want, p.replay())
			}
			if d.violations > 0 {
				t.Fatal("the limiter exceeded its limit")
			}
		}
	})
}

func step(t *rapid.T, d *driver, p *plain) {
	switch rapid.SampledFrom([]string{
		"start", "start", "start", "answer", "answer", "burst", "burst", "burst", "burst", "failures", "fail", "abandon", "closed", "late", "report", "restart", "wait",
	}).Draw(t, "step") {
	case "burst":
		p.events = append(p.events, event{at: d.now, report: jujubegate.Warm})
		d.Report(jujubegate.Warm, d.now)
		for range rapid.IntRange(1, newStreak).Draw(t, "answers") {
			start(t, d, p)
			end(t, d, p, Answered, false)
		}
	case "failures":
		for range ejectAfter {
			start(t, d, p)
			end(t, d, p, BadAnswer, false)
		}
	case "late":
		for _, f := range p.flights {
			if !f.ends.IsZero() && !d.now.Before(f.ends) {
				d.Finish(f.ticket, Result{Kind: Shed}, d.now)
				d.Closed(f.ticket, d.now)
			}
		}
	case "start":
		start(t, d, p)
	case "answer":
		end(t, d, p, Answered, rapid.Bool().Draw(t, "slow"))
	case "fail":
		end(t, d, p, rapid.SampledFrom([]Kind{Shed, Broken, BadAnswer, BadAnswer, NotSent}).Draw(t, "kind"), false)
	case "abandon":
		if f := pick(t, p); f != nil {
			f.ends = d.now.Add(DefaultGrace)
			probe := f.probe
			f.probe = false
			p.events = append(p.events, event{at: d.now, started: f.started, kind: TimedOut, probe: probe})
			d.Abandon(f.ticket, Result{Kind: TimedOut}, d.now)
		}
	case "closed":
		for i := range p.flights {
			if f := &p.flights[i]; !f.ends.IsZero() && d.now.Before(f.ends) {
				f.ends = d.now
				d.Closed(f.ticket, d.now)
				return
			}
		}
	case "report":
		state := rapid.SampledFrom([]jujubegate.TargetState{jujubegate.Warm, jujubegate.Warm, jujubegate.Cold}).Draw(t, "state")
		p.events = append(p.events, event{at: d.now, report: state})
		d.Report(state, d.now)
	case "restart":
		p.events = append(p.events, event{at: d.now, restart: true})
		d.Restarted(d.now)
	case "wait":
		d.now = d.now.Add(rapid.SampledFrom([]time.Duration{time.Millisecond, 400 * time.Millisecond, 3 * time.Second}).Draw(t, "wait"))
	}
}

func start(t *rapid.T, d *driver, p *plain) {
	ejected, want := p.replay().ejected, p.limit(d.now) > p.inFlight(d.now)
	ticket, ok := d.Acquire(d.now)
	if ok != want {
		t.Fatalf("started %v, want %v", ok, want)
	}
	if ok {
		p.flights = append(p.flights, plainFlight{ticket: ticket, started: d.now, probe: ejected})
	}
	d.now = d.now.Add(time.Microsecond)
}

// pick returns a running flight, nil if there is none.
func pick(t *rapid.T, p *plain) *plainFlight {
	var running []int
	for i := range p.flights {
		if p.flights[i].ends.IsZero() {
			running = append(running, i)
		}
	}
	if len(running) == 0 {
		return nil
	}
	return &p.flights[rapid.SampledFrom(running).Draw(t, "flight")]
}

func end(t *rapid.T, d *driver, p *plain, k Kind, slow bool) {
	f := pick(t, p)
	if f == nil {
		return
	}
	took := warmTime
	if slow {
		took = slowTime
	}
	p.events = append(p.events, event{at: d.now, started: f.started, kind: k, slow: slow, probe: f.probe})
	f.ends, f.probe = d.now, false
	d.Finish(f.ticket, Result{Kind: k, Latency: took}, d.now)
}
