package orderer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/querier"
	"jujubegate.example/jujubegate/recorder"
	"jujubegate.example/jujubegate/storer"
)

// send sends the order once and records its result. If the order must not or can't be
// sent, it records NotRun.
func (c *call) send(ctx context.Context, record Record, version int64) (Record, *jujubegate.Refusal) {
	now := c.o.Clock.Now()
	if refusal := c.checkSendable(ctx, now); refusal != nil {
		return c.finish(ctx, record.withFinalState(NotRun, now, refusal), version)
	}
	placement, refusal := c.place(now)
	if refusal != nil {
		return c.finish(ctx, record.withFinalState(NotRun, now, refusal), version)
	}
	record.Target = placement.SubRequest.Target
	result, refusal := c.dispatch(ctx, now, placement)
	now = c.o.Clock.Now()
	switch {
	case refusal == nil && !validRows(result.Rows):
		record = record.withFinalState(Ran, now, &jujubegate.Refusal{
			Reason: jujubegate.BadAnswer, Detail: "rows are not a JSON array",
		})
	case refusal == nil:
		record = record.withFinalState(Ran, now, nil).withRows(result.Rows)
	case refusal.Outcome == jujubegate.NotRun:
		record = record.withFinalState(NotRun, now, refusal)
	case refusal.Outcome == jujubegate.Ran:
		// The target ran the order but failed to answer: there are no rows to
		// record.
		record = record.withFinalState(Ran, now, refusal)
	default:
		record = record.withFinalState(Unknown, now, refusal)
	}
	recorded, refusal := c.finish(ctx, record, version)
	if refusal == nil && result.Rows != nil {
		// The caller gets the rows even if they are too large for the record.
		recorded.Rows = result.Rows
	}
	return recorded, refusal
}

// validRows reports whether the rows of a result are empty or a JSON array.
func validRows(rows []byte) bool {
	rows = bytes.TrimSpace(rows)
	return len(rows) == 0 || (rows[0] == '[' && json.Valid(rows))
}

// checkSendable refuses an order that must not be sent because the caller gave up,
// the deadline has passed or the serving lease has expired.
func (c *call) checkSendable(ctx context.Context, now time.Time) *jujubegate.Refusal {
	switch {
	case ctx.Err() != nil:
		return refuse(jujubegate.Cancelled, "caller gave up before the order was sent")
	case !now.Before(c.deadline):
		return refuse(jujubegate.DeadlinePassed, "deadline passed while the order was recorded")
	case !c.o.Serving(now):
		return refuse(jujubegate.Isolated, "serving lease expired while the order was recorded")
	}
	return nil
}

// dispatch sends the order to its target and waits for the result, at most until the
// deadline. Without a result the outcome is Unknown.
func (c *call) dispatch(ctx context.Context, now time.Time, placement querier.Placement) (jujubegate.SubResult, *jujubegate.Refusal) {
	left := c.deadline.Sub(now)
	timeoutCtx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	batch := jujubegate.Batch{
		QueryID: c.request.ID.String() + "/" + c.o.NewToken(), Service: c.request.Service, Route: c.request.Route,
		Caller: c.request.Caller, Snapshot: placement.Snapshot, Deadline: c.deadline,
		Priority: int(placement.Service.Priority), Body: c.request.Body, Order: true, Generation: placement.Generation,
		SubRequests: []jujubegate.SubRequest{placement.SubRequest},
	}
	results := make(chan jujubegate.SubResult, 1)
	ended := make(chan error, 1)
	c.o.Counters.Sent.Add(1)
	go func() {
		ended <- c.o.Dispatch(timeoutCtx, placement.Owner, batch, func(delivered []jujubegate.SubResult, _ []jujubegate.TargetReport) {
			for _, r := range delivered {
				if r.Shard != placement.SubRequest.Shard || r.Attempt != placement.SubRequest.Attempt ||
					r.Target != placement.SubRequest.Target {
					continue
				}
				select {
				case results <- r:
				default:
				}
			}
		})
	}()
	timer := c.o.Clock.After(left)
	var err error
	select {
	case r := <-results:
		return r, r.Refusal
	case err = <-ended:
	case <-timer:
		err = errors.New("deadline passed")
	case <-ctx.Done():
		err = context.Cause(ctx)
	}
	select {
	case r := <-results:
		return r, r.Refusal
	default:
	}
	return jujubegate.SubResult{}, &jujubegate.Refusal{
		Reason: jujubegate.TargetDown, Outcome: jujubegate.Unknown,
		Detail: fmt.Sprintf("order was sent to %s without an answer: %v", placement.SubRequest.Target, err),
	}
}

// finish writes the final record and returns the answer of the call. If the write
// fails, a background repair completes it. The answer does not depend on the write:
// until it succeeds, other calls find the order in state Started and answer with the
// outcome Unknown.
func (c *call) finish(ctx context.Context, record Record, version int64) (Record, *jujubegate.Refusal) {
	// The write continues if the caller cancels its request.
	left := max(c.deadline.Sub(c.o.Clock.Now()), minFinalWriteTimeout)
	timeoutCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), left)
	defer cancel()
	if _, err := c.o.write(timeoutCtx, c.key, record, version); err != nil {
		if errors.Is(err, storer.ErrConflict) {
			c.o.Violation(string(recorder.AtMostOnce), fmt.Sprintf("record of started order %s was changed by another call", c.key))
		}
		c.o.queueRepair(c.key, record)
	}
	return answerOf(record)
}
