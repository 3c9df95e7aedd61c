package querier

import (
	"time"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/configurator"
	"jujubegate.example/jujubegate/leaser"
)

// Placement is where one sub-request goes.
type Placement struct {
	Service    configurator.ServiceSpec
	Generation jujubegate.Generation
	Owner      leaser.Member
	SubRequest jujubegate.SubRequest
	// Snapshot is the newest one that the target holds.
	Snapshot jujubegate.Snapshot
}

// Place chooses the target of one shard for a request that is sent once. The
// shard is a function of the number of shards.
func (q *Querier) Place(now time.Time, id string, service jujubegate.Service, route jujubegate.Route,
	caller jujubegate.Caller, shardOf func(shards int) int,
) (Placement, *jujubegate.Refusal) {
	s, rt, refusal := q.check(now, service, route)
	if refusal != nil {
		return Placement{}, refusal
	}
	r := q.runs.Get().(*run)
	defer func() {
		r.release()
		q.runs.Put(r)
	}()
	r.reset(q, s, rt, Request{Service: service, Route: route, Caller: caller}, now)
	r.id = id
	if len(s.shards) == 0 {
		return Placement{}, refuse(jujubegate.NoCoverage, "service %s has no shards", service)
	}
	shard := shardOf(len(s.shards))
	r.current = q.currentPlan()
	r.refresh(shard)
	chosen, fallback, moving := versionsOf(s.spec, s.move, s.moved, id)
	r.versions = chosen
	i := r.newestOf(shard)
	if i < 0 && moving {
		r.versions = fallback
		i = r.newestOf(shard)
	}
	r.merger.Reset(id, r.snapshot, len(s.shards))
	if i < 0 || !r.try(now, shard, false) {
		refusal = refuse(jujubegate.NoCoverage, "no target serves shard %d of %s", shard, service)
		refusal.RetryAfter = retryNoCoverage
		return Placement{}, refusal
	}
	a := &r.shards[shard].attempts[0]
	c := &s.shards[shard][a.candidate]
	// An order is rare: its outcome is not part of the replica's record.
	c.replica.CancelBegin()
	return Placement{
		Service: s.spec, Generation: r.current.generation, Owner: r.known[s.offsets[shard]+a.candidate].owner,
		SubRequest: jujubegate.SubRequest{Shard: shard, Target: c.address, Attempt: 1},
		Snapshot:   r.snapshot,
	}, nil
}

// newestOf sets the newest snapshot that a target of the shard holds, and
// returns the candidate that holds it, or -1.
func (r *run) newestOf(shard int) int {
	found := -1
	r.snapshot = noSnapshot
	for i, c := range r.service.shards[shard] {
		k := &r.known[r.service.offsets[shard]+i]
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
