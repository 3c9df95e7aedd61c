package querier

import (
	"time"
)

// rerun restarts the query, at most once, if a shard was given up because its
// targets no longer hold the snapshot or the new version of a move was stopped. The
// rerun uses a newer snapshot or, if the query used the new version of a move, any
// snapshot of the fallback version. All shards must be able to serve it.
func (r *run) rerun(now time.Time) {
	if r.reruns > 0 || r.timeLeft(now) <= 2*r.minAttemptTime() || !r.anyNeedsRerun() {
		return
	}
	for shard := range r.shards {
		r.refreshCandidates(shard)
	}
	after := r.snapshot
	if r.onNewVersion {
		r.versions, r.onNewVersion, after = r.fallback, false, noSnapshot
	}
	choice, ok := r.newestSnapshot(after)
	if !ok || !choice.Complete || !r.q.Hedger.Borrow(now, len(r.shards)) {
		return
	}
	r.reruns++
	r.q.Counters.Reruns.Add(1)
	r.countDropped()
	for shard := range r.shards {
		r.cancelAttempts(now, shard, 0)
		s := &r.shards[shard]
		s.priorAttempts, s.tried, s.hedges = len(s.attempts), 0, 0
		s.hedgeFailed, s.closed, s.needsRerun = false, false, false
	}
	r.flushCancels()
	r.pending = len(r.shards)
	r.shardRefusal, r.queued = nil, r.queued[:0]
	r.snapshot = choice.Snapshot
	r.merger.Reset(r.id, r.snapshot, len(r.shards))
	r.queueFirstAttempts(now)
}

// anyNeedsRerun reports whether a rerun may answer a shard that was given up.
func (r *run) anyNeedsRerun() bool {
	for i := range r.shards {
		if s := &r.shards[i]; s.needsRerun && s.closed && r.merger.Open(i) {
			return true
		}
	}
	return false
}
