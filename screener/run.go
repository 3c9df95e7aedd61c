package screener

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MayHedge reports whether a hedge may be sent. Among several targets, a hedge is for
// the last ones: if none has answered yet, the cause lies in the request or here.
func (r *Run) MayHedge(waited bool) bool {
	if r == nil || r.answered.Load() {
		return true
	}
	return r.Repeat() == Allowed && (waited || !r.shared.Load())
}

// Share records that the request goes to several services at once.
func (r *Run) Share() {
	if r != nil {
		r.shared.Store(true)
	}
}

// Repeat says whether a request may be sent to one more target.
type Repeat int

// Values of Repeat.
const (
	// Allowed requests may be sent.
	Allowed Repeat = iota
	// Wait means that a target ended under the request, and that the answers of others
	// which have it must be waited for.
	Wait
	// Never means that no target may get the request any more.
	Never
)

// Run is one request of a caller while targets have it. A nil Run allows everything.
// It is safe for concurrent use.
type Run struct {
	screener *Screener
	id       string
	key      func() Key
	started  time.Time
	cautious bool

	answered atomic.Bool
	// suspected is set once a target has ended under the request.
	suspected atomic.Bool
	// shared is set if the request goes to several services at once.
	shared   atomic.Bool
	inFlight atomic.Int64

	mu sync.Mutex
	// sentTo holds the hashes of the targets that got the request.
	sentTo   []uint64
	crashed  []crash
	finished bool
}

// Cautious reports whether the request must be answered by one target before it is sent
// to others.
func (r *Run) Cautious() bool { return r != nil && r.cautious }

// Answered reports whether a target has answered the request.
func (r *Run) Answered() bool { return r != nil && r.answered.Load() }

// Suspected reports whether a target has ended while it had the request.
func (r *Run) Suspected() bool { return r != nil && r.suspected.Load() }

// BeginAttempt records that a target gets the request.
func (r *Run) BeginAttempt(target string) {
	if r == nil {
		return
	}
	r.inFlight.Add(1)
	r.mu.Lock()
	r.sentTo = append(r.sentTo, xxhash.Sum64String(target))
	r.mu.Unlock()
}

// EndAttempt records that an attempt is over.
func (r *Run) EndAttempt() {
	if r != nil {
		r.inFlight.Add(-1)
	}
}

// RecordAnswer records that a target has answered, so that the request cannot be the
// cause of a crash.
func (r *Run) RecordAnswer() {
	if r == nil || r.answered.Swap(true) {
		return
	}
	if r.screener.known.Load() > 0 {
		r.screener.clear(r.key(), r.id)
	}
}

// RecordCrash records that the process of a target ended while it had the request.
func (r *Run) RecordCrash(target string) {
	if r == nil || r.answered.Load() {
		return
	}
	now := r.screener.settings.Clock.Now()
	r.mu.Lock()
	r.crashed = append(r.crashed, crash{target: xxhash.Sum64String(target), at: now, began: r.started, informed: r.cautious})
	finished := r.finished
	r.mu.Unlock()
	r.suspected.Store(true)
	if finished || r.cautious {
		r.report()
	}
}

// Repeat says whether the request may be sent to another target, in a hedge or a retry.
func (r *Run) Repeat() Repeat {
	switch {
	case r == nil || r.answered.Load():
		return Allowed
	case r.screener.known.Load() > 0 && r.screener.isBlocked(r.key()):
		return Never
	case !r.suspected.Load():
		if r.cautious && r.inFlight.Load() > 0 {
			return Wait
		}
		return Allowed
	case r.cautious || r.crashes() >= proofCrashes && r.isAlone():
		return Never
	case r.inFlight.Load() > 0:
		return Wait
	}
	return Allowed
}

func (r *Run) crashes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.crashed)
}

// isAlone reports whether nearly all targets that ended since the request came had it.
// If others ended too, there is another cause, such as the loss of a data centre.
func (r *Run) isAlone() bool {
	ended := r.screener.endedSince(r.started)
	r.mu.Lock()
	defer r.mu.Unlock()
	had := 0
	for _, target := range r.sentTo {
		if _, ok := ended[target]; ok {
			had++
			delete(ended, target)
		}
	}
	return float64(had) >= minCrashShare*float64(had+len(ended))
}

// Finish records that the caller has its answer. Answers and crashes at targets that
// still have the request count also after that.
func (r *Run) Finish() {
	if r == nil {
		return
	}
	r.mu.Lock()
	r.finished = true
	crashed := len(r.crashed) > 0
	r.mu.Unlock()
	if crashed {
		r.report()
	}
}

// report passes what is known of the request on to the screener.
func (r *Run) report() {
	if r.answered.Load() || !r.isAlone() {
		return
	}
	r.mu.Lock()
	crashed := slices.Clone(r.crashed)
	r.mu.Unlock()
	r.screener.suspect(r.key(), r.id, crashed)
}
