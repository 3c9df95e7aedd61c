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

// Entry is what the list of targets says of one target. It is immutable.
type Entry struct {
	ID         string
	Address    jujubegate.Address
	Service    jujubegate.Service
	DataCentre jujubegate.DataCentre
	Version    jujubegate.Version
	// Slots is the number of requests that the target runs at once.
	Slots    int
	Draining bool
	// ColdFor is how long the target was still cold when the entry was written.
	ColdFor time.Duration
	// Started tells apart the incarnations of a target that keeps its ID.
	Started int64
}

// same reports whether both entries describe the same incarnation.
func (e Entry) same(other Entry) bool {
	return e.ID == other.ID && e.Started == other.Started && e.Address == other.Address &&
		e.Service == other.Service && e.Version == other.Version
}

// Replica is one target with its connections and what was seen of it. It is
// safe for concurrent use.
type Replica struct {
	Pool  *connector.Pool
	Stats *balancer.Replica

	entry atomic.Pointer[Entry]
	load  atomic.Pointer[connector.Load]
	// misdirected is set once another target has answered at the address.
	misdirected atomic.Bool
	// usableUntil is when a target whose entry is gone is given up; zero while
	// it is listed.
	usableUntil time.Time
	// suspect is set if the target is probably gone with its entry.
	suspect bool

	mu          sync.Mutex
	outstanding int
	// silentSince is when the target last answered, or when the first of the
	// outstanding requests was sent, whichever is later.
	silentSince time.Time
	coldUntil   time.Time
	cold        *rate.Limiter
}

// Entry returns the newest entry.
func (r *Replica) Entry() *Entry { return r.entry.Load() }

// Begin notes that a request is sent.
func (r *Replica) Begin(now time.Time) {
	r.Stats.Begin()
	r.mu.Lock()
	if r.outstanding == 0 {
		r.silentSince = now
	}
	r.outstanding++
	r.mu.Unlock()
}

// Done notes the end of a request that took the time from its sending.
func (r *Replica) Done(now time.Time, end balancer.Result, took time.Duration) {
	r.Stats.Done(now, end, took)
	r.mu.Lock()
	r.outstanding--
	if end == balancer.Answered || end == balancer.Refused {
		r.silentSince = now
	}
	r.mu.Unlock()
}

// SilentFor returns how long requests have been waiting without any answer of the
// target; 0 if none is waiting.
func (r *Replica) SilentFor(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.outstanding == 0 {
		return 0
	}
	return now.Sub(r.silentSince)
}

// SetLoad records the load that the target reported.
func (r *Replica) SetLoad(l connector.Load) {
	if !l.At.IsZero() {
		r.load.Store(&l)
	}
}

// QueuePerSlot returns how many service times a new request would wait for a slot, by
// a report that is not older than fresh; 0 without one.
func (r *Replica) QueuePerSlot(now time.Time, fresh time.Duration) float64 {
	l := r.load.Load()
	if l == nil || now.Sub(l.At) > fresh {
		return 0
	}
	return float64(l.Waiting) / float64(max(l.Slots, 1))
}

// Option returns the replica as a choice of the balancer.
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

// limitCold limits what the target gets while it is cold: a rate, and a number
// of requests at once. The first request waits for its turn, so that many
// instances with small shares do not send at the same moment.
func (r *Replica) limitCold(limit rate.Limit, burst int, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cold == nil {
		r.cold = rate.NewLimiter(limit, burst)
		if burst == 1 {
			r.cold.AllowN(now, 1)
		}
		return
	}
	r.cold.SetLimitAt(now, limit)
	r.cold.SetBurstAt(now, burst)
}

// unlimit lifts the limit of a cold target.
func (r *Replica) unlimit() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cold = nil
}

// isCold reports whether the target is still cold.
func (r *Replica) isCold(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Before(r.coldUntil)
}

// Admissible reports whether Admit would admit a request.
func (r *Replica) Admissible(now time.Time) bool { return r.AdmitDelay(now) <= 0 }

// AdmitDelay returns how long a request would wait until Admit admits it.
func (r *Replica) AdmitDelay(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.limited(now) {
		return 0
	}
	cold := r.coldUntil.Sub(now)
	missing, perSecond := 1-r.cold.TokensAt(now), float64(r.cold.Limit())
	switch {
	case missing <= 0:
		return 0
	case perSecond <= 0 || r.cold.Burst() == 0:
		return cold
	}
	return min(time.Duration(missing/perSecond*float64(time.Second)), cold)
}

// Admit reports whether the target may get one more request now, which then
// counts against its limit while it is cold.
func (r *Replica) Admit(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.limited(now) || r.cold.AllowN(now, 1)
}

func (r *Replica) limited(now time.Time) bool { return r.cold != nil && now.Before(r.coldUntil) }
