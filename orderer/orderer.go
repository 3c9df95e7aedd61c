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
	// writesPerOrder is the number of store writes of an order: its creation
	// and its end.
	writesPerOrder = 2
	// maxConflicts bounds how often a call follows a record that others change.
	maxConflicts = 4
	// reuseAfter is the age of a NotRun record, at the start of a call, from
	// which the call may start the order again. A call that was already running
	// when the record was finished must not: the caller may have been told "not
	// run" by a later call meanwhile.
	reuseAfter = time.Second
	// maxSkew is the largest difference between the clocks of two instances
	// for which that holds. A call that starts less than this before it may
	// reuse a record does neither that nor trust the record.
	maxSkew = reuseAfter / 2
	// retryStore is the time after which a failed store may answer again.
	retryStore = 5 * time.Second
	// defaultTimeout holds for services without a deadline.
	defaultTimeout = time.Second
	// minFinalWrite is the least time that the final write gets, also after
	// the deadline, before it is left to the background repair.
	minFinalWrite = 200 * time.Millisecond
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
	// Violation notes a broken invariant.
	Violation func(name, detail string)
	// NewToken returns a unique token.
	NewToken func() string

	Clock        jujubegate.Clock
	Log          *zap.Logger
	WriteLimiter *rate.Limiter
	Counters     Counters

	repairs repairQueue
}

// New returns an orderer that writes to the store at most the given number of
// times per second. The querier places and dispatches its orders.
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

// Order runs an order at most once and returns its record. A refusal says
// whether it ran: not run means that no request with this ID that was sent
// before this one, nor this one, has run or will. It may be sent again.
func (o *Orderer) Order(ctx context.Context, request Request) (Record, *jujubegate.Refusal) {
	c := &call{o: o, request: &request, started: o.Clock.Now(), key: key(request.Service, request.ID)}
	o.Counters.Orders.Add(1)
	record, refusal := c.run(ctx)
	if refusal != nil {
		o.Counters.refused(refusal.Outcome)
		o.Log.Info("orderer: refused", zap.String("order", c.key), zap.String("reason", string(refusal.Reason)),
			zap.Stringer("outcome", refusal.Outcome), zap.String("detail", refusal.Detail))
		return record, refusal
	}
	o.Log.Info("orderer: ran", zap.String("order", c.key), zap.String("target", string(record.Target)))
	return record, nil
}

// Lookup returns the record of an order. Without a record the outcome is
// unknown: the order may be about to start on another instance.
func (o *Orderer) Lookup(ctx context.Context, service jujubegate.Service, id uuid.UUID) (Record, *jujubegate.Refusal) {
	record, _, err := o.read(ctx, key(service, id))
	switch {
	case err == nil:
		return record, nil
	case errors.Is(err, storer.ErrNotFound):
		return Record{}, &jujubegate.Refusal{Reason: NoRecord, Detail: "order " + id.String() + " has no record"}
	}
	return Record{}, &jujubegate.Refusal{Reason: jujubegate.StoreDown, RetryAfter: retryStore, Detail: err.Error()}
}

// call is one call of Order.
type call struct {
	o        *Orderer
	request  *Request
	key      string
	started  time.Time
	deadline time.Time
}

func (c *call) run(ctx context.Context) (Record, *jujubegate.Refusal) {
	id := c.request.ID
	if id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		// No instance accepts such an ID, so no order has run with it.
		return Record{}, refuse(jujubegate.BadRequest, "order ID %v is not a UUIDv7", id)
	}
	if refusal := c.checkTime(); refusal != nil {
		return c.early(ctx, refusal)
	}
	if !c.o.Serving(c.started) {
		return c.early(ctx, refuse(jujubegate.Isolated, "instance has no serving lease: use another one"))
	}
	place, refusal := c.place(c.started)
	if refusal != nil {
		return c.early(ctx, refusal)
	}
	c.setDeadline(place.Service.Deadline)
	if !c.o.WriteLimiter.AllowN(c.started, writesPerOrder) {
		refusal := refuse(jujubegate.Overloaded, "orders exceed %v store writes a second", c.o.WriteLimiter.Limit())
		refusal.RetryAfter = time.Second
		return c.early(ctx, refusal)
	}
	bounded, cancel := context.WithTimeout(ctx, c.deadline.Sub(c.started))
	defer cancel()
	record, version, refusal := c.claim(bounded)
	if refusal != nil || version == 0 {
		return record, refusal
	}
	return c.send(ctx, record, version)
}

// checkTime refuses IDs that are too old to have a record for certain, or from
// the future.
func (c *call) checkTime() *jujubegate.Refusal {
	at := idTime(c.request.ID)
	if at.After(c.started.Add(maxAhead)) {
		return refuse(jujubegate.BadRequest, "order ID is %v ahead of the clock", at.Sub(c.started))
	}
	if at.Before(c.started.Add(-retention)) {
		return refuse(jujubegate.Expired, "order ID is older than %v", retention)
	}
	return nil
}

func (c *call) place(now time.Time) (querier.Placement, *jujubegate.Refusal) {
	return c.o.Place(now, c.request.ID.String(), c.request.Service, c.request.Route, c.request.Caller,
		func(shards int) int { return int(xxhash.Sum64String(c.request.Key) % uint64(shards)) })
}

func (c *call) setDeadline(deadline time.Duration) {
	if deadline <= 0 {
		deadline = defaultTimeout
	}
	if c.request.Timeout > 0 {
		deadline = min(deadline, c.request.Timeout)
	}
	c.deadline = c.started.Add(deadline)
}

// early refuses a request that this call did not record. The refusal is "not
// run" only if the caller sent no other request with this ID; else the record
// decides, and without one the outcome is unknown.
func (c *call) early(ctx context.Context, refusal *jujubegate.Refusal) (Record, *jujubegate.Refusal) {
	if c.request.First {
		return Record{}, refusal
	}
	c.setDeadline(0)
	bounded, cancel := context.WithTimeout(ctx, c.deadline.Sub(c.started))
	defer cancel()
	if record, _, err := c.o.read(bounded, c.key); err == nil {
		return c.recorded(record)
	}
	unknown := *refusal
	unknown.Outcome = jujubegate.Unknown
	return Record{}, &unknown
}

// recorded answers a request from the record of its ID.
func (c *call) recorded(record Record) (Record, *jujubegate.Refusal) {
	if field := record.mismatch(c.request); field != "" {
		return Record{}, refuse(jujubegate.Duplicate, "order ID was used before with another %s", field)
	}
	c.o.Counters.Repeats.Add(1)
	if record.State == NotRun && c.started.After(record.Finished.Add(reuseAfter-maxSkew)) {
		// A call that is still running may start the order again.
		_, refusal := answer(record)
		refusal.Outcome = jujubegate.Unknown
		return record, refusal
	}
	return answer(record)
}

// answer returns what a call answers from a record.
func answer(record Record) (Record, *jujubegate.Refusal) {
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
