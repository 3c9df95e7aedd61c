package sender

import (
	"context"
	"errors"
	"time"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/balancer"
	"jujubegate.example/jujubegate/connector"
	"jujubegate.example/jujubegate/hedger"
	"jujubegate.example/jujubegate/tracker"
)

// run is one call in progress.
type run struct {
	sender  *Sender
	call    Call
	ctx     context.Context
	start   time.Time
	budget  *hedger.Allowance
	latency *hedger.RouteLatency

	results chan *ended
	cancels []context.CancelCauseFunc
	tried   []*tracker.Replica
	tries   []Attempt
	inHand  int
	sent    int
	unsent  int
	// candidates are the targets of the versions that this call may use.
	candidates []*tracker.Replica
	// mayHaveRun is set once a try may have run without a usable answer.
	mayHaveRun bool
	// failure is a target's own failure, kept in case nothing better comes.
	failure *ended
}

// ended is the end of one try.
type ended struct {
	index   int
	replica *tracker.Replica
	answer  connector.Answer
	err     error
	sentAt  time.Time
	end     AttemptResult
}

func (r *run) loop() Outcome {
	defer r.abandon()
	if reason := r.next(First); reason != "" {
		return r.without(reason)
	}
	hedge := r.sender.settings.NewTimer(r.hedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case e := <-r.results:
			r.inHand--
			if outcome, done := r.settle(e); done {
				return outcome
			}
		case <-hedge.C:
			if !r.mayHedge() {
				continue
			}
			// Without a better target or a budget just now, another look follows.
			r.next(Hedge)
			hedge.Reset(r.hedgeDelay())
		case <-r.ctx.Done():
			return r.last()
		}
	}
}

// last is the outcome when the context has ended: an answer that is in is used.
func (r *run) last() Outcome {
	for {
		select {
		case e := <-r.results:
			r.inHand--
			if outcome, done := r.settle(e); done && outcome.OK {
				return outcome
			}
		default:
			return r.interrupted()
		}
	}
}

// hedgeDelay is the time after which a try without an answer is late, in time
// for another one to end within the objective.
func (r *run) hedgeDelay() time.Duration {
	delay, typical := r.latency.Delay(), r.latency.Typical()
	if typical <= 0 || r.call.Route.Objective <= 0 {
		return delay
	}
	latest := r.call.Route.Objective - 3*typical
	return max(min(delay, latest), typical+typical/4)
}

// silence is the time without an answer after which a target counts as paused.
func (r *run) silence() time.Duration { return max(r.latency.Delay(), minSilence) }

func (r *run) mayHedge() bool {
	return r.call.Route.Idempotent && r.sent < r.call.Route.Attempts && r.inHand > 0
}

// next starts a try at the best target left, or returns why there is none.
func (r *run) next(why AttemptKind) jujubegate.Reason {
	now := r.sender.settings.Clock.Now()
	replica, reason := r.admitted(now, why)
	if replica == nil {
		return reason
	}
	if why != First && r.sent > 0 && !r.budget.Take(reserveFor(why)) {
		return jujubegate.Overloaded
	}
	r.tried = append(r.tried, replica)
	r.tries = append(r.tries, Attempt{Target: replica.Entry().ID, Kind: why, At: now.Sub(r.start)})
	r.inHand++
	r.sent++
	ctx, cancel := context.WithCancelCause(r.ctx)
	r.cancels = append(r.cancels, cancel)
	replica.Begin(now)
	go r.try(ctx, len(r.tries)-1, replica, now)
	return ""
}

func reserveFor(why AttemptKind) float64 {
	if why == Hedge {
		return retryReserve
	}
	return 0
}

// admitted returns the target to try next, which has admitted the request, or
// why there is none.
func (r *run) admitted(now time.Time, why AttemptKind) (*tracker.Replica, jujubegate.Reason) {
	for {
		replica, reason := r.choose(now, why)
		// Another request can have taken the turn at a cold target meanwhile.
		if replica == nil || replica.Admit(now) {
			return replica, reason
		}
	}
}

// choose returns the target to try next, or why there is none. Cold targets
// without a turn are passed over. A hedge goes to a target that answers; the
// others take a paused one if all are.
func (r *run) choose(now time.Time, why AttemptKind) (*tracker.Replica, jujubegate.Reason) {
	replicas := r.candidates
	options := make([]balancer.Option, 0, usualReplicas)
	var skip, paused, cold uint64
	silence := r.silence()
	distant := time.Duration(distanceWeight * float64(r.latency.Typical()))
	for i, replica := range replicas {
		if i >= balancer.MaxOptions {
			break
		}
		option := replica.Option()
		if replica.Entry().DataCentre != r.sender.settings.DataCentre {
			option.Distance = distant
		}
		options = append(options, option)
		switch {
		case r.wasTried(replica):
			skip |= 1 << i
		case !replica.Admissible(now):
			cold |= 1 << i
		case replica.SilentFor(now) > silence || !replica.Pool.HasCapacity():
			paused |= 1 << i
		}
	}
	all := uint64(1)<<len(options) - 1
	if skip == all {
		return nil, jujubegate.NoCoverage
	}
	if skip |= cold; skip == all {
		return nil, jujubegate.Overloaded
	}
	if skip|paused != all {
		skip |= paused
	} else if why == Hedge {
		return nil, jujubegate.Overloaded
	}
	r.sender.mu.Lock()
	i := balancer.Choose(now, options, skip, r.sender.random)
	r.sender.mu.Unlock()
	if i < 0 {
		return nil, jujubegate.NoCoverage
	}
	return replicas[i], ""
}

func (r *run) wasTried(replica *tracker.Replica) bool {
	for _, t := range r.tried {
		if t == replica {
			return true
		}
	}
	return false
}

// try sends the request to one target.
func (r *run) try(ctx context.Context, index int, replica *tracker.Replica, sentAt time.Time) {
	answer, err := replica.Pool.Send(ctx, r.call.Request)
	now := r.sender.settings.Clock.Now()
	took := now.Sub(sentAt)
	end := classify(&answer, err)
	replica.SetLoad(answer.Load)
	replica.Done(now, verdict(end, &answer, err), took)
	if end == Misdirected {
		r.sender.settings.Tracker.MarkMisdirected(replica)
	}
	if end == Answered || end == Overtaken {
		r.latency.Observe(now, took)
	}
	if observe := r.sender.settings.Observe; observe != nil && (end == Answered || end == Broken) {
		observe(r.call, replica.Entry().Version, end == Broken || answer.Status >= 500, took)
	}
	r.results <- &ended{index: index, replica: replica, answer: answer, err: err, sentAt: sentAt, end: end}
}

// settle takes in the end of a try, and returns the outcome if that decides it.
func (r *run) settle(e *ended) (Outcome, bool) {
	t := &r.tries[e.index]
	t.Took, t.Result, t.Status, t.Err = r.sender.settings.Clock.Since(e.sentAt), e.end, e.answer.Status, e.err
	switch e.end {
	case Answered:
		if e.answer.Status < 500 || !r.call.Route.Idempotent {
			return r.answered(e), true
		}
		r.failure = e
	case NotSent:
		r.sent--
		r.unsent++
	case Broken, Cancelled, Overtaken:
		r.mayHaveRun = true
	}
	if r.ctx.Err() != nil {
		return r.interrupted(), true
	}
	if r.mayRetry() && r.next(Retry) == "" {
		return Outcome{}, false
	}
	if r.inHand > 0 {
		return Outcome{}, false
	}
	if r.failure != nil {
		return r.answered(r.failure), true
	}
	return r.without(reasonOf(e)), true
}

// mayRetry reports whether the request may be sent once more: a request that
// must not run twice only if no target can have run it.
func (r *run) mayRetry() bool {
	if r.sent >= r.call.Route.Attempts || r.unsent >= unsentTries {
		return false
	}
	return r.call.Route.Idempotent || !r.mayHaveRun && r.inHand == 0
}

func reasonOf(e *ended) jujubegate.Reason {
	switch e.end {
	case NotSent:
		return jujubegate.TargetDown
	case Refused:
		return jujubegate.Shed
	case Misdirected:
		return jujubegate.NotOwner
	}
	return jujubegate.BadAnswer
}

func (r *run) answered(e *ended) Outcome {
	return Outcome{
		Answer: e.answer, OK: true, Target: e.replica.Entry().ID,
		Ran: jujubegate.Ran, Attempts: r.tries,
	}
}

func (r *run) without(reason jujubegate.Reason) Outcome {
	ran := jujubegate.NotRun
	if r.mayHaveRun || r.inHand > 0 || r.failure != nil {
		ran = jujubegate.Unknown
	}
	return Outcome{Ran: ran, Reason: reason, Attempts: r.tries}
}

// interrupted is the outcome of a call whose context has ended. A failure that
// a target reported is better than none.
func (r *run) interrupted() Outcome {
	if r.failure != nil {
		return r.answered(r.failure)
	}
	switch cause := context.Cause(r.ctx); {
	case errors.Is(cause, context.DeadlineExceeded):
		return r.without(jujubegate.DeadlinePassed)
	case errors.Is(cause, connector.ErrAbandoned):
		return r.without(Late)
	}
	return r.without(jujubegate.Cancelled)
}

// abandon ends the tries that are left when the call has its outcome. They go
// on at their targets unless the request itself has ended.
func (r *run) abandon() {
	for _, cancel := range r.cancels {
		cancel(connector.ErrAbandoned)
	}
}
