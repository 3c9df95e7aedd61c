package promoter

import (
	"cmp"
	"math"
	"slices"

	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/wire"
)

const (
	// maxPassedOn bounds the tallies of other instances in one message. Large fleets
	// with many requests have more, but then each instance sees enough itself.
	maxPassedOn = 8
	// maxReports bounds the tallies that are kept for one move.
	maxReports = 4096
)

// reporter is one start of an instance. What it counted before a restart still counts.
type reporter struct {
	instance    string
	incarnation int64
}

// reportKey identifies a tally of another instance.
type reportKey struct {
	reporter reporter
	route    jujubegate.Route
}

// report is the newest known tally of another instance.
type report struct {
	tally Tally
	// tells is how many more messages include it.
	tells int
}

// Tallies returns what this instance knows of the versions to which services are being
// moved: its own tallies, and those of others that must still be passed on, or all of
// them if whole is set.
func (p *Promoter) Tallies(whole bool) []*wire.Tally {
	now := p.settings.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var tallies []*wire.Tally
	own := reporter{string(p.settings.Instance), p.settings.Incarnation}
	for _, m := range p.moves {
		if m.State != Running {
			continue
		}
		for _, t := range m.evidence.ownTallies(now) {
			if t.Answers == 0 {
				continue
			}
			tallies = append(tallies, t.toWire(own))
		}
		tallies = append(tallies, m.evidence.passOn(whole)...)
	}
	return tallies
}

// passOn returns the tallies of other instances for one message. Those that were
// passed on least often go first.
func (e *evidence) passOn(whole bool) []*wire.Tally {
	var keys []reportKey
	for k, r := range e.reports {
		if whole || r.tells > 0 {
			keys = append(keys, k)
		}
	}
	if !whole && len(keys) > maxPassedOn {
		slices.SortFunc(keys, func(a, b reportKey) int { return cmp.Compare(e.reports[b].tells, e.reports[a].tells) })
		keys = keys[:maxPassedOn]
	}
	tallies := make([]*wire.Tally, 0, len(keys))
	for _, k := range keys {
		r := e.reports[k]
		r.tells = max(r.tells-1, 0)
		tallies = append(tallies, r.tally.toWire(k.reporter))
	}
	return tallies
}

// MergeTallies merges what a peer knows. Tallies of services without a move are
// ignored.
func (p *Promoter) MergeTallies(received []*wire.Tally) {
	tells := jujubegate.Tells(p.settings.FleetSize())
	own := reporter{string(p.settings.Instance), p.settings.Incarnation}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range received {
		t, from := tallyFrom(w)
		m := p.moves[t.Service]
		if m == nil || m.Version != t.Version || from == own {
			continue
		}
		if !t.isFinite() {
			p.settings.Log.Warn("promoter: tally of an instance cannot be used", zap.String("Instance", from.instance), zap.String("Service", w.Service))
			continue
		}
		m.evidence.merge(reportKey{from, t.Route}, t, tells)
	}
}

// merge keeps the tally of another instance if it is newer than the known one.
func (e *evidence) merge(k reportKey, t Tally, tells int) {
	r := e.reports[k]
	switch {
	case r == nil && len(e.reports) < maxReports:
		e.reports[k] = &report{t, tells}
	case r == nil:
	case t.Answers > r.tally.Answers:
		r.tally, r.tells = t, tells
	case t.Answers == r.tally.Answers:
		r.tells = max(r.tells-jujubegate.HeardTells, 0)
	}
}

// Verdicts returns the versions that were found bad as long as the store does not say
// so. An instance that starts later does not see their fault in the tallies alone.
func (p *Promoter) Verdicts() []*wire.Verdict {
	p.mu.Lock()
	defer p.mu.Unlock()
	var verdicts []*wire.Verdict
	for _, m := range p.moves {
		if m.State == Running && m.decided == RolledBack {
			verdicts = append(verdicts, &wire.Verdict{Service: string(m.Service), Version: string(m.Version), Reason: m.reason})
		}
	}
	return verdicts
}

// MergeVerdicts takes over the verdicts of a peer.
func (p *Promoter) MergeVerdicts(received []*wire.Verdict) {
	now := p.settings.Clock.Now()
	p.mu.Lock()
	rejected := false
	for _, v := range received {
		m := p.moves[jujubegate.Service(v.GetService())]
		if m == nil || string(m.Version) != v.GetVersion() || m.State != Running || m.decided == RolledBack || m.confirmed != Running || m.returning {
			continue
		}
		p.reject(m, v.GetReason(), now)
		rejected = true
	}
	p.mu.Unlock()
	if rejected && p.settings.OnRollback != nil {
		p.settings.OnRollback()
	}
}

func (t *Tally) toWire(from reporter) *wire.Tally {
	return &wire.Tally{
		Service: string(t.Service), Version: string(t.Version), Route: string(t.Route), Reporter: from.instance, Incarnation: from.incarnation,
		Answers: t.Answers, Bad: t.Failures, Slow: t.Slow, FailureEvidence: t.FailureEvidence, SlowEvidence: t.SlowEvidence,
		LoadedFailureEvidence: t.LoadedFailureEvidence, LoadedSlowEvidence: t.LoadedSlowEvidence,
	}
}

func tallyFrom(w *wire.Tally) (Tally, reporter) {
	return Tally{
		Service: jujubegate.Service(w.GetService()), Version: jujubegate.Version(w.GetVersion()), Route: jujubegate.Route(w.GetRoute()),
		Answers: w.GetAnswers(), Failures: w.GetBad(), Slow: w.GetSlow(), FailureEvidence: w.GetFailureEvidence(), SlowEvidence: w.GetSlowEvidence(),
		LoadedFailureEvidence: w.GetLoadedFailureEvidence(), LoadedSlowEvidence: w.GetLoadedSlowEvidence(),
	}, reporter{w.GetReporter(), w.GetIncarnation()}
}

// isFinite reports whether all evidence of a tally is a finite number.
func (t *Tally) isFinite() bool {
	for _, x := range []float64{t.FailureEvidence, t.SlowEvidence, t.LoadedFailureEvidence, t.LoadedSlowEvidence} {
		if math.IsNaN(x) || math.IsInf(x, 0) {
			return false
		}
	}
	return true
}
