package querier

import (
	"context"
	"math/rand/v2"
	"time"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/admitter"
	"jujubegate.example/jujubegate/balancer"
	"jujubegate.example/jujubegate/leaser"
	"jujubegate.example/jujubegate/merger"
)

// maxAttempts is the maximum number of attempts of a shard at one snapshot: the
// first one, a hedge and two retries.
const maxAttempts = 4

// run is the state of a query. Only the goroutine of the query uses it.
type run struct {
	q       *Querier
	random  *rand.Rand
	service *servicePlan
	route   *routePlan
	request Request
	id      string

	started  time.Time
	deadline time.Time
	// hedgeDelay is fixed per query, so that hedges fall due in the order in which
	// the attempts are sent.
	hedgeDelay time.Duration

	versions versionFilter
	// onNewVersion is set while the query uses the new version of a move. A rerun then
	// uses fallback instead of versions.
	fallback     versionFilter
	onNewVersion bool
	// streamFailed is set while handleEvent fails the attempts of an ended stream that
	// have no result.
	streamFailed bool
	snapshot     jujubegate.Snapshot
	merger       merger.Merger
	chooser      merger.SnapshotChooser
	// currentPlan is the plan of the applied configuration. It restricts new
	// attempts, while service and route stay those of the query's start.
	currentPlan *plan
	candidates  []candidateState
	shards      []shardRun
	// pending is the number of shards that are neither answered nor given up.
	pending int
	options []balancer.Option
	// optionCandidates holds, for each option, the index of its candidate.
	optionCandidates []int

	inbox       *mailbox
	events      []event
	streams     []ownerBatch
	queued      []attemptRef
	ownerGroups []ownerBatch
	// groupIndexes maps an owner to its index in ownerGroups.
	groupIndexes    map[jujubegate.Instance]int
	scheduledHedges []scheduledHedge
	nextHedge       int
	cancels         []attemptRef
	latencySamples  []time.Duration

	// mayHaveRun is set by attempts of which it is unknown whether they ran, didRun
	// by attempts that ran.
	mayHaveRun bool
	didRun     bool
	// congested is set if a refusal showed an overload.
	congested      bool
	admitterResult admitter.Result
	// shardRefusal is the refusal of a shard that was given up.
	shardRefusal *jujubegate.Refusal

	hedges  int
	retries int
	reruns  int
	dropped int
}

// candidateState is the owner and the report of a candidate when it was last
// refreshed.
type candidateState struct {
	usable bool
	owner  leaser.Member
	report jujubegate.TargetReport
}

// shardRun is the state of a shard in a query.
type shardRun struct {
	attempts []attempt
	// priorAttempts is the number of attempts before the rerun.
	priorAttempts int
	// tried has a bit set for each candidate that got an attempt at this snapshot.
	tried       uint64
	outstanding int
	hedges      int
	hedgeFailed bool
	closed      bool
	// needsRerun is set if a target no longer holds the snapshot or its version was
	// stopped.
	needsRerun bool
}

// attempt is a sub-request for a shard. Its number is its index in
// shardRun.attempts plus 1.
type attempt struct {
	candidate int
	stream    int
	sentAt    time.Time
	hedge     bool
	ended     bool
}

// ownerBatch holds sub-requests for the same owner. In run.streams it is the batch
// of one Dispatch.
type ownerBatch struct {
	owner leaser.Member
	subs  []jujubegate.SubRequest
}

// scheduledHedge is the time at which an attempt without a result is hedged.
type scheduledHedge struct {
	shard   int
	attempt int
	at      time.Time
	// postponed counts how often there was no budget for the hedge.
	postponed int
}

// reset prepares a pooled run for a query and keeps its buffers.
func (r *run) reset(q *Querier, service *servicePlan, route *routePlan, request Request, now time.Time) {
	timeout := service.spec.Deadline
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if request.Timeout > 0 {
		timeout = min(timeout, request.Timeout)
	}
	*r = run{
		q: q, random: r.random, service: service, route: route, request: request, id: q.NewID(),
		started: now, deadline: now.Add(timeout), hedgeDelay: route.latency.Delay(),
		merger: r.merger, chooser: r.chooser, candidates: r.candidates, shards: r.shards,
		options: r.options, optionCandidates: r.optionCandidates,
		events: r.events, streams: r.streams[:0], queued: r.queued[:0],
		ownerGroups: r.ownerGroups, groupIndexes: r.groupIndexes,
		scheduledHedges: r.scheduledHedges[:0], cancels: r.cancels[:0], latencySamples: r.latencySamples[:0],
		inbox:          newMailbox(func(n int) { q.Counters.Late.Add(int64(n)) }),
		admitterResult: admitter.Neutral,
	}
	if r.groupIndexes == nil {
		r.groupIndexes = make(map[jujubegate.Instance]int)
	}
	n := len(service.shards)
	if cap(r.shards) < n {
		r.shards = make([]shardRun, n)
	}
	r.shards = r.shards[:n]
	for i := range r.shards {
		r.shards[i] = shardRun{attempts: r.shards[i].attempts[:0]}
	}
	if total := service.offsets[n]; cap(r.candidates) < total {
		r.candidates = make([]candidateState, total)
	} else {
		r.candidates = r.candidates[:total]
	}
	r.pending = n
}

// release drops the references to the data of the query before the run goes back
// to the pool.
func (r *run) release() {
	r.request, r.inbox, r.shardRefusal = Request{}, nil, nil
	r.service, r.route, r.currentPlan = nil, nil, nil
	r.merger.Reset("", 0, 0)
	clear(r.events[:cap(r.events)])
	clear(r.streams)
}

// execute chooses the snapshot, sends the sub-requests and returns the merged
// answer or a refusal.
func (r *run) execute(ctx context.Context) (Answer, *jujubegate.Refusal) {
	if refusal := r.chooseVersionAndSnapshot(); refusal != nil {
		return Answer{QueryID: r.id}, refusal
	}
	streamCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.merger.Reset(r.id, r.snapshot, len(r.shards))
	r.queueFirstAttempts(r.started)
	r.flush(streamCtx, r.started)
	cause := r.loop(ctx, streamCtx)
	r.inbox.close()
	r.cancelOutstanding(r.q.Clock.Now())
	r.countDropped()
	return r.finish(cause)
}

// loop handles events until every shard is closed. It returns a refusal if it stops
// before that.
func (r *run) loop(ctx, streamCtx context.Context) *jujubegate.Refusal {
	var timer <-chan time.Time
	var timerAt time.Time
	for r.pending > 0 {
		if wakeAt := r.nextWake(); timer == nil || wakeAt.Before(timerAt) {
			timerAt = wakeAt
			timer = r.q.Clock.After(wakeAt.Sub(r.q.Clock.Now()))
		}
		select {
		case <-r.inbox.ready:
			now := r.q.Clock.Now()
			r.currentPlan = r.q.currentPlan()
			r.events = r.inbox.take(r.events)
			for i := range r.events {
				r.handleEvent(now, &r.events[i])
			}
			clear(r.events)
			r.observeLatency(now)
		case <-timer:
			timer = nil
			r.currentPlan = r.q.currentPlan()
		case <-ctx.Done():
			return refuse(jujubegate.Cancelled, "caller gave up: %v", context.Cause(ctx))
		}
		now := r.q.Clock.Now()
		r.rerun(now)
		if r.pending == 0 {
			break
		}
		if r.shardRefusal != nil && !r.request.AllowPartial {
			// The answer can't be complete, so further work of the other shards would
			// be wasted.
			return r.shardRefusal
		}
		if !now.Before(r.deadline) {
			return refuse(jujubegate.DeadlinePassed, "%d of %d shards are unanswered after %v",
				r.merger.OpenShards(), len(r.shards), now.Sub(r.started))
		}
		r.sendDueHedges(now)
		r.flush(streamCtx, now)
	}
	return nil
}

// nextWake returns the time of the next hedge, or the deadline if that is earlier
// or no hedge is scheduled.
func (r *run) nextWake() time.Time {
	for ; r.nextHedge < len(r.scheduledHedges); r.nextHedge++ {
		if d := r.scheduledHedges[r.nextHedge]; r.canHedge(d) {
			if d.at.Before(r.deadline) {
				return d.at
			}
			break
		}
	}
	return r.deadline
}

// countDropped adds the merger's counts to those of the run and of the querier.
func (r *run) countDropped() {
	counts := r.merger.Counts()
	r.dropped += counts.Dropped()
	r.q.Counters.add(counts)
}

// observeLatency passes the latency samples to the route's latency.
func (r *run) observeLatency(now time.Time) {
	if len(r.latencySamples) == 0 {
		return
	}
	r.route.latency.Observe(now, r.latencySamples...)
	r.latencySamples = r.latencySamples[:0]
}

// timeLeft returns the time until the deadline.
func (r *run) timeLeft(now time.Time) time.Duration { return r.deadline.Sub(now) }

// minAttemptTime returns the time that an attempt typically needs. With less time
// left another one is useless.
func (r *run) minAttemptTime() time.Duration { return r.route.latency.Typical() }
