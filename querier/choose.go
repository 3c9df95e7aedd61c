package querier

import (
	"math"
	"slices"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/merger"
)

// noSnapshot is below every snapshot number.
const noSnapshot jujubegate.Snapshot = math.MinInt64

// choose picks the version and the snapshot of the query, or refuses it.
func (r *run) choose() *jujubegate.Refusal {
	chosen, fallback, moving := versionsOf(r.service.spec, r.service.move, r.service.moved, r.id)
	r.versions = chosen
	r.current = r.q.currentPlan()
	for shard := range r.shards {
		r.refresh(shard)
	}
	choice, ok := r.newest(noSnapshot)
	r.moving, r.fallback = moving, fallback
	if moving && !choice.Complete {
		// The new version can't cover the query yet; the old one serves it.
		r.versions, r.moving = fallback, false
		choice, ok = r.newest(noSnapshot)
	}
	if !ok || (!choice.Complete && !r.request.AllowPartial) {
		refusal := refuse(jujubegate.NoCoverage, "%d of %d shards can serve a common snapshot",
			choice.Shards, len(r.shards))
		refusal.RetryAfter = retryNoCoverage
		return refusal
	}
	r.snapshot = choice.Snapshot
	return nil
}

// newest chooses among the snapshots after the given one.
func (r *run) newest(after jujubegate.Snapshot) (merger.SnapshotChoice, bool) {
	r.chooser.Reset(len(r.shards))
	for shard, candidates := range r.service.shards {
		offset := r.service.offsets[shard]
		for i := range candidates {
			if k := &r.known[offset+i]; k.usable && r.versions.allows(candidates[i].version) {
				r.chooser.Add(shard, k.report.Snapshots)
			}
		}
	}
	return r.chooser.Newest(after)
}

// refresh looks up the owners and reports of a shard's candidates.
func (r *run) refresh(shard int) {
	offset := r.service.offsets[shard]
	candidates := r.service.shards[shard]
	for i := range candidates {
		k := &r.known[offset+i]
		k.usable = false
		// The configuration may have changed since the query started.
		if r.current.generation != r.service.generation && !r.current.serves(r.request.Service, shard, candidates[i].address) {
			continue
		}
		if r.q.Halted(r.request.Service, candidates[i].version) {
			continue
		}
		owner, ok := r.q.Owner(candidates[i].address)
		if !ok {
			continue
		}
		report, ok := r.q.Report(candidates[i].address)
		if !ok || report.Limit <= 0 || (report.State != jujubegate.Warm && report.State != jujubegate.Cold) {
			continue
		}
		k.usable, k.owner, k.report = true, owner, report
	}
}

// holds reports whether the candidate may serve the query's snapshot.
func (r *run) holds(shard, i int) bool {
	k := &r.known[r.service.offsets[shard]+i]
	return k.usable && r.versions.allows(r.service.shards[shard][i].version) &&
		slices.Contains(k.report.Snapshots, r.snapshot)
}
