package tracker

import (
	"time"

	"go.uber.org/zap"

	"jujubegate.example/jujubegate/connector"
)

// limitReportPeriod is the time between two log lines about the requests that a
// target got while it named a limit.
const limitReportPeriod = 4 * time.Second

// namedLimit is the limit that a target names, and what it got meanwhile.
type namedLimit struct {
	perSecond float64
	// namedAt is when the last answer that names the limit was received.
	namedAt time.Time
	counts  LimitCounts
}

// LimitCounts counts the requests of this instance to a target that names a limit.
type LimitCounts struct {
	// First and Repeats are those that were sent: first attempts, and hedges and
	// retries.
	First, Repeats int
}

// limitChange is what an answer changes about the limit of a target.
type limitChange int

const (
	limitUnchanged limitChange = iota
	limitNamed
	limitEnded
)

// observeLimit records what an answer says about the limit of the target. Answers
// can overtake each other, so one without a limit ends the limit only if its request
// was sent after the last answer that names it. If the limit cannot be read, the last
// one remains.
func (r *Replica) observeLimit(l connector.Limit, sentAt, now time.Time) limitChange {
	if !l.Named && !r.limited.Load() {
		return limitUnchanged
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case l.Valid && r.limit == nil:
		r.limit = &namedLimit{perSecond: l.PerSecond, namedAt: now}
		r.limited.Store(true)
		return limitNamed
	case l.Valid:
		changed := r.limit.perSecond != l.PerSecond
		r.limit.perSecond, r.limit.namedAt = l.PerSecond, now
		if changed {
			return limitNamed
		}
	case !l.Named && r.limit != nil && sentAt.After(r.limit.namedAt):
		r.limit = nil
		r.limited.Store(false)
		return limitEnded
	}
	return limitUnchanged
}

// Limit returns the requests per second that the target takes from all instances
// together, or false if it does not name a limit.
func (r *Replica) Limit() (perSecond float64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.limit == nil {
		return 0, false
	}
	return r.limit.perSecond, true
}

// countLimited counts a request to the target if it names a limit.
func (r *Replica) countLimited(repeat bool) {
	switch {
	case r.limit == nil:
	case repeat:
		r.limit.counts.Repeats++
	default:
		r.limit.counts.First++
	}
}

// takeLimitCounts returns the requests since the last call.
func (r *Replica) takeLimitCounts() (perSecond float64, c LimitCounts) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.limit != nil {
		perSecond, c, r.limit.counts = r.limit.perSecond, r.limit.counts, LimitCounts{}
	}
	return perSecond, c
}

// ObserveLimit records what the answer of a target to a request sent at sentAt says
// about its limit.
func (t *Tracker) ObserveLimit(r *Replica, l connector.Limit, sentAt time.Time) {
	e := r.Entry()
	if l.Named && !l.Valid {
		t.settings.Log.Warn("tracker: limit of the target cannot be read", zap.String("Target", e.ID), zap.String("Service", string(e.Service)))
	}
	switch r.observeLimit(l, sentAt, t.settings.Clock.Now()) {
	case limitNamed:
		t.settings.Log.Info("tracker: target names a limit", zap.String("Target", e.ID), zap.String("Service", string(e.Service)),
			zap.Float64("PerSecond", l.PerSecond))
	case limitEnded:
		t.settings.Log.Info("tracker: target names no limit any more", zap.String("Target", e.ID), zap.String("Service", string(e.Service)))
	}
}

// reportLimits logs what the targets that name a limit got since the last report.
func (t *Tracker) reportLimits(now time.Time) {
	if now.Sub(t.limitsReportedAt) < limitReportPeriod {
		return
	}
	period := now.Sub(t.limitsReportedAt)
	t.limitsReportedAt = now
	for id, r := range t.replicas {
		if !r.limited.Load() {
			continue
		}
		perSecond, c := r.takeLimitCounts()
		t.settings.Log.Info("tracker: requests to a target with a limit", zap.String("Target", id), zap.String("Service", string(r.Entry().Service)),
			zap.Float64("PerSecond", perSecond), zap.Float64("Share", t.share), zap.Int("First", c.First), zap.Int("Repeats", c.Repeats),
			zap.Duration("Period", period))
	}
}

// LimitedCount returns the number of targets that name a limit.
func (t *Tracker) LimitedCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, r := range t.replicas {
		if r.limited.Load() {
			n++
		}
	}
	return n
}
