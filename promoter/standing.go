package promoter

import (
	"time"

	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
)

// withdrawTime is how long requests at other versions may take to end after the operator
// has ordered the current version. They stop once the move is completed.
const withdrawTime = 2 * time.Second

// Standing is what the moves of a service have shown of its versions. It is kept in the
// state of its latest move, so that it lasts when all instances restart. It is immutable.
type Standing struct {
	// Current is the version that the service was moved to last, or had before its first
	// move; empty if that is unknown.
	Current jujubegate.Version
	// Rejected holds the versions that were rolled back, and Withdrawn those whose trial
	// ended with the order of another version.
	Rejected, Withdrawn jujubegate.Set[jujubegate.Version]
}

// WithCurrent returns the standing after a move to a version was completed.
func (s Standing) WithCurrent(version jujubegate.Version) Standing {
	s = s.withTrial(version)
	s.Current = version
	return s
}

// WithRejected returns the standing after a version was rolled back.
func (s Standing) WithRejected(version jujubegate.Version) Standing {
	s.Rejected, s.Withdrawn = s.Rejected.With(version), s.Withdrawn.Without(version)
	return s
}

// withWithdrawn returns the standing after a version on trial was replaced by another.
func (s Standing) withWithdrawn(version jujubegate.Version) Standing {
	s.Withdrawn = s.Withdrawn.With(version)
	return s
}

// withTrial returns the standing without what is held against a version.
func (s Standing) withTrial(version jujubegate.Version) Standing {
	s.Rejected, s.Withdrawn = s.Rejected.Without(version), s.Withdrawn.Without(version)
	return s
}

// merge adds what another standing of the service says. What is known here goes first.
func (s Standing) merge(other Standing) Standing {
	if s.Current == "" {
		s.Current = other.Current
	}
	for _, version := range other.Rejected.Sorted() {
		if version != s.Current {
			s.Rejected = s.Rejected.With(version)
		}
	}
	for _, version := range other.Withdrawn.Sorted() {
		if version != s.Current && !s.Rejected.Has(version) {
			s.Withdrawn = s.Withdrawn.With(version)
		}
	}
	return s
}

// Preference says how far a version is preferred for the requests that do not go to one on
// trial.
type Preference int

// Preferences of versions. Of those that have targets, the versions with the greatest
// preference get the requests; Excluded ones never do.
const (
	Excluded Preference = iota
	Fallback
	Preferred
)

// Preference returns the preference of a version: the current one is preferred to those
// against which nothing is held.
func (s Standing) Preference(version jujubegate.Version) Preference {
	switch {
	case version == s.Current:
		return Preferred
	case s.Rejected.Has(version) || s.Withdrawn.Has(version):
		return Excluded
	}
	return Fallback
}

// begin starts a move to a version after the one before, if any.
func (p *Promoter) begin(previous *move, next Move, earliest time.Time) *move {
	m := &move{
		Move: next, requestedAt: earliest, dueAt: earliest, evidence: newEvidence(next.Service, next.Version),
		trial: newTrial(earliest, next, p.random.Float64()),
	}
	if previous != nil {
		m.standing = previous.standing
		if previous.decided == Running && previous.Version != m.standing.Current {
			m.standing = m.standing.withWithdrawn(previous.Version)
		}
	}
	m.standing = m.standing.merge(next.Standing)
	p.findCurrent(m)
	targets := p.settings.Versions(next.Service)
	switch {
	case next.Version == m.standing.Current:
		m.returning = true
		m.standing = m.standing.withTrial(next.Version)
	case m.standing.Rejected.Has(next.Version) && targets[next.Version] > 0 && next.State == Running:
		m.decided, m.reason = RolledBack, "was rolled back before, and its targets still run"
	default:
		m.standing = m.standing.withTrial(next.Version)
	}
	p.settings.Log.Info("promoter: move requested", zap.String("Service", string(next.Service)), zap.String("Version", string(next.Version)),
		zap.String("Current", string(m.standing.Current)), zap.Any("Rejected", m.standing.Rejected.Sorted()), zap.Any("Withdrawn", m.standing.Withdrawn.Sorted()),
		zap.Bool("Returning", m.returning), zap.String("Why", m.reason), zap.Duration("Duration", next.Duration), zap.Int64("Revision", next.Revision))
	return m
}

// findCurrent takes the only version besides that of the move for the current one, if no
// move has shown which it is.
func (p *Promoter) findCurrent(m *move) {
	if m.standing.Current != "" || m.State != Running {
		return
	}
	var others []jujubegate.Version
	for version := range p.settings.Versions(m.Service) {
		if version != m.Version && m.standing.Preference(version) == Fallback {
			others = append(others, version)
		}
	}
	if len(others) == 1 {
		m.standing.Current = others[0]
	}
}

// returnToCurrent completes a move to the version that the service has already, once the
// requests at the other versions have ended.
func (p *Promoter) returnToCurrent(m *move, now time.Time) {
	if now.Sub(m.requestedAt) < min(withdrawTime, m.completeAfter()) {
		return
	}
	m.decided, m.dueAt = Completed, now
	p.settings.Log.Info("promoter: current version was ordered, others are withdrawn", zap.String("Service", string(m.Service)),
		zap.String("Version", string(m.Version)), zap.Any("Withdrawn", m.standing.Withdrawn.Sorted()))
}
