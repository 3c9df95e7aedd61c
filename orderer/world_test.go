package orderer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/configurator"
	"jujubegate.example/jujubegate/leaser"
	"jujubegate.example/jujubegate/querier"
	"jujubegate.example/jujubegate/storer"
)

// simulation is a set of instances with a store and targets, in which faults occur at
// random. It records every run of an order. It must be used in a synctest bubble.
type simulation struct {
	mu         sync.Mutex
	random     *rand.Rand
	store      *fakeStore
	instances  []*simulatedInstance
	runs       map[uuid.UUID][]recordedRun
	violations []string
	// outage is set while the store refuses every call.
	outage bool
	// faultsOff is set when no more faults occur, so that repairs can finish.
	faultsOff bool
	// ended is closed at the end, which unblocks the calls of crashed instances.
	ended chan struct{}
	// faultPercent is the percentage of store calls that fail.
	faultPercent int
	// pausePercent is the percentage of calls of Place in which the instance pauses.
	pausePercent int
	// falseNotRun makes targets answer orders that they ran with a NotRun refusal, in
	// a negative control.
	falseNotRun bool
	// alwaysFirst makes callers set Request.First on repeats too.
	alwaysFirst bool
}

// recordedRun is a run of an order on a target.
type recordedRun struct {
	at   time.Time
	call callInfo
	body string
}

// callInfo identifies the call that a run belongs to, by the number of its request.
type callInfo struct {
	number int
}

type callKey struct{}

// simulatedInstance is an instance whose orderer has its own clock.
type simulatedInstance struct {
	orderer *Orderer
	crashed bool
}

// skewedClock is a clock that is ahead of the real one by an offset.
type skewedClock struct {
	clockwork.Clock
	offset time.Duration
}

func (c skewedClock) Now() time.Time { return c.Clock.Now().Add(c.offset) }

func newSimulation(random *rand.Rand, skew time.Duration) *simulation {
	sim := &simulation{
		random: random, store: newFakeStore(), runs: make(map[uuid.UUID][]recordedRun), ended: make(chan struct{}),
		faultPercent: []int{0, 5, 20, 40}[random.IntN(4)], pausePercent: []int{5, 30}[random.IntN(2)],
	}
	for i := range 2 + random.IntN(3) {
		instance := &simulatedInstance{}
		offset := time.Duration(0)
		if skew > 0 {
			offset = time.Duration(random.Int64N(int64(skew)))
		}
		limit := rate.Limit(rate.Inf)
		if random.IntN(4) == 0 {
			limit = 4
		}
		store := storer.Store{
			Get: func(ctx context.Context, key string) (storer.Object, error) {
				return sim.call(ctx, instance, func() (storer.Object, error) { return sim.get(key) })
			},
			Put: func(ctx context.Context, key string, value []byte, version int64) (storer.Object, error) {
				return sim.call(ctx, instance, func() (storer.Object, error) { return sim.store.apply(key, value, version) })
			},
		}
		instance.orderer = New(store, nil, skewedClock{clockwork.NewRealClock(), offset}, limit, zap.NewNop())
		instance.orderer.Serving = func(time.Time) bool { return sim.chance(98) }
		instance.orderer.Place = func(now time.Time, _ string, service jujubegate.Service, _ jujubegate.Route, _ jujubegate.Caller,
			shardOf func(int) int,
		) (querier.Placement, *jujubegate.Refusal) {
			return sim.place(instance, now, service, shardOf)
		}
		instance.orderer.Dispatch = func(ctx context.Context, _ leaser.Member, b jujubegate.Batch,
			deliver func([]jujubegate.SubResult, []jujubegate.TargetReport),
		) error {
			return sim.dispatch(ctx, instance, b, deliver)
		}
		instance.orderer.Violation = func(name, detail string) { sim.recordViolation("violation of " + name + ": " + detail) }
		instance.orderer.NewToken = func() string { return fmt.Sprintf("root%d-%d", i, sim.randomBelow(1<<62)) }
		sim.instances = append(sim.instances, instance)
	}
	return sim
}

func (sim *simulation) recordViolation(text string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.violations = append(sim.violations, text)
}

// randomBelow returns a random number from 0 to n-1.
func (sim *simulation) randomBelow(n int64) int64 {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.random.Int64N(n)
}

// chance is true in the given percentage of calls, and always when faults are off.
func (sim *simulation) chance(percent int) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.faultsOff || sim.random.IntN(100) < percent
}

// injectFault is true in the given percentage of calls, and never when faults are off.
func (sim *simulation) injectFault(percent int) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return !sim.faultsOff && sim.random.IntN(100) < percent
}

// stillRunning reports whether the instance has not crashed. For a crashed instance
// it blocks until the end of the simulation.
func (sim *simulation) stillRunning(instance *simulatedInstance) bool {
	sim.mu.Lock()
	crashed := instance.crashed
	sim.mu.Unlock()
	if crashed {
		<-sim.ended
	}
	return !crashed
}

// get returns an object. The caller holds the lock of the store.
func (sim *simulation) get(key string) (storer.Object, error) {
	o, ok := sim.store.objects[key]
	if !ok {
		return storer.Object{}, storer.ErrNotFound
	}
	return o, nil
}

// call runs a store call with latency and faults: outages, and lost answers of calls
// that take effect at once, later or not at all.
func (sim *simulation) call(ctx context.Context, instance *simulatedInstance, effect func() (storer.Object, error)) (storer.Object, error) {
	if !sim.stillRunning(instance) {
		return storer.Object{}, storer.ErrUnavailable
	}
	sim.mu.Lock()
	outage := sim.outage && !sim.faultsOff
	sim.mu.Unlock()
	if outage {
		return storer.Object{}, storer.ErrUnavailable
	}
	latency := time.Duration(1+sim.randomBelow(20)) * time.Millisecond
	if sim.injectFault(5) {
		latency *= 40
	}
	select {
	case <-ctx.Done():
		if sim.injectFault(50) {
			sim.applyLater(effect)
		}
		return storer.Object{}, storer.ErrUnknown
	case <-time.After(latency):
	}
	if !sim.stillRunning(instance) {
		return storer.Object{}, storer.ErrUnavailable
	}
	if sim.injectFault(sim.faultPercent) {
		switch sim.randomBelow(4) {
		case 0:
			return storer.Object{}, storer.ErrUnavailable
		case 1: // lost without an effect
			return storer.Object{}, storer.ErrUnknown
		case 2: // takes effect late
			sim.applyLater(effect)
			return storer.Object{}, context.DeadlineExceeded
		}
		sim.applyLocked(effect)
		return storer.Object{}, storer.ErrUnknown
	}
	return sim.applyLocked(effect)
}

// applyLocked applies the effect of a store call under the lock of the store.
func (sim *simulation) applyLocked(effect func() (storer.Object, error)) (storer.Object, error) {
	sim.store.mu.Lock()
	defer sim.store.mu.Unlock()
	return effect()
}

// applyLater applies the effect of a store call after up to 3 s.
func (sim *simulation) applyLater(effect func() (storer.Object, error)) {
	time.AfterFunc(time.Duration(sim.randomBelow(3000))*time.Millisecond, func() { sim.applyLocked(effect) })
}

// place pauses the instance at random, as a garbage collection or a suspended machine
// would between the write of the record and the dispatch.
func (sim *simulation) place(instance *simulatedInstance, _ time.Time, service jujubegate.Service, shardOf func(int) int) (querier.Placement, *jujubegate.Refusal) {
	if sim.injectFault(sim.pausePercent) {
		time.Sleep(time.Duration(sim.randomBelow([]int64{500, 4000}[sim.randomBelow(2)])) * time.Millisecond)
	}
	sim.stillRunning(instance)
	if sim.injectFault(3) {
		return querier.Placement{}, refuse(jujubegate.NoCoverage, "no target")
	}
	return querier.Placement{
		Service:    configurator.ServiceSpec{Name: service, Deadline: time.Second},
		SubRequest: jujubegate.SubRequest{Shard: shardOf(4), Target: "10.0.0.1:9000", Attempt: 1},
	}, nil
}

// dispatch runs the order on a target, unless it is lost or refused.
func (sim *simulation) dispatch(ctx context.Context, instance *simulatedInstance, b jujubegate.Batch,
	deliver func([]jujubegate.SubResult, []jujubegate.TargetReport),
) error {
	if !sim.stillRunning(instance) {
		return errors.New("crashed")
	}
	if !b.Order || len(b.SubRequests) != 1 {
		sim.recordViolation("order was not sent as one")
	}
	id := uuid.MustParse(strings.SplitN(b.QueryID, "/", 2)[0])
	sub := b.SubRequests[0]
	result := jujubegate.SubResult{Shard: sub.Shard, Attempt: sub.Attempt, Target: sub.Target}
	refused := func(reason jujubegate.Reason, outcome jujubegate.Outcome) {
		result.Refusal = &jujubegate.Refusal{Reason: reason, Outcome: outcome}
		deliver([]jujubegate.SubResult{result}, nil)
	}
	time.Sleep(time.Duration(sim.randomBelow(20)) * time.Millisecond)
	if sim.injectFault(15) {
		refused(jujubegate.Shed, jujubegate.NotRun)
		return nil
	}
	if sim.injectFault(10) {
		return errors.New("connection refused")
	}
	if sim.injectFault(5) { // the target runs the order after the instance gave up
		<-ctx.Done()
		time.Sleep(time.Duration(sim.randomBelow(2000)) * time.Millisecond)
	}
	sim.mu.Lock()
	call, _ := ctx.Value(callKey{}).(callInfo)
	sim.runs[id] = append(sim.runs[id], recordedRun{at: time.Now(), call: call, body: string(b.Body)})
	sim.mu.Unlock()
	switch {
	case sim.falseNotRun:
		refused(jujubegate.Shed, jujubegate.NotRun)
	case sim.injectFault(10):
		return errors.New("connection reset")
	case sim.injectFault(5):
		refused(jujubegate.TargetError, jujubegate.Ran)
	case sim.injectFault(6):
		result.Rows = []byte(`[1`)
		deliver([]jujubegate.SubResult{result}, nil)
	default:
		result.Rows = fmt.Appendf(nil, `[{"Order":%q}]`, id)
		deliver([]jujubegate.SubResult{{Shard: sub.Shard + 1, Attempt: 9}, result, result}, nil)
	}
	return nil
}

// crash stops an instance at its next call of the store, of Place or of Dispatch.
func (sim *simulation) crash(instance *simulatedInstance) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	instance.crashed = true
}
