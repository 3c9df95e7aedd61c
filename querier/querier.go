// Package querier runs queries, from their admission to the merged answer.
package querier

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/admitter"
	"jujubegate.example/jujubegate/balancer"
	"jujubegate.example/jujubegate/configurator"
	"jujubegate.example/jujubegate/hedger"
	"jujubegate.example/jujubegate/leaser"
)

const (
	// crossDataCentreRTT is the additional round-trip time to another data centre:
	// 0.5 ms each way.
	crossDataCentreRTT = time.Millisecond
	// retryAfterNoCoverage is the RetryAfter of a NoCoverage refusal. Owners report
	// their targets with the heartbeats, twice a second, so that the missing targets
	// may be known by then.
	retryAfterNoCoverage = time.Second
	// retryAfterIsolated is the RetryAfter of an Isolated refusal: the lease period.
	retryAfterIsolated = 3 * time.Second
	// defaultTimeout is the timeout of queries to services without a deadline.
	defaultTimeout = time.Second
)

// Request is a query of a caller.
type Request struct {
	Service jujubegate.Service
	Route   jujubegate.Route
	Caller  jujubegate.Caller
	Body    []byte
	// Timeout limits the query if it is shorter than the deadline of the service; 0
	// stands for that deadline.
	Timeout time.Duration
	// AllowPartial accepts an answer without the rows of some shards.
	AllowPartial bool
}

// Answer is the merged answer to a query.
type Answer struct {
	QueryID  string
	Version  jujubegate.Version
	Snapshot jujubegate.Snapshot
	Coverage jujubegate.Coverage
	// Rows is a JSON array with the rows of all shards in shard order.
	Rows []byte
	// Shards is the number of shards in the answer, out of TotalShards.
	Shards      int
	TotalShards int
	// Hedges and Retries count the additional sub-requests, Reruns the restarts on
	// another snapshot.
	Hedges  int
	Retries int
	Reruns  int
	// Dropped is the number of results that were not used.
	Dropped int
	Took    time.Duration
}

// Dispatch sends the batch to its owner and blocks until all results have
// arrived. It calls deliver with results and target reports from one goroutine,
// keeps no reference to the delivered slices and does not change the batch. When
// the context ends, the owner cancels the sub-requests that have no result. An
// error means that the stream broke: sub-requests without a result may have run.
type Dispatch func(ctx context.Context, owner leaser.Member, batch jujubegate.Batch,
	deliver func([]jujubegate.SubResult, []jujubegate.TargetReport)) error

// Querier runs queries. The function fields are set before the first query.
type Querier struct {
	// Configuration returns the applied configuration.
	Configuration func() configurator.Configuration
	// Serving reports whether this instance may take work.
	Serving func(now time.Time) bool
	// Owner returns the live instance that owns a target.
	Owner func(jujubegate.Address) (leaser.Member, bool)
	// Report returns the owner's latest report of a target.
	Report func(jujubegate.Address) (jujubegate.TargetReport, bool)
	// Halted reports whether a version must not receive new work.
	Halted func(jujubegate.Service, jujubegate.Version) bool
	// ObserveReports receives the reports that arrive with results.
	ObserveReports func([]jujubegate.TargetReport)
	Dispatch       Dispatch
	// Cancel tells an owner that sub-requests are no longer needed. It must
	// not block.
	Cancel func(owner leaser.Member, queryID string, subRequests []jujubegate.SubRequest)
	// Violation reports a broken invariant.
	Violation func(name, detail string)
	// NewID returns a unique query ID.
	NewID func() string

	DataCentre jujubegate.DataCentre
	Clock      jujubegate.Clock
	Log        *zap.Logger
	Admitter   *admitter.Admitter
	Balancer   *balancer.Balancer
	Hedger     *hedger.Hedger
	Counters   Counters

	topology func() topology
	plan     atomic.Pointer[plan]
	planMu   sync.Mutex
	runPool  sync.Pool
	seed     atomic.Uint64
}

// New returns a querier with stubs in its function fields: until they are set, it
// knows no owners or reports and refuses every query. The random source seeds the
// random sources of the queries and is not used afterwards.
func New(dataCentre jujubegate.DataCentre, clock jujubegate.Clock, random *rand.Rand, log *zap.Logger) *Querier {
	q := &Querier{
		Configuration: func() configurator.Configuration { return configurator.Configuration{} },
		Serving:       func(time.Time) bool { return false },
		Owner:         func(jujubegate.Address) (leaser.Member, bool) { return leaser.Member{}, false },
		Report: func(jujubegate.Address) (jujubegate.TargetReport, bool) {
			return jujubegate.TargetReport{}, false
		},
		Halted:         func(jujubegate.Service, jujubegate.Version) bool { return false },
		ObserveReports: func([]jujubegate.TargetReport) {},
		Cancel:         func(leaser.Member, string, []jujubegate.SubRequest) {},
		Violation:      func(string, string) {},
		NewID:          uuid.NewString,

		DataCentre: dataCentre, Clock: clock, Log: log,
		Admitter: admitter.New(), Balancer: balancer.New(), Hedger: hedger.New(),
	}
	q.Dispatch = func(context.Context, leaser.Member, jujubegate.Batch,
		func([]jujubegate.SubResult, []jujubegate.TargetReport),
	) error {
		return fmt.Errorf("no dispatch is configured")
	}
	q.topology = func() topology { return q.Configuration() }
	q.seed.Store(random.Uint64())
	stream := random.Uint64()
	q.runPool.New = func() any {
		return &run{random: rand.New(rand.NewPCG(q.seed.Add(1), stream))}
	}
	return q
}

// Query runs a query and returns its answer, or a refusal that says whether any
// part of the query may have run. With a refusal the answer has at most a query
// ID.
func (q *Querier) Query(ctx context.Context, request Request) (Answer, *jujubegate.Refusal) {
	now := q.Clock.Now()
	q.Counters.Queries.Add(1)
	service, route, refusal := q.resolveRoute(now, request.Service, request.Route)
	if refusal == nil && !route.spec.Idempotent {
		refusal = refuse(jujubegate.BadRequest, "route %s.%s is not idempotent: send it as an order", request.Service, request.Route)
	}
	if refusal != nil {
		return Answer{}, q.recordRefusal(request, "", refusal)
	}
	ticket, refusal := q.Admitter.Admit(now, request.Service, len(service.shards), int(service.spec.Priority), request.Caller)
	if refusal != nil {
		q.Hedger.RecordOverload(now)
		return Answer{}, q.recordRefusal(request, "", refusal)
	}
	r := q.runPool.Get().(*run)
	r.reset(q, service, route, request, now)
	answer, refusal := r.execute(ctx)
	q.Admitter.Done(q.Clock.Now(), ticket, r.admitterResult)
	r.release()
	q.runPool.Put(r)
	if refusal != nil {
		return Answer{QueryID: answer.QueryID}, q.recordRefusal(request, answer.QueryID, refusal)
	}
	if !answer.Coverage.Whole() {
		q.Counters.Partial.Add(1)
	}
	return answer, nil
}

// resolveRoute returns the service and the route from the current plan. It refuses
// if they are not declared or this instance has no serving lease.
func (q *Querier) resolveRoute(now time.Time, service jujubegate.Service, route jujubegate.Route) (*servicePlan, *routePlan, *jujubegate.Refusal) {
	if !q.Serving(now) {
		r := refuse(jujubegate.Isolated, "instance has no serving lease: use another one")
		r.RetryAfter = retryAfterIsolated
		return nil, nil, r
	}
	s, ok := q.currentPlan().services[service]
	if !ok {
		return nil, nil, refuse(jujubegate.UnknownService, "service %q is not declared", service)
	}
	rt, ok := s.routes[route]
	if !ok {
		return nil, nil, refuse(jujubegate.UnknownRoute, "route %q of service %s is not declared", route, service)
	}
	return s, rt, nil
}

// recordRefusal counts and logs a refusal, and returns it.
func (q *Querier) recordRefusal(request Request, id string, refusal *jujubegate.Refusal) *jujubegate.Refusal {
	q.Counters.Refused.Add(1)
	q.Log.Info("querier: query refused", zap.String("service", string(request.Service)), zap.String("query", id),
		zap.String("reason", string(refusal.Reason)), zap.Stringer("outcome", refusal.Outcome),
		zap.String("detail", refusal.Detail))
	return refusal
}

// refuse returns a refusal of a request that did not run.
func refuse(reason jujubegate.Reason, format string, args ...any) *jujubegate.Refusal {
	return &jujubegate.Refusal{Reason: reason, Outcome: jujubegate.NotRun, Detail: fmt.Sprintf(format, args...)}
}
