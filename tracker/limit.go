package tracker

import (
	"math"
	"slices"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/connector"
)

const (
	// limitReportPeriod is the time between two log lines about the requests that a
	// target got while it named a limit.
	limitReportPeriod = 4 * time.Second
	// limitLogRatio is the least ratio of two limits at which a change is logged. A
	// target can name another one in each answer.
	limitLogRatio = 1.1
	// maxExcludedDelay bounds the delay of requests that other instances may send.
	maxExcludedDelay = time.Second
)

// LimitShare is this instance's part of the limit that a target names.
type LimitShare struct {
	// PerSecond and Burst are the requests that this instance may send per second and
	// at once; 0 if only other instances may send.
	PerSecond rate.Limit
	Burst     int
	// ForgetAfter is the time without an answer that names the limit after which an
	// instance that may not send takes it as ended: it does not hear of the end.
	ForgetAfter time.Duration
}

// namedLimit is the limit that a target names, with this instance's part of it.
type namedLimit struct {
	perSecond float64
	// loggedPerSecond is the last one that was logged.
	loggedPerSecond float64
	// namedAt is when the last answer that names the limit was received.
	namedAt time.Time
	bucket  *rate.Limiter
	// forgetAfter is that of LimitShare; 0 if this instance may send.
	forgetAfter time.Duration
	counts      LimitCounts
}

// LimitCounts counts the requests of this instance to a target that names a limit.
type LimitCounts struct {
	// First and Repeats are those that were sent: first attempts, and hedges and
	// retries. Withheld ones exceeded the limit while they waited for a connection.
	First, Repeats, Withheld int
}

// limitChange is what an answer changes about the limit of a target.
type limitChange int

const (
	limitUnchanged limitChange = iota
	limitNamed
	limitChanged
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
		// The target has just had more than the limit, so the bucket starts empty.
		r.limit = &namedLimit{perSecond: l.PerSecond, loggedPerSecond: l.PerSecond, namedAt: now, bucket: rate.NewLimiter(0, 0)}
		r.limited.Store(true)
		return limitNamed
	case l.Valid:
		changed := r.limit.perSecond != l.PerSecond
		r.limit.perSecond, r.limit.namedAt = l.PerSecond, now
		if changed {
			return limitChanged
		}
	case !l.Named && r.limit != nil && sentAt.After(r.limit.namedAt):
		r.limit = nil
		r.limited.Store(false)
		return limitEnded
	}
	return limitUnchanged
}

// divideLimit sets this instance's part of the limit that the target names.
func (r *Replica) divideLimit(share func(ordinal int, perSecond float64) LimitShare, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.limit == nil {
		return
	}
	s := share(int(r.ordinal.Load()), r.limit.perSecond)
	r.limit.bucket.SetLimitAt(now, s.PerSecond)
	r.limit.bucket.SetBurstAt(now, s.Burst)
	r.limit.forgetAfter = s.ForgetAfter
}

// forgetLimit ends the limit if this instance may not send to the target and has not
// heard of the limit for too long.
func (r *Replica) forgetLimit(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.limit == nil || r.limit.forgetAfter <= 0 || now.Sub(r.limit.namedAt) < r.limit.forgetAfter {
		return false
	}
	r.limit = nil
	r.limited.Store(false)
	return true
}

// logsLimit reports whether a change of the limit is large enough to be logged.
func (r *Replica) logsLimit() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.limit
	if l == nil || max(l.perSecond, l.loggedPerSecond) < limitLogRatio*min(l.perSecond, l.loggedPerSecond) {
		return false
	}
	l.loggedPerSecond = l.perSecond
	return true
}

// Limit returns the requests per second that the target takes from all instances
// together, or false if it names no limit.
func (r *Replica) Limit() (perSecond float64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.limit == nil {
		return 0, false
	}
	return r.limit.perSecond, true
}

// LimitPart returns the requests per second that this instance may send to the
// target because of the limit that the target names, or false if it names none.
func (r *Replica) LimitPart() (perSecond float64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.limit == nil {
		return 0, false
	}
	return float64(r.limit.bucket.Limit()), true
}

// delay returns how long a request would wait until this instance's part of the
// limit has the tokens.
func (l *namedLimit) delay(now time.Time, tokens float64) time.Duration {
	missing := tokens - l.bucket.TokensAt(now)
	switch {
	case l.bucket.Burst() == 0:
		// Another instance may get the next token of the whole fleet.
		return time.Duration(float64(maxExcludedDelay) / max(l.perSecond, 1))
	case missing <= 0:
		return 0
	}
	return time.Duration(math.Ceil(missing / float64(l.bucket.Limit()) * float64(time.Second)))
}

// MayHedge reports whether the limit that the target names allows a hedge now. One
// token is left for a request that has no other attempt. No hedge is sent to a target
// that has asked for a pause or returns from one.
func (r *Replica) MayHedge(now time.Time) bool {
	if r.paused.Load() {
		return false
	}
	if !r.limited.Load() {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.limit == nil || r.limit.delay(now, 2) <= 0
}

// Permit reports whether a request may be written to the target now, and counts it.
// It is asked when the request has a connection, since the target can name a limit
// while the request waits for one. Repeat is set for a hedge or a retry.
func (r *Replica) Permit(now time.Time, repeat bool) bool {
	if !r.paused.Load() && !r.limited.Load() {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pause != nil && r.pause.delay(now) > 0 || r.limit != nil && !r.limit.take(now, repeat) {
		return false
	}
	if r.pause != nil {
		r.pause.sent++
	}
	return true
}

// take takes a token for a request and counts it.
func (l *namedLimit) take(now time.Time, repeat bool) bool {
	switch {
	case !l.bucket.AllowN(now, 1):
		l.counts.Withheld++
		return false
	case repeat:
		l.counts.Repeats++
	default:
		l.counts.First++
	}
	return true
}

// takeLimitCounts returns the requests since the last call.
func (r *Replica) takeLimitCounts() (l namedLimit, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.limit == nil {
		return namedLimit{}, false
	}
	l = *r.limit
	r.limit.counts = LimitCounts{}
	return l, true
}

// ObserveLimit records what the answer of a target to a request sent at sentAt says
// about its limit.
func (t *Tracker) ObserveLimit(r *Replica, l connector.Limit, sentAt time.Time) {
	e, now := r.Entry(), t.settings.Clock.Now()
	target := []zap.Field{zap.String("Target", e.ID), zap.String("Service", string(e.Service))}
	if l.Named && !l.Valid {
		t.settings.Log.Warn("tracker: limit of the target cannot be read", target...)
	}
	change := r.observeLimit(l, sentAt, now)
	switch change {
	case limitNamed, limitChanged:
		r.divideLimit(t.settings.LimitShare, now)
		if change == limitNamed || r.logsLimit() {
			part, _ := r.LimitPart()
			t.settings.Log.Info("tracker: target names a limit", append(target, zap.Float64("PerSecond", l.PerSecond), zap.Float64("Part", part))...)
		}
	case limitEnded:
		t.settings.Log.Info("tracker: target names no limit any more", target...)
	}
}

// setOrdinals sets the ordinals of the listed targets. All instances that know the
// same list set the same ones.
func (t *Tracker) setOrdinals(entries []Entry) {
	ids := make(map[jujubegate.Service][]string)
	for _, e := range entries {
		ids[e.Service] = append(ids[e.Service], e.ID)
	}
	for _, list := range ids {
		slices.Sort(list)
		for i, id := range list {
			t.replicas[id].ordinal.Store(int32(i))
		}
	}
}

// divideLimits sets this instance's part of the limits that targets name.
func (t *Tracker) divideLimits() {
	now := t.settings.Clock.Now()
	for _, r := range t.replicas {
		if r.limited.Load() {
			r.divideLimit(t.settings.LimitShare, now)
		}
	}
}

// forgetLimits ends the limits that this instance cannot hear of any more.
func (t *Tracker) forgetLimits(now time.Time) {
	for id, r := range t.replicas {
		if r.forgetLimit(now) {
			t.settings.Log.Info("tracker: limit of the target is forgotten", zap.String("Target", id), zap.String("Service", string(r.Entry().Service)))
		}
	}
}

// reportLimits logs what the targets that name a limit got since the last report.
func (t *Tracker) reportLimits(now time.Time) {
	period := now.Sub(t.limitsReportedAt)
	if period < limitReportPeriod {
		return
	}
	t.limitsReportedAt = now
	for id, r := range t.replicas {
		l, ok := r.takeLimitCounts()
		if !ok || l.counts == (LimitCounts{}) {
			continue
		}
		t.settings.Log.Info("tracker: requests to a target with a limit", zap.String("Target", id), zap.String("Service", string(r.Entry().Service)),
			zap.Float64("PerSecond", l.perSecond), zap.Float64("Part", float64(l.bucket.Limit())), zap.Int("First", l.counts.First),
			zap.Int("Repeats", l.counts.Repeats), zap.Int("Withheld", l.counts.Withheld), zap.Duration("Period", period))
	}
}
