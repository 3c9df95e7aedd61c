package querier

import (
	"fmt"
	"time"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/admitter"
	"jujubegate.example/jujubegate/recorder"
)

// endOutstanding settles what is still outstanding at the end of the query. The
// owners cancel it when the streams' context ends.
func (r *run) endOutstanding(now time.Time) {
	for shard := range r.shards {
		r.abandon(now, shard, 0)
	}
	r.observe(now)
}

// finish returns the answer, or the refusal that the cause or the shards give.
func (r *run) finish(cause *jujubegate.Refusal) (Answer, *jujubegate.Refusal) {
	answer := Answer{
		QueryID: r.id, Version: r.versions.only, Snapshot: r.snapshot, TotalShards: len(r.shards),
		Hedges: r.hedges, Retries: r.retries, Reruns: r.reruns, Dropped: r.dropped,
		Took: r.q.Clock.Now().Sub(r.started),
	}
	merged, err := r.merger.Merge()
	if err != nil {
		r.q.Violation(string(recorder.Coverage), err.Error())
		return answer, r.refusal(&jujubegate.Refusal{Reason: jujubegate.BadAnswer, Detail: err.Error()})
	}
	if missing := missingKeys(merged.Coverage); merged.Keys+missing != jujubegate.KeySpace {
		r.q.Violation(string(recorder.Coverage), fmt.Sprintf("query %s: %d keys answered and %d missing", r.id, merged.Keys, missing))
	}
	answer.Coverage, answer.Rows, answer.Shards = merged.Coverage, merged.Rows, merged.Shards
	whole := merged.Coverage.Whole()
	if merged.Shards == len(r.shards) && whole {
		r.load = admitter.Good
		return answer, nil
	}
	if r.congested || (cause != nil && cause.Reason == jujubegate.DeadlinePassed && r.ampleTime()) {
		r.load = admitter.Congested
	}
	switch {
	case whole:
		// A subset of the shards covers all keys: a range must be wrong.
		return answer, r.refusal(&jujubegate.Refusal{
			Reason: jujubegate.BadAnswer, Detail: fmt.Sprintf("%d of %d shards cover all keys", merged.Shards, len(r.shards)),
		})
	case cause != nil && cause.Reason == jujubegate.Cancelled:
		return answer, r.refusal(cause)
	case r.request.AllowPartial && merged.Shards > 0:
		return answer, nil
	case cause != nil:
		return answer, r.refusal(cause)
	case r.lastCause != nil:
		return answer, r.refusal(r.lastCause)
	}
	return answer, r.refusal(&jujubegate.Refusal{
		Reason: jujubegate.NoCoverage, Detail: fmt.Sprintf("key ranges %v are missing", merged.Coverage.Missing()),
	})
}

// refusal returns the cause with the outcome of the whole query.
func (r *run) refusal(cause *jujubegate.Refusal) *jujubegate.Refusal {
	refusal := *cause
	switch {
	case r.didRun:
		refusal.Outcome = jujubegate.Ran
	case r.mayHaveRun:
		refusal.Outcome = jujubegate.Unknown
	default:
		refusal.Outcome = jujubegate.NotRun
	}
	return &refusal
}

// ampleTime reports whether the query had at least half of its service's
// deadline. Callers that allow less time say nothing about the load.
func (r *run) ampleTime() bool {
	return r.request.Timeout <= 0 || 2*r.request.Timeout >= r.service.spec.Deadline
}

func missingKeys(c jujubegate.Coverage) uint64 {
	var keys uint64
	for _, r := range c.Missing() {
		keys += r.Len()
	}
	return keys
}
