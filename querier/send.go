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

// notSent is the stream of an attempt before its flush.
const notSent = -1

// maxPostponed is the number of times that a hedge without budget is tried
// again, each after another hedge delay.
const maxPostponed = 3

// send is a sub-request that waits for the next flush.
type send struct {
	shard   int
	attempt int
}

// sendFirst queues the first attempt of every shard.
func (r *run) sendFirst(now time.Time) {
	sent := 0
	for shard := range r.shards {
		if !r.try(now, shard, false) {
			r.giveUp(shard, refuse(jujubegate.NoCoverage, "no target of shard %d holds snapshot %d", shard, r.snapshot))
			continue
		}
		sent++
	}
	r.q.Hedger.Sent(now, sent)
}

// try queues an attempt at the best replica that was not tried yet.
func (r *run) try(now time.Time, shard int, hedge bool) bool {
	s := &r.shards[shard]
	candidates := r.service.shards[shard]
	offset := r.service.offsets[shard]
	r.options, r.optionOf = r.options[:0], r.optionOf[:0]
	var tried uint64
	for i := range candidates {
		if !r.holds(shard, i) {
			continue
		}
		if s.tried&(1<<i) != 0 {
			tried |= 1 << len(r.options)
		}
		report := &r.known[offset+i].report
		r.options = append(r.options, balancer.Option{
			Replica: candidates[i].replica, State: report.State, Load: report.InFlight + report.Queued,
			Limit: report.Limit, Latency: report.Latency, Distance: candidates[i].distance,
		})
		r.optionOf = append(r.optionOf, i)
	}
	option := balancer.Choose(now, r.options, tried, r.random)
	if option < 0 {
		return false
	}
	i := r.optionOf[option]
	s.tried |= 1 << i
	s.attempts = append(s.attempts, attempt{candidate: i, stream: notSent, sentAt: now, hedge: hedge})
	s.outstanding++
	candidates[i].replica.Begin()
	number := len(s.attempts)
	r.merger.AddAttempt(jujubegate.SubRequest{Shard: shard, Target: candidates[i].address, Attempt: number})
	r.sends = append(r.sends, send{shard: shard, attempt: number})
	r.dues = append(r.dues, due{shard: shard, attempt: number, at: now.Add(r.hedgeDelay)})
	return true
}

// flush sends what is queued, in one batch per owner, and the cancellations.
func (r *run) flush(ctx context.Context, now time.Time) {
	r.flushCancels()
	if len(r.sends) == 0 {
		return
	}
	r.group(r.sends, func(s send, a *attempt) *leaser.Member {
		return &r.known[r.service.offsets[s.shard]+a.candidate].owner
	})
	for i := range r.groups {
		g := &r.groups[i]
		number := len(r.streams)
		r.streams = append(r.streams, stream{owner: g.owner, subs: g.subs})
		for _, sub := range g.subs {
			r.shards[sub.Shard].attempts[sub.Attempt-1].stream = number
		}
		batch := jujubegate.Batch{
			QueryID: r.id, Service: r.request.Service, Route: r.request.Route, Caller: r.request.Caller,
			Snapshot: r.snapshot, Deadline: r.deadline, Priority: int(r.service.spec.Priority),
			Body: r.request.Body, Generation: r.current.generation, SubRequests: g.subs,
		}
		r.logSends(now, g)
		go r.q.stream(ctx, g.owner, batch, number, r.inbox)
		g.subs = nil
	}
	r.q.Counters.SubRequests.Add(int64(len(r.sends)))
	r.sends = r.sends[:0]
}

// group arranges sub-requests by owner in r.groups.
func (r *run) group(sends []send, ownerOf func(send, *attempt) *leaser.Member) {
	clear(r.groupOf)
	r.groups = r.groups[:0]
	for _, s := range sends {
		a := &r.shards[s.shard].attempts[s.attempt-1]
		owner := ownerOf(s, a)
		g, ok := r.groupOf[owner.Instance]
		if !ok {
			g = len(r.groups)
			r.groupOf[owner.Instance] = g
			r.groups = append(r.groups, stream{owner: *owner})
		}
		r.groups[g].subs = append(r.groups[g].subs, jujubegate.SubRequest{
			Shard: s.shard, Attempt: s.attempt,
			Target: r.service.shards[s.shard][a.candidate].address,
		})
	}
}

// stream runs one Dispatch and passes its events on.
func (q *Querier) stream(ctx context.Context, owner leaser.Member, batch jujubegate.Batch, number int, inbox *mailbox) {
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

func (r *run) flushCancels() {
	if len(r.cancels) == 0 {
		return
	}
	r.group(r.cancels, func(_ send, a *attempt) *leaser.Member { return &r.streams[a.stream].owner })
	for i := range r.groups {
		r.q.Cancel(r.groups[i].owner, r.id, r.groups[i].subs)
		r.groups[i].subs = nil
	}
	r.cancels = r.cancels[:0]
}

func (r *run) logSends(now time.Time, g *stream) {
	for _, sub := range g.subs {
		if ce := r.q.Log.Check(zap.DebugLevel, "querier: send"); ce != nil {
			ce.Write(zap.String("query", r.id), zap.Int("shard", sub.Shard), zap.Int("attempt", sub.Attempt),
				zap.String("target", string(sub.Target)), zap.String("owner", string(g.owner.Instance)),
				zap.Duration("left", r.left(now)))
		}
	}
}

// hedgeable reports whether a due attempt is still the only one outstanding of
// its shard, and the shard had no hedge but failed ones.
func (r *run) hedgeable(d due) bool {
	s := &r.shards[d.shard]
	if s.closed || d.attempt <= s.base || s.attempts[d.attempt-1].ended || s.outstanding != 1 {
		return false
	}
	return (s.hedges == 0 || s.hedgeFailed) && len(s.attempts)-s.base < maxAttempts
}

// hedgeDue sends hedges for the attempts that are due.
func (r *run) hedgeDue(now time.Time) {
	for r.nextDue < len(r.dues) {
		d := r.dues[r.nextDue]
		if now.Before(d.at) {
			return
		}
		r.nextDue++
		s := &r.shards[d.shard]
		if !r.hedgeable(d) || r.left(now) <= r.least() {
			continue
		}
		r.refresh(d.shard)
		if !r.hasUntried(d.shard) {
			continue
		}
		if !r.q.Hedger.TakeHedge(now) {
			r.q.Counters.NoBudget.Add(1)
			if d.postponed++; d.postponed <= maxPostponed {
				d.at = now.Add(r.hedgeDelay)
				r.dues = append(r.dues, d)
			}
			continue
		}
		if r.try(now, d.shard, true) {
			s.hedges++
			s.hedgeFailed = false
			r.hedges++
			r.q.Counters.Hedges.Add(1)
		}
	}
}

func (r *run) hasUntried(shard int) bool {
	var held uint64
	for i := range r.service.shards[shard] {
		if r.holds(shard, i) {
			held |= 1 << i
		}
	}
	return bits.OnesCount64(held&^r.shards[shard].tried) > 0
}
