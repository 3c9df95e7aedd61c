package querier

import (
	"context"
	"math/bits"
	"time"

	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/balancer"
	"jujubegate.example/jujubegate/leaser"
)

// notSent is the stream of an attempt that is queued and not yet flushed.
const notSent = -1

// maxHedgePostponements is the number of times that a hedge without budget is
// postponed, each time by the hedge delay.
const maxHedgePostponements = 3

// attemptRef identifies an attempt of a query.
type attemptRef struct {
	shard   int
	attempt int
}

// queueFirstAttempts queues the first attempt of every shard, and gives up the
// shards of which no usable target holds the snapshot.
func (r *run) queueFirstAttempts(now time.Time) {
	queued := 0
	for shard := range r.shards {
		if !r.queueAttempt(now, shard, false) {
			r.giveUpShard(shard, refuse(jujubegate.NoCoverage, "no target of shard %d holds snapshot %d", shard, r.snapshot))
			continue
		}
		queued++
	}
	r.q.Hedger.AddSent(now, queued)
}

// queueAttempt queues an attempt for the next flush, to the replica that the
// balancer chooses from the untried ones. It returns false if there is none.
func (r *run) queueAttempt(now time.Time, shard int, hedge bool) bool {
	s := &r.shards[shard]
	candidates := r.service.shards[shard]
	offset := r.service.offsets[shard]
	r.options, r.optionCandidates = r.options[:0], r.optionCandidates[:0]
	var tried uint64
	for i := range candidates {
		if !r.canServe(shard, i) {
			continue
		}
		if s.tried&(1<<i) != 0 {
			tried |= 1 << len(r.options)
		}
		report := &r.candidates[offset+i].report
		r.options = append(r.options, balancer.Option{
			Replica: candidates[i].replica, State: report.State, Load: report.InFlight + report.Queued,
			Limit: report.Limit, Latency: report.Latency, Distance: candidates[i].distance,
		})
		r.optionCandidates = append(r.optionCandidates, i)
	}
	option := balancer.Choose(now, r.options, tried, r.random)
	if option < 0 {
		return false
	}
	i := r.optionCandidates[option]
	s.tried |= 1 << i
	s.attempts = append(s.attempts, attempt{candidate: i, stream: notSent, sentAt: now, hedge: hedge})
	s.outstanding++
	candidates[i].replica.Begin()
	number := len(s.attempts)
	r.merger.AddAttempt(jujubegate.SubRequest{Shard: shard, Target: candidates[i].address, Attempt: number})
	r.queued = append(r.queued, attemptRef{shard: shard, attempt: number})
	r.scheduledHedges = append(r.scheduledHedges, scheduledHedge{shard: shard, attempt: number, at: now.Add(r.hedgeDelay)})
	return true
}

// flush sends the queued cancellations, and the queued attempts in one batch per
// owner.
func (r *run) flush(ctx context.Context, now time.Time) {
	r.flushCancels()
	if len(r.queued) == 0 {
		return
	}
	r.groupByOwner(r.queued, func(s attemptRef, a *attempt) *leaser.Member {
		return &r.candidates[r.service.offsets[s.shard]+a.candidate].owner
	})
	for i := range r.ownerGroups {
		g := &r.ownerGroups[i]
		number := len(r.streams)
		r.streams = append(r.streams, ownerBatch{owner: g.owner, subs: g.subs})
		for _, sub := range g.subs {
			r.shards[sub.Shard].attempts[sub.Attempt-1].stream = number
		}
		batch := jujubegate.Batch{
			QueryID: r.id, Service: r.request.Service, Route: r.request.Route, Caller: r.request.Caller,
			Snapshot: r.snapshot, Deadline: r.deadline, Priority: int(r.service.spec.Priority),
			Body: r.request.Body, Generation: r.currentPlan.generation, SubRequests: g.subs,
		}
		r.logSends(now, g)
		go r.q.runStream(ctx, g.owner, batch, number, r.inbox)
		g.subs = nil
	}
	r.q.Counters.SubRequests.Add(int64(len(r.queued)))
	r.queued = r.queued[:0]
}

// groupByOwner fills r.ownerGroups with the sub-requests of the attempts, grouped by
// owner.
func (r *run) groupByOwner(refs []attemptRef, ownerOf func(attemptRef, *attempt) *leaser.Member) {
	clear(r.groupIndexes)
	r.ownerGroups = r.ownerGroups[:0]
	for _, s := range refs {
		a := &r.shards[s.shard].attempts[s.attempt-1]
		owner := ownerOf(s, a)
		g, ok := r.groupIndexes[owner.Instance]
		if !ok {
			g = len(r.ownerGroups)
			r.groupIndexes[owner.Instance] = g
			r.ownerGroups = append(r.ownerGroups, ownerBatch{owner: *owner})
		}
		r.ownerGroups[g].subs = append(r.ownerGroups[g].subs, jujubegate.SubRequest{
			Shard: s.shard, Attempt: s.attempt,
			Target: r.service.shards[s.shard][a.candidate].address,
		})
	}
}

// runStream sends a batch to its owner and puts the results and the end of the
// stream into the inbox.
func (q *Querier) runStream(ctx context.Context, owner leaser.Member, batch jujubegate.Batch, number int, inbox *mailbox) {
	err := q.Dispatch(ctx, owner, batch, func(results []jujubegate.SubResult, reports []jujubegate.TargetReport) {
		if len(reports) > 0 {
			q.ObserveReports(reports)
		}
		if len(results) > 0 {
			inbox.put(event{stream: number, results: results})
		}
	})
	inbox.put(event{stream: number, ended: true, err: err})
}

// flushCancels sends the queued cancellations, one call of Cancel per owner.
func (r *run) flushCancels() {
	if len(r.cancels) == 0 {
		return
	}
	r.groupByOwner(r.cancels, func(_ attemptRef, a *attempt) *leaser.Member { return &r.streams[a.stream].owner })
	for i := range r.ownerGroups {
		r.q.Cancel(r.ownerGroups[i].owner, r.id, r.ownerGroups[i].subs)
		r.ownerGroups[i].subs = nil
	}
	r.cancels = r.cancels[:0]
}

func (r *run) logSends(now time.Time, g *ownerBatch) {
	for _, sub := range g.subs {
		if ce := r.q.Log.Check(zap.DebugLevel, "querier: sub-request sent"); ce != nil {
			ce.Write(zap.String("query", r.id), zap.Int("shard", sub.Shard), zap.Int("attempt", sub.Attempt),
				zap.String("target", string(sub.Target)), zap.String("owner", string(g.owner.Instance)),
				zap.Duration("left", r.timeLeft(now)))
		}
	}
}

// canHedge reports whether a scheduled hedge may still be sent: its attempt is the
// only outstanding one of the shard, any earlier hedge of the shard failed, and
// the shard has attempts left.
func (r *run) canHedge(d scheduledHedge) bool {
	s := &r.shards[d.shard]
	if s.closed || d.attempt <= s.priorAttempts || s.attempts[d.attempt-1].ended || s.outstanding != 1 {
		return false
	}
	return (s.hedges == 0 || s.hedgeFailed) && len(s.attempts)-s.priorAttempts < maxAttempts
}

// sendDueHedges queues the hedges whose time has come. A hedge without budget is
// postponed.
func (r *run) sendDueHedges(now time.Time) {
	for r.nextHedge < len(r.scheduledHedges) {
		d := r.scheduledHedges[r.nextHedge]
		if now.Before(d.at) {
			return
		}
		r.nextHedge++
		s := &r.shards[d.shard]
		if !r.canHedge(d) || r.timeLeft(now) <= r.minAttemptTime() {
			continue
		}
		r.refreshCandidates(d.shard)
		if !r.hasUntriedCandidate(d.shard) {
			continue
		}
		if !r.q.Hedger.TakeHedge(now) {
			r.q.Counters.NoBudget.Add(1)
			if d.postponed++; d.postponed <= maxHedgePostponements {
				d.at = now.Add(r.hedgeDelay)
				r.scheduledHedges = append(r.scheduledHedges, d)
			}
			continue
		}
		if r.queueAttempt(now, d.shard, true) {
			s.hedges++
			s.hedgeFailed = false
			r.hedges++
			r.q.Counters.Hedges.Add(1)
		}
	}
}

// hasUntriedCandidate reports whether a usable candidate of the shard had no attempt
// at this snapshot.
func (r *run) hasUntriedCandidate(shard int) bool {
	var usable uint64
	for i := range r.service.shards[shard] {
		if r.canServe(shard, i) {
			usable |= 1 << i
		}
	}
	return bits.OnesCount64(usable&^r.shards[shard].tried) > 0
}
