// Package sender sends one request to a target of one service, and again to
// another one where the request allows it and the budget of the service holds.
package sender

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/hedger"
	"jujubegate.example/jujubegate/promoter"
	"jujubegate.example/jujubegate/router"
	"jujubegate.example/jujubegate/tracker"
)

const (
	// hedgeQuantile is the share of tries, in percent, that end before a hedge
	// is due. The others are half of the usual budget of repeats.
	hedgeQuantile = 90
	// budgetShare is the part of the fleet's budget of repeats that is spent.
	// The rest covers instances that are not yet known.
	budgetShare = 0.9
	// retryReserve is the number of saved repeats that hedges leave to retries,
	// without which a request fails.
	retryReserve = 1
	// distanceWeight is the advantage of a target in the same data centre, in
	// typical latencies of the route: bytes between data centres are paid, but
	// a queue of one request outweighs them.
	distanceWeight = 1.0
	// loadFresh is the age up to which a reported queue is believed; a full one
	// is worked off in that time.
	loadFresh = 150 * time.Millisecond
	// minSilence is the least time without an answer after which a target
	// counts as paused.
	minSilence = 15 * time.Millisecond
	// usualReplicas is the number of targets up to which a choice allocates nothing.
	usualReplicas = 16
	// unsentTries bounds the tries that did not reach their target.
	unsentTries = 4
)

// Settings are the dependencies of a Sender.
type Settings struct {
	Tracker *tracker.Tracker
	Clock   jujubegate.Clock
	// RepeatRatio and RepeatAllowance bound the repeats of each service over
	// all instances: a share of its requests and a number, in any window.
	RepeatRatio, RepeatAllowance float64
	// Share returns this instance's part of the budget.
	Share func() float64
	// DataCentre is that of this instance; targets in it are preferred.
	DataCentre jujubegate.DataCentre
	// Plan returns how the requests of a service are divided between versions;
	// nil does not divide them.
	Plan func(service jujubegate.Service) promoter.Plan
	// Observe receives each answer of a target, with its version; nil ignores it.
	Observe func(c Call, version jujubegate.Version, bad bool, took time.Duration)
	Seed    uint64
	// NewTimer starts a timer that can be stopped; nil means time.NewTimer. A
	// timer that fires for nothing wakes the process up.
	NewTimer func(time.Duration) *time.Timer
}

// Sender sends requests. It is safe for concurrent use.
type Sender struct {
	settings Settings

	mu         sync.Mutex
	random     *rand.Rand
	allowances map[jujubegate.Service]*hedger.Allowance
	latencies  map[jujubegate.Route]*hedger.RouteLatency
}

// New returns a sender without samples.
func New(settings Settings) *Sender {
	if settings.NewTimer == nil {
		settings.NewTimer = time.NewTimer
	}
	return &Sender{
		settings:   settings,
		random:     rand.New(rand.NewPCG(settings.Seed, 1)),
		allowances: make(map[jujubegate.Service]*hedger.Allowance),
		latencies:  make(map[jujubegate.Route]*hedger.RouteLatency),
	}
}

// allowance returns the budget of repeats of a service.
func (s *Sender) allowance(service jujubegate.Service) *hedger.Allowance {
	most := budgetShare * s.settings.RepeatAllowance * s.settings.Share()
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.allowances[service]
	if !ok {
		a = hedger.NewAllowance(budgetShare*s.settings.RepeatRatio, most)
		s.allowances[service] = a
		return a
	}
	a.SetBounds(budgetShare*s.settings.RepeatRatio, most)
	return a
}

// Latency returns the latency of the tries of a route.
func (s *Sender) Latency(route jujubegate.Route) *hedger.RouteLatency {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.latencies[route]
	if !ok {
		l = hedger.NewRouteLatencyAt(hedgeQuantile)
		s.latencies[route] = l
	}
	return l
}

// Wait is how long a request to a service would wait at the target that takes it
// first.
type Wait struct {
	// Queue is the time in the queue of the target, Turn that until a cold target
	// may get one more request.
	Queue, Admission time.Duration
}

// Total returns the whole time.
func (w Wait) Total() time.Duration { return w.Queue + w.Admission }

// Wait returns how long a request to the service would wait, as far as the
// targets told a moment ago.
func (s *Sender) Wait(route *router.Route, service jujubegate.Service) Wait {
	now := s.settings.Clock.Now()
	typical := s.Latency(route.Name).Typical()
	var least Wait
	for i, replica := range s.settings.Tracker.Replicas(service) {
		wait := Wait{Queue: time.Duration(replica.QueuePerSlot(now, loadFresh) * float64(typical)), Admission: replica.AdmitDelay(now)}
		if i == 0 || wait.Total() < least.Total() {
			least = wait
		}
	}
	return least
}

// Send sends the call and waits for its outcome. The end of the context ends
// the call: with the cause ErrAbandoned of package connector the tries go on at
// their targets, with any other they are cancelled.
func (s *Sender) Send(ctx context.Context, c Call) Outcome {
	r := &run{
		sender: s, call: c, ctx: ctx, start: s.settings.Clock.Now(),
		results: make(chan *ended, c.Route.Attempts+unsentTries),
		budget:  s.allowance(c.Service), latency: s.Latency(c.Route.Name),
	}
	r.budget.Earn()
	r.candidates = s.candidates(c.Service)
	return r.loop()
}

// candidates returns the targets of a service of the versions that one call may
// use. A version that was given up gets nothing; otherwise the targets of the
// other versions serve where there are none of the drawn one.
func (s *Sender) candidates(service jujubegate.Service) []*tracker.Replica {
	replicas := s.settings.Tracker.Replicas(service)
	if s.settings.Plan == nil {
		return replicas
	}
	plan := s.settings.Plan(service)
	if plan.Version == "" {
		return replicas
	}
	s.mu.Lock()
	wanted := s.random.Float64() < plan.Share
	s.mu.Unlock()
	var matching []*tracker.Replica
	for _, replica := range replicas {
		if (replica.Entry().Version == plan.Version) == wanted {
			matching = append(matching, replica)
		}
	}
	if len(matching) == 0 && (wanted || plan.Share > 0) {
		return replicas
	}
	return matching
}

// Deadline returns the time until which a call on the route may take.
func Deadline(route *router.Route, arrival time.Time, left time.Duration) time.Time {
	if route.Timeout > 0 {
		left = min(left, route.Timeout)
	}
	return arrival.Add(left)
}
