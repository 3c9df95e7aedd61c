// Package gatherer sends a query to all its shards and merges their records.
package gatherer

import (
	"context"
	"math"
	"time"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/connector"
	"jujubegate.example/jujubegate/router"
	"jujubegate.example/jujubegate/screener"
	"jujubegate.example/jujubegate/sender"
)

const (
	// graceFraction is how much longer, as a fraction of the objective, a query
	// that has not reached its floor by the objective waits for all shards. After
	// that time it is answered as soon as the floor is reached.
	graceFraction = 0.5
)

// Settings are the dependencies of a Gatherer.
type Settings struct {
	Clock jujubegate.Clock
	// Send sends a request to one shard.
	Send func(ctx context.Context, c sender.Call) sender.CallResult
	// Wait returns how long a request to a shard would wait.
	Wait func(route *router.Route, shard jujubegate.Service) sender.Wait
	// ReturnAfter returns after which time a caller that was rejected because of the
	// wait at a shard should come back.
	ReturnAfter func(shard jujubegate.Service, wait sender.Wait) time.Duration
}

// Gatherer answers queries over many shards. It is safe for concurrent use.
type Gatherer struct{ settings Settings }

// New returns a gatherer.
func New(settings Settings) *Gatherer { return &Gatherer{settings} }

// Query is one query over many shards.
type Query struct {
	Request *connector.Request
	Route   *router.Route
	// Due is when the answer must be known to reach the caller within the objective.
	Due time.Time
	// Run follows what happens to the query at its targets; may be nil.
	Run *screener.Run
}

// MissingShard is a shard whose records are missing from an answer.
type MissingShard struct {
	Shard  jujubegate.Service
	Result sender.CallResult
}

// Result is the result of a query.
type Result struct {
	// OK is set if enough shards have answered.
	OK bool
	// Signatures are the signatures of the answers that are merged in Body.
	Signatures []string
	Body       []byte
	// MissingCount is the number of shards that are not in the answer.
	MissingCount int
	// DecidedAt is when the answer was known, or Due if that is later.
	DecidedAt time.Time
	// Outcome says whether any target may have run the query.
	Outcome jujubegate.Outcome
	Reason  jujubegate.Reason
	// RetryAfter is the time after which a retry can succeed; 0 if it is unknown.
	RetryAfter time.Duration
	// Rejecting is the shard with the longest wait if the query was not started.
	Rejecting jujubegate.Service

	details func() ([]MissingShard, int)
}

// Missing returns the missing shards and the number of attempts at all shards. It
// waits for the calls that were still running when the result was known; they end
// at once.
func (r *Result) Missing() (missing []MissingShard, attempts int) {
	if r.details == nil {
		return nil, 0
	}
	return r.details()
}

// shardResult is the result of the request to one shard of the route.
type shardResult struct {
	index  int
	result sender.CallResult
}

// queryState is the state of one query in progress.
type queryState struct {
	query      Query
	top        *Top
	signatures map[string]struct{}
	result     Result
	// pending is the number of shards without a result, and required the number
	// of shards that the answer needs.
	pending  int
	required int
	missing  []MissingShard
	attempts int
}

// Gather sends the query to all shards. It returns once all shards have a result,
// or at the objective if the floor is reached, since a later answer is worth less
// than the missing shards. It fails as soon as the floor cannot be reached.
func (g *Gatherer) Gather(ctx context.Context, q Query) Result {
	shards := q.Route.Gather.Shards
	if rejected, ok := g.rejection(q.Route); ok {
		return rejected
	}
	ctx, cancel := context.WithCancelCause(ctx)
	results := make(chan *shardResult, len(shards))
	send := func(i int) {
		results <- &shardResult{i, g.settings.Send(ctx, sender.Call{Request: q.Request, Route: q.Route, Service: shards[i], Due: q.Due, Run: q.Run})}
	}
	q.Run.Share()
	sent := 0
	// A query that may crash its targets goes to all shards once one has answered.
	for ; q.Run.Cautious() && !q.Run.Answered() && sent < len(shards); sent++ {
		send(sent)
		if q.Run.Suspected() {
			cancel(connector.ErrAbandoned)
			return Result{Outcome: jujubegate.Unknown, Reason: jujubegate.CrashesTargets, MissingCount: len(shards), DecidedAt: g.settings.Clock.Now()}
		}
	}
	for ; sent < len(shards); sent++ {
		go send(sent)
	}
	s := &queryState{
		query: q, top: NewTop(q.Route.Gather.Top), signatures: make(map[string]struct{}, len(shards)),
		pending:  len(shards),
		required: requiredShards(q.Route.Gather),
		result:   Result{Outcome: jujubegate.NotRun},
	}
	reason := g.collect(ctx, s, results)
	cancel(connector.ErrAbandoned)
	if !s.floorReached() {
		// Whether the query may have run depends on all calls. They return at once.
		s.drain(results)
	}
	return s.finish(reason, g.settings.Clock.Now(), results)
}

// drain adds the results of the calls that are still running.
func (s *queryState) drain(results <-chan *shardResult) {
	for s.pending > 0 {
		s.addResult(<-results)
	}
}

// collect adds the results of shards until the query can be answered or has
// failed, and returns why it failed.
func (g *Gatherer) collect(ctx context.Context, s *queryState, results <-chan *shardResult) jujubegate.Reason {
	objective := s.query.Route.Objective
	var objectiveDue, graceDue <-chan time.Time
	if !s.query.Due.IsZero() {
		objectiveDue = g.settings.Clock.After(s.query.Due.Sub(g.settings.Clock.Now()))
	}
	graceOver := false
	for s.pending > 0 {
		select {
		case r := <-results:
			s.addResult(r)
			if s.floorUnreachable() {
				return jujubegate.NoCoverage
			}
		case <-objectiveDue:
			objectiveDue = nil
			if s.floorReached() {
				return ""
			}
			graceDue = g.settings.Clock.After(time.Duration(graceFraction * float64(objective)))
		case <-graceDue:
			graceDue, graceOver = nil, true
		case <-ctx.Done():
			return jujubegate.DeadlinePassed
		}
		if graceOver && s.floorReached() {
			return ""
		}
	}
	return ""
}

// requiredShards returns the number of shards that a successful answer needs.
func requiredShards(g *router.Gather) int {
	return max(int(math.Ceil(g.Floor*float64(len(g.Shards))-1e-9)), 1)
}

func (s *queryState) addResult(r *shardResult) {
	signature := r.result.Answer.Signature
	_, duplicate := s.signatures[signature]
	if !r.result.Success() || duplicate {
		s.addMissing(r)
		return
	}
	s.countShard(r)
	s.signatures[signature] = struct{}{}
	s.result.Signatures = append(s.result.Signatures, signature)
	s.top.Add(r.result.Answer.Body)
}

// addMissing records a shard that is left out of the answer.
func (s *queryState) addMissing(r *shardResult) {
	s.countShard(r)
	s.missing = append(s.missing, MissingShard{s.query.Route.Gather.Shards[r.index], r.result})
}

func (s *queryState) countShard(r *shardResult) {
	s.pending--
	s.attempts += len(r.result.Attempts)
	if r.result.Outcome != jujubegate.NotRun {
		s.result.Outcome = jujubegate.Unknown
	}
}

func (s *queryState) floorReached() bool { return len(s.result.Signatures) >= s.required }

// floorUnreachable reports whether too few shards are left to reach the floor.
func (s *queryState) floorUnreachable() bool { return len(s.result.Signatures)+s.pending < s.required }

// finish returns the result with the shards that have answered.
func (s *queryState) finish(reason jujubegate.Reason, now time.Time, results <-chan *shardResult) Result {
	r := s.result
	r.OK, r.MissingCount, r.DecidedAt = s.floorReached(), len(s.query.Route.Gather.Shards)-len(r.Signatures), now
	if s.pending > 0 && now.After(s.query.Due) {
		// The wait ended because the answer was due, not by a result.
		r.DecidedAt = s.query.Due
	}
	r.details = func() ([]MissingShard, int) {
		for s.pending > 0 {
			s.addMissing(<-results)
		}
		return s.missing, s.attempts
	}
	if r.OK {
		r.Outcome, r.Body = jujubegate.Ran, s.top.Bytes()
		return r
	}
	if r.Reason = reason; reason == "" {
		r.Reason = jujubegate.NoCoverage
	}
	return r
}
