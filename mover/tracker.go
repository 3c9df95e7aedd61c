package mover

import (
	"time"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/configurator"
)

// Tracker keeps the trials of all moves on one source of counts. It does no I/O
// and is not safe for concurrent use.
type Tracker struct {
	block  time.Duration
	trials map[jujubegate.Service]*Trial
	// before holds the counts at the end of the last block, at the time last.
	before []jujubegate.RouteCount
	last   time.Time
	// control holds the other services at this instance; the tracker with the
	// instance's own counts feeds it, the other one only reads it.
	control *control
	feeds   bool
}

// NewTracker returns a tracker that forms blocks of evidence of a given length.
func NewTracker(block time.Duration) *Tracker {
	return &Tracker{
		block: block, trials: make(map[jujubegate.Service]*Trial), control: newControl(), feeds: true,
	}
}

// WithControlGroupOf returns the tracker with the control of another one, which
// observes the instance's own counts. The counts of the fleet hold only the
// services with a move.
func (t *Tracker) WithControlGroupOf(other *Tracker) *Tracker {
	t.control, t.feeds = other.control, false
	return t
}

// Observe asks for the cumulative counts if a block is due. What they have
// grown by since the last block becomes the next one; those from before the
// first trial are no evidence. A new trial gets the given bound for false alarms.
func (t *Tracker) Observe(
	now time.Time, c configurator.Configuration, counts func() []jujubegate.RouteCount, falseAlarms float64,
) {
	t.follow(now, c, falseAlarms)
	if len(t.trials) == 0 {
		t.before, t.last = nil, time.Time{}
		if t.feeds {
			t.control.reset()
		}
		return
	}
	if !t.last.IsZero() && now.Sub(t.last) < t.block {
		return
	}
	all := counts()
	if !t.last.IsZero() {
		grown := Difference(t.before, all)
		if t.feeds {
			t.control.add(grown, func(s jujubegate.Service) bool { return t.trials[s] != nil })
		}
		control := t.control.rates()
		for service, trial := range t.trials {
			if m, ok := c.Move(service); ok {
				trial.control = control
				trial.Add(now, m, grown)
			}
		}
	}
	t.before, t.last = all, now
}

// follow starts and ends trials with the moves.
func (t *Tracker) follow(now time.Time, c configurator.Configuration, falseAlarms float64) {
	for service, trial := range t.trials {
		m, ok := c.Move(service)
		ended := !ok || m.State == configurator.TakenBack || !m.Started.Equal(trial.move.Started) ||
			(!trial.done.IsZero() && now.Sub(trial.done) > WatchAfterDone)
		if ended {
			delete(t.trials, service)
			continue
		}
		trial.SetMove(now, m)
	}
	for _, m := range c.Moves() {
		if t.trials[m.Service] == nil && m.Running() {
			t.trials[m.Service] = NewTrial(m, routesOf(c, m.Service), t.block, falseAlarms)
		}
	}
}

func routesOf(c configurator.Configuration, service jujubegate.Service) []jujubegate.Route {
	var routes []jujubegate.Route
	for _, r := range c.Routes() {
		if r.Service == service {
			routes = append(routes, r.Name)
		}
	}
	return routes
}

// Judgements returns what the evidence says about each move, by service.
func (t *Tracker) Judgements() map[jujubegate.Service]Judgement {
	all := make(map[jujubegate.Service]Judgement, len(t.trials))
	for service, trial := range t.trials {
		all[service] = trial.Judgement()
	}
	return all
}

// BadVerdicts returns the verdicts against the versions that the evidence calls bad, by
// service.
func (t *Tracker) BadVerdicts() map[jujubegate.Service]Verdict {
	var all map[jujubegate.Service]Verdict
	for service, trial := range t.trials {
		if trial.bad != nil {
			if all == nil {
				all = make(map[jujubegate.Service]Verdict)
			}
			all[service] = *trial.bad
		}
	}
	return all
}

// Halts returns a halt for every running move that the evidence calls bad. The
// source names whose evidence it is.
func (t *Tracker) Halts(source string) []Halt {
	var list []Halt
	for service, trial := range t.trials {
		if trial.bad != nil && trial.move.Running() {
			list = append(list, Halt{
				Service: service, Version: trial.move.To, Started: trial.move.Started,
				Reason: trial.bad.String() + " (" + source + ")",
			})
		}
	}
	return list
}
