// Package promoter moves the traffic of a service to a new version in a canary
// rollout. The new version gets a small share first, and one of its targets its final load
// shortly before the decision. Once its answers have shown that it is good, the move is
// completed and it gets all of the traffic. If it is found bad, it is rolled back and gets
// none. A version that is neither stays on trial.
package promoter

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
)

const (
	// completeFraction is the fraction of the duration after which a version is found
	// good at the earliest, since a fault can show late.
	completeFraction = 0.95
	// completeReserve is the least time before the deadline at which a version is
	// found good. It leaves time for one review and for writing the state, by the
	// first instance in rank or, if that fails, by the second.
	completeReserve = 900 * time.Millisecond
	// reviewPeriod is the interval at which the evidence is evaluated.
	reviewPeriod = 300 * time.Millisecond
	// rankDelay is how much longer each instance waits before it writes a state
	// than the one before it in rank.
	rankDelay = 600 * time.Millisecond
	// maxWriteBackoff bounds the time between two attempts to write a state.
	maxWriteBackoff = 5 * time.Second
	// forgetAfter is for how long a move that is no longer listed is kept. A list can
	// lack it for as long as the store takes to come back from an older copy.
	forgetAfter = 30 * time.Second
	// reportPeriod is the time between two log lines on the evidence of a move.
	reportPeriod = 2 * time.Second
	// writeTimeout bounds writing a state.
	writeTimeout = 2 * time.Second
)

// State is the state of a move.
type State int

// States of a move.
const (
	Running State = iota
	Completed
	RolledBack
)

// Move is a requested move of a service to a version. It is immutable.
type Move struct {
	// Name is the name of the object in the store.
	Name     string
	Service  jujubegate.Service
	Version  jujubegate.Version
	Duration time.Duration
	State    State
	// Written is set if the state has been written to the store.
	Written bool
	// Revision is the revision of the object in the store.
	Revision int64
	// Standing is what the state in the store says of the versions of the service.
	Standing Standing
}

// Settings are the dependencies of a Promoter.
type Settings struct {
	Clock jujubegate.Clock
	Log   *zap.Logger
	// Instance and Incarnation are those of this instance, and FleetSize returns the
	// number of instances.
	Instance    jujubegate.Instance
	Incarnation int64
	FleetSize   func() int
	// Rank returns the rank of this instance among those that write states; 0
	// writes first.
	Rank func() int
	// Write writes the state of a move to the store.
	Write func(ctx context.Context, m Move, s State) error
	// Share returns this instance's fraction of the requests that all instances may send
	// to a version on trial besides its share.
	Share func() float64
	// Versions returns the versions of the targets of a service that may get requests, with
	// their numbers.
	Versions func(service jujubegate.Service) map[jujubegate.Version]int
	// Seed makes the random numbers of instances differ.
	Seed uint64
	// OnRollback is called when this instance finds a version bad; may be nil.
	OnRollback func()
}

// Promoter tracks the current moves and decides on them. It is safe for
// concurrent use.
type Promoter struct {
	settings Settings

	mu     sync.Mutex
	random *rand.Rand
	moves  map[jujubegate.Service]*move
	// latencies holds the times of the latest answers, also while there is no move.
	latencies map[routeKey]*latencies
	// reportedAt is when the evidence was last logged.
	reportedAt time.Time
}

// move is a move with this instance's decision.
type move struct {
	Move
	// requestedAt is the earliest time at which the move can have been requested.
	requestedAt time.Time
	// decided is the state that this instance decided on, or the final state in the
	// store.
	decided State
	// confirmed is the final state that the store has confirmed, also if it has
	// forgotten it since; Running if there was none.
	confirmed State
	// dueAt is when the first instance in rank must write the state, and notBefore
	// when this instance may try again after a failure, which backs off.
	dueAt     time.Time
	notBefore time.Time
	backoff   time.Duration
	evidence  *evidence
	trial     trial
	// standing is what this instance knows of the versions, and Move.Standing what the
	// store says.
	standing Standing
	// returning is set if the version of the move is the current one.
	returning bool
	// reason says why the version was found bad, if it was.
	reason string
	// missingSince is since when the move has not been listed; zero if it is listed.
	missingSince time.Time
	// undecidedLogged is when the log last said why the move is not decided.
	undecidedLogged time.Time
	// paused is set while the version gets no requests, as its answers could not be
	// judged.
	paused bool
}

// New returns a promoter without moves.
func New(settings Settings) *Promoter {
	return &Promoter{settings: settings, random: rand.New(rand.NewPCG(settings.Seed, 1)), moves: make(map[jujubegate.Service]*move), latencies: make(map[routeKey]*latencies)}
}

// Update replaces the moves with those in the store. Earliest is a time before
// which the new ones cannot have been requested.
func (p *Promoter) Update(moves []Move, earliest time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := make(map[jujubegate.Service]struct{}, len(moves))
	for _, next := range moves {
		listed[next.Service] = struct{}{}
		m := p.moves[next.Service]
		if m == nil || m.Version != next.Version {
			m = p.begin(m, next, earliest)
			p.moves[next.Service] = m
		}
		if forgotten := m.Written && !next.Written || m.State != Running && next.State == Running; forgotten {
			// The instances write the state again in the order of their rank.
			m.dueAt = p.settings.Clock.Now()
			p.settings.Log.Warn("promoter: store has forgotten the state of the move", zap.String("Service", string(next.Service)),
				zap.String("Version", string(next.Version)), zap.Int64("Revision", next.Revision))
		}
		if next.Written && next.Standing.Current != "" && m.confirmed == Running {
			// The instances may have found different versions to be the current one.
			m.standing = next.Standing.merge(m.standing)
		}
		m.Move = next
		if next.State != Running {
			m.decided, m.confirmed = next.State, next.State
		}
		m.updateStanding()
	}
	p.forget(listed)
}

// forget removes the moves that have not been listed for forgetAfter. One that is
// missing in some lists only keeps its evidence and its decision.
func (p *Promoter) forget(listed map[jujubegate.Service]struct{}) {
	now := p.settings.Clock.Now()
	for service, m := range p.moves {
		switch _, ok := listed[service]; {
		case ok:
			m.missingSince = time.Time{}
		case m.missingSince.IsZero():
			m.missingSince = now
			p.settings.Log.Info("promoter: move is no longer listed", zap.String("Service", string(service)), zap.String("Version", string(m.Version)))
		}
	}
	p.forgetMissing(now)
}

func (p *Promoter) forgetMissing(now time.Time) {
	for service, m := range p.moves {
		if !m.missingSince.IsZero() && now.Sub(m.missingSince) >= forgetAfter {
			delete(p.moves, service)
		}
	}
}

// Plan is the traffic split of a service between versions.
type Plan struct {
	// Version gets the fraction Share of the requests, and the other versions get
	// the rest. It is empty if there is no move.
	Version jujubegate.Version
	Share   float64
	// Standing says which versions get the rest.
	Standing Standing
	// Targets is how many targets of Version get its requests, the first ones in the order
	// of their IDs; 0 stands for all.
	Targets int
}

// Plan returns the current traffic split of a service for requests on a route.
func (p *Promoter) Plan(service jujubegate.Service, route jujubegate.Route) Plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.moves[service]
	if m == nil {
		return Plan{}
	}
	if m.returning && m.decided != RolledBack {
		return Plan{Version: m.Version, Share: 1, Standing: m.standing}
	}
	switch m.decided {
	case Completed:
		// The targets of the old version stop when the state has been written, so
		// they are used until then.
		if m.confirmed == Completed {
			return Plan{Version: m.Version, Share: 1, Standing: m.standing}
		}
	case RolledBack:
		return Plan{Version: m.Version, Standing: m.standing}
	}
	if m.paused {
		return Plan{Version: m.Version, Standing: m.standing}
	}
	share, targets := m.trial.plan(p.settings.Clock.Now(), route, p.settings.Versions(m.Service)[m.Version], p.settings.Share())
	return Plan{Version: m.Version, Share: share, Targets: targets, Standing: m.standing}
}

// Admit counts a request to a service on a route, and reports whether it may go to the
// version of the move if toCandidate says that it should.
func (p *Promoter) Admit(service jujubegate.Service, route jujubegate.Route, toCandidate bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.moves[service]
	if m == nil || m.returning || m.decided == Completed && m.confirmed == Completed {
		return true
	}
	return m.trial.admit(p.settings.Clock.Now(), route, toCandidate, p.settings.Share())
}

// Observation is the end of one attempt at a target.
type Observation struct {
	Service jujubegate.Service
	Version jujubegate.Version
	Route   jujubegate.Route
	// Ended is set if the target answered or broke the exchange off, and Failed if it
	// failed the request. Without Ended, all that is known is that it took at least
	// Took.
	Ended, Failed bool
	// Typical is the median of Took on the route; 0 if it is unknown. It is used until the
	// times of the versions that are not on trial are known.
	Took, Typical time.Duration
	// Cold is set if the target was cold.
	Cold bool
}

// Observe records an attempt. It is evidence if the service has a move.
func (p *Promoter) Observe(o Observation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.moves[o.Service]
	o = p.withTypical(o, m)
	if m != nil && m.State == Running && !m.returning {
		now := p.settings.Clock.Now()
		m.evidence.observe(now, o, m.trial.judgesLoad(now.Add(-o.Took)))
	}
}

// slow reports whether the attempt took much longer than usual.
func (o *Observation) slow() bool { return float64(o.Took) > slowFactor*float64(o.Typical) }

// Run reviews the moves and writes their states until the context ends.
func (p *Promoter) Run(ctx context.Context) {
	for ctx.Err() == nil {
		for _, m := range p.review() {
			p.write(ctx, m)
		}
		select {
		case <-p.settings.Clock.After(reviewPeriod):
		case <-ctx.Done():
		}
	}
}

// review decides on the running moves and returns those whose state this
// instance must write now.
func (p *Promoter) review() []move {
	now := p.settings.Clock.Now()
	delay := time.Duration(p.settings.Rank()) * rankDelay
	p.mu.Lock()
	p.report(now)
	p.forgetMissing(now)
	rolledBack := false
	var due []move
	for _, m := range p.moves {
		if m.State != Running {
			continue
		}
		p.findCurrent(m)
		switch {
		case m.returning && m.decided == Running:
			p.returnToCurrent(m, now)
		case !m.returning && m.decided != RolledBack && m.confirmed == Running:
			p.decide(m, now)
			rolledBack = rolledBack || m.decided == RolledBack
		}
		if !m.missingSince.IsZero() {
			continue
		}
		if (m.decided != Running || !m.Written) && now.Sub(m.dueAt) >= delay && !now.Before(m.notBefore) {
			write := *m
			write.Standing = m.standing
			due = append(due, write)
		}
	}
	p.mu.Unlock()
	if rolledBack && p.settings.OnRollback != nil {
		p.settings.OnRollback()
	}
	return due
}

// decide rolls a move back if its version is bad, also after it was found good as
// long as the store has not confirmed that. It completes a move whose version has
// shown by completeAfter that it is good.
func (p *Promoter) decide(m *move, now time.Time) {
	expired := now.Sub(m.requestedAt) >= m.completeAfter()
	if expired && m.decided == Running {
		m.evidence.settleAll(now)
	}
	fault := m.evidence.review(now)
	doubt := ""
	busyRoutes, quietRoutes := m.trial.busyRoutes(p.settings.Share())
	if fault == "" && expired && m.decided == Running {
		if fault = m.evidence.unreachable(); fault == "" {
			doubt = m.evidence.doubt(busyRoutes)
		}
	}
	m.trial.review(now, m.evidence.sum().acceptedUnderLoad())
	if paused := m.evidence.othersFailing(now); paused != m.paused {
		m.paused = paused
		p.settings.Log.Info("promoter: canary paused or resumed", zap.String("Service", string(m.Service)),
			zap.String("Version", string(m.Version)), zap.Bool("Paused", paused))
	}
	switch {
	case fault != "":
		p.reject(m, fault, now)
	case doubt != "":
		p.undecided(m, doubt, now)
	case expired && m.decided == Running:
		m.decided, m.dueAt = Completed, now
		p.settings.Log.Info("promoter: version is good", zap.String("Service", string(m.Service)),
			zap.String("Version", string(m.Version)), zap.Duration("After", now.Sub(m.requestedAt)), zap.Any("RoutesNotJudged", quietRoutes))
	}
}

// undecided logs from time to time why a move stays under way after the time at which it
// should have been decided.
func (p *Promoter) undecided(m *move, doubt string, now time.Time) {
	if now.Sub(m.undecidedLogged) < reportPeriod {
		return
	}
	m.undecidedLogged = now
	p.settings.Log.Warn("promoter: version is not judged yet and stays on trial", zap.String("Service", string(m.Service)),
		zap.String("Version", string(m.Version)), zap.String("Why", doubt), zap.Duration("After", now.Sub(m.requestedAt)))
}

// reject decides that a version is bad.
func (p *Promoter) reject(m *move, reason string, now time.Time) {
	m.decided, m.dueAt, m.reason = RolledBack, now, reason
	m.updateStanding()
	p.settings.Log.Warn("promoter: version is bad", zap.String("Service", string(m.Service)),
		zap.String("Version", string(m.Version)), zap.String("Why", reason), zap.Duration("After", now.Sub(m.requestedAt)))
}

// updateStanding adds the decision on the version of the move.
func (m *move) updateStanding() {
	switch {
	case m.decided == RolledBack:
		m.standing = m.standing.WithRejected(m.Version)
	case m.confirmed == Completed:
		m.standing = m.standing.WithCurrent(m.Version)
	}
}

// completeAfter returns the time since the request of the move after which a
// version without a fault is found good.
func (m Move) completeAfter() time.Duration {
	return min(time.Duration(completeFraction*float64(m.Duration)), m.Duration-completeReserve)
}

func (p *Promoter) write(ctx context.Context, m move) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err := p.settings.Write(ctx, m.Move, m.decided)
	if err != nil {
		p.settings.Log.Warn("promoter: state of the move cannot be written", zap.String("Service", string(m.Service)), zap.Error(err))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if current := p.moves[m.Service]; current != nil && current.Version == m.Version {
		current.backOff(p.settings.Clock.Now(), err != nil)
	}
}

// backOff delays the next write of the state after a failed one, twice as long each
// time.
func (m *move) backOff(now time.Time, failed bool) {
	if !failed {
		m.backoff, m.notBefore = 0, time.Time{}
		return
	}
	m.backoff = min(max(2*m.backoff, reviewPeriod), maxWriteBackoff)
	m.notBefore = now.Add(m.backoff)
}
