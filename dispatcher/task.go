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

// task is one sub-request at its owner. The lane's lock guards it.
type task struct {
	run    *run
	sub    jujubegate.SubRequest
	lane   *lane
	state  taskState
	queued scheduler.Ticket
	ticket limiter.Ticket
	// running is the number of requests at the target when this one started.
	running int
	// ctx is that of the running request; cancel ends it with a cause.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// given says that the result of a running order was delivered as unknown.
	given bool
}

// end delivers a refusal of a task that does not run.
func (t *task) end(r *jujubegate.Refusal) {
	if t.state == taskDone {
		return
	}
	t.state = taskDone
	t.run.deliver(jujubegate.SubResult{
		Shard: t.sub.Shard, Attempt: t.sub.Attempt, Target: t.sub.Target, Refusal: r,
	})
}

// place decides about a new task: it starts, waits or is refused.
func (l *lane) place(t *task, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.logPlacement(t, l.decide(t, now), now)
}

// logPlacement logs a placement decision at debug level.
func (l *lane) logPlacement(t *task, decision string, now time.Time) {
	if log := l.dispatcher.settings.Log; log.Core().Enabled(zap.DebugLevel) {
		log.Debug("dispatcher: placed", zap.String("Query", t.run.batch.QueryID), zap.Int("Shard", t.sub.Shard),
			zap.String("Target", string(t.sub.Target)), zap.String("Decision", decision),
			zap.Int("InFlight", l.limiter.InFlight(now)), zap.Int("Limit", l.limiter.Limit(now)))
	}
}

func (l *lane) decide(t *task, now time.Time) string {
	refuse := func(r *jujubegate.Refusal) string {
		t.end(r)
		return string(r.Reason)
	}
	if t.state != taskNew {
		return "Withdrawn"
	}
	if l.retired {
		return refuse(refused(jujubegate.NotOwner, "this instance gave up the target"))
	}
	if r := l.dispatcher.permit(l.target, now); r != nil {
		return refuse(r)
	}
	if l.limiter.Limit(now) == 0 {
		return refuse(l.closedRefusal(now))
	}
	l.pump(now)
	b := &t.run.batch
	load := l.load(now)
	if l.queue.Len() == 0 && load.InFlight < load.Limit && !now.Add(load.ServiceTime).After(b.Deadline) {
		l.start(t, now)
		return "Sent"
	}
	e := scheduler.Entry[*task]{Caller: b.Caller, Priority: b.Priority, Deadline: b.Deadline, Payload: t}
	ticket, verdict := l.queue.Push(now, e, load)
	if r := verdict.Refusal(); r != nil {
		return refuse(r)
	}
	t.state, t.queued = taskQueued, ticket
	l.dispatcher.settings.Count(CountQueued, 1)
	return "Queued"
}

// start sends a task on its own goroutine.
func (l *lane) start(t *task, now time.Time) {
	ticket, ok := l.limiter.Acquire(now)
	if !ok {
		t.end(refused(jujubegate.Overloaded, "no slot is free"))
		return
	}
	t.ctx, t.cancel = context.WithCancelCause(context.Background())
	t.state, t.ticket, t.running = taskRunning, ticket, l.limiter.InFlight(now)
	go t.send(t.ctx)
}

// send makes the one attempt of a task and draws the conclusions.
func (t *task) send(ctx context.Context) {
	l, d := t.lane, t.lane.dispatcher
	d.settings.Count(CountSent, 1)
	b := &t.run.batch
	permit := func() *jujubegate.Refusal { return d.permit(l.targetNow(), d.settings.Clock.Now()) }
	var result dialer.Result
	if r := permit(); r != nil {
		result.Refusal = r
	} else {
		result = l.link.Send(ctx, dialer.Request{
			RequestID: t.requestID(), Service: b.Service, Shard: t.sub.Shard, Snapshot: b.Snapshot, Route: b.Route,
			Deadline: b.Deadline, Body: b.Body, Order: b.Order, Permit: permit,
		})
	}
	t.cancel(nil)
	now := d.settings.Clock.Now()
	l.mu.Lock()
	t.state = taskDone
	l.conclude(t, result, now)
	l.pump(now)
	given, target := t.given, l.target
	l.mu.Unlock()
	if failed, counts := evidence(result); counts {
		d.settings.Finished(target, b.Route, t.running, failed, result.ServiceTime)
	}
	if given {
		return
	}
	t.run.deliver(jujubegate.SubResult{
		Shard: t.sub.Shard, Attempt: t.sub.Attempt, Target: t.sub.Target, Refusal: result.Refusal,
		Snapshot: result.Answer.Snapshot, Range: result.Answer.Range, Rows: result.Answer.Rows,
		ServiceTime: result.ServiceTime,
	})
}

func (l *lane) targetNow() jujubegate.Target {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.target
}

// requestID identifies the attempt at the target. An order keeps the ID that
// its caller gave.
func (t *task) requestID() string {
	if t.run.batch.Order {
		return t.run.batch.QueryID
	}
	b := make([]byte, 0, len(t.run.batch.QueryID)+16)
	b = append(append(b, t.run.batch.QueryID...), '/')
	b = append(strconv.AppendInt(b, int64(t.sub.Shard), 10), '/')
	return string(strconv.AppendInt(b, int64(t.sub.Attempt), 10))
}

// conclude passes the end of a request to the limiter. A request that the
// target may still run keeps its slot until its end is seen.
func (l *lane) conclude(t *task, result dialer.Result, now time.Time) {
	kind := kindOf(result)
	if result.Closed == nil {
		l.limiter.Finish(t.ticket, limiter.Result{Kind: kind, Latency: result.ServiceTime}, now)
		return
	}
	l.limiter.Abandon(t.ticket, limiter.Result{Kind: kind, Latency: result.ServiceTime}, now)
	go func() {
		<-result.Closed
		now := l.dispatcher.settings.Clock.Now()
		l.mu.Lock()
		defer l.mu.Unlock()
		l.limiter.Closed(t.ticket, now)
		l.pump(now)
	}()
}

// kindOf maps the end of a request to what it tells about the target.
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

// withdraw cancels a task: a queued one is refused, a running idempotent one
// is closed, a running order goes on.
func (t *task) withdraw(reason jujubegate.Reason, cause error) {
	l := t.lane
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch t.state {
	case taskNew:
		t.end(refused(reason, cause.Error()))
	case taskQueued:
		if l.queue.Remove(t.queued) {
			t.end(refused(reason, cause.Error()))
		}
	case taskRunning:
		if !t.run.batch.Order {
			t.cancel(cause)
		}
	}
}

// giveUp delivers the unknown outcome of a running order. The order goes on at
// the target and keeps its slot; its connection is closed after orderLimit.
func (t *task) giveUp() {
	l := t.lane
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.state != taskRunning || t.given {
		return
	}
	t.given = true
	t.run.deliver(jujubegate.SubResult{
		Shard: t.sub.Shard, Attempt: t.sub.Attempt, Target: t.sub.Target,
		Refusal: &jujubegate.Refusal{
			Reason: jujubegate.DeadlinePassed, Outcome: jujubegate.Unknown, Detail: "the order has not been answered",
		},
	})
	ctx, cancel := t.ctx, t.cancel
	limit := l.dispatcher.settings.Clock.After(orderLimit)
	go func() {
		select {
		case <-limit:
			cancel(dialer.ErrDeadline)
		case <-ctx.Done():
		}
	}()
}

// evidence reports whether a request failed by a fault of its target, and
// whether its end says anything about the target's version at all.
func evidence(result dialer.Result) (failed, counts bool) {
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
