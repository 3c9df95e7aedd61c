package gossiper

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
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
	failures int
	// tells is how many more exchanges include this state.
	tells       int
	suspectedAt time.Time
	deadAt      time.Time
}

func (r *record) suspected() bool { return !r.suspectedAt.IsZero() }

func (r *record) dead() bool { return !r.deadAt.IsZero() }

// toWire returns the state of the instance as exchanges send it.
func (r *record) toWire() *wire.Peering {
	p := r.peering
	if !r.suspected() && !r.dead() {
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
	// peers and digest are those of the live instances; peers is nil after a change.
	peers  []Peer
	digest uint64
	// urgent is set when an instance to which callers are sent has become unusable.
	// Others must learn this before the next round.
	urgent bool
}

// changed records that the state of an instance has changed and must be told.
func (m *members) changed(r *record) {
	r.tells = jujubegate.Tells(len(m.records) + 1)
	m.peers = nil
}

// mergeSelfReport merges what an instance reports of itself. It returns whether
// the record has changed, and whether the process of the instance is a new one, which
// knows no others yet.
func (m *members) mergeSelfReport(p *wire.Peering) (changed, started bool) {
	r := m.records[p.Instance]
	if r == nil {
		r = &record{}
		m.records[p.Instance] = r
	}
	old := r.peering
	started = old == nil || old.Incarnation < p.Incarnation
	changed = old == nil || r.dead() || r.suspected() || old.Incarnation != p.Incarnation || old.Beat != p.Beat || old.Serving != p.Serving
	if old != nil && old.Incarnation == p.Incarnation && p.Beat < old.Beat {
		// A later exchange has arrived before this one.
		p = old
	}
	m.urgent = m.urgent || old != nil && old.Serving && !p.Serving
	r.peering, r.failures = p, 0
	r.suspectedAt, r.deadAt = time.Time{}, time.Time{}
	if changed {
		m.changed(r)
		m.log.Info("gossiper: instance reported a change", zap.String("Instance", p.Instance), zap.String("Address", p.PeerAddress),
			zap.Int64("Incarnation", p.Incarnation), zap.Int64("Beat", p.Beat), zap.Bool("Serving", p.Serving))
	}
	return changed, started
}

// mergePeerReport merges what an instance reports of another one. It returns
// whether the record has changed.
func (m *members) mergePeerReport(p *wire.Peering, now time.Time) bool {
	r := m.records[p.Instance]
	if r == nil && p.Suspected {
		// One that has been forgotten here must not come back by those that still
		// remember its loss. If it lives, it refutes the suspicion.
		return false
	}
	if r == nil || newer(p, r.peering) {
		known := r != nil && !r.dead()
		if r == nil {
			r = &record{}
			m.records[p.Instance] = r
		}
		m.urgent = m.urgent || known && !r.suspected() && r.peering.Serving && (p.Suspected || !p.Serving)
		r.peering, r.failures = p, 0
		r.suspectedAt, r.deadAt = time.Time{}, time.Time{}
		if p.Suspected {
			r.suspectedAt = now
		}
		m.changed(r)
		if !known {
			m.log.Info("gossiper: instance discovered through a peer", zap.String("Instance", p.Instance), zap.String("Address", p.PeerAddress), zap.Int64("Incarnation", p.Incarnation))
		}
		return true
	}
	if p.Incarnation != r.peering.Incarnation || p.Beat != r.peering.Beat {
		return false
	}
	if p.Suspected && !r.suspected() && !r.dead() {
		m.suspect(r, now, "another instance did not reach it")
		return true
	}
	if p.Suspected == (r.suspected() || r.dead()) {
		r.tells = max(r.tells-jujubegate.HeardTells, 0)
	}
	return false
}

func (m *members) suspect(r *record, now time.Time, why string) {
	r.suspectedAt = now
	m.urgent = m.urgent || r.peering.Serving
	m.changed(r)
	m.log.Warn("gossiper: instance suspected", zap.String("Instance", r.peering.Instance), zap.Int64("Beat", r.peering.Beat), zap.String("Why", why))
}

// recordFailure counts a failed exchange. It returns whether the instance at the
// address has become suspected, and whether another failure would make it so.
func (m *members) recordFailure(address string, now time.Time) (suspected, again bool) {
	for _, r := range m.records {
		if r.peering.PeerAddress != address || r.dead() || r.suspected() {
			continue
		}
		if r.failures++; r.failures < failuresToSuspect {
			return false, true
		}
		m.suspect(r, now, "it did not answer")
		return true, false
	}
	return false, false
}

// expire declares instances dead that did not refute a suspicion in time, and
// removes those that have been dead for longer than forgetAfter. It returns whether
// there were any.
func (m *members) expire(now time.Time) bool {
	changed := false
	for name, r := range m.records {
		if r.suspected() && !r.dead() && now.Sub(r.suspectedAt) >= suspicionTimeout {
			r.deadAt, changed, m.peers = now, true, nil
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
// The slice is shared and must not be changed.
func (m *members) live() []Peer {
	if m.peers != nil {
		return m.peers
	}
	m.peers, m.digest = make([]Peer, 0, len(m.records)), 0
	for _, r := range m.records {
		if !r.suspected() && !r.dead() {
			m.peers = append(m.peers, peerOf(r.peering))
			m.digest ^= digestOf(r.peering)
		}
	}
	slices.SortFunc(m.peers, func(a, b Peer) int { return strings.Compare(string(a.Instance), string(b.Instance)) })
	m.peers = slices.Clip(m.peers)
	return m.peers
}

// liveDigest returns a hash of the states of all live instances.
func (m *members) liveDigest() uint64 {
	m.live()
	return m.digest
}

// digestOf returns a hash of the state of an instance. Those of several instances are
// combined by exclusive or.
func digestOf(p *wire.Peering) uint64 {
	var b [64]byte
	key := append(b[:0], p.Instance...)
	key = binary.LittleEndian.AppendUint64(key, uint64(p.Incarnation))
	key = binary.LittleEndian.AppendUint64(key, uint64(p.Beat))
	return xxhash.Sum64(key)
}

// hasNews reports whether there are states that must still be told.
func (m *members) hasNews() bool {
	for _, r := range m.records {
		if r.tells > 0 {
			return true
		}
	}
	return false
}

// news returns the states that must still be told to others, which counts as one
// tell of each, or all states if whole is set. Dead instances are then told as
// suspected, so that one that is live refutes this.
func (m *members) news(whole bool) []*wire.Peering {
	var news []*wire.Peering
	for _, r := range m.records {
		if !whole && r.tells <= 0 {
			continue
		}
		r.tells = max(r.tells-1, 0)
		news = append(news, r.toWire())
	}
	return news
}
