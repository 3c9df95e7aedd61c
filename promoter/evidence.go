package promoter

import (
	"fmt"
	"math"
	"time"

	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
)

const (
	// An attempt is slow if it takes more than slowFactor times the median of its
	// route, whether it was answered or not.
	slowFactor = 2.5
	// rejectEvidence is the evidence from which on a version is bad: e^10 to 1 that it is
	// not like the others. Five failures in a row, or six slow answers, reach it.
	rejectEvidence = 10
	// confirmTime is for how long the evidence must stay above rejectEvidence. A short
	// stall of a target makes many answers slow or fail at once.
	confirmTime = time.Second
	// maxEvidence bounds the evidence, so that such a stall is soon outweighed.
	maxEvidence = 1.5 * rejectEvidence
	// acceptEvidence is the evidence in favour of a version from which on it is good: a
	// version as bad as the hypotheses say reaches it once in 100 moves. 28 answers
	// without a failure reach it, and 13 that are not slow.
	acceptEvidence = 4.6
	// doubtEvidence is the evidence from which on a version is not completed.
	doubtEvidence = 3
	// minOthersAnswers is the number of answers of the other versions from which on a
	// version without any must not be completed: it cannot be reached.
	minOthersAnswers = 100
	// maxCanaryFailureRate is the failure rate of the other versions above which the
	// canary is paused: its answers could not be told from theirs.
	maxCanaryFailureRate = 0.25
)

// hypothesis describes what the answers of a bad version are like: their rate of
// failures, or of slow answers, is higher than that of the other versions by excess.
type hypothesis struct {
	// least is the rate that every version may have.
	least  float64
	excess float64
}

var (
	failing = hypothesis{least: 0.02, excess: 0.15}
	slow    = hypothesis{least: 0.05, excess: 0.3}
)

// highestRate bounds the rates of a hypothesis, so that one good answer does not
// outweigh all others.
const highestRate = 0.95

// evidence returns the log-likelihood ratio of hits among n answers, if hits of the
// other versions at the same time were at the rate reference.
func (h hypothesis) evidence(n, hits int64, reference float64) float64 {
	usual := min(max(reference, h.least), highestRate-h.excess)
	bad := usual + h.excess
	return float64(hits)*math.Log(bad/usual) + float64(n-hits)*math.Log((1-bad)/(1-usual))
}

// Tally is what one instance has seen of the version of a move on one route, as a
// fault can show on one route only.
type Tally struct {
	Service jujubegate.Service
	Version jujubegate.Version
	Route   jujubegate.Route
	// Answers is the number of attempts that were judged; Failures and Slow are those
	// of them that failed and that were slow.
	Answers, Failures, Slow int64
	// FailureEvidence and SlowEvidence are the sums of the log-likelihood ratios of the
	// hypotheses failing and slow. Sums of several instances and routes may be added
	// up, since each answer was compared with those that its instance got at the same
	// time on the same route. Those of several services may not, as each has its own
	// move.
	FailureEvidence, SlowEvidence float64
	// LoadedFailureEvidence and LoadedSlowEvidence are the parts of these sums that come
	// from targets under the load that they will have once the move is completed.
	LoadedFailureEvidence, LoadedSlowEvidence float64
}

// add returns the sum of two tallies.
func (t Tally) add(other Tally) Tally {
	t.Answers, t.Failures, t.Slow = t.Answers+other.Answers, t.Failures+other.Failures, t.Slow+other.Slow
	t.FailureEvidence, t.SlowEvidence = t.FailureEvidence+other.FailureEvidence, t.SlowEvidence+other.SlowEvidence
	t.LoadedFailureEvidence += other.LoadedFailureEvidence
	t.LoadedSlowEvidence += other.LoadedSlowEvidence
	return t
}

// accepted reports whether the answers show that the version is good.
func (t Tally) accepted() bool { return max(t.FailureEvidence, t.SlowEvidence) <= -acceptEvidence }

// acceptedUnderLoad reports whether those of targets under their final load do.
func (t Tally) acceptedUnderLoad() bool {
	return max(t.LoadedFailureEvidence, t.LoadedSlowEvidence) <= -acceptEvidence
}

// String describes the evidence.
func (t Tally) String() string {
	return fmt.Sprintf("%d of %d failed, %d slow (evidence %.1f and %.1f, needed %.1f)",
		t.Failures, t.Answers, t.Slow, t.FailureEvidence, t.SlowEvidence, -acceptEvidence)
}

// allRoutes is the key of the suspicion for all routes together.
const allRoutes = jujubegate.Route("")

// suspicion is the evidence since it was last in favour of the version (CUSUM). A
// fault that shows late is not hidden by the good answers before it.
type suspicion struct{ failing, slow float64 }

// add returns the suspicion after more evidence.
func (s suspicion) add(t Tally) suspicion {
	return suspicion{
		failing: min(max(s.failing+t.FailureEvidence, 0), maxEvidence),
		slow:    min(max(s.slow+t.SlowEvidence, 0), maxEvidence),
	}
}

func (s suspicion) greatest() float64 { return max(s.failing, s.slow) }

// evidence is what is known of the version of one move.
type evidence struct {
	service jujubegate.Service
	version jujubegate.Version
	// own holds what this instance has seen, and reports what others have.
	own     map[jujubegate.Route]*series
	reports map[reportKey]*report
	// totals are the sums over all instances at the last review.
	totals     map[jujubegate.Route]Tally
	suspicions map[jujubegate.Route]suspicion
	// suspectedSince is since when the evidence has been above rejectEvidence; zero if
	// it is not.
	suspectedSince time.Time
}

func newEvidence(service jujubegate.Service, version jujubegate.Version) *evidence {
	return &evidence{
		service: service, version: version,
		own: make(map[jujubegate.Route]*series), reports: make(map[reportKey]*report),
		totals: make(map[jujubegate.Route]Tally), suspicions: make(map[jujubegate.Route]suspicion),
	}
}

// observe counts an attempt of this instance. Loaded is set if its target was under the
// load that it will have once the move is completed.
func (e *evidence) observe(now time.Time, o Observation, loaded bool) {
	s := e.own[o.Route]
	if s == nil {
		s = &series{tally: Tally{Service: e.service, Version: e.version, Route: o.Route}}
		e.own[o.Route] = s
	}
	switch {
	case o.Version != e.version:
		s.observe(now, o, others)
	case loaded:
		s.observe(now, o, candidateLoaded)
	default:
		s.observe(now, o, candidate)
	}
}

// ownTallies returns the tallies of this instance.
func (e *evidence) ownTallies(now time.Time) []Tally {
	tallies := make([]Tally, 0, len(e.own))
	for _, s := range e.own {
		s.settle(bucketIndex(now) - settleAfter)
		tallies = append(tallies, s.tally)
	}
	return tallies
}

// settleAll judges all attempts of this instance up to now.
func (e *evidence) settleAll(now time.Time) {
	for _, s := range e.own {
		s.settle(bucketIndex(now))
	}
}

// sums returns the sums over all instances by route.
func (e *evidence) sums(now time.Time) map[jujubegate.Route]Tally {
	sums := make(map[jujubegate.Route]Tally)
	add := func(t Tally) {
		sum := sums[t.Route]
		sum.Service, sum.Version, sum.Route = e.service, e.version, t.Route
		sums[t.Route] = sum.add(t)
	}
	for _, t := range e.ownTallies(now) {
		add(t)
	}
	for _, r := range e.reports {
		add(r.tally)
	}
	return sums
}

// review adds what has become known since the last review to the suspicions. It
// returns why the version is bad, or "".
func (e *evidence) review(now time.Time) string {
	var gained Tally
	for route, sum := range e.sums(now) {
		old := e.totals[route]
		delta := Tally{FailureEvidence: sum.FailureEvidence - old.FailureEvidence, SlowEvidence: sum.SlowEvidence - old.SlowEvidence}
		e.totals[route] = sum
		e.suspicions[route] = e.suspicions[route].add(delta)
		gained = gained.add(delta)
	}
	e.suspicions[allRoutes] = e.suspicions[allRoutes].add(gained)
	route, s := e.greatest()
	if s.greatest() < rejectEvidence {
		e.suspectedSince = time.Time{}
		return ""
	}
	if e.suspectedSince.IsZero() {
		e.suspectedSince = now
	}
	if now.Sub(e.suspectedSince) < confirmTime {
		return ""
	}
	return e.describe(route, s)
}

// greatest returns the greatest suspicion and its route.
func (e *evidence) greatest() (jujubegate.Route, suspicion) {
	greatestRoute, greatest := allRoutes, e.suspicions[allRoutes]
	for route, s := range e.suspicions {
		if s.greatest() > greatest.greatest() {
			greatestRoute, greatest = route, s
		}
	}
	return greatestRoute, greatest
}

// describe says why a version is suspected on a route or on all.
func (e *evidence) describe(route jujubegate.Route, s suspicion) string {
	sum, where := e.totals[route], "route "+string(route)
	if route == allRoutes {
		where = "all routes"
		for _, t := range e.totals {
			sum = sum.add(t)
		}
	}
	return fmt.Sprintf("%d of %d answers on %s failed and %d were slow (evidence %.1f and %.1f)",
		sum.Failures, sum.Answers, where, sum.Slow, s.failing, s.slow)
}

// answers returns the number of attempts that were judged, by all instances.
func (e *evidence) answers() int64 {
	return e.sum().Answers
}

// unreachable says why a version without answers is rolled back at the deadline, or "".
func (e *evidence) unreachable() string {
	if e.answers() == 0 && e.othersAnswers() >= minOthersAnswers {
		return fmt.Sprintf("no answer in time, with the other versions %d", e.othersAnswers())
	}
	return ""
}

// doubt says why a version that was not found bad must not be completed either, or "". The
// version is judged on each of the busy routes and on all routes together.
func (e *evidence) doubt(busyRoutes []jujubegate.Route) string {
	if route, s := e.greatest(); s.greatest() >= doubtEvidence {
		return "suspected: " + e.describe(route, s)
	}
	sum := e.sum()
	if !sum.accepted() {
		return "too few good answers: " + sum.String()
	}
	for _, route := range busyRoutes {
		if t := e.totals[route]; !t.accepted() {
			return fmt.Sprintf("too few good answers on route %s: %v", route, t)
		}
	}
	if !sum.acceptedUnderLoad() {
		return fmt.Sprintf("not seen under its final load for long enough (evidence %.1f and %.1f, needed %.1f)",
			sum.LoadedFailureEvidence, sum.LoadedSlowEvidence, -acceptEvidence)
	}
	return ""
}

// sum returns the sum over all instances and routes at the last review.
func (e *evidence) sum() Tally {
	var sum Tally
	for _, t := range e.totals {
		sum = sum.add(t)
	}
	return sum
}

// othersFailing reports whether the other versions fail too many requests at present
// for the canary to be judged.
func (e *evidence) othersFailing(now time.Time) bool {
	for _, s := range e.own {
		if s.reference(now).rate(failing) > maxCanaryFailureRate {
			return true
		}
	}
	return false
}

// othersAnswers returns the number of attempts at other versions by this instance.
func (e *evidence) othersAnswers() int64 {
	var n int64
	for _, s := range e.own {
		n += s.others
	}
	return n
}

// report logs the evidence of each move under way every reportPeriod.
func (p *Promoter) report(now time.Time) {
	if now.Sub(p.reportedAt) < reportPeriod {
		return
	}
	p.reportedAt = now
	for _, m := range p.moves {
		if m.State != Running {
			continue
		}
		for route, sum := range m.evidence.sums(now) {
			fields := []zap.Field{
				zap.String("Service", string(m.Service)), zap.String("Version", string(m.Version)), zap.String("Route", string(route)),
				zap.Int("Reports", len(m.evidence.reports)), zap.Int64("Answers", sum.Answers), zap.Int64("Failures", sum.Failures), zap.Int64("Slow", sum.Slow),
				zap.Float64("FailureEvidence", m.evidence.suspicions[route].failing), zap.Float64("SlowEvidence", m.evidence.suspicions[route].slow),
				zap.Bool("Paused", m.paused),
			}
			if s := m.evidence.own[route]; s != nil {
				reference := s.reference(now)
				fields = append(fields, zap.Int64("OwnAnswers", s.tally.Answers), zap.Int64("OwnUncounted", s.uncounted),
					zap.Float64("OthersFailureRate", reference.rate(failing)), zap.Float64("OthersSlowRate", reference.rate(slow)))
			}
			p.settings.Log.Info("promoter: evidence of the move", fields...)
		}
	}
}
