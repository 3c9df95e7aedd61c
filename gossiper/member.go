package gossiper

import (
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/wire"
)

const (
	// suspicionTimeout is how long a suspected instance has to deny that it is gone.
	suspicionTimeout = 2 * time.Second
	// failuresToSuspect is the number of failed exchanges in a row after which
	// an instance is suspected; one can be lost on a connection that went silent.
	failuresToSuspect = 2
	// forgetAfter is how long a dead instance still counts for shared limits and
	// is asked now and then.
	forgetAfter = time.Minute
	// changeLifetime is how long a change is told in exchanges. A round of 500 ms
	// triples the instances that know of it, so that ten rounds reach all.
	changeLifetime = 5 * time.Second
)

// Peer is one instance. It is immutable.
type Peer struct {
	Instance      jujubegate.Instance
	Incarnation   int64
	DataCentre    jujubegate.DataCentre
	PeerAddress   string
	CallerAddress string
	// Capacity is the processor time that it may use, in thousandths of a core.
	Capacity int64
	Serving  bool
}

// record is what is known of another instance.
type record struct {
	peering *wire.Peering
	// failures counts own failed exchanges in a row.
	failures    int
	changedAt   time.Time
	suspectedAt time.Time
	deadAt      time.Time
}

func (r *record) suspected() bool { return !r.suspectedAt.IsZero() }

func (r *record) dead() bool { return !r.deadAt.IsZero() }

// toWire returns the record as exchanges tell it.
func (r *record) toWire() *wire.Peering {
	p := r.peering
	if !r.suspected() {
		return p
	}
	return &wire.Peering{
		Instance: p.Instance, Incarnation: p.Incarnation, DataCentre: p.DataCentre,
		PeerAddress: p.PeerAddress, CallerAddress: p.CallerAddress, Beat: p.Beat,
		Serving: p.Serving, Capacity: p.Capacity, Suspected: true,
	}
}

func peerOf(p *wire.Peering) Peer {
	return Peer{
		Instance: jujubegate.Instance(p.Instance), Incarnation: p.Incarnation,
		DataCentre: jujubegate.DataCentre(p.DataCentre), PeerAddress: p.PeerAddress,
		CallerAddress: p.CallerAddress, Capacity: p.Capacity, Serving: p.Serving,
	}
}

func newer(p, old *wire.Peering) bool {
	if p.Incarnation != old.Incarnation {
		return p.Incarnation > old.Incarnation
	}
	return p.Beat > old.Beat
}

// members holds what is known of the other instances. Gossiper guards it.
type members struct {
	log     *zap.Logger
	records map[string]*record
}

// mergeSelfReport takes in what an instance says of itself. It reports a change.
func (m *members) mergeSelfReport(p *wire.Peering, now time.Time) bool {
	r := m.records[p.Instance]
	if r == nil {
		r = &record{}
		m.records[p.Instance] = r
	}
	old := r.peering
	changed := old == nil || r.dead() || r.suspected() || old.Incarnation != p.Incarnation || old.Beat != p.Beat || old.Serving != p.Serving
	if old != nil && old.Incarnation == p.Incarnation && p.Beat < old.Beat {
		// An exchange that was overtaken by a later one.
		p = old
	}
	r.peering, r.failures = p, 0
	r.suspectedAt, r.deadAt = time.Time{}, time.Time{}
	if changed {
		r.changedAt = now
		m.log.Info("gossiper: instance heard", zap.String("Instance", p.Instance), zap.String("Address", p.PeerAddress),
			zap.Int64("Incarnation", p.Incarnation), zap.Int64("Beat", p.Beat), zap.Bool("Serving", p.Serving))
	}
	return changed
}

// mergePeerReport takes in what another instance says of a third one.
func (m *members) mergePeerReport(p *wire.Peering, now time.Time) bool {
	r := m.records[p.Instance]
	if r == nil || newer(p, r.peering) {
		known := r != nil && !r.dead()
		if r == nil {
			r = &record{}
			m.records[p.Instance] = r
		}
		r.peering, r.failures, r.changedAt = p, 0, now
		r.suspectedAt, r.deadAt = time.Time{}, time.Time{}
		if p.Suspected {
			r.suspectedAt = now
		}
		if !known {
			m.log.Info("gossiper: instance told", zap.String("Instance", p.Instance), zap.String("Address", p.PeerAddress), zap.Int64("Incarnation", p.Incarnation))
		}
		return true
	}
	same := p.Incarnation == r.peering.Incarnation && p.Beat == r.peering.Beat
	if p.Suspected && same && !r.suspected() && !r.dead() {
		m.suspect(r, now, "another instance did not reach it")
		return true
	}
	return false
}

func (m *members) suspect(r *record, now time.Time, why string) {
	r.suspectedAt, r.changedAt = now, now
	m.log.Warn("gossiper: instance suspected", zap.String("Instance", r.peering.Instance), zap.Int64("Beat", r.peering.Beat), zap.String("Why", why))
}

// recordFailure notes a failed exchange. It reports a change.
func (m *members) recordFailure(address string, now time.Time) bool {
	for _, r := range m.records {
		if r.peering.PeerAddress != address || r.dead() {
			continue
		}
		r.failures++
		if r.failures >= failuresToSuspect && !r.suspected() {
			m.suspect(r, now, "it did not answer")
			return true
		}
	}
	return false
}

// expire gives up suspected instances that did not deny it, and forgets old
// ones. It reports a change.
func (m *members) expire(now time.Time) bool {
	changed := false
	for name, r := range m.records {
		if r.suspected() && !r.dead() && now.Sub(r.suspectedAt) >= suspicionTimeout {
			r.deadAt, changed = now, true
			m.log.Warn("gossiper: instance is gone", zap.String("Instance", name), zap.Duration("SuspectedFor", now.Sub(r.suspectedAt)))
		}
		if r.dead() && now.Sub(r.deadAt) > forgetAfter {
			delete(m.records, name)
			changed = true
		}
	}
	return changed
}

// alive returns the instances that are not suspected, by name.
func (m *members) alive() []Peer {
	var peers []Peer
	for _, r := range m.records {
		if !r.suspected() && !r.dead() {
			peers = append(peers, peerOf(r.peering))
		}
	}
	slices.SortFunc(peers, func(a, b Peer) int { return strings.Compare(string(a.Instance), string(b.Instance)) })
	return peers
}

// changedPeers returns what changed of late, or all living instances.
func (m *members) changedPeers(now time.Time, full bool) []*wire.Peering {
	var changed []*wire.Peering
	for _, r := range m.records {
		if full && !r.dead() || now.Sub(r.changedAt) < changeLifetime && !r.dead() {
			changed = append(changed, r.toWire())
		}
	}
	return changed
}
