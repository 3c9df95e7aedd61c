package mover

import (
	"time"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/configurator"
)

// Tracker runs the trials of all moves on one source of counts. It does no I/O
// and is not safe for concurrent use.
type Tracker struct {
	blockInterval time.Duration
	trials        map[jujubegate.Service]*Trial
	// lastCounts holds the counts at the end of the last block, at time
	// lastBlock.
	lastCounts []jujubegate.RouteCount
	lastBlock  time.Time
	// control is the control group of this instance. The tracker of the
	// instance's own counts updates it; the fleet's tracker only reads it.
	control        *controlGroup
	updatesControl bool
}

// NewTracker returns a tracker that adds a block of evidence per interval.
func NewTracker(blockInterval time.Duration) *Tracker {
	return &Tracker{
		blockInterval: blockInterval, trials: make(map[jujubegate.Service]*Trial),
		control: newControlGroup(), updatesControl: true,
	}
}

// WithControlGroupOf makes the tracker use the control group of another one,
// which must observe this instance's own counts: the fleet's counts only hold
// the services with a move. It returns the tracker.
func (t *Tracker) WithControlGroupOf(other *Tracker) *Tracker {
	t.control, t.updatesControl = other.control, false
	return t
}

// Observe reads the cumulative counts if a block is due. Their increase since
// the last block is added to the trials; counts from before the first trial are
// ignored. A new trial gets the given falseAlarmProbability.
func (t *Tracker) Observe(
	now time.Time, c configurator.Configuration, counts func() []jujubegate.RouteCount, falseAlarmProbability float64,
) {
	t.updateTrials(now, c, falseAlarmProbability)
	if len(t.trials) == 0 {
		t.lastCounts, t.lastBlock = nil, time.Time{}
		if t.updatesControl {
			t.control.reset()
		}
		return
	}
	if !t.lastBlock.IsZero() && now.Sub(t.lastBlock) < t.blockInterval {
		return
	}
	latest := counts()
	if !t.lastBlock.IsZero() {
		increments := Difference(t.lastCounts, latest)
		if t.updatesControl {
			t.control.add(increments, func(s jujubegate.Service) bool { return t.trials[s] != nil })
		}
		controlRates := t.control.rates()
		for service, trial := range t.trials {
			if m, ok := c.Move(service); ok {
				trial.controlRates = controlRates
				trial.Add(now, m, increments)
			}
		}
	}
	t.lastCounts, t.lastBlock = latest, now
}

// updateTrials applies the configured moves: it ends, updates and starts
// trials.
func (t *Tracker) updateTrials(now time.Time, c configurator.Configuration, falseAlarmProbability float64) {
	for service, trial := range t.trials {
		m, ok := c.Move(service)
		ended := !ok || m.State == configurator.TakenBack || !m.Started.Equal(trial.move.Started) ||
			(!trial.doneSince.IsZero() && now.Sub(trial.doneSince) > WatchAfterDone)
		if ended {
			delete(t.trials, service)
			continue
		}
		trial.SetMove(now, m)
	}
	for _, m := range c.Moves() {
		if t.trials[m.Service] == nil && m.Running() {
			t.trials[m.Service] = NewTrial(m, routesOf(c, m.Service), t.blockInterval, falseAlarmProbability)
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

// Judgements returns the current judgement of each move, by service.
func (t *Tracker) Judgements() map[jujubegate.Service]Judgement {
	all := make(map[jujubegate.Service]Judgement, len(t.trials))
	for service, trial := range t.trials {
		all[service] = trial.Judgement()
	}
	return all
}

// BadVerdicts returns the verdicts on the versions that are bad, by service.
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

// Halts returns a halt for every running move whose version is bad. source says
// in the reason which counts the verdict is based on.
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
