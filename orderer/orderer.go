package orderer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/leaser"
	"jujubegate.example/jujubegate/querier"
	"jujubegate.example/jujubegate/storer"
)

const (
	// writesPerOrder is the number of store writes per order: one for the started
	// record, one for the final one.
	writesPerOrder = 2
	// maxConflicts is the maximum number of writes by which a call tries to claim a
	// record that other calls change meanwhile.
	maxConflicts = 4
	// reuseAfter is the minimum age of a NotRun record, at the start of a call, for
	// the call to start the order again. A call that was already running when the
	// record was finished must not do so: the caller may have got "not run" from a
	// later call meanwhile.
	reuseAfter = time.Second
	// maxClockSkew is the maximum difference between the clocks of two instances for
	// which reuseAfter is safe. In the last maxClockSkew before a record may be reused,
	// a call neither starts the order again nor answers "not run", because a call on
	// an instance whose clock is ahead may be starting the order.
	maxClockSkew = reuseAfter / 2
	// retryAfterStoreDown is the RetryAfter of a StoreDown refusal: by then a failed
	// store may be available again.
	retryAfterStoreDown = 5 * time.Second
	// defaultTimeout is the timeout of orders to services without a deadline.
	defaultTimeout = time.Second
	// minFinalWriteTimeout is the minimum timeout of the final write, even after the
	// deadline. After it the background repair takes over.
	minFinalWriteTimeout = 200 * time.Millisecond
)

// Orderer runs orders. The function fields are set before the first order.
type Orderer struct {
	Store storer.Store
	// Serving reports whether this instance may take work.
	Serving func(now time.Time) bool
	// Place chooses the target of a shard.
	Place func(now time.Time, id string, service jujubegate.Service, route jujubegate.Route,
		caller jujubegate.Caller, shardOf func(shards int) int) (querier.Placement, *jujubegate.Refusal)
	Dispatch querier.Dispatch
	// Violation reports a broken invariant.
	Violation func(name, detail string)
	// NewToken returns a unique token.
	NewToken func() string

	Clock        jujubegate.Clock
	Log          *zap.Logger
	WriteLimiter *rate.Limiter
	Counters     Counters

	repairs repairQueue
}

// New returns an orderer. The write limit, in store writes per second, applies to
// orders and repairs together. The querier chooses the targets and dispatches the
// orders; if it is nil, Place, Serving and Dispatch must be set.
func New(store storer.Store, q *querier.Querier, clock jujubegate.Clock, writes rate.Limit, log *zap.Logger) *Orderer {
	o := &Orderer{
		Store: store, Clock: clock, Log: log,
		Violation:    func(string, string) {},
		NewToken:     uuid.NewString,
		WriteLimiter: rate.NewLimiter(writes, max(writesPerOrder, int(writes))),
		repairs:      newRepairQueue(),
	}
	if q != nil {
		o.Place = q.Place
		o.Serving = func(now time.Time) bool { return q.Serving(now) }
		o.Dispatch = func(ctx context.Context, owner leaser.Member, batch jujubegate.Batch,
			deliver func([]jujubegate.SubResult, []jujubegate.TargetReport),
		) error {
			return q.Dispatch(ctx, owner, batch, deliver)
		}
	}
	return o
}

// Order runs an order at most once and returns its record. A refusal says whether
// the order ran. The outcome NotRun means that neither this request nor an earlier
// one with the same ID has run or will run, so that the caller may send the order
// again.
func (o *Orderer) Order(ctx context.Context, request Request) (Record, *jujubegate.Refusal) {
	c := &call{o: o, request: &request, started: o.Clock.Now(), key: recordKey(request.Service, request.ID)}
	o.Counters.Orders.Add(1)
	record, refusal := c.run(ctx)
	if refusal != nil {
		o.Counters.refused(refusal.Outcome)
		o.Log.Info("orderer: order refused", zap.String("order", c.key), zap.String("reason", string(refusal.Reason)),
			zap.Stringer("outcome", refusal.Outcome), zap.String("detail", refusal.Detail))
		return record, refusal
	}
	o.Log.Info("orderer: order answered", zap.String("order", c.key), zap.String("target", string(record.Target)))
	return record, nil
}

// Lookup returns the record of an order. If there is no record, the outcome is
// unknown, because another instance may be about to start the order.
func (o *Orderer) Lookup(ctx context.Context, service jujubegate.Service, id uuid.UUID) (Record, *jujubegate.Refusal) {
	record, _, err := o.read(ctx, recordKey(service, id))
	switch {
	case err == nil:
		return record, nil
	case errors.Is(err, storer.ErrNotFound):
		return Record{}, &jujubegate.Refusal{Reason: NoRecord, Detail: "order " + id.String() + " has no record"}
	}
	return Record{}, &jujubegate.Refusal{Reason: jujubegate.StoreDown, RetryAfter: retryAfterStoreDown, Detail: err.Error()}
}

// call is the state of one call of Order.
type call struct {
	o        *Orderer
	request  *Request
	key      string
	started  time.Time
	deadline time.Time
}

// run checks the request, claims the record of the order and sends the order.
func (c *call) run(ctx context.Context) (Record, *jujubegate.Refusal) {
	id := c.request.ID
	if id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		// No instance accepts such an ID, so no order with it has run.
		return Record{}, refuse(jujubegate.BadRequest, "order ID %v is not a UUIDv7", id)
	}
	if refusal := c.checkTime(); refusal != nil {
		return c.refuseUnrecorded(ctx, refusal)
	}
	if !c.o.Serving(c.started) {
		return c.refuseUnrecorded(ctx, refuse(jujubegate.Isolated, "instance has no serving lease: use another one"))
	}
	placement, refusal := c.place(c.started)
	if refusal != nil {
		return c.refuseUnrecorded(ctx, refusal)
	}
	c.setDeadline(placement.Service.Deadline)
	if !c.o.WriteLimiter.AllowN(c.started, writesPerOrder) {
		refusal := refuse(jujubegate.Overloaded, "orders exceed %v store writes a second", c.o.WriteLimiter.Limit())
		refusal.RetryAfter = time.Second
		return c.refuseUnrecorded(ctx, refusal)
	}
	timeoutCtx, cancel := context.WithTimeout(ctx, c.deadline.Sub(c.started))
	defer cancel()
	record, version, refusal := c.claim(timeoutCtx)
	if refusal != nil || version == 0 {
		return record, refusal
	}
	return c.send(ctx, record, version)
}

// checkTime refuses IDs that are so old that their record may be deleted, and IDs
// from the future.
func (c *call) checkTime() *jujubegate.Refusal {
	at := timeOfID(c.request.ID)
	if at.After(c.started.Add(maxIDAhead)) {
		return refuse(jujubegate.BadRequest, "order ID is %v ahead of the clock", at.Sub(c.started))
	}
	if at.Before(c.started.Add(-recordRetention)) {
		return refuse(jujubegate.Expired, "order ID is older than %v", recordRetention)
	}
	return nil
}

// place chooses the target of the shard that the order's key hashes to.
func (c *call) place(now time.Time) (querier.Placement, *jujubegate.Refusal) {
	return c.o.Place(now, c.request.ID.String(), c.request.Service, c.request.Route, c.request.Caller,
		func(shards int) int { return int(xxhash.Sum64String(c.request.Key) % uint64(shards)) })
}

// setDeadline sets the deadline of the call from that of the service and the timeout
// of the request.
func (c *call) setDeadline(deadline time.Duration) {
	if deadline <= 0 {
		deadline = defaultTimeout
	}
	if c.request.Timeout > 0 {
		deadline = min(deadline, c.request.Timeout)
	}
	c.deadline = c.started.Add(deadline)
}

// refuseUnrecorded refuses a request before this call has written a record. The
// outcome is NotRun only if this is the first request with its ID. Otherwise the
// record of the ID determines the answer, and without a record the outcome is
// Unknown.
func (c *call) refuseUnrecorded(ctx context.Context, refusal *jujubegate.Refusal) (Record, *jujubegate.Refusal) {
	if c.request.First {
		return Record{}, refusal
	}
	c.setDeadline(0)
	timeoutCtx, cancel := context.WithTimeout(ctx, c.deadline.Sub(c.started))
	defer cancel()
	if record, _, err := c.o.read(timeoutCtx, c.key); err == nil {
		return c.answerFromRecord(record)
	}
	unknown := *refusal
	unknown.Outcome = jujubegate.Unknown
	return Record{}, &unknown
}

// answerFromRecord answers a request with the record of its ID.
func (c *call) answerFromRecord(record Record) (Record, *jujubegate.Refusal) {
	if field := record.mismatch(c.request); field != "" {
		return Record{}, refuse(jujubegate.Duplicate, "order ID was used before with another %s", field)
	}
	c.o.Counters.Repeats.Add(1)
	if record.State == NotRun && c.started.After(record.Finished.Add(reuseAfter-maxClockSkew)) {
		// Another call may be starting the order again.
		_, refusal := answerOf(record)
		refusal.Outcome = jujubegate.Unknown
		return record, refusal
	}
	return answerOf(record)
}

// answerOf returns the record, with a refusal unless the order ran and answered.
func answerOf(record Record) (Record, *jujubegate.Refusal) {
	switch {
	case record.State == Started:
		return record, &jujubegate.Refusal{Reason: InProgress, Detail: "order was started and has no recorded outcome"}
	case record.State == Ran && record.Reason == "":
		return record, nil
	}
	refusal := &jujubegate.Refusal{Reason: record.Reason, Outcome: record.Outcome(), Detail: record.Detail}
	if record.State == NotRun {
		refusal.RetryAfter = reuseAfter
	}
	return record, refusal
}

// refuse returns a refusal of an order that did not run.
func refuse(reason jujubegate.Reason, format string, args ...any) *jujubegate.Refusal {
	return &jujubegate.Refusal{Reason: reason, Outcome: jujubegate.NotRun, Detail: fmt.Sprintf(format, args...)}
}
