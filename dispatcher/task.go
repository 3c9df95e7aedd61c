package dispatcher

import (
	"context"
	"strconv"
	"time"

	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/dialer"
	"jujubegate.example/jujubegate/limiter"
	"jujubegate.example/jujubegate/scheduler"
)

type taskState uint8

const (
	taskNew taskState = iota
	taskQueued
	taskRunning
	taskDone
)

// task is one sub-request of a batch. The lock of its target guards it; target
// is nil if this instance doesn't own it.
type task struct {
	run           *batchRun
	sub           jujubegate.SubRequest
	target        *ownedTarget
	state         taskState
	queueTicket   scheduler.Ticket
	limiterTicket limiter.Ticket
	// runningAtStart is the number of requests at the target when this one started.
	runningAtStart int
	// ctx is the context of the running request; cancel ends it with a cause.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// reportedUnknown is set when the outcome of a running order was delivered
	// as unknown.
	reportedUnknown bool
}

// refuse ends a task that has not run with a refusal.
func (t *task) refuse(r *jujubegate.Refusal) {
	if t.state == taskDone {
		return
	}
	t.state = taskDone
	t.run.addResult(jujubegate.SubResult{
		Shard: t.sub.Shard, Attempt: t.sub.Attempt, Target: t.sub.Target, Refusal: r,
	})
}

// place starts, queues or refuses a new task, and logs the decision.
func (o *ownedTarget) place(t *task, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.logPlacement(t, o.decide(t, now), now)
}

// logPlacement logs a placement decision at debug level.
func (o *ownedTarget) logPlacement(t *task, decision string, now time.Time) {
	if log := o.dispatcher.settings.Log; log.Core().Enabled(zap.DebugLevel) {
		log.Debug("dispatcher: placement decision", zap.String("Query", t.run.batch.QueryID), zap.Int("Shard", t.sub.Shard),
			zap.String("Target", string(t.sub.Target)), zap.String("Decision", decision),
			zap.Int("InFlight", o.limiter.InFlight(now)), zap.Int("Limit", o.limiter.Limit(now)))
	}
}

// decide starts, queues or refuses a new task and returns the decision for the
// log.
func (o *ownedTarget) decide(t *task, now time.Time) string {
	refuse := func(r *jujubegate.Refusal) string {
		t.refuse(r)
		return string(r.Reason)
	}
	if t.state != taskNew {
		return "Withdrawn"
	}
	if o.retired {
		return refuse(newRefusal(jujubegate.NotOwner, "this instance gave up the target"))
	}
	if r := o.dispatcher.permit(o.target, now); r != nil {
		return refuse(r)
	}
	if o.limiter.Limit(now) == 0 {
		return refuse(o.unavailableRefusal(now))
	}
	o.startQueued(now)
	b := &t.run.batch
	load := o.load(now)
	if o.queue.Len() == 0 && load.InFlight < load.Limit && !now.Add(load.ServiceTime).After(b.Deadline) {
		o.start(t, now)
		return "Sent"
	}
	e := scheduler.Entry[*task]{Caller: b.Caller, Priority: b.Priority, Deadline: b.Deadline, Payload: t}
	ticket, verdict := o.queue.Push(now, e, load)
	if r := verdict.Refusal(); r != nil {
		return refuse(r)
	}
	t.state, t.queueTicket = taskQueued, ticket
	o.dispatcher.settings.Count(CountQueued, 1)
	return "Queued"
}

// start sends a task in a new goroutine.
func (o *ownedTarget) start(t *task, now time.Time) {
	ticket, ok := o.limiter.Acquire(now)
	if !ok {
		t.refuse(newRefusal(jujubegate.Overloaded, "no slot is free"))
		return
	}
	t.ctx, t.cancel = context.WithCancelCause(context.Background())
	t.state, t.limiterTicket, t.runningAtStart = taskRunning, ticket, o.limiter.InFlight(now)
	go t.send(t.ctx)
}

// send makes the attempt of a task, passes its result to the limiter and
// delivers it.
func (t *task) send(ctx context.Context) {
	o, d := t.target, t.target.dispatcher
	d.settings.Count(CountSent, 1)
	b := &t.run.batch
	permit := func() *jujubegate.Refusal { return d.permit(o.currentTarget(), d.settings.Clock.Now()) }
	var result dialer.Result
	if r := permit(); r != nil {
		result.Refusal = r
	} else {
		result = o.link.Send(ctx, dialer.Request{
			RequestID: t.requestID(), Service: b.Service, Shard: t.sub.Shard, Snapshot: b.Snapshot, Route: b.Route,
			Deadline: b.Deadline, Body: b.Body, Order: b.Order, Permit: permit,
		})
	}
	t.cancel(nil)
	now := d.settings.Clock.Now()
	o.mu.Lock()
	t.state = taskDone
	o.reportResult(t, result, now)
	o.startQueued(now)
	reportedUnknown, target := t.reportedUnknown, o.target
	o.mu.Unlock()
	if failed, counts := healthSignal(result); counts {
		d.settings.Finished(target, b.Route, t.runningAtStart, failed, result.ServiceTime)
	}
	if reportedUnknown {
		return
	}
	t.run.addResult(jujubegate.SubResult{
		Shard: t.sub.Shard, Attempt: t.sub.Attempt, Target: t.sub.Target, Refusal: reportedRefusal(result.Refusal, b, now),
		Snapshot: result.Answer.Snapshot, Range: result.Answer.Range, Rows: result.Answer.Rows,
		ServiceTime: result.ServiceTime,
	})
}

// reportedRefusal returns the refusal for the caller. A request whose time has passed has
// failed by that, whatever answer comes after it.
func reportedRefusal(r *jujubegate.Refusal, b *jujubegate.Batch, now time.Time) *jujubegate.Refusal {
	limit := b.Deadline
	if b.Order {
		limit = limit.Add(orderGrace)
	}
	if r == nil || r.Reason != jujubegate.BadAnswer || now.Before(limit) {
		return r
	}
	late := *r
	late.Reason = jujubegate.DeadlinePassed
	return &late
}

func (o *ownedTarget) currentTarget() jujubegate.Target {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.target
}

// requestID returns the ID of the attempt at the target. An order keeps the ID
// that its caller gave.
func (t *task) requestID() string {
	if t.run.batch.Order {
		return t.run.batch.QueryID
	}
	b := make([]byte, 0, len(t.run.batch.QueryID)+16)
	b = append(append(b, t.run.batch.QueryID...), '/')
	b = append(strconv.AppendInt(b, int64(t.sub.Shard), 10), '/')
	return string(strconv.AppendInt(b, int64(t.sub.Attempt), 10))
}

// reportResult passes the result of a request to the limiter. A request that
// the target may still run keeps its slot until the target has answered or
// closed the connection, or the limiter's grace period has passed.
func (o *ownedTarget) reportResult(t *task, result dialer.Result, now time.Time) {
	kind := kindOf(result)
	if result.Closed == nil {
		o.limiter.Finish(t.limiterTicket, limiter.Result{Kind: kind, Latency: result.ServiceTime}, now)
		return
	}
	o.limiter.Abandon(t.limiterTicket, limiter.Result{Kind: kind, Latency: result.ServiceTime}, now)
	go func() {
		<-result.Closed
		now := o.dispatcher.settings.Clock.Now()
		o.mu.Lock()
		defer o.mu.Unlock()
		o.limiter.Closed(t.limiterTicket, now)
		o.startQueued(now)
	}()
}

// kindOf maps the result of a request to the kind that the limiter knows.
func kindOf(result dialer.Result) limiter.Kind {
	r := result.Refusal
	if r == nil {
		return limiter.Answered
	}
	switch r.Reason {
	case jujubegate.TargetError:
		return limiter.Answered
	case jujubegate.SnapshotNotHeld:
		return limiter.Refused
	case jujubegate.Shed:
		return limiter.Shed
	case jujubegate.TargetDraining:
		return limiter.Draining
	case jujubegate.BadAnswer:
		return limiter.BadAnswer
	case jujubegate.TargetDown:
		if result.Unreachable {
			return limiter.Unreachable
		}
		if r.Outcome != jujubegate.NotRun {
			return limiter.Broken
		}
	case jujubegate.DeadlinePassed:
		if result.Replied {
			return limiter.Refused
		}
		return limiter.TimedOut
	case jujubegate.Cancelled:
		if r.Outcome != jujubegate.NotRun {
			return limiter.Cancelled
		}
	}
	return limiter.NotSent
}

// withdraw ends a task early: a queued task is refused, a running one is
// cancelled unless it is an order, which goes on.
func (t *task) withdraw(reason jujubegate.Reason, cause error) {
	o := t.target
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	switch t.state {
	case taskNew:
		t.refuse(newRefusal(reason, cause.Error()))
	case taskQueued:
		if o.queue.Remove(t.queueTicket) {
			t.refuse(newRefusal(reason, cause.Error()))
		}
	case taskRunning:
		if !t.run.batch.Order {
			t.cancel(cause)
		}
	}
}

// reportUnknown delivers the outcome of a running order as unknown. The order
// goes on at the target and keeps its slot; its connection is closed after
// orderCloseDelay.
func (t *task) reportUnknown() {
	o := t.target
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if t.state != taskRunning || t.reportedUnknown {
		return
	}
	t.reportedUnknown = true
	t.run.addResult(jujubegate.SubResult{
		Shard: t.sub.Shard, Attempt: t.sub.Attempt, Target: t.sub.Target,
		Refusal: &jujubegate.Refusal{
			Reason: jujubegate.DeadlinePassed, Outcome: jujubegate.Unknown, Detail: "the order has not been answered",
		},
	})
	ctx, cancel := t.ctx, t.cancel
	limit := o.dispatcher.settings.Clock.After(orderCloseDelay)
	go func() {
		select {
		case <-limit:
			cancel(dialer.ErrDeadline)
		case <-ctx.Done():
		}
	}()
}

// healthSignal reports whether a request failed by a fault of its target, and
// whether its result counts for the health of the target's version at all.
func healthSignal(result dialer.Result) (failed, counts bool) {
	r := result.Refusal
	switch {
	case r == nil:
		return false, true
	case r.Reason == jujubegate.TargetError, r.Reason == jujubegate.BadAnswer:
		return true, true
	case r.Reason == jujubegate.TargetDown, r.Reason == jujubegate.DeadlinePassed:
		return true, r.Outcome != jujubegate.NotRun
	case r.Reason == jujubegate.Cancelled:
		return false, r.Outcome != jujubegate.NotRun
	}
	return false, false
}
