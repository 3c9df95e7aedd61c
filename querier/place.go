package querier

import (
	"time"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/configurator"
	"jujubegate.example/jujubegate/leaser"
)

// Placement is the target of a sub-request, with its owner and snapshot.
type Placement struct {
	Service    configurator.ServiceSpec
	Generation jujubegate.Generation
	Owner      leaser.Member
	SubRequest jujubegate.SubRequest
	// Snapshot is the newest snapshot that a target of the shard holds.
	Snapshot jujubegate.Snapshot
}

// Place chooses the target for a request that goes to one shard and is sent at most
// once, such as an order. shardOf returns the shard, given the number of shards.
func (q *Querier) Place(now time.Time, id string, service jujubegate.Service, route jujubegate.Route,
	caller jujubegate.Caller, shardOf func(shards int) int,
) (Placement, *jujubegate.Refusal) {
	s, rt, refusal := q.resolveRoute(now, service, route)
	if refusal != nil {
		return Placement{}, refusal
	}
	r := q.runPool.Get().(*run)
	defer func() {
		r.release()
		q.runPool.Put(r)
	}()
	r.reset(q, s, rt, Request{Service: service, Route: route, Caller: caller}, now)
	r.id = id
	if len(s.shards) == 0 {
		return Placement{}, refuse(jujubegate.NoCoverage, "service %s has no shards", service)
	}
	shard := shardOf(len(s.shards))
	r.currentPlan = q.currentPlan()
	r.refreshCandidates(shard)
	chosen, fallback, onNewVersion := chooseVersions(s.spec, s.move, s.hasMove, id)
	r.versions = chosen
	i := r.chooseNewestSnapshot(shard)
	if i < 0 && onNewVersion {
		r.versions = fallback
		i = r.chooseNewestSnapshot(shard)
	}
	r.merger.Reset(id, r.snapshot, len(s.shards))
	if i < 0 || !r.queueAttempt(now, shard, false) {
		refusal = refuse(jujubegate.NoCoverage, "no target serves shard %d of %s", shard, service)
		refusal.RetryAfter = retryAfterNoCoverage
		return Placement{}, refusal
	}
	a := &r.shards[shard].attempts[0]
	c := &s.shards[shard][a.candidate]
	// Orders are rare: the balancer does not record their results.
	c.replica.CancelBegin()
	return Placement{
		Service: s.spec, Generation: r.currentPlan.generation, Owner: r.candidates[s.offsets[shard]+a.candidate].owner,
		SubRequest: jujubegate.SubRequest{Shard: shard, Target: c.address, Attempt: 1},
		Snapshot:   r.snapshot,
	}, nil
}

// chooseNewestSnapshot sets the run's snapshot to the newest one that a usable
// candidate of the shard holds. It returns that candidate's index, or -1 if there
// is none.
func (r *run) chooseNewestSnapshot(shard int) int {
	found := -1
	r.snapshot = noSnapshot
	for i, c := range r.service.shards[shard] {
		k := &r.candidates[r.service.offsets[shard]+i]
		if !k.usable || !r.versions.allows(c.version) {
			continue
		}
		for _, s := range k.report.Snapshots {
			if s > r.snapshot {
				r.snapshot, found = s, i
			}
		}
	}
	return found
}
