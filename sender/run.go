package sender

import (
	"context"
	"errors"
	"time"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/balancer"
	"jujubegate.example/jujubegate/connector"
	"jujubegate.example/jujubegate/hedger"
	"jujubegate.example/jujubegate/screener"
	"jujubegate.example/jujubegate/tracker"
)

// callState is the state of one call in progress.
type callState struct {
	sender  *Sender
	call    Call
	ctx     context.Context
	start   time.Time
	budget  *hedger.Allowance
	latency *hedger.RouteLatency

	results           chan *completion
	cancels           []context.CancelCauseFunc
	attemptedReplicas []*tracker.Replica
	attempts          []Attempt
	// inFlight counts the attempts without a result.
	inFlight int
	// sent counts the attempts that count against Route.Attempts, and unsent
	// those that did not reach their target.
	sent   int
	unsent int
	// candidates are the targets that this call may use.
	candidates candidates
	// mayHaveRun is set once a target may have run the request without a usable
	// answer.
	mayHaveRun bool
	// waiting is the attempt whose retry waits for what becomes of the request elsewhere.
	waiting *completion
	// failure is a 5xx answer of a target, which is used if no other attempt
	// gets a better one.
	failure *completion
}

// completion is the end of one attempt.
type completion struct {
	index   int
	replica *tracker.Replica
	answer  connector.Answer
	err     error
	sentAt  time.Time
	result  AttemptResult
	// ended is set if the process of the target ended.
	ended bool
}

func (r *callState) loop() CallResult {
	defer r.abandonAttempts()
	reason := r.startAttempt(First)
	if reason != "" && r.candidates.canary != "" {
		// The new version takes no request now, for instance because it is cold.
		r.candidates = candidates{first: r.candidates.repeats, repeats: r.candidates.repeats}
		reason = r.startAttempt(First)
	}
	if reason != "" {
		return r.noAnswer(reason)
	}
	hedge := r.sender.settings.NewTimer(r.hedgeDelay())
	defer hedge.Stop()
	var repeat <-chan time.Time
	for {
		if r.waiting != nil && repeat == nil {
			repeat = r.sender.settings.Clock.After(repeatCheckPeriod)
		}
		select {
		case c := <-r.results:
			r.inFlight--
			if result, done := r.handleCompletion(c); done {
				return result
			}
		case <-repeat:
			repeat = nil
			if r.waiting == nil {
				continue
			}
			if result, done := r.retry(r.waiting); done {
				return result
			}
		case <-hedge.C:
			if !r.mayHedge() {
				continue
			}
			if !r.isStraggler() {
				hedge.Reset(repeatCheckPeriod)
				continue
			}
			// If no target or budget is available now, the timer tries again later.
			r.startAttempt(Hedge)
			hedge.Reset(r.hedgeDelay())
		case <-r.ctx.Done():
			return r.onContextDone()
		}
	}
}

// onContextDone returns the result after the end of the context. An answer that
// has already been received is still used.
func (r *callState) onContextDone() CallResult {
	// Attempts end with the context. Their results say which of them were sent.
	for r.inFlight > 0 {
		c := <-r.results
		r.inFlight--
		if result, done := r.handleCompletion(c); done && result.OK {
			return result
		}
	}
	return r.interrupted()
}

// hedgeDelay returns the time after which an attempt without an answer is
// hedged. It leaves hedgeLatencies for the hedge until the answer is due, but no
// hedge is sent before 1.25 typical latencies.
func (r *callState) hedgeDelay() time.Duration {
	delay, typical := r.latency.Delay(), r.latency.Typical()
	if typical <= 0 || r.call.Due.IsZero() {
		return delay
	}
	latest := r.call.Due.Sub(r.start) - hedgeLatencies*typical
	return max(min(delay, latest), typical+typical/4)
}

// silenceLimit returns the time without an answer after which a target counts as
// unresponsive.
func (r *callState) silenceLimit() time.Duration { return max(r.latency.Delay(), minSilence) }

func (r *callState) mayHedge() bool {
	return r.call.Route.Idempotent && r.sent < r.call.Route.Attempts && r.inFlight > 0
}

// isStraggler reports whether the attempts in flight are late by comparison with other
// shards of the query, or so late that they are hedged without any.
func (r *callState) isStraggler() bool {
	waited := r.sender.settings.Clock.Since(r.start) >= unansweredHedgeDelays*r.hedgeDelay()
	return r.call.Run.MayHedge(waited)
}

// startAttempt sends the request to the best remaining target, or returns why it
// cannot.
func (r *callState) startAttempt(kind AttemptKind) jujubegate.Reason {
	now := r.sender.settings.Clock.Now()
	replica, reason := r.chooseAdmitted(now, kind)
	if replica == nil {
		return reason
	}
	if kind != First && r.sent > 0 && !r.budget.Take(reserveFor(kind)) {
		return jujubegate.Overloaded
	}
	r.attemptedReplicas = append(r.attemptedReplicas, replica)
	r.attempts = append(r.attempts, Attempt{Target: replica.Entry().ID, Kind: kind, At: now.Sub(r.start)})
	r.inFlight++
	r.sent++
	ctx, cancel := context.WithCancelCause(r.ctx)
	r.cancels = append(r.cancels, cancel)
	replica.Begin(now)
	r.call.Run.BeginAttempt(replica.Entry().ID)
	go r.sendAttempt(ctx, len(r.attempts)-1, kind, replica, now)
	return ""
}

func reserveFor(kind AttemptKind) float64 {
	if kind == Hedge {
		return retryReserve
	}
	return 0
}

// chooseAdmitted returns the target for the next attempt after the target has
// admitted the request, or why there is none.
func (r *callState) chooseAdmitted(now time.Time, kind AttemptKind) (*tracker.Replica, jujubegate.Reason) {
	for {
		replica, reason := r.choose(now, kind)
		// Admit fails if another request has used up the rate limit of a cold
		// target since choose checked it.
		if replica == nil || replica.Admit(now) {
			return replica, reason
		}
	}
}

// choose returns the target for the next attempt, or why there is none. It skips targets
// that are at the limit of their start or at the one that they name. Targets that are
// unresponsive or have no free connection are a last resort, and a hedge is never sent
// to them.
func (r *callState) choose(now time.Time, kind AttemptKind) (*tracker.Replica, jujubegate.Reason) {
	replicas := r.candidates.first
	if kind != First {
		replicas = r.candidates.repeats
	}
	options := make([]balancer.Option, 0, stackOptions)
	var skip, lastResort, exhausted uint64
	silenceLimit := r.silenceLimit()
	distance := time.Duration(distanceWeight * float64(r.latency.Typical()))
	for i, replica := range replicas {
		if i >= balancer.MaxOptions {
			break
		}
		option := replica.Option()
		if replica.Entry().DataCentre != r.sender.settings.DataCentre {
			option.Distance = distance
		}
		options = append(options, option)
		switch {
		case r.wasAttempted(replica) || !replica.Usable(now):
			skip |= 1 << i
		case !replica.Admissible(now) || kind == Hedge && !replica.MayHedge(now):
			exhausted |= 1 << i
		case replica.SilentFor(now) > silenceLimit || !replica.Pool.HasCapacity():
			lastResort |= 1 << i
		}
	}
	all := uint64(1)<<len(options) - 1
	if skip == all {
		return nil, jujubegate.NoCoverage
	}
	if skip |= exhausted; skip == all {
		return nil, jujubegate.Overloaded
	}
	if skip|lastResort != all {
		skip |= lastResort
	} else if kind == Hedge {
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

func (r *callState) wasAttempted(replica *tracker.Replica) bool {
	for _, attempted := range r.attemptedReplicas {
		if attempted == replica {
			return true
		}
	}
	return false
}

// sendAttempt sends the request to one target and delivers the result to the
// loop.
func (r *callState) sendAttempt(ctx context.Context, index int, kind AttemptKind, replica *tracker.Replica, sentAt time.Time) {
	permitted := false
	answer, err := replica.Pool.SendWith(ctx, r.call.Request, connector.Hooks{
		Permit: func() bool {
			permitted = !r.isRejected(replica.Entry().Version) && replica.Permit(r.sender.settings.Clock.Now(), kind != First)
			return permitted
		},
		Late: func(answer connector.Answer, err error) {
			result := classify(&answer, err)
			r.notice(replica, &answer, result)
			r.observe(replica, result, answer.Status, sentAt)
			r.screen(context.WithoutCancel(ctx), replica, result, answer.Status, err, sentAt)
		},
	})
	now := r.sender.settings.Clock.Now()
	took := now.Sub(sentAt)
	result := classify(&answer, err)
	if permitted {
		replica.EndPermitted(now, result == Answered)
	}
	replica.SetLoad(answer.Load)
	if result == Answered || answer.Limit.Named && result != Misdirected {
		r.sender.settings.Tracker.ObserveLimit(replica, answer.Limit, sentAt)
	}
	replica.Done(now, balancerResult(result, &answer, err), took)
	r.notice(replica, &answer, result)
	if result == Misdirected {
		r.sender.settings.Tracker.MarkMisdirected(replica)
	}
	if result == Answered || result == Overtaken {
		r.latency.Observe(now, took)
	}
	if result != Overtaken {
		// What an overtaken attempt says about its target is known only when its answer
		// arrives.
		r.observe(replica, result, answer.Status, sentAt)
	}
	ended := result != Overtaken && r.screen(ctx, replica, result, answer.Status, err, sentAt)
	r.results <- &completion{index: index, replica: replica, answer: answer, err: err, sentAt: sentAt, result: result, ended: ended}
}

// handleCompletion records the result of an attempt and starts a retry if the
// call needs one. It returns the result of the call and true once that is known.
func (r *callState) handleCompletion(c *completion) (CallResult, bool) {
	attempt := &r.attempts[c.index]
	attempt.Took, attempt.Result, attempt.Status, attempt.Err = r.sender.settings.Clock.Since(c.sentAt), c.result, c.answer.Status, c.err
	attempt.TargetEnded = c.ended
	switch c.result {
	case Answered:
		if !r.call.Route.Idempotent && promisesNotRun(c.answer.Status) {
			r.mayHaveRun = true
			return r.noAnswer(jujubegate.TargetError), true
		}
		if c.answer.Status < 500 || !r.call.Route.Idempotent {
			return r.answered(c), true
		}
		r.failure = c
	case NotSent:
		r.sent--
		r.unsent++
	case Broken, Cancelled, Overtaken:
		r.mayHaveRun = true
	}
	if r.ctx.Err() != nil {
		return r.interrupted(), true
	}
	return r.retry(c)
}

// retry sends the request again after the completion of an attempt, or waits with it.
// If it must not be sent again and no attempt is left, it returns the result of the call
// and true.
func (r *callState) retry(c *completion) (CallResult, bool) {
	r.waiting = nil
	reason := reasonOf(c)
	if r.mayRetry() {
		switch r.call.Run.Repeat() {
		case screener.Allowed:
			if r.startAttempt(Retry) == "" {
				return CallResult{}, false
			}
		case screener.Wait:
			r.waiting = c
			return CallResult{}, false
		case screener.Never:
			reason = jujubegate.CrashesTargets
		}
	}
	if r.inFlight > 0 {
		return CallResult{}, false
	}
	if r.failure != nil {
		return r.answered(r.failure), true
	}
	return r.noAnswer(reason), true
}

// mayRetry reports whether the request may be sent again. A non-idempotent
// request may only be sent again if no target can have run it.
func (r *callState) mayRetry() bool {
	if r.sent >= r.call.Route.Attempts || r.unsent >= maxUnsentAttempts {
		return false
	}
	return r.call.Route.Idempotent || !r.mayHaveRun && r.inFlight == 0
}

func reasonOf(c *completion) jujubegate.Reason {
	switch c.result {
	case NotSent:
		if errors.Is(c.err, connector.ErrWithheld) {
			return jujubegate.Overloaded
		}
		return jujubegate.TargetDown
	case Refused:
		return jujubegate.Shed
	case Misdirected:
		return jujubegate.NotOwner
	}
	return jujubegate.BadAnswer
}

func (r *callState) answered(c *completion) CallResult {
	return CallResult{
		Answer: c.answer, OK: true, Target: c.replica.Entry().ID,
		Outcome: jujubegate.Ran, Attempts: r.attempts,
	}
}

func (r *callState) noAnswer(reason jujubegate.Reason) CallResult {
	result := CallResult{Outcome: jujubegate.NotRun, Reason: reason, Attempts: r.attempts}
	if r.mayHaveRun || r.inFlight > 0 || r.failure != nil {
		result.Outcome = jujubegate.Unknown
		return result
	}
	if reason == jujubegate.Overloaded && r.call.Route.Gather == nil {
		result.RetryAfter = r.sender.ReturnAfter(r.call.Service, r.sender.Wait(r.call.Route, r.call.Service))
	}
	return result
}

// interrupted returns the result of a call whose context has ended. A 5xx
// answer of a target is preferred to no answer.
func (r *callState) interrupted() CallResult {
	if r.failure != nil {
		return r.answered(r.failure)
	}
	switch cause := context.Cause(r.ctx); {
	case errors.Is(cause, context.DeadlineExceeded):
		return r.noAnswer(jujubegate.DeadlinePassed)
	case errors.Is(cause, connector.ErrAbandoned):
		return r.noAnswer(Late)
	}
	return r.noAnswer(jujubegate.Cancelled)
}

// abandonAttempts stops waiting for the remaining attempts once the call has its
// result. Their targets go on with them unless the call itself was cancelled
// or timed out.
func (r *callState) abandonAttempts() {
	for _, cancel := range r.cancels {
		cancel(connector.ErrAbandoned)
	}
}
