package promoter

import (
	"fmt"
	"time"

	"jujubegate.example/jujubegate"
)

const (
	// minBad is the number of failures from which on a version can be bad, and
	// badFactor how many times as often as the other versions it must fail.
	minBad    = 4
	badFactor = 5
	// maxGoodShare is the share of failures up to which a version is not bad.
	maxGoodShare = 0.08
	// minTimed is the number of answers from which on a version can be too slow,
	// and slowFactor how many times as slow as the other versions it must be.
	minTimed   = 15
	slowFactor = 2.2
)

// key is what tallies are kept by. A fault can show on one route only.
type key struct {
	service jujubegate.Service
	version jujubegate.Version
	route   jujubegate.Route
}

// Tally counts the answers of one version on one route at one instance.
type Tally struct {
	Service jujubegate.Service
	Version jujubegate.Version
	Route   jujubegate.Route
	// Answers includes the Bad ones; Took is the sum of their times.
	Answers, Bad int64
	Took         time.Duration
}

// add returns the sum of both.
func (t Tally) add(other Tally) Tally {
	t.Answers, t.Bad, t.Took = t.Answers+other.Answers, t.Bad+other.Bad, t.Took+other.Took
	return t
}

func (t Tally) badShare() float64 { return float64(t.Bad) / float64(max(t.Answers, 1)) }

func (t Tally) mean() time.Duration { return t.Took / time.Duration(max(t.Answers, 1)) }

// evidence is the tallies of this instance and of its peers.
type evidence struct {
	own   map[key]Tally
	peers map[string]map[key]Tally
}

func newEvidence() evidence {
	return evidence{own: make(map[key]Tally), peers: make(map[string]map[key]Tally)}
}

func (e *evidence) observe(k key, bad bool, took time.Duration) {
	t := e.own[k]
	t.Service, t.Version, t.Route = k.service, k.version, k.route
	t.Answers++
	t.Took += took
	if bad {
		t.Bad++
	}
	e.own[k] = t
}

// forget drops what was seen of a service before a new move.
func (e *evidence) forget(service jujubegate.Service) {
	for _, tallies := range append([]map[key]Tally{e.own}, mapValues(e.peers)...) {
		for k := range tallies {
			if k.service == service {
				delete(tallies, k)
			}
		}
	}
}

func mapValues(m map[string]map[key]Tally) []map[key]Tally {
	values := make([]map[key]Tally, 0, len(m))
	for _, v := range m {
		values = append(values, v)
	}
	return values
}

// sums adds up the tallies of a service over all instances, by route, for the
// version and for all others.
func (e *evidence) sums(service jujubegate.Service, version jujubegate.Version) (candidate, others map[jujubegate.Route]Tally) {
	candidate, others = make(map[jujubegate.Route]Tally), make(map[jujubegate.Route]Tally)
	for _, tallies := range append([]map[key]Tally{e.own}, mapValues(e.peers)...) {
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

// fault returns what is wrong with a version, compared with the others on the
// same route; "" if nothing is.
func (e *evidence) fault(service jujubegate.Service, version jujubegate.Version) string {
	candidate, others := e.sums(service, version)
	for route, c := range candidate {
		o := others[route]
		if c.Bad >= minBad && c.badShare() > maxGoodShare && c.badShare() > badFactor*o.badShare() {
			return fmt.Sprintf("%d of %d answers on route %s failed, %d of %d of the others", c.Bad, c.Answers, route, o.Bad, o.Answers)
		}
		if c.Answers >= minTimed && o.Answers >= minTimed && float64(c.mean()) > slowFactor*float64(o.mean()) {
			return fmt.Sprintf("answers on route %s take %v, those of the others %v", route, c.mean(), o.mean())
		}
	}
	return ""
}

// Tallies returns what this instance saw, for its peers.
func (p *Promoter) Tallies() []Tally {
	p.mu.Lock()
	defer p.mu.Unlock()
	tallies := make([]Tally, 0, len(p.evidence.own))
	for _, t := range p.evidence.own {
		tallies = append(tallies, t)
	}
	return tallies
}

// SetPeerTallies replaces what a peer saw.
func (p *Promoter) SetPeerTallies(peer string, tallies []Tally) {
	p.mu.Lock()
	defer p.mu.Unlock()
	heard := make(map[key]Tally, len(tallies))
	for _, t := range tallies {
		if p.moves[t.Service] != nil {
			heard[key{t.Service, t.Version, t.Route}] = t
		}
	}
	if len(heard) == 0 {
		delete(p.evidence.peers, peer)
		return
	}
	p.evidence.peers[peer] = heard
}
