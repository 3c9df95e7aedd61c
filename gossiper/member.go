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
	// suspicionTimeout is how long a suspected instance has to refute the suspicion.
	suspicionTimeout = 2 * time.Second
	// failuresToSuspect is the number of consecutive failed exchanges after which an
	// instance is suspected. A single failure can be due to a broken connection.
	failuresToSuspect = 2
	// forgetAfter is how long a dead instance still counts for shared limits and is
	// contacted now and then.
	forgetAfter = time.Minute
	// changeLifetime is how long exchanges include a change. Each round of 500 ms
	// triples the number of instances that know it, so that ten rounds reach all.
	changeLifetime = 5 * time.Second
)

// Peer describes one instance. It is immutable.
type Peer struct {
	Instance      jujubegate.Instance
	Incarnation   int64
	DataCentre    jujubegate.DataCentre
	PeerAddress   string
	CallerAddress string
	// Capacity is the CPU time that the instance may use, in thousandths of a core.
	Capacity int64
	Serving  bool
}

// record holds the last known state of another instance.
type record struct {
	peering *wire.Peering
	// failures counts the consecutive failed exchanges of this instance with it.
	failures    int
	changedAt   time.Time
	suspectedAt time.Time
	deadAt      time.Time
}

func (r *record) suspected() bool { return !r.suspectedAt.IsZero() }

func (r *record) dead() bool { return !r.deadAt.IsZero() }

// toWire returns the state of the instance as exchanges send it.
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

// newer reports whether p is a later state of the same instance than old.
func newer(p, old *wire.Peering) bool {
	if p.Incarnation != old.Incarnation {
		return p.Incarnation > old.Incarnation
	}
	return p.Beat > old.Beat
}

// members holds the records of the other instances by name. Gossiper.mu guards it.
type members struct {
	log     *zap.Logger
	records map[string]*record
}

// mergeSelfReport merges what an instance reports of itself. It returns whether
// the record has changed.
func (m *members) mergeSelfReport(p *wire.Peering, now time.Time) bool {
	r := m.records[p.Instance]
	if r == nil {
		r = &record{}
		m.records[p.Instance] = r
	}
	old := r.peering
	changed := old == nil || r.dead() || r.suspected() || old.Incarnation != p.Incarnation || old.Beat != p.Beat || old.Serving != p.Serving
	if old != nil && old.Incarnation == p.Incarnation && p.Beat < old.Beat {
		// A later exchange has arrived before this one.
		p = old
	}
	r.peering, r.failures = p, 0
	r.suspectedAt, r.deadAt = time.Time{}, time.Time{}
	if changed {
		r.changedAt = now
		m.log.Info("gossiper: instance reported a change", zap.String("Instance", p.Instance), zap.String("Address", p.PeerAddress),
			zap.Int64("Incarnation", p.Incarnation), zap.Int64("Beat", p.Beat), zap.Bool("Serving", p.Serving))
	}
	return changed
}

// mergePeerReport merges what an instance reports of another one. It returns
// whether the record has changed.
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
			m.log.Info("gossiper: instance discovered through a peer", zap.String("Instance", p.Instance), zap.String("Address", p.PeerAddress), zap.Int64("Incarnation", p.Incarnation))
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

// recordFailure counts a failed exchange. It returns whether the instance at the
// address has become suspected.
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

// expire declares instances dead that did not refute a suspicion in time, and
// removes those that have been dead for longer than forgetAfter. It returns whether
// there were any.
func (m *members) expire(now time.Time) bool {
	changed := false
	for name, r := range m.records {
		if r.suspected() && !r.dead() && now.Sub(r.suspectedAt) >= suspicionTimeout {
			r.deadAt, changed = now, true
			m.log.Warn("gossiper: instance declared dead", zap.String("Instance", name), zap.Duration("SuspectedFor", now.Sub(r.suspectedAt)))
		}
		if r.dead() && now.Sub(r.deadAt) > forgetAfter {
			delete(m.records, name)
			changed = true
		}
	}
	return changed
}

// live returns the instances that are neither suspected nor dead, sorted by name.
func (m *members) live() []Peer {
	var peers []Peer
	for _, r := range m.records {
		if !r.suspected() && !r.dead() {
			peers = append(peers, peerOf(r.peering))
		}
	}
	slices.SortFunc(peers, func(a, b Peer) int { return strings.Compare(string(a.Instance), string(b.Instance)) })
	return peers
}

// changedPeers returns the instances that changed within changeLifetime, or all
// if full is set. Dead ones are left out.
func (m *members) changedPeers(now time.Time, full bool) []*wire.Peering {
	var changed []*wire.Peering
	for _, r := range m.records {
		if full && !r.dead() || now.Sub(r.changedAt) < changeLifetime && !r.dead() {
			changed = append(changed, r.toWire())
		}
	}
	return changed
}
