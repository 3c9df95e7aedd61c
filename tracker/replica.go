package tracker

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/balancer"
	"jujubegate.example/jujubegate/connector"
)

// Entry describes one target as the platform lists it. It is immutable.
type Entry struct {
	ID         string
	Address    jujubegate.Address
	Service    jujubegate.Service
	DataCentre jujubegate.DataCentre
	Version    jujubegate.Version
	// Slots is the number of requests that the target runs concurrently.
	Slots    int
	Draining bool
	// ColdFor is how much longer the target would be cold when the entry was written.
	ColdFor time.Duration
	// Started distinguishes the incarnations of a target that keeps its ID.
	Started int64
}

// sameIncarnation reports whether both entries describe the same incarnation.
func (e Entry) sameIncarnation(other Entry) bool {
	return e.ID == other.ID && e.Started == other.Started && e.Address == other.Address &&
		e.Service == other.Service && e.Version == other.Version
}

// Replica is one target with its connections and statistics. It is safe for
// concurrent use.
type Replica struct {
	Pool  *connector.Pool
	Stats *balancer.Replica

	entry atomic.Pointer[Entry]
	load  atomic.Pointer[connector.Load]
	// misdirected is set once another target has answered at the address.
	misdirected atomic.Bool
	// leaving is set once the target has said that it leaves.
	leaving atomic.Bool
	// lapse says for how long a target that is no longer listed may be used; nil while it
	// is listed. Tracker.mu guards it.
	lapse *lapse
	// heldSince is when a target with a version that is new to its service was listed;
	// zero once the moves to versions are known. Tracker.mu guards it.
	heldSince time.Time
	// versionKnown is set once it has been released.
	versionKnown bool

	mu          sync.Mutex
	outstanding int
	// silentSince is when the target last answered, or when the first of the
	// outstanding requests was sent, whichever is later.
	silentSince time.Time
	coldUntil   time.Time
	// coldLimiter limits the requests until coldUntil; nil means no limit.
	coldLimiter *rate.Limiter
	// limit is the limit that the target names; nil means none. Limited is set if
	// there is one.
	limit   *namedLimit
	limited atomic.Bool
	// pause is the one that the target has asked for; nil means none. Paused is set if
	// there is one.
	pause  *pause
	paused atomic.Bool
	// ordinal is the place of the target among those of its service by ID.
	ordinal atomic.Int32
}

// Entry returns the newest entry.
func (r *Replica) Entry() *Entry { return r.entry.Load() }

// lapseExpiry returns when the connections expire because the target is no longer
// listed; zero if they do not.
func (r *Replica) lapseExpiry() time.Time {
	if r.lapse == nil {
		return time.Time{}
	}
	return r.lapse.expiry()
}

// Usable reports whether the target may get requests now. A call that began earlier
// may hold replicas that have become unusable since.
func (r *Replica) Usable(now time.Time) bool { return !r.Pool.Expired(now) }

// Begin records that an attempt is sent.
func (r *Replica) Begin(now time.Time) {
	r.Stats.Begin()
	r.mu.Lock()
	if r.outstanding == 0 {
		r.silentSince = now
	}
	r.outstanding++
	r.mu.Unlock()
}

// Done records the result of an attempt and how long it took since it was sent.
func (r *Replica) Done(now time.Time, result balancer.Result, took time.Duration) {
	r.Stats.Done(now, result, took)
	r.mu.Lock()
	r.outstanding--
	if result == balancer.Answered || result == balancer.Refused {
		r.silentSince = now
	}
	r.mu.Unlock()
}

// SilentFor returns how long the target has sent no answer while requests were
// outstanding; 0 if none are.
func (r *Replica) SilentFor(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.outstanding == 0 {
		return 0
	}
	return now.Sub(r.silentSince)
}

// SetLoad records the load that the target reported, if it reported one.
func (r *Replica) SetLoad(l connector.Load) {
	if !l.At.IsZero() {
		r.load.Store(&l)
	}
}

// QueuePerSlot returns the number of waiting requests per slot, which is about how
// many service times a new request would wait. It is 0 if the target has reported
// no load within maxAge.
func (r *Replica) QueuePerSlot(now time.Time, maxAge time.Duration) float64 {
	l := r.load.Load()
	if l == nil || now.Sub(l.At) > maxAge {
		return 0
	}
	return float64(l.Waiting) / float64(max(l.Slots, 1))
}

// Option returns the replica as an option for the balancer.
func (r *Replica) Option() balancer.Option {
	o := balancer.Option{Replica: r.Stats, State: jujubegate.Warm, Limit: max(r.Entry().Slots, 1)}
	if l := r.load.Load(); l != nil {
		o.Load = l.Running + l.Waiting
	}
	return o
}

// setCold records until when the target is cold.
func (r *Replica) setCold(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.coldUntil = until
}

// limitCold limits the rate and the burst of the requests that the target gets
// while it is cold. With a burst of 1 the limiter starts without a token, so that
// many instances with small shares do not send at the same moment.
func (r *Replica) limitCold(limit rate.Limit, burst int, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.coldLimiter == nil {
		r.coldLimiter = rate.NewLimiter(limit, burst)
		if burst == 1 {
			r.coldLimiter.AllowN(now, 1)
		}
		return
	}
	r.coldLimiter.SetLimitAt(now, limit)
	r.coldLimiter.SetBurstAt(now, burst)
}

// removeColdLimit removes the limit of a cold target.
func (r *Replica) removeColdLimit() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.coldLimiter = nil
}

// IsCold reports whether the target is still cold.
func (r *Replica) IsCold(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Before(r.coldUntil)
}

// Admissible reports whether Admit and Permit would admit a request.
func (r *Replica) Admissible(now time.Time) bool { return r.AdmitDelay(now) <= 0 }

// AdmitDelay returns how long a request would wait until Admit and Permit admit it.
func (r *Replica) AdmitDelay(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	delay := r.coldDelay(now)
	if r.pause != nil {
		delay = max(delay, r.pause.delay(now))
	}
	if r.limit != nil {
		delay = max(delay, r.limit.delay(now, 1))
	}
	return delay
}

// coldDelay returns how long a request would wait because the target is cold.
func (r *Replica) coldDelay(now time.Time) time.Duration {
	if !r.coldLimited(now) {
		return 0
	}
	coldLeft := r.coldUntil.Sub(now)
	missingTokens, perSecond := 1-r.coldLimiter.TokensAt(now), float64(r.coldLimiter.Limit())
	switch {
	case missingTokens <= 0:
		return 0
	case perSecond <= 0 || r.coldLimiter.Burst() == 0:
		return coldLeft
	}
	return min(time.Duration(missingTokens/perSecond*float64(time.Second)), coldLeft)
}

// Admit reports whether the target may get one more request now. While the target
// is cold, the request then counts against its limit.
func (r *Replica) Admit(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.coldLimited(now) || r.coldLimiter.AllowN(now, 1)
}

func (r *Replica) coldLimited(now time.Time) bool {
	return r.coldLimiter != nil && now.Before(r.coldUntil)
}
