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

// maxAttempts bounds the tries of one shard at one snapshot: the first, a
// hedge, and two retries.
const maxAttempts = 4

// run is the state of one query. One goroutine owns it.
type run struct {
	q       *Querier
	random  *rand.Rand
	service *servicePlan
	route   *routePlan
	request Request
	id      string

	started  time.Time
	deadline time.Time
	// hedgeDelay is fixed per query, so that hedges fall due in send order.
	hedgeDelay time.Duration

	versions versions
	// fallback serves if the query uses the new version of a move, which
	// moving says, and that version is stopped meanwhile.
	fallback versions
	moving   bool
	// lostOwner is set while the loss of a stream is handled.
	lostOwner bool
	snapshot  jujubegate.Snapshot
	merger    merger.Merger
	chooser   merger.SnapshotChooser
	// current is the plan in force, which a query follows for new attempts.
	current *plan
	known   []knownCandidate
	shards  []shardRun
	// pending is the number of shards that are neither answered nor given up.
	pending int
	options []balancer.Option
	// optionOf maps an option to its candidate.
	optionOf []int

	inbox   *mailbox
	events  []event
	streams []stream
	sends   []send
	groups  []stream
	groupOf map[jujubegate.Instance]int
	dues    []due
	nextDue int
	cancels []send
	samples []time.Duration

	// mayHaveRun is set by attempts whose end leaves open whether they ran,
	// didRun by those that ran.
	mayHaveRun bool
	didRun     bool
	congested  bool
	load       admitter.Result
	lastCause  *jujubegate.Refusal

	hedges  int
	retries int
	reruns  int
	dropped int
}

// knownCandidate is what is known of a candidate at one time.
type knownCandidate struct {
	usable bool
	owner  leaser.Member
	report jujubegate.TargetReport
}

// shardRun is the state of one shard.
type shardRun struct {
	attempts []attempt
	// base is the number of attempts at earlier snapshots.
	base int
	// tried has a bit per candidate that was sent to at this snapshot.
	tried       uint64
	outstanding int
	hedges      int
	hedgeFailed bool
	closed      bool
	// lost is set if a target no longer holds the snapshot.
	lost bool
}

// attempt is one sub-request; its number is its index plus 1.
type attempt struct {
	candidate int
	stream    int
	sentAt    time.Time
	hedge     bool
	ended     bool
}

// stream is one Dispatch.
type stream struct {
	owner leaser.Member
	subs  []jujubegate.SubRequest
}

// due is the time at which an attempt is hedged.
type due struct {
	shard   int
	attempt int
	at      time.Time
	// postponed counts how often there was no budget for the hedge.
	postponed int
}

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
		merger: r.merger, chooser: r.chooser, known: r.known, shards: r.shards,
		options: r.options, optionOf: r.optionOf, events: r.events, streams: r.streams[:0], sends: r.sends[:0],
		groups: r.groups, groupOf: r.groupOf, dues: r.dues[:0], cancels: r.cancels[:0], samples: r.samples[:0],
		inbox: newMailbox(func(n int) { q.Counters.Late.Add(int64(n)) }),
		load:  admitter.Neutral,
	}
	if r.groupOf == nil {
		r.groupOf = make(map[jujubegate.Instance]int)
	}
	n := len(service.shards)
	if cap(r.shards) < n {
		r.shards = make([]shardRun, n)
	}
	r.shards = r.shards[:n]
	for i := range r.shards {
		r.shards[i] = shardRun{attempts: r.shards[i].attempts[:0]}
	}
	if total := service.offsets[n]; cap(r.known) < total {
		r.known = make([]knownCandidate, total)
	} else {
		r.known = r.known[:total]
	}
	r.pending = n
}

// release drops references to the caller's data before the run is pooled.
func (r *run) release() {
	r.request, r.inbox, r.lastCause = Request{}, nil, nil
	r.service, r.route, r.current = nil, nil, nil
	r.merger.Reset("", 0, 0)
	clear(r.events[:cap(r.events)])
	clear(r.streams)
}

// execute runs the query.
func (r *run) execute(ctx context.Context) (Answer, *jujubegate.Refusal) {
	if refusal := r.choose(); refusal != nil {
		return Answer{QueryID: r.id}, refusal
	}
	streams, cancel := context.WithCancel(ctx)
	defer cancel()
	r.merger.Reset(r.id, r.snapshot, len(r.shards))
	r.sendFirst(r.started)
	r.flush(streams, r.started)
	cause := r.loop(ctx, streams)
	r.inbox.close()
	r.endOutstanding(r.q.Clock.Now())
	r.countDropped()
	return r.finish(cause)
}

// loop handles events until every shard has ended, or returns why it stopped.
func (r *run) loop(ctx, streams context.Context) *jujubegate.Refusal {
	var timer <-chan time.Time
	var timerAt time.Time
	for r.pending > 0 {
		if wake := r.wake(); timer == nil || wake.Before(timerAt) {
			timerAt = wake
			timer = r.q.Clock.After(wake.Sub(r.q.Clock.Now()))
		}
		select {
		case <-r.inbox.ready:
			now := r.q.Clock.Now()
			r.current = r.q.currentPlan()
			r.events = r.inbox.take(r.events)
			for i := range r.events {
				r.handle(now, &r.events[i])
			}
			clear(r.events)
			r.observe(now)
		case <-timer:
			timer = nil
			r.current = r.q.currentPlan()
		case <-ctx.Done():
			return refuse(jujubegate.Cancelled, "caller gave up: %v", context.Cause(ctx))
		}
		now := r.q.Clock.Now()
		r.rerun(now)
		if r.pending == 0 {
			break
		}
		if r.lastCause != nil && !r.request.AllowPartial {
			// The answer can't be complete: the other shards' work is wasted.
			return r.lastCause
		}
		if !now.Before(r.deadline) {
			return refuse(jujubegate.DeadlinePassed, "%d of %d shards are unanswered after %v",
				r.merger.OpenShards(), len(r.shards), now.Sub(r.started))
		}
		r.hedgeDue(now)
		r.flush(streams, now)
	}
	return nil
}

// wake returns the time of the next hedge, or else the deadline.
func (r *run) wake() time.Time {
	for ; r.nextDue < len(r.dues); r.nextDue++ {
		if d := r.dues[r.nextDue]; r.hedgeable(d) {
			if d.at.Before(r.deadline) {
				return d.at
			}
			break
		}
	}
	return r.deadline
}

func (r *run) countDropped() {
	counts := r.merger.Counts()
	r.dropped += counts.Dropped()
	r.q.Counters.add(counts)
}

func (r *run) observe(now time.Time) {
	if len(r.samples) == 0 {
		return
	}
	r.route.latency.Observe(now, r.samples...)
	r.samples = r.samples[:0]
}

// left returns the time to the deadline.
func (r *run) left(now time.Time) time.Duration { return r.deadline.Sub(now) }

// least returns the time below which another attempt is useless.
func (r *run) least() time.Duration { return r.route.latency.Typical() }
