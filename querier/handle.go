package querier

import (
	"fmt"
	"time"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/balancer"
	"jujubegate.example/jujubegate/hedger"
	"jujubegate.example/jujubegate/merger"
	"jujubegate.example/jujubegate/recorder"
)

// handle applies one event.
func (r *run) handle(now time.Time, e *event) {
	for i := range e.results {
		r.result(now, e.stream, &e.results[i])
	}
	if !e.ended {
		return
	}
	detail := "stream ended without a result"
	if e.err != nil {
		detail = fmt.Sprintf("stream broke: %v", e.err)
	}
	for _, sub := range r.streams[e.stream].subs {
		if a := &r.shards[sub.Shard].attempts[sub.Attempt-1]; !a.ended {
			r.end(now, sub.Shard, a, balancer.Failed)
			r.lostOwner = true
			r.failed(now, sub.Shard, a, &jujubegate.Refusal{
				Reason: jujubegate.TargetDown, Outcome: jujubegate.Unknown, Detail: detail,
			})
			r.lostOwner = false
		}
	}
}

// find returns the attempt that a result belongs to.
func (r *run) find(stream int, result *jujubegate.SubResult) *attempt {
	if result.Shard < 0 || result.Shard >= len(r.shards) {
		return nil
	}
	attempts := r.shards[result.Shard].attempts
	if result.Attempt < 1 || result.Attempt > len(attempts) || attempts[result.Attempt-1].stream != stream {
		return nil
	}
	return &attempts[result.Attempt-1]
}

func (r *run) result(now time.Time, stream int, result *jujubegate.SubResult) {
	id := r.id
	a := r.find(stream, result)
	if a != nil && result.Attempt <= r.shards[result.Shard].base {
		r.merger.Drop(merger.Late)
		return
	}
	if a == nil {
		// A result that the stream was not asked for is another query's.
		id = ""
	}
	if result.Refusal != nil {
		if r.merger.AddRefusal(id, result) == merger.Accepted && !a.ended {
			r.end(now, result.Shard, a, endOf(result.Refusal))
			r.failed(now, result.Shard, a, result.Refusal)
		}
		return
	}
	verdict, err := r.merger.Add(id, result)
	if a == nil || a.ended {
		return
	}
	switch verdict {
	case merger.Accepted:
		if result.Snapshot != r.snapshot {
			r.q.Violation(string(recorder.Snapshot), fmt.Sprintf("query %s at snapshot %d accepted %d", r.id, r.snapshot, result.Snapshot))
		}
		r.end(now, result.Shard, a, balancer.Answered)
		r.didRun = true
		r.close(now, result.Shard, result.Attempt)
	case merger.Late:
		r.end(now, result.Shard, a, balancer.Answered)
	case merger.OtherSnapshot:
		r.end(now, result.Shard, a, balancer.Failed)
		r.failed(now, result.Shard, a, &jujubegate.Refusal{
			Reason: jujubegate.BadAnswer, Outcome: jujubegate.Ran,
			Detail: fmt.Sprintf("shard %d answered from snapshot %d instead of %d", result.Shard, result.Snapshot, r.snapshot),
		})
	case merger.Bad:
		r.end(now, result.Shard, a, balancer.Failed)
		r.failed(now, result.Shard, a, &jujubegate.Refusal{
			Reason: jujubegate.BadAnswer, Outcome: jujubegate.Ran, Detail: err.Error(),
		})
	}
}

// endOf says what a refusal tells about its target.
func endOf(refusal *jujubegate.Refusal) balancer.Result {
	switch refusal.Reason {
	case jujubegate.TargetDown, jujubegate.TargetError, jujubegate.BadAnswer:
		return balancer.Failed
	case jujubegate.Overloaded, jujubegate.Shed:
		return balancer.Refused
	case jujubegate.TargetDraining, jujubegate.NotOwner, jujubegate.OutOfService:
		return balancer.Excluded
	}
	return balancer.Abandoned
}

// end settles an attempt.
func (r *run) end(now time.Time, shard int, a *attempt, end balancer.Result) {
	a.ended = true
	took := now.Sub(a.sentAt)
	r.shards[shard].outstanding--
	r.service.shards[shard][a.candidate].replica.Done(now, end, took)
	if end == balancer.Answered {
		r.samples = append(r.samples, took)
	}
}

// close ends a shard that the attempt answered and cancels its other attempts.
func (r *run) close(now time.Time, shard, winner int) {
	s := &r.shards[shard]
	if !s.closed {
		s.closed = true
		r.pending--
	}
	r.abandon(now, shard, winner)
}

// abandon cancels the outstanding attempts of a shard. Those from before the
// winner were overtaken; there is none if the winner is 0.
func (r *run) abandon(now time.Time, shard, winner int) {
	s := &r.shards[shard]
	for i := range s.attempts {
		a := &s.attempts[i]
		if a.ended {
			continue
		}
		end := balancer.Abandoned
		if i+1 < winner {
			end = balancer.Overtaken
		}
		r.end(now, shard, a, end)
		r.samples = append(r.samples, now.Sub(a.sentAt))
		if a.stream != notSent {
			r.mayHaveRun = true
			r.cancels = append(r.cancels, send{shard: shard, attempt: i + 1})
		}
	}
}

// failed decides what follows an attempt that ended without a usable result.
func (r *run) failed(now time.Time, shard int, a *attempt, refusal *jujubegate.Refusal) {
	switch refusal.Outcome {
	case jujubegate.Ran:
		r.didRun = true
	case jujubegate.Unknown:
		r.mayHaveRun = true
	}
	if hedger.ShowsOverload(refusal) {
		r.q.Hedger.Refused(now)
		r.congested = true
	}
	s := &r.shards[shard]
	if s.closed {
		return
	}
	if a.hedge {
		s.hedgeFailed = true
	}
	stopped := refusal.Reason == jujubegate.OutOfService && r.moving
	if refusal.Reason == jujubegate.SnapshotNotHeld || stopped {
		s.lost = true
	}
	if s.outstanding > 0 {
		return
	}
	if r.retry(now, shard, refusal) {
		return
	}
	r.giveUp(shard, refusal)
}

func (r *run) retry(now time.Time, shard int, refusal *jujubegate.Refusal) bool {
	s := &r.shards[shard]
	if len(s.attempts)-s.base >= maxAttempts ||
		hedger.Retry(refusal, r.route.spec.Idempotent, false, r.left(now), r.least()) == hedger.GiveUp {
		return false
	}
	r.refresh(shard)
	if !r.hasUntried(shard) {
		return false
	}
	// The loss of an owner fails its share of all queries at once, for which
	// the saved tokens do not last.
	paid := r.q.Hedger.TakeRetry(now) || r.lostOwner && r.q.Hedger.Borrow(now, 1)
	if !paid {
		r.q.Counters.NoBudget.Add(1)
		return false
	}
	if !r.try(now, shard, false) {
		return false
	}
	r.retries++
	r.q.Counters.Retries.Add(1)
	return true
}

// giveUp ends a shard without an answer.
func (r *run) giveUp(shard int, refusal *jujubegate.Refusal) {
	r.shards[shard].closed = true
	r.pending--
	if r.lastCause == nil || (hedger.ShowsOverload(refusal) && !hedger.ShowsOverload(r.lastCause)) {
		r.lastCause = refusal
	}
}
