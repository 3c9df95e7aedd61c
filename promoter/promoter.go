// Package promoter moves the traffic of a service to a new version: a small
// share first, all of it shortly before the deadline, nothing once it is bad.
package promoter

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
)

const (
	// canaryShare is the part of the requests that a new version gets until it
	// is found good. A bad one may get a tenth.
	canaryShare = 0.05
	// completeAt is the part of the duration after which a version without a
	// fault is found good. A fault can show late, and until the deadline a bad
	// version may get a tenth of all requests, so little time is left to all of
	// the traffic.
	completeAt = 0.95
	// completeReserve is the least time before the deadline at which a version is
	// found good: a review and the writing of the state by the first or by
	// the next in rank.
	completeReserve = 900 * time.Millisecond
	// reviewPeriod is the time between two looks at the evidence.
	reviewPeriod = 300 * time.Millisecond
	// rankDelay separates the instances that write a state, in order of rank.
	rankDelay = 600 * time.Millisecond
	// writeTimeout bounds the writing of a state.
	writeTimeout = 2 * time.Second
)

// State is the condition of a move.
type State int

// States of a move.
const (
	Running State = iota
	Completed
	RolledBack
)

// Move is the order to move a service to a version. It is immutable.
type Move struct {
	// Name is that of the object in the store.
	Name     string
	Service  jujubegate.Service
	Version  jujubegate.Version
	Duration time.Duration
	State    State
	// Written is set if the store holds the state.
	Written bool
	// Revision is that of the object in the store.
	Revision int64
}

// Settings are the dependencies of a Promoter.
type Settings struct {
	Clock jujubegate.Clock
	Log   *zap.Logger
	// Rank returns this instance's place among those that write states.
	Rank func() int
	// Write writes the state of a move to the store.
	Write func(ctx context.Context, m Move, s State) error
	// OnRollback is called when this instance finds a version bad; nil ignores it.
	OnRollback func()
}

// Promoter keeps the moves. It is safe for concurrent use.
type Promoter struct {
	settings Settings

	mu       sync.Mutex
	moves    map[jujubegate.Service]*move
	evidence evidence
}

// move is a move with what this instance decided.
type move struct {
	Move
	// orderedAt is when the move was ordered at the earliest.
	orderedAt time.Time
	// decided is the state that the evidence calls for, since decidedAt.
	decided   State
	decidedAt time.Time
}

// New returns a promoter without moves.
func New(settings Settings) *Promoter {
	return &Promoter{settings: settings, moves: make(map[jujubegate.Service]*move), evidence: newEvidence()}
}

// Update replaces the moves that the store holds. New ones were ordered after
// the time at the earliest.
func (p *Promoter) Update(moves []Move, since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := make(map[jujubegate.Service]struct{}, len(moves))
	for _, next := range moves {
		listed[next.Service] = struct{}{}
		m := p.moves[next.Service]
		if m == nil || m.Version != next.Version {
			m = &move{orderedAt: since}
			p.moves[next.Service] = m
			p.evidence.forget(next.Service)
			p.settings.Log.Info("promoter: move ordered", zap.String("Service", string(next.Service)),
				zap.String("Version", string(next.Version)), zap.Duration("Duration", next.Duration), zap.Int64("Revision", next.Revision))
		}
		m.Move = next
		if next.State != Running {
			m.decided = next.State
		}
	}
	for service := range p.moves {
		if _, ok := listed[service]; !ok {
			delete(p.moves, service)
		}
	}
}

// Plan is how the requests of a service are divided between versions.
type Plan struct {
	// Version is the one that gets Share of the requests; empty if there is no
	// move. The others get none of that share.
	Version jujubegate.Version
	Share   float64
}

// Plan returns the division in force for a service.
func (p *Promoter) Plan(service jujubegate.Service) Plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.moves[service]
	if m == nil {
		return Plan{}
	}
	switch m.decided {
	case Completed:
		// The old targets stop once the state is written, so they serve until then.
		if m.State == Completed {
			return Plan{m.Version, 1}
		}
	case RolledBack:
		return Plan{m.Version, 0}
	}
	return Plan{m.Version, canaryShare}
}

// Observe takes in the end of one try.
func (p *Promoter) Observe(service jujubegate.Service, version jujubegate.Version, route jujubegate.Route, bad bool, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.moves[service] == nil {
		return
	}
	p.evidence.observe(key{service, version, route}, bad, took)
}

// Run reviews the moves until the context ends.
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

// review decides on the moves, and returns those whose state is to be written
// by this instance now.
func (p *Promoter) review() []move {
	now := p.settings.Clock.Now()
	delay := time.Duration(p.settings.Rank()) * rankDelay
	p.mu.Lock()
	halted := false
	var due []move
	for _, m := range p.moves {
		if m.State != Running {
			continue
		}
		if m.decided == Running {
			p.decide(m, now)
			halted = halted || m.decided == RolledBack
		}
		decidedAt := m.decidedAt
		if m.decided == Running {
			decidedAt = m.orderedAt
		}
		if (m.decided != Running || !m.Written) && now.Sub(decidedAt) >= delay {
			due = append(due, *m)
		}
	}
	p.mu.Unlock()
	if halted && p.settings.OnRollback != nil {
		p.settings.OnRollback()
	}
	return due
}

func (p *Promoter) decide(m *move, now time.Time) {
	why := p.evidence.fault(m.Service, m.Version)
	switch {
	case why != "":
		m.decided, m.decidedAt = RolledBack, now
		p.settings.Log.Warn("promoter: version is bad", zap.String("Service", string(m.Service)),
			zap.String("Version", string(m.Version)), zap.String("Why", why), zap.Duration("After", now.Sub(m.orderedAt)))
	case now.Sub(m.orderedAt) >= m.goodAfter():
		m.decided, m.decidedAt = Completed, now
		p.settings.Log.Info("promoter: version is good", zap.String("Service", string(m.Service)),
			zap.String("Version", string(m.Version)), zap.Duration("After", now.Sub(m.orderedAt)))
	}
}

// goodAfter returns the time after the order at which a version without a fault
// is found good.
func (m *move) goodAfter() time.Duration {
	return min(time.Duration(completeAt*float64(m.Duration)), m.Duration-completeReserve)
}

func (p *Promoter) write(ctx context.Context, m move) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := p.settings.Write(ctx, m.Move, m.decided); err != nil {
		p.settings.Log.Warn("promoter: state is not written", zap.String("Service", string(m.Service)), zap.Error(err))
	}
}
