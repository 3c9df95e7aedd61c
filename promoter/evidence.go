package promoter

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
)

const (
	// A version is bad if on one route it has at least minFailures failures, a
	// failure rate above maxGoodFailureRate, and more than failureRateFactor
	// times the failure rate of the other versions.
	minFailures        = 4
	failureRateFactor  = 5
	maxGoodFailureRate = 0.08
	// A version is also bad if its mean latency on a route is more than
	// slowFactor times that of the other versions, with at least
	// minTimedAnswers answers of each.
	minTimedAnswers = 15
	slowFactor      = 2.2
)

// tallyKey identifies a tally. It includes the route, as a fault can show on
// one route only.
type tallyKey struct {
	service jujubegate.Service
	version jujubegate.Version
	route   jujubegate.Route
}

// Tally counts the answers of one version on one route as seen by one instance.
type Tally struct {
	Service jujubegate.Service
	Version jujubegate.Version
	Route   jujubegate.Route
	// Answers is the number of all answers, and Failures the number of those that
	// failed. Took is the total latency of all answers.
	Answers, Failures int64
	Took              time.Duration
	// Uncounted is the number of attempts that did not end with an answer or a broken
	// exchange, and UncountedSlow those of them that took longer than slowFactor times
	// the median of the route. They are not passed on to other instances.
	Uncounted, UncountedSlow int64
}

// add returns the sum of two tallies.
func (t Tally) add(other Tally) Tally {
	t.Answers, t.Failures, t.Took = t.Answers+other.Answers, t.Failures+other.Failures, t.Took+other.Took
	return t
}

func (t Tally) failureRate() float64 { return float64(t.Failures) / float64(max(t.Answers, 1)) }

func (t Tally) mean() time.Duration { return t.Took / time.Duration(max(t.Answers, 1)) }

// evidence holds the tallies of this instance and, by peer, those of its peers.
type evidence struct {
	own   map[tallyKey]Tally
	peers map[string]map[tallyKey]Tally
}

func newEvidence() evidence {
	return evidence{own: make(map[tallyKey]Tally), peers: make(map[string]map[tallyKey]Tally)}
}

// observe counts an attempt of this instance.
func (e *evidence) observe(o Observation) {
	k := tallyKey{o.Service, o.Version, o.Route}
	t := e.own[k]
	t.Service, t.Version, t.Route = k.service, k.version, k.route
	switch {
	case o.Ended:
		t.Answers++
		t.Took += o.Took
		if o.Failed {
			t.Failures++
		}
	default:
		t.Uncounted++
		if float64(o.Took) > slowFactor*float64(o.Typical) {
			t.UncountedSlow++
		}
	}
	e.own[k] = t
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
		candidate, others := p.evidence.sumByRoute(m.Service, m.Version)
		for route, c := range candidate {
			o, own := others[route], p.evidence.own[tallyKey{m.Service, m.Version, route}]
			p.settings.Log.Info("promoter: evidence of the move", zap.String("Service", string(m.Service)), zap.String("Version", string(m.Version)),
				zap.String("Route", string(route)), zap.Int("Peers", len(p.evidence.peers)),
				zap.Int64("Answers", c.Answers), zap.Int64("Failures", c.Failures), zap.Duration("Mean", c.mean()),
				zap.Int64("OthersAnswers", o.Answers), zap.Int64("OthersFailures", o.Failures), zap.Duration("OthersMean", o.mean()),
				zap.Int64("OwnAnswers", own.Answers), zap.Int64("OwnUncounted", own.Uncounted), zap.Int64("OwnUncountedSlow", own.UncountedSlow))
		}
	}
}

// reset deletes all tallies of a service, at the start of a new move.
func (e *evidence) reset(service jujubegate.Service) {
	for _, tallies := range append([]map[tallyKey]Tally{e.own}, mapValues(e.peers)...) {
		for k := range tallies {
			if k.service == service {
				delete(tallies, k)
			}
		}
	}
}

func mapValues(m map[string]map[tallyKey]Tally) []map[tallyKey]Tally {
	values := make([]map[tallyKey]Tally, 0, len(m))
	for _, v := range m {
		values = append(values, v)
	}
	return values
}

// sumByRoute sums the tallies of a service over all instances. It returns the
// sums by route, for the version and for all other versions.
func (e *evidence) sumByRoute(service jujubegate.Service, version jujubegate.Version) (candidate, others map[jujubegate.Route]Tally) {
	candidate, others = make(map[jujubegate.Route]Tally), make(map[jujubegate.Route]Tally)
	for _, tallies := range append([]map[tallyKey]Tally{e.own}, mapValues(e.peers)...) {
		for k, t := range tallies {
			switch {
			case k.service != service:
			case k.version == version:
				candidate[k.route] = candidate[k.route].add(t)
			default:
				others[k.route] = others[k.route].add(t)
			}
		}
	}
	return candidate, others
}

// fault describes why a version is bad in comparison with the others on the
// same route. It returns "" if the version is not bad.
func (e *evidence) fault(service jujubegate.Service, version jujubegate.Version) string {
	candidate, others := e.sumByRoute(service, version)
	for route, c := range candidate {
		o := others[route]
		if c.Failures >= minFailures && c.failureRate() > maxGoodFailureRate && c.failureRate() > failureRateFactor*o.failureRate() {
			return fmt.Sprintf("%d of %d answers on route %s failed, with the other versions %d of %d", c.Failures, c.Answers, route, o.Failures, o.Answers)
		}
		if c.Answers >= minTimedAnswers && o.Answers >= minTimedAnswers && float64(c.mean()) > slowFactor*float64(o.mean()) {
			return fmt.Sprintf("answers on route %s take %v on average, with the other versions %v", route, c.mean(), o.mean())
		}
	}
	return ""
}

// Tallies returns the tallies of this instance, which are sent to its peers.
func (p *Promoter) Tallies() []Tally {
	p.mu.Lock()
	defer p.mu.Unlock()
	tallies := make([]Tally, 0, len(p.evidence.own))
	for _, t := range p.evidence.own {
		tallies = append(tallies, t)
	}
	return tallies
}

// SetPeerTallies replaces the tallies of a peer. Tallies of services without a
// move are ignored.
func (p *Promoter) SetPeerTallies(peer string, tallies []Tally) {
	p.mu.Lock()
	defer p.mu.Unlock()
	received := make(map[tallyKey]Tally, len(tallies))
	for _, t := range tallies {
		if p.moves[t.Service] != nil {
			received[tallyKey{t.Service, t.Version, t.Route}] = t
		}
	}
	if len(received) == 0 {
		delete(p.evidence.peers, peer)
		return
	}
	p.evidence.peers[peer] = received
}
