package mover

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/configurator"
)

const (
	// Tick is the time between two decisions.
	Tick = 200 * time.Millisecond
	// refusedPause is how long a statement that was refused for another reason
	// than a conflict or the store is not submitted again.
	refusedPause = 5 * time.Second
	// submitTimeout bounds one proposal, so that the next decision rests on
	// newer evidence.
	submitTimeout = 5 * time.Second
)

// Mover judges the running moves, stops bad versions at this instance, and
// submits the next statements if this instance is the one to act. The fields
// are set before Run.
type Mover struct {
	Clock         jujubegate.Clock
	Configuration func() configurator.Configuration
	// FleetCounts returns the fleet's cumulative counts, at least of services with a
	// move, Own those of all services at this instance.
	// The results are kept and must not change.
	FleetCounts func() []jujubegate.RouteCount
	OwnCounts   func() []jujubegate.RouteCount
	// Reports returns what the owners know about the targets.
	Reports func() []jujubegate.TargetReport
	// Instances returns the number of instances that judge by their own evidence.
	Instances func() int
	// MaySubmit reports whether this instance submits statements. The others stay quiet.
	MaySubmit func() bool
	// Submit proposes a statement, like configurator.Follower.Submit.
	Submit func(ctx context.Context, p configurator.Proposal) error
	Halts  *Halts
	Log    *zap.Logger
	// Author is the author of the statements.
	Author string

	mu sync.Mutex
	// fleet, own and judgements are guarded by mu.
	fleet, own *Tracker
	judgements map[jujubegate.Service]Judgement
	// The fields below belong to the loop that submits.
	// logged holds the last line per service, so that each decision is logged once.
	logged map[jujubegate.Service]string
	// refused holds when a kind of statement was refused last.
	refused map[string]time.Time
}

// New returns a mover. Fields that the arguments don't set have defaults: one
// instance, one that acts, and no log.
func New(
	clock jujubegate.Clock, configuration func() configurator.Configuration,
	evidence, own func() []jujubegate.RouteCount, reports func() []jujubegate.TargetReport,
	submit func(ctx context.Context, p configurator.Proposal) error, halts *Halts,
) *Mover {
	m := &Mover{
		Clock: clock, Configuration: configuration, FleetCounts: evidence, OwnCounts: own, Reports: reports,
		Instances: func() int { return 1 }, MaySubmit: func() bool { return true },
		Submit: submit, Halts: halts, Log: zap.NewNop(), Author: "mover",
		own: NewTracker(LocalBlockInterval), logged: make(map[jujubegate.Service]string), refused: make(map[string]time.Time),
	}
	m.fleet = NewTracker(FleetBlockInterval).WithControlGroupOf(m.own)
	return m
}

// Run judges and decides on every tick until the context ends. Both have their
// own loop, so that a slow store does not delay the halt of a bad version.
func (m *Mover) Run(ctx context.Context) {
	var judging sync.WaitGroup
	judging.Go(func() { m.every(ctx, func() { m.judge() }) })
	m.every(ctx, func() { m.act(ctx) })
	judging.Wait()
}

func (m *Mover) every(ctx context.Context, do func()) {
	for ctx.Err() == nil {
		do()
		select {
		case <-ctx.Done():
		case <-m.Clock.After(Tick):
		}
	}
}

// Step judges and decides once.
func (m *Mover) Step(ctx context.Context) {
	m.judge()
	m.act(ctx)
}

// act submits the next statements.
func (m *Mover) act(ctx context.Context) {
	now, c := m.Clock.Now(), m.Configuration()
	if !m.MaySubmit() || !m.busy(c) {
		return
	}
	for _, p := range Decide(now, c, m.evidence()) {
		if ctx.Err() != nil {
			return
		}
		if at, ok := m.refused[head(p)]; ok && now.Sub(at) < refusedPause {
			continue
		}
		if m.Configuration().Generation() != c.Generation() {
			// The other decisions rest on an old configuration; the next tick
			// decides again.
			return
		}
		m.submit(ctx, p, c.Generation())
	}
}

// busy reports whether there is a move to decide about. Without one the
// reports of all targets are not asked for.
func (m *Mover) busy(c configurator.Configuration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.judgements) > 0 || slices.ContainsFunc(c.Moves(), configurator.MoveSpec.Running)
}

// Watches reports whether the service has a move that is judged now, so that
// its counts are wanted in heartbeats.
func (m *Mover) Watches(service jujubegate.Service) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fleet.trials[service] != nil
}

// judge adds the newest counts and stops versions that are bad.
func (m *Mover) judge() {
	now, c := m.Clock.Now(), m.Configuration()
	instances := max(m.Instances(), 1)
	m.mu.Lock()
	m.own.Observe(now, c, m.OwnCounts, FalseAlarmProbability/2/float64(instances))
	m.fleet.Observe(now, c, m.FleetCounts, FalseAlarmProbability/2)
	m.judgements = m.fleet.Judgements()
	for service, verdict := range m.own.BadVerdicts() {
		// The own evidence is newer by a heartbeat than the fleet's.
		if j, ok := m.judgements[service]; ok && j.Verdict.Outcome != Bad {
			j.Verdict, j.Suspicious = verdict, true
			m.judgements[service] = j
		}
	}
	halts := append(m.fleet.Halts("evidence of the fleet"), m.own.Halts("own evidence of "+m.Author)...)
	m.mu.Unlock()
	m.Halts.ApplyMoves(c)
	for _, h := range halts {
		if !m.Halts.Halted(h.Service, h.Version) {
			m.Halts.Merge([]Halt{h})
			m.Log.Warn("mover: halted", zap.String("Service", string(h.Service)),
				zap.String("Version", string(h.Version)), zap.String("Reason", h.Reason))
		}
	}
}

func (m *Mover) evidence() Evidence {
	m.mu.Lock()
	judgements := m.judgements
	m.mu.Unlock()
	reports := make(map[jujubegate.Address]jujubegate.TargetReport)
	for _, r := range m.Reports() {
		reports[r.Target] = r
	}
	return Evidence{Judgements: judgements, Halts: m.Halts.List(), Reports: reports}
}

// submit proposes a statement. A conflict or an unavailable store is no
// failure, since the next tick decides again on what is then in force.
//
// The generation is the one that the decision rests on. Without it a runner
// that was paused could lower a share or take back a move that began later.
func (m *Mover) submit(ctx context.Context, p Proposal, after jujubegate.Generation) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	err := m.Submit(ctx, configurator.Proposal{Statements: p.Text, Author: m.Author, After: after})
	outcome := "Accepted"
	if err != nil {
		outcome = classify(err)
		if outcome == "Refused" {
			m.refused[head(p)] = m.Clock.Now()
			err = oops.In("mover").With("Statement", p.Text).Wrap(err)
		}
	}
	line := p.Text + outcome
	if m.logged[p.Service] == line {
		return
	}
	m.logged[p.Service] = line
	m.Log.Info("mover: decided", zap.String("Service", string(p.Service)), zap.String("Statement", p.Text),
		zap.String("Reason", p.Reason), zap.String("Outcome", outcome), zap.Error(err))
}

// head identifies a statement without its fields, whose numbers change.
func head(p Proposal) string {
	verb, _, _ := strings.Cut(p.Text, "{")
	return string(p.Service) + " " + verb
}

// classify names the outcome of a proposal that failed.
func classify(err error) string {
	var conflict *configurator.ConflictError
	var unavailable *configurator.UnavailableError
	var unknown *configurator.OutcomeUnknownError
	switch {
	case errors.As(err, &conflict):
		return "Conflict"
	case errors.As(err, &unavailable):
		return "Unavailable"
	case errors.As(err, &unknown), errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return "Unknown"
	}
	return "Refused"
}

// Columns returns the columns Verdict and Forecast of a service's move for
// Show Moves. The forecast is empty unless the move is running.
func (m *Mover) Columns(service jujubegate.Service) (verdict, forecast string) {
	c := m.Configuration()
	move, ok := c.Move(service)
	if !ok {
		return "", ""
	}
	e := m.evidence()
	if j, judged := e.of(move); judged {
		verdict = j.Verdict.String()
	}
	for _, h := range e.Halts {
		if h.Service == service && h.Version == move.To && h.Started.Equal(move.Started) {
			verdict = h.Reason
		}
	}
	if move.Running() {
		forecast = Predict(m.Clock.Now(), c, move, e).String()
	}
	return verdict, forecast
}
