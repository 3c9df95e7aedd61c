package querier

import (
	"time"
)

// rerun starts the query again on a newer snapshot, at most once, if a shard
// was given up because its targets no longer hold the current one.
func (r *run) rerun(now time.Time) {
	if r.reruns > 0 || r.left(now) <= 2*r.least() || !r.anyLost() {
		return
	}
	for shard := range r.shards {
		r.refresh(shard)
	}
	after := r.snapshot
	if r.moving {
		r.versions, r.moving, after = r.fallback, false, noSnapshot
	}
	choice, ok := r.newest(after)
	if !ok || !choice.Complete || !r.q.Hedger.Borrow(now, len(r.shards)) {
		return
	}
	r.reruns++
	r.q.Counters.Reruns.Add(1)
	r.countDropped()
	for shard := range r.shards {
		r.abandon(now, shard, 0)
		s := &r.shards[shard]
		s.base, s.tried, s.hedges = len(s.attempts), 0, 0
		s.hedgeFailed, s.closed, s.lost = false, false, false
	}
	r.flushCancels()
	r.pending = len(r.shards)
	r.lastCause, r.sends = nil, r.sends[:0]
	r.snapshot = choice.Snapshot
	r.merger.Reset(r.id, r.snapshot, len(r.shards))
	r.sendFirst(now)
}

func (r *run) anyLost() bool {
	for i := range r.shards {
		if s := &r.shards[i]; s.lost && s.closed && r.merger.Open(i) {
			return true
		}
	}
	return false
}
