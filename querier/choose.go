package querier

import (
	"math"
	"slices"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/merger"
)

// noSnapshot is less than every snapshot number.
const noSnapshot jujubegate.Snapshot = math.MinInt64

// chooseVersionAndSnapshot chooses the version and the snapshot of the query. It
// refuses a query that the targets can't cover at one snapshot, unless the caller
// allows a partial answer.
func (r *run) chooseVersionAndSnapshot() *jujubegate.Refusal {
	chosen, fallback, onNewVersion := chooseVersions(r.service.spec, r.service.move, r.service.hasMove, r.id)
	r.versions = chosen
	r.currentPlan = r.q.currentPlan()
	for shard := range r.shards {
		r.refreshCandidates(shard)
	}
	choice, ok := r.newestSnapshot(noSnapshot)
	r.onNewVersion, r.fallback = onNewVersion, fallback
	if onNewVersion && !choice.Complete {
		// The new version can't cover the query yet: use the old one.
		r.versions, r.onNewVersion = fallback, false
		choice, ok = r.newestSnapshot(noSnapshot)
	}
	if !ok || (!choice.Complete && !r.request.AllowPartial) {
		refusal := refuse(jujubegate.NoCoverage, "%d of %d shards can serve a common snapshot",
			choice.Shards, len(r.shards))
		refusal.RetryAfter = retryAfterNoCoverage
		return refusal
	}
	r.snapshot = choice.Snapshot
	return nil
}

// newestSnapshot chooses the newest snapshot that the most shards can serve, among
// those greater than after.
func (r *run) newestSnapshot(after jujubegate.Snapshot) (merger.SnapshotChoice, bool) {
	r.chooser.Reset(len(r.shards))
	for shard, candidates := range r.service.shards {
		offset := r.service.offsets[shard]
		for i := range candidates {
			if k := &r.candidates[offset+i]; k.usable && r.versions.allows(candidates[i].version) {
				r.chooser.Add(shard, k.report.Snapshots)
			}
		}
	}
	return r.chooser.Newest(after)
}

// refreshCandidates updates the owners and reports of a shard's candidates, and
// whether they are usable.
func (r *run) refreshCandidates(shard int) {
	offset := r.service.offsets[shard]
	candidates := r.service.shards[shard]
	for i := range candidates {
		k := &r.candidates[offset+i]
		k.usable = false
		// Another configuration may have been applied since the query started.
		if r.currentPlan.generation != r.service.generation && !r.currentPlan.serves(r.request.Service, shard, candidates[i].address) {
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

// canServe reports whether a candidate is usable and holds the query's snapshot.
func (r *run) canServe(shard, i int) bool {
	k := &r.candidates[r.service.offsets[shard]+i]
	return k.usable && r.versions.allows(r.service.shards[shard][i].version) &&
		slices.Contains(k.report.Snapshots, r.snapshot)
}
