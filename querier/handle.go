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

// handleEvent processes the results of an event. If the event ends its stream, the
// attempts of the stream that have no result fail.
func (r *run) handleEvent(now time.Time, e *event) {
	for i := range e.results {
		r.handleResult(now, e.stream, &e.results[i])
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
			r.endAttempt(now, sub.Shard, a, balancer.Failed)
			r.streamFailed = true
			r.handleFailure(now, sub.Shard, a, &jujubegate.Refusal{
				Reason: jujubegate.TargetDown, Outcome: jujubegate.Unknown, Detail: detail,
			})
			r.streamFailed = false
		}
	}
}

// findAttempt returns the attempt that a result belongs to, or nil if the stream
// has no such attempt.
func (r *run) findAttempt(stream int, result *jujubegate.SubResult) *attempt {
	if result.Shard < 0 || result.Shard >= len(r.shards) {
		return nil
	}
	attempts := r.shards[result.Shard].attempts
	if result.Attempt < 1 || result.Attempt > len(attempts) || attempts[result.Attempt-1].stream != stream {
		return nil
	}
	return &attempts[result.Attempt-1]
}

// handleResult passes a result to the merger, and ends its attempt and, if it is
// accepted, its shard.
func (r *run) handleResult(now time.Time, stream int, result *jujubegate.SubResult) {
	id := r.id
	a := r.findAttempt(stream, result)
	if a != nil && result.Attempt <= r.shards[result.Shard].priorAttempts {
		r.merger.Drop(merger.Late)
		return
	}
	if a == nil {
		// The stream has no such sub-request: without a query ID the merger counts
		// the result as Foreign.
		id = ""
	}
	if result.Refusal != nil {
		if r.merger.AddRefusal(id, result) == merger.Accepted && !a.ended {
			r.endAttempt(now, result.Shard, a, resultOf(result.Refusal))
			r.handleFailure(now, result.Shard, a, result.Refusal)
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
		r.endAttempt(now, result.Shard, a, balancer.Answered)
		r.didRun = true
		r.closeShard(now, result.Shard, result.Attempt)
	case merger.Late:
		r.endAttempt(now, result.Shard, a, balancer.Answered)
	case merger.OtherSnapshot:
		r.endAttempt(now, result.Shard, a, balancer.Failed)
		r.handleFailure(now, result.Shard, a, &jujubegate.Refusal{
			Reason: jujubegate.BadAnswer, Outcome: jujubegate.Ran,
			Detail: fmt.Sprintf("shard %d answered from snapshot %d instead of %d", result.Shard, result.Snapshot, r.snapshot),
		})
	case merger.Bad:
		r.endAttempt(now, result.Shard, a, balancer.Failed)
		r.handleFailure(now, result.Shard, a, &jujubegate.Refusal{
			Reason: jujubegate.BadAnswer, Outcome: jujubegate.Ran, Detail: err.Error(),
		})
	}
}

// resultOf returns the result that the balancer records for a refused attempt.
func resultOf(refusal *jujubegate.Refusal) balancer.Result {
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

// endAttempt ends an attempt and records its result and latency with the replica.
func (r *run) endAttempt(now time.Time, shard int, a *attempt, result balancer.Result) {
	a.ended = true
	took := now.Sub(a.sentAt)
	r.shards[shard].outstanding--
	r.service.shards[shard][a.candidate].replica.Done(now, result, took)
	if result == balancer.Answered {
		r.latencySamples = append(r.latencySamples, took)
	}
}

// closeShard closes a shard that the winner, an attempt number, has answered, and
// cancels its other attempts.
func (r *run) closeShard(now time.Time, shard, winner int) {
	s := &r.shards[shard]
	if !s.closed {
		s.closed = true
		r.pending--
	}
	r.cancelAttempts(now, shard, winner)
}

// cancelAttempts cancels the outstanding attempts of a shard. Attempts that were
// sent before the winner count as overtaken. A winner of 0 stands for no winner.
func (r *run) cancelAttempts(now time.Time, shard, winner int) {
	s := &r.shards[shard]
	for i := range s.attempts {
		a := &s.attempts[i]
		if a.ended {
			continue
		}
		result := balancer.Abandoned
		if i+1 < winner {
			result = balancer.Overtaken
		}
		r.endAttempt(now, shard, a, result)
		r.latencySamples = append(r.latencySamples, now.Sub(a.sentAt))
		if a.stream != notSent {
			r.mayHaveRun = true
			r.cancels = append(r.cancels, attemptRef{shard: shard, attempt: i + 1})
		}
	}
}

// handleFailure processes the end of an attempt without a usable result. If its
// shard has no other outstanding attempt, the shard is retried or given up.
func (r *run) handleFailure(now time.Time, shard int, a *attempt, refusal *jujubegate.Refusal) {
	switch refusal.Outcome {
	case jujubegate.Ran:
		r.didRun = true
	case jujubegate.Unknown:
		r.mayHaveRun = true
	}
	if hedger.ShowsOverload(refusal) {
		r.q.Hedger.RecordRefusal(now)
		r.congested = true
	}
	s := &r.shards[shard]
	if s.closed {
		return
	}
	if a.hedge {
		s.hedgeFailed = true
	}
	versionStopped := refusal.Reason == jujubegate.OutOfService && r.onNewVersion
	if refusal.Reason == jujubegate.SnapshotNotHeld || versionStopped {
		s.needsRerun = true
	}
	if s.outstanding > 0 {
		return
	}
	if r.retry(now, shard, refusal) {
		return
	}
	r.giveUpShard(shard, refusal)
}

// retry queues another attempt of a shard and reports whether it did. It needs a
// refusal that permits a retry, enough time, an untried candidate and a token.
func (r *run) retry(now time.Time, shard int, refusal *jujubegate.Refusal) bool {
	s := &r.shards[shard]
	if len(s.attempts)-s.priorAttempts >= maxAttempts ||
		hedger.DecideRetry(refusal, r.route.spec.Idempotent, false, r.timeLeft(now), r.minAttemptTime()) == hedger.GiveUp {
		return false
	}
	r.refreshCandidates(shard)
	if !r.hasUntriedCandidate(shard) {
		return false
	}
	// The loss of an owner fails its sub-requests of all queries at once, which is
	// more than the saved tokens allow. Hence these retries may borrow.
	hasToken := r.q.Hedger.TakeRetry(now) || r.streamFailed && r.q.Hedger.Borrow(now, 1)
	if !hasToken {
		r.q.Counters.NoBudget.Add(1)
		return false
	}
	if !r.queueAttempt(now, shard, false) {
		return false
	}
	r.retries++
	r.q.Counters.Retries.Add(1)
	return true
}

// giveUpShard closes a shard without an answer. The query is refused with the refusal
// of the first such shard, unless that of a later one shows an overload.
func (r *run) giveUpShard(shard int, refusal *jujubegate.Refusal) {
	r.shards[shard].closed = true
	r.pending--
	if r.shardRefusal == nil || (hedger.ShowsOverload(refusal) && !hedger.ShowsOverload(r.shardRefusal)) {
		r.shardRefusal = refusal
	}
}
