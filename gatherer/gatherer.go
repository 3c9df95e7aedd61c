// Package gatherer asks all shards of a query and merges their records.
package gatherer

import (
	"context"
	"math"
	"time"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/connector"
	"jujubegate.example/jujubegate/router"
	"jujubegate.example/jujubegate/sender"
)

const (
	// ReplyReserve is the time that an answer needs from here to its caller and
	// that the request needed to come here: four ways of 3 ms with the opening of
	// a connection, and the processor of a small instance that others share.
	ReplyReserve = 26 * time.Millisecond
	// maxReserve bounds the reserve as a share of the objective.
	maxReserve = 0.5
	// maxWait is the wait for a slot, as a share of the objective, from which on
	// a shard counts as overloaded: its part would be late.
	maxWait = 0.6
	// lateWait is the time after the objective, as a share of it, for which a
	// query that has reached its floor waits for the missing shards.
	lateWait = 0.5
)

// Settings are the dependencies of a Gatherer.
type Settings struct {
	Clock jujubegate.Clock
	// Send asks one shard.
	Send func(ctx context.Context, c sender.Call) sender.Outcome
	// Wait returns how long a request to a shard would wait.
	Wait func(route *router.Route, shard jujubegate.Service) sender.Wait
}

// Gatherer answers queries over many shards. It is safe for concurrent use.
type Gatherer struct{ settings Settings }

// New returns a gatherer.
func New(settings Settings) *Gatherer { return &Gatherer{settings} }

// Query is one query over many shards.
type Query struct {
	Request *connector.Request
	Route   *router.Route
	Arrival time.Time
}

// Missing is a shard that is not in an answer.
type Missing struct {
	Shard   jujubegate.Service
	Outcome sender.Outcome
}

// Result is the end of a query.
type Result struct {
	// OK says that enough shards are in.
	OK bool
	// Signatures are those of the parts in Body.
	Signatures []string
	Body       []byte
	Missing    []Missing
	// Attempts is the number of tries of all shards that have ended.
	Attempts int
	// Ran says whether any target may have run the query.
	Ran    jujubegate.Outcome
	Reason jujubegate.Reason
	// RetryAfter is when another try is useful; 0 if that is not known.
	RetryAfter time.Duration
}

type part struct {
	index   int
	outcome sender.Outcome
}

// gathering is one query in progress.
type gathering struct {
	query      Query
	top        *Top
	signatures map[string]struct{}
	result     Result
	pending    int
	least      int
}

// Gather asks all shards, and answers once all are in, or with those that are
// in when waiting longer would be worth less than what is missing.
func (g *Gatherer) Gather(ctx context.Context, q Query) Result {
	shards := q.Route.Gather.Shards
	if wait := g.overload(q.Route); wait > 0 {
		return Result{Ran: jujubegate.NotRun, Reason: jujubegate.Overloaded, RetryAfter: wait}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(connector.ErrAbandoned)
	parts := make(chan *part, len(shards))
	for i, shard := range shards {
		go func() {
			parts <- &part{i, g.settings.Send(ctx, sender.Call{Request: q.Request, Route: q.Route, Service: shard})}
		}()
	}
	w := &gathering{
		query: q, top: NewTop(q.Route.Gather.Top), signatures: make(map[string]struct{}, len(shards)),
		pending: len(shards),
		least:   leastOf(q.Route.Gather),
		result:  Result{Ran: jujubegate.NotRun},
	}
	reason := g.collect(ctx, w, parts)
	cancel(connector.ErrAbandoned)
	// The shards that are left end at once, and tell what they had tried.
	for w.pending > 0 {
		w.take(<-parts)
	}
	return w.finish(reason)
}

// collect takes in parts until the query can be answered or has failed, and
// returns why it failed.
func (g *Gatherer) collect(ctx context.Context, w *gathering, parts <-chan *part) jujubegate.Reason {
	objective := w.query.Route.Objective
	soft, late := g.settings.Clock.After(g.untilObjective(w.query)), (<-chan time.Time)(nil)
	overdue := false
	for w.pending > 0 {
		select {
		case p := <-parts:
			w.take(p)
			if w.hopeless() {
				return jujubegate.NoCoverage
			}
		case <-soft:
			soft = nil
			if w.enough() {
				return ""
			}
			late = g.settings.Clock.After(time.Duration(lateWait * float64(objective)))
		case <-late:
			late, overdue = nil, true
		case <-ctx.Done():
			return jujubegate.DeadlinePassed
		}
		if overdue && w.enough() {
			return ""
		}
	}
	return ""
}

// overload returns how long a query had better wait because so many shards are
// overloaded or have only cold targets without a turn that the others miss the
// floor; 0 if it can start. Work on it would only delay the queries that the
// targets already have, and use up the turns of the next one.
func (g *Gatherer) overload(route *router.Route) time.Duration {
	limit := time.Duration(maxWait * float64(route.Objective))
	allowed := len(route.Gather.Shards) - leastOf(route.Gather)
	var longest time.Duration
	for _, shard := range route.Gather.Shards {
		wait := g.settings.Wait(route, shard)
		if wait.Queue <= limit && wait.Admission <= 0 {
			continue
		}
		longest = max(longest, wait.Total())
		if allowed--; allowed < 0 {
			return longest
		}
	}
	return 0
}

// leastOf is the number of shards that an answer needs.
func leastOf(g *router.Gather) int {
	return max(int(math.Ceil(g.Floor*float64(len(g.Shards))-1e-9)), 1)
}

// untilObjective is the time left to answer within the objective.
func (g *Gatherer) untilObjective(q Query) time.Duration {
	reserve := min(ReplyReserve, time.Duration(maxReserve*float64(q.Route.Objective)))
	left := q.Route.Objective - reserve - g.settings.Clock.Since(q.Arrival)
	return max(left, 0)
}

func (w *gathering) take(p *part) {
	signature := p.outcome.Answer.Signature
	_, twice := w.signatures[signature]
	if !p.outcome.Success() || twice {
		w.leave(p)
		return
	}
	w.count(p)
	w.signatures[signature] = struct{}{}
	w.result.Signatures = append(w.result.Signatures, signature)
	w.top.Add(p.outcome.Answer.Body)
}

// leave takes in a shard that is left out.
func (w *gathering) leave(p *part) {
	w.count(p)
	w.result.Missing = append(w.result.Missing, Missing{w.query.Route.Gather.Shards[p.index], p.outcome})
}

func (w *gathering) count(p *part) {
	w.pending--
	w.result.Attempts += len(p.outcome.Attempts)
	if p.outcome.Ran != jujubegate.NotRun {
		w.result.Ran = jujubegate.Unknown
	}
}

func (w *gathering) enough() bool { return len(w.result.Signatures) >= w.least }

// hopeless reports whether the floor cannot be reached any more.
func (w *gathering) hopeless() bool { return len(w.result.Signatures)+w.pending < w.least }

// finish returns the answer with the shards that are in.
func (w *gathering) finish(reason jujubegate.Reason) Result {
	w.result.OK = w.enough()
	if w.result.OK {
		w.result.Ran, w.result.Body = jujubegate.Ran, w.top.Bytes()
		return w.result
	}
	if w.result.Reason = reason; reason == "" {
		w.result.Reason = jujubegate.NoCoverage
	}
	return w.result
}
