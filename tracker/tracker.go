// Package tracker maintains the targets that new requests may use: those that the
// platform lists, except the ones that are draining, whose data centre is out of
// service, or at whose address another target answers.
package tracker

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/balancer"
	"jujubegate.example/jujubegate/connector"
	"jujubegate.example/jujubegate/router"
)

// connectionShare is the fraction of a target's connections that the live instances
// share. The rest is for the connections of instances that lost power: a target
// keeps those open for seconds, and resets new ones above its limit.
const connectionShare = 0.6

// Settings are the dependencies of a Tracker.
type Settings struct {
	Clock jujubegate.Clock
	Log   *zap.Logger
	// Drain is how long a leaving target goes on serving.
	Drain time.Duration
	// NewPool returns a connection pool for a target with at most bound connections.
	NewPool func(e Entry, bound int) *connector.Pool
	// ColdFactor and ColdAllowance bound the requests that a cold target gets in a
	// second: its rate times the factor, plus the allowance.
	ColdFactor, ColdAllowance float64
	// ColdPart returns this instance's share, from 0 to 1, of the requests that a cold
	// target may get; spare is how many of these per second may exceed the target's
	// rate.
	ColdPart func(target string, spare float64) float64
	// Changed is called when other instances must be told of a target at once; may be nil.
	Changed func()
	// MovesConfirmed returns when the list of moves to versions was last known to be
	// complete; nil means always.
	MovesConfirmed func() time.Time
	// StoreReads returns the latest reads of the list of targets; nil means that it is
	// confirmed all the time.
	StoreReads func() StoreReads
	// LimitShare returns this instance's part of the limit that a target names, of
	// which ordinal is the place among the listed targets of its service by ID.
	LimitShare func(ordinal int, perSecond float64) LimitShare
}

// Tracker maintains the targets and their connections. It is safe for concurrent
// use.
type Tracker struct {
	settings Settings
	current  atomic.Pointer[view]

	mu           sync.Mutex
	replicas     map[string]*Replica
	table        *router.Table
	outOfService jujubegate.Set[jujubegate.DataCentre]
	// share is this instance's share of the limits that all instances have together.
	share float64
	// idleTimeout is how long this instance keeps idle connections; 0 means as long
	// as the targets keep them.
	idleTimeout time.Duration
	// departures holds what targets have said about their leaving, by ID.
	departures map[string]departure
	counters   counters
	// limitsReportedAt is when reportLimits last logged.
	limitsReportedAt time.Time
}

// view holds the targets that new requests may use, by service. It is immutable.
type view struct {
	services map[jujubegate.Service][]*Replica
}

// New returns a tracker without targets.
func New(settings Settings) *Tracker {
	t := &Tracker{settings: settings, replicas: make(map[string]*Replica), departures: make(map[string]departure), share: 1}
	t.current.Store(&view{})
	return t
}

// Replicas returns the targets of a service that new requests may use.
func (t *Tracker) Replicas(service jujubegate.Service) []*Replica {
	return t.current.Load().services[service]
}

// UsableCount returns the number of targets that new requests may use.
func (t *Tracker) UsableCount() int {
	n := 0
	for _, list := range t.current.Load().services {
		n += len(list)
	}
	return n
}

// SetTable replaces the configuration.
func (t *Tracker) SetTable(table *router.Table) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table = table
	t.updateConnectionBounds()
	t.limitAllCold()
	t.publish()
}

// SetOutOfService replaces the data centres that are out of service.
func (t *Tracker) SetOutOfService(out jujubegate.Set[jujubegate.DataCentre]) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outOfService = out
	t.publish()
}

// SetShare replaces this instance's share of the limits that all instances have
// together, and how long it keeps idle connections.
func (t *Tracker) SetShare(share float64, idleTimeout time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.idleTimeout = idleTimeout
	if share != t.share {
		t.share = share
		t.updateConnectionBounds()
	}
	t.limitAllCold()
	t.divideLimits()
}

// Update applies a new list of targets.
func (t *Tracker) Update(entries []Entry, recency Recency) {
	now := t.settings.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := make(map[string]struct{}, len(entries))
	versions := t.versionsInUse()
	for _, e := range entries {
		listed[e.ID] = struct{}{}
		t.upsert(e, now)
		t.holdNewVersion(e, versions, now)
	}
	var missing []*Replica
	for id, r := range t.replicas {
		if _, ok := listed[id]; !ok && r.lapse == nil {
			missing = append(missing, r)
		}
	}
	t.retainMissing(missing, len(entries), recency)
	t.publish()
	t.setOrdinals(entries)
	t.divideLimits()
}

// sweepPeriod is the time between two checks for targets to remove.
const sweepPeriod = 250 * time.Millisecond

// Run removes the targets that are no longer listed when the time for which they
// may still be used is over, and closes idle connections, until the context ends.
func (t *Tracker) Run(ctx context.Context) {
	for ctx.Err() == nil {
		t.sweep()
		select {
		case <-t.settings.Clock.After(sweepPeriod):
		case <-ctx.Done():
		}
	}
}

func (t *Tracker) sweep() {
	now := t.settings.Clock.Now()
	// Asked without mu, since a new list is applied under the lock that this takes.
	reads := t.storeReads(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forgetLimits(now)
	t.reportLimits(now)
	changed := t.releaseVersions(now)
	for id, r := range t.replicas {
		if t.idleTimeout > 0 {
			r.Pool.CloseIdle(t.idleTimeout)
		}
		if r.lapse == nil {
			continue
		}
		if l := r.lapse.withReads(reads); l != *r.lapse {
			r.lapse = &l
		}
		if r.lapse.over(now, reads) {
			t.remove(id, r, "no longer listed")
			changed = true
		}
	}
	if changed {
		t.publish()
	}
}

// upsert adds a target or updates its entry. A new incarnation replaces the target.
func (t *Tracker) upsert(e Entry, now time.Time) {
	r := t.replicas[e.ID]
	if r != nil && e.Started < r.Entry().Started {
		// A late entry of an earlier incarnation.
		return
	}
	var earlier *Replica
	if r != nil && !r.Entry().sameIncarnation(e) {
		t.remove(e.ID, r, "restarted")
		earlier, r = r, nil
	}
	if r == nil {
		r = &Replica{Pool: t.settings.NewPool(e, t.connectionBound(e.Service)), Stats: balancer.NewReplica(e.Address)}
		r.entry.Store(&e)
		if earlier != nil && earlier.Entry().Started == e.Started {
			r.inheritPause(earlier)
		}
		t.replicas[e.ID] = r
		t.settings.Log.Info("tracker: target added", zap.String("Target", e.ID), zap.String("Address", string(e.Address)),
			zap.String("Service", string(e.Service)), zap.String("DataCentre", string(e.DataCentre)),
			zap.String("Version", string(e.Version)), zap.Bool("Draining", e.Draining), zap.Duration("ColdFor", e.ColdFor))
		t.startCold(r, e.ColdFor, now)
		return
	}
	old := *r.Entry()
	r.lapse = nil
	if old == e {
		return
	}
	r.entry.Store(&e)
	if old.Draining != e.Draining {
		t.settings.Log.Info("tracker: draining state changed", zap.String("Target", e.ID),
			zap.String("Service", string(e.Service)), zap.Bool("Draining", e.Draining))
	}
	if old.ColdFor != e.ColdFor {
		t.startCold(r, e.ColdFor, now)
	}
}

func (t *Tracker) remove(id string, r *Replica, why string) {
	delete(t.replicas, id)
	r.Pool.Close()
	t.settings.Log.Info("tracker: target removed", zap.String("Target", id),
		zap.String("Service", string(r.Entry().Service)), zap.String("Why", why))
}

// connectionBound returns how many connections this instance may open to a target.
func (t *Tracker) connectionBound(service jujubegate.Service) int {
	if t.table == nil {
		return 1
	}
	s, ok := t.table.Service(service)
	if !ok || s.Connections <= 0 {
		return 1
	}
	return max(int(math.Round(connectionShare*t.share*float64(s.Connections))), 1)
}

func (t *Tracker) updateConnectionBounds() {
	for _, r := range t.replicas {
		r.Pool.SetBound(t.connectionBound(r.Entry().Service))
	}
}

// publish replaces the view. Targets that have probably left are included only for
// services without others. Requests that wait for a connection to a target that is
// not in the view any more are failed, so that they can be sent elsewhere.
func (t *Tracker) publish() {
	now := t.settings.Clock.Now()
	v := &view{services: make(map[jujubegate.Service][]*Replica)}
	left, leaving := make(map[jujubegate.Service][]*Replica), make(map[jujubegate.Service][]*Replica)
	for _, r := range t.replicas {
		e := r.Entry()
		if e.Draining || r.misdirected.Load() || t.outOfService.Has(e.DataCentre) {
			r.Pool.SetExpiry(now)
			continue
		}
		r.Pool.SetExpiry(r.lapseExpiry())
		if !r.heldSince.IsZero() {
			continue
		}
		if d, ok := t.departureOf(e); ok {
			// It still serves the requests that no other target can take.
			r.Pool.SetExpiry(t.usableUntil(d))
			if now.Before(t.usableUntil(d)) {
				leaving[e.Service] = append(leaving[e.Service], r)
			}
			continue
		}
		switch {
		case r.lapse != nil && !r.lapse.expired:
			left[e.Service] = append(left[e.Service], r)
		default:
			v.services[e.Service] = append(v.services[e.Service], r)
		}
	}
	for _, lastResort := range []map[jujubegate.Service][]*Replica{left, leaving} {
		for service, list := range lastResort {
			if len(v.services[service]) == 0 {
				v.services[service] = list
			}
		}
	}
	t.current.Store(v)
}

// MarkMisdirected records that another target answers at the replica's address, so
// that the replica gets no more requests.
func (t *Tracker) MarkMisdirected(r *Replica) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.misdirected.Swap(true) {
		return
	}
	t.settings.Log.Info("tracker: another target answers at the address", zap.String("Target", r.Entry().ID),
		zap.String("Address", string(r.Entry().Address)))
	t.publish()
}
