package querier

import (
	"fmt"
	"time"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/admitter"
	"jujubegate.example/jujubegate/recorder"
)

// cancelOutstanding ends the attempts that are outstanding at the end of the query.
// Owners cancel their sub-requests when the context of the streams ends.
func (r *run) cancelOutstanding(now time.Time) {
	for shard := range r.shards {
		r.cancelAttempts(now, shard, 0)
	}
	r.observeLatency(now)
}

// finish merges the results and returns the answer or a refusal. cause is the
// refusal that ended the query early, or nil. Without a cause, an incomplete query is
// refused with the refusal of a shard that was given up.
func (r *run) finish(cause *jujubegate.Refusal) (Answer, *jujubegate.Refusal) {
	answer := Answer{
		QueryID: r.id, Version: r.versions.only, Snapshot: r.snapshot, TotalShards: len(r.shards),
		Hedges: r.hedges, Retries: r.retries, Reruns: r.reruns, Dropped: r.dropped,
		Took: r.q.Clock.Now().Sub(r.started),
	}
	merged, err := r.merger.Merge()
	if err != nil {
		r.q.Violation(string(recorder.Coverage), err.Error())
		return answer, r.withOutcome(&jujubegate.Refusal{Reason: jujubegate.BadAnswer, Detail: err.Error()})
	}
	if missing := missingKeys(merged.Coverage); merged.Keys+missing != jujubegate.KeySpace {
		r.q.Violation(string(recorder.Coverage), fmt.Sprintf("query %s: %d keys answered and %d missing", r.id, merged.Keys, missing))
	}
	answer.Coverage, answer.Rows, answer.Shards = merged.Coverage, merged.Rows, merged.Shards
	whole := merged.Coverage.Whole()
	if merged.Shards == len(r.shards) && whole {
		r.admitterResult = admitter.Good
		return answer, nil
	}
	if r.congested || (cause != nil && cause.Reason == jujubegate.DeadlinePassed && r.hadAmpleTime()) {
		r.admitterResult = admitter.Congested
	}
	switch {
	case whole:
		// Only some of the shards are in the answer, but they cover all keys: a key
		// range must be wrong.
		return answer, r.withOutcome(&jujubegate.Refusal{
			Reason: jujubegate.BadAnswer, Detail: fmt.Sprintf("%d of %d shards cover all keys", merged.Shards, len(r.shards)),
		})
	case cause != nil && cause.Reason == jujubegate.Cancelled:
		return answer, r.withOutcome(cause)
	case r.request.AllowPartial && merged.Shards > 0:
		return answer, nil
	case cause != nil:
		return answer, r.withOutcome(cause)
	case r.shardRefusal != nil:
		return answer, r.withOutcome(r.shardRefusal)
	}
	return answer, r.withOutcome(&jujubegate.Refusal{
		Reason: jujubegate.NoCoverage, Detail: fmt.Sprintf("key ranges %v are missing", merged.Coverage.Missing()),
	})
}

// withOutcome returns a copy of the refusal with the outcome of the whole query.
func (r *run) withOutcome(cause *jujubegate.Refusal) *jujubegate.Refusal {
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

// hadAmpleTime reports whether the query had at least half of its service's
// deadline. A query with a shorter timeout may miss it without congestion.
func (r *run) hadAmpleTime() bool {
	return r.request.Timeout <= 0 || 2*r.request.Timeout >= r.service.spec.Deadline
}

// missingKeys returns the number of keys that the coverage lacks.
func missingKeys(c jujubegate.Coverage) uint64 {
	var keys uint64
	for _, r := range c.Missing() {
		keys += r.Len()
	}
	return keys
}
