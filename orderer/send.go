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

// send sends the order once, and records how it ended.
func (c *call) send(ctx context.Context, record Record, version int64) (Record, *jujubegate.Refusal) {
	now := c.o.Clock.Now()
	if refusal := c.sendable(ctx, now); refusal != nil {
		return c.finish(ctx, record.withEnd(NotRun, now, refusal), version)
	}
	place, refusal := c.place(now)
	if refusal != nil {
		return c.finish(ctx, record.withEnd(NotRun, now, refusal), version)
	}
	record.Target = place.SubRequest.Target
	result, refusal := c.dispatch(ctx, now, place)
	now = c.o.Clock.Now()
	switch {
	case refusal == nil && !isArray(result.Rows):
		record = record.withEnd(Ran, now, &jujubegate.Refusal{
			Reason: jujubegate.BadAnswer, Detail: "rows are not a JSON array",
		})
	case refusal == nil:
		record = record.withEnd(Ran, now, nil).withRows(result.Rows)
	case refusal.Outcome == jujubegate.NotRun:
		record = record.withEnd(NotRun, now, refusal)
	case refusal.Outcome == jujubegate.Ran:
		// The target ran the order and failed to answer: the record says so
		// without rows.
		record = record.withEnd(Ran, now, refusal)
	default:
		record = record.withEnd(Unknown, now, refusal)
	}
	recorded, refusal := c.finish(ctx, record, version)
	if refusal == nil && result.Rows != nil {
		// The caller gets the answer even if it is too large for the record.
		recorded.Rows = result.Rows
	}
	return recorded, refusal
}

func isArray(rows []byte) bool {
	rows = bytes.TrimSpace(rows)
	return len(rows) == 0 || (rows[0] == '[' && json.Valid(rows))
}

// sendable refuses an order that must not be sent any more.
func (c *call) sendable(ctx context.Context, now time.Time) *jujubegate.Refusal {
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

// dispatch sends the order to the place and waits for its result, at most until
// the deadline.
func (c *call) dispatch(ctx context.Context, now time.Time, place querier.Placement) (jujubegate.SubResult, *jujubegate.Refusal) {
	left := c.deadline.Sub(now)
	bounded, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	batch := jujubegate.Batch{
		QueryID: c.request.ID.String() + "/" + c.o.NewToken(), Service: c.request.Service, Route: c.request.Route,
		Caller: c.request.Caller, Snapshot: place.Snapshot, Deadline: c.deadline,
		Priority: int(place.Service.Priority), Body: c.request.Body, Order: true, Generation: place.Generation,
		SubRequests: []jujubegate.SubRequest{place.SubRequest},
	}
	results := make(chan jujubegate.SubResult, 1)
	ended := make(chan error, 1)
	c.o.Counters.Sent.Add(1)
	go func() {
		ended <- c.o.Dispatch(bounded, place.Owner, batch, func(delivered []jujubegate.SubResult, _ []jujubegate.TargetReport) {
			for _, r := range delivered {
				if r.Shard != place.SubRequest.Shard || r.Attempt != place.SubRequest.Attempt ||
					r.Target != place.SubRequest.Target {
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
		Detail: fmt.Sprintf("order was sent to %s without an answer: %v", place.SubRequest.Target, err),
	}
}

// finish writes the final record, in the background if the store fails, and
// returns what the call answers. The answer doesn't depend on the write: until
// it succeeds, other calls find the order started and answer "unknown".
func (c *call) finish(ctx context.Context, record Record, version int64) (Record, *jujubegate.Refusal) {
	// The write is not cancelled with the caller.
	left := max(c.deadline.Sub(c.o.Clock.Now()), minFinalWrite)
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), left)
	defer cancel()
	if _, err := c.o.write(bounded, c.key, record, version); err != nil {
		if errors.Is(err, storer.ErrConflict) {
			c.o.Violation(string(recorder.AtMostOnce), fmt.Sprintf("record of started order %s was changed by another", c.key))
		}
		c.o.repair(c.key, record)
	}
	return answer(record)
}
