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
	// Tick is the interval between two decisions.
	Tick = 200 * time.Millisecond
	// refusedRetryDelay is the time before a refused statement is submitted
	// again. It does not apply after a conflict or while the store is
	// unavailable.
	refusedRetryDelay = 5 * time.Second
	// submitTimeout limits the time of one submission, so that the next decision
	// uses newer evidence.
	submitTimeout = 5 * time.Second
)

// Mover judges the running moves, halts bad versions at this instance, and
// submits the next statements if MaySubmit allows it. The fields must be set
// before Run.
type Mover struct {
	Clock         jujubegate.Clock
	Configuration func() configurator.Configuration
	// FleetCounts returns the cumulative counts of the fleet, at least those of
	// services with a move. OwnCounts returns those of this instance, for all
	// services. The results are retained and must not be modified.
	FleetCounts func() []jujubegate.RouteCount
	OwnCounts   func() []jujubegate.RouteCount
	// Reports returns the reports of the owners about all targets.
	Reports func() []jujubegate.TargetReport
	// Instances returns the number of instances that judge versions by their own
	// counts.
	Instances func() int
	// MaySubmit reports whether this instance is the one that submits statements.
	// All others only judge and halt.
	MaySubmit func() bool
	// Submit proposes statements, like configurator.Follower.Submit.
	Submit func(ctx context.Context, p configurator.Proposal) error
	Halts  *Halts
	Log    *zap.Logger
	// Author is recorded as the author of the statements.
	Author string

	mu sync.Mutex
	// fleetTracker, ownTracker and judgements are guarded by mu.
	fleetTracker, ownTracker *Tracker
	judgements               map[jujubegate.Service]Judgement
	// The fields below are used only by the loop that submits.
	//
	// lastLogged holds the last log line of each service, so that a decision is
	// logged once.
	lastLogged map[jujubegate.Service]string
	// lastRefused holds the time of the last refusal by statement key.
	lastRefused map[string]time.Time
}

// New returns a mover. The fields without an argument have defaults: one
// instance, which submits statements, and no log.
func New(
	clock jujubegate.Clock, configuration func() configurator.Configuration,
	fleetCounts, ownCounts func() []jujubegate.RouteCount, reports func() []jujubegate.TargetReport,
	submit func(ctx context.Context, p configurator.Proposal) error, halts *Halts,
) *Mover {
	m := &Mover{
		Clock: clock, Configuration: configuration, FleetCounts: fleetCounts, OwnCounts: ownCounts, Reports: reports,
		Instances: func() int { return 1 }, MaySubmit: func() bool { return true },
		Submit: submit, Halts: halts, Log: zap.NewNop(), Author: "mover",
		ownTracker: NewTracker(LocalBlockInterval),
		lastLogged: make(map[jujubegate.Service]string), lastRefused: make(map[string]time.Time),
	}
	m.fleetTracker = NewTracker(FleetBlockInterval).WithControlGroupOf(m.ownTracker)
	return m
}

// Run judges and submits on every tick until the context is cancelled. Each
// runs in its own loop, so that a slow store does not delay the halt of a bad
// version.
func (m *Mover) Run(ctx context.Context) {
	var judging sync.WaitGroup
	judging.Go(func() { m.everyTick(ctx, func() { m.judge() }) })
	m.everyTick(ctx, func() { m.submitNext(ctx) })
	judging.Wait()
}

func (m *Mover) everyTick(ctx context.Context, do func()) {
	for ctx.Err() == nil {
		do()
		select {
		case <-ctx.Done():
		case <-m.Clock.After(Tick):
		}
	}
}

// Step judges and submits once.
func (m *Mover) Step(ctx context.Context) {
	m.judge()
	m.submitNext(ctx)
}

// submitNext submits the next statement of every move that needs one.
func (m *Mover) submitNext(ctx context.Context) {
	now, c := m.Clock.Now(), m.Configuration()
	if !m.MaySubmit() || !m.hasMoves(c) {
		return
	}
	for _, p := range Decide(now, c, m.evidence()) {
		if ctx.Err() != nil {
			return
		}
		if refusedAt, ok := m.lastRefused[statementKey(p)]; ok && now.Sub(refusedAt) < refusedRetryDelay {
			continue
		}
		if m.Configuration().Generation() != c.Generation() {
			// The remaining proposals are based on an old configuration. The next
			// tick decides again.
			return
		}
		m.submit(ctx, p, c.Generation())
	}
}

// hasMoves reports whether any move is running or judged. If not, the target
// reports are not requested.
func (m *Mover) hasMoves(c configurator.Configuration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.judgements) > 0 || slices.ContainsFunc(c.Moves(), configurator.MoveSpec.Running)
}

// Watches reports whether a move of the service is being judged. Heartbeats
// must then carry the counts of the service.
func (m *Mover) Watches(service jujubegate.Service) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fleetTracker.trials[service] != nil
}

// judge adds the newest counts and halts the versions that are bad.
func (m *Mover) judge() {
	now, c := m.Clock.Now(), m.Configuration()
	instances := max(m.Instances(), 1)
	m.mu.Lock()
	m.ownTracker.Observe(now, c, m.OwnCounts, FalseAlarmProbability/2/float64(instances))
	m.fleetTracker.Observe(now, c, m.FleetCounts, FalseAlarmProbability/2)
	m.judgements = m.fleetTracker.Judgements()
	for service, verdict := range m.ownTracker.BadVerdicts() {
		// The counts of this instance are newer than the fleet's by one heartbeat.
		if j, ok := m.judgements[service]; ok && j.Verdict.Outcome != Bad {
			j.Verdict, j.Suspicious = verdict, true
			m.judgements[service] = j
		}
	}
	halts := append(m.fleetTracker.Halts("evidence of the fleet"), m.ownTracker.Halts("own evidence of "+m.Author)...)
	m.mu.Unlock()
	m.Halts.ApplyMoves(c)
	for _, h := range halts {
		if !m.Halts.Halted(h.Service, h.Version) {
			m.Halts.Merge([]Halt{h})
			m.Log.Warn("mover: halted new work to a bad version", zap.String("Service", string(h.Service)),
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

// submit submits a statement. A conflict or an unavailable store is not an
// error, since the next tick decides again on the configuration then in force.
//
// after is the generation that the decision is based on. Without it, an instance
// that was paused could lower a share, or take back a move that started later.
func (m *Mover) submit(ctx context.Context, p NextStatement, after jujubegate.Generation) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	err := m.Submit(ctx, configurator.Proposal{Statements: p.Text, Author: m.Author, After: after})
	outcome := "Accepted"
	if err != nil {
		outcome = failureOutcome(err)
		if outcome == "Refused" {
			m.lastRefused[statementKey(p)] = m.Clock.Now()
			err = oops.In("mover").With("Statement", p.Text).Wrap(err)
		}
	}
	line := p.Text + outcome
	if m.lastLogged[p.Service] == line {
		return
	}
	m.lastLogged[p.Service] = line
	m.Log.Info("mover: submitted the next statement of a move", zap.String("Service", string(p.Service)),
		zap.String("Statement", p.Text), zap.String("Reason", p.Reason), zap.String("Outcome", outcome), zap.Error(err))
}

// statementKey identifies a statement without its fields, because their numbers
// change from tick to tick.
func statementKey(p NextStatement) string {
	verb, _, _ := strings.Cut(p.Text, "{")
	return string(p.Service) + " " + verb
}

// failureOutcome returns the name of the outcome of a failed submission.
func failureOutcome(err error) string {
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

// Columns returns the columns Verdict and Forecast of Show Moves for a service.
// The forecast is empty unless the move is running.
func (m *Mover) Columns(service jujubegate.Service) (verdict, forecast string) {
	c := m.Configuration()
	move, ok := c.Move(service)
	if !ok {
		return "", ""
	}
	e := m.evidence()
	if j, judged := e.judgementOf(move); judged {
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
