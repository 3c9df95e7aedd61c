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

// world is a store, targets and roots that fail at random, with a note of every
// run. It is used inside a synctest bubble.
type world struct {
	mu     sync.Mutex
	random *rand.Rand
	store  *fakeStore
	roots  []*root
	runs   map[uuid.UUID][]runNote
	faults []string
	// outage is set while the store refuses every call.
	outage bool
	// calm ends all faults, so that repairs can finish.
	calm bool
	// end releases what a crashed root waits for.
	end chan struct{}
	// hostility is the share of store calls, in percent, that go wrong.
	hostility int
	// pauses is the share of calls, in percent, in which the root is paused.
	pauses int
	// liesNotRun makes targets refuse orders that they ran, for a control.
	liesNotRun bool
	// firstAlways makes callers repeat orders as if they were first ones.
	firstAlways bool
}

// runNote is one run of an order on a target.
type runNote struct {
	at     time.Time
	caller callNote
	body   string
}

// callNote identifies the call that a run belongs to.
type callNote struct {
	number int
}

type callKey struct{}

// root is one instance with its own clock.
type root struct {
	orderer *Orderer
	crashed bool
}

// skewedClock is ahead of the time by an offset.
type skewedClock struct {
	clockwork.Clock
	offset time.Duration
}

func (c skewedClock) Now() time.Time { return c.Clock.Now().Add(c.offset) }

func newWorld(random *rand.Rand, skew time.Duration) *world {
	w := &world{
		random: random, store: newFakeStore(), runs: make(map[uuid.UUID][]runNote), end: make(chan struct{}),
		hostility: []int{0, 5, 20, 40}[random.IntN(4)], pauses: []int{5, 30}[random.IntN(2)],
	}
	for i := range 2 + random.IntN(3) {
		r := &root{}
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
				return w.call(ctx, r, func() (storer.Object, error) { return w.get(key) })
			},
			Put: func(ctx context.Context, key string, value []byte, version int64) (storer.Object, error) {
				return w.call(ctx, r, func() (storer.Object, error) { return w.store.apply(key, value, version) })
			},
		}
		r.orderer = New(store, nil, skewedClock{clockwork.NewRealClock(), offset}, limit, zap.NewNop())
		r.orderer.Serving = func(time.Time) bool { return w.chance(98) }
		r.orderer.Place = func(now time.Time, _ string, service jujubegate.Service, _ jujubegate.Route, _ jujubegate.Caller,
			shardOf func(int) int,
		) (querier.Placement, *jujubegate.Refusal) {
			return w.place(r, now, service, shardOf)
		}
		r.orderer.Dispatch = func(ctx context.Context, _ leaser.Member, b jujubegate.Batch,
			deliver func([]jujubegate.SubResult, []jujubegate.TargetReport),
		) error {
			return w.dispatch(ctx, r, b, deliver)
		}
		r.orderer.Violation = func(name, detail string) { w.fault("violation of " + name + ": " + detail) }
		r.orderer.NewToken = func() string { return fmt.Sprintf("root%d-%d", i, w.number(1<<62)) }
		w.roots = append(w.roots, r)
	}
	return w
}

func (w *world) fault(text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = append(w.faults, text)
}

func (w *world) number(n int64) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.Int64N(n)
}

// chance is true in the percentage of the cases, and always when all is calm.
func (w *world) chance(percent int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.calm || w.random.IntN(100) < percent
}

// trouble is true in the percentage of the cases, and never when all is calm.
func (w *world) trouble(percent int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.calm && w.random.IntN(100) < percent
}

// alive blocks the caller for good if its root has crashed.
func (w *world) alive(r *root) bool {
	w.mu.Lock()
	crashed := r.crashed
	w.mu.Unlock()
	if crashed {
		<-w.end
	}
	return !crashed
}

func (w *world) get(key string) (storer.Object, error) {
	o, ok := w.store.objects[key]
	if !ok {
		return storer.Object{}, storer.ErrNotFound
	}
	return o, nil
}

// call runs one store call with latency, outages, and answers that are lost
// before or after the effect, or whose effect comes late.
func (w *world) call(ctx context.Context, r *root, effect func() (storer.Object, error)) (storer.Object, error) {
	if !w.alive(r) {
		return storer.Object{}, storer.ErrUnavailable
	}
	w.mu.Lock()
	outage := w.outage && !w.calm
	w.mu.Unlock()
	if outage {
		return storer.Object{}, storer.ErrUnavailable
	}
	latency := time.Duration(1+w.number(20)) * time.Millisecond
	if w.trouble(5) {
		latency *= 40
	}
	select {
	case <-ctx.Done():
		if w.trouble(50) {
			w.later(effect)
		}
		return storer.Object{}, storer.ErrUnknown
	case <-time.After(latency):
	}
	if !w.alive(r) {
		return storer.Object{}, storer.ErrUnavailable
	}
	if w.trouble(w.hostility) {
		switch w.number(4) {
		case 0:
			return storer.Object{}, storer.ErrUnavailable
		case 1: // lost before the effect
			return storer.Object{}, storer.ErrUnknown
		case 2: // the effect comes late
			w.later(effect)
			return storer.Object{}, context.DeadlineExceeded
		}
		w.locked(effect)
		return storer.Object{}, storer.ErrUnknown
	}
	return w.locked(effect)
}

func (w *world) locked(effect func() (storer.Object, error)) (storer.Object, error) {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	return effect()
}

func (w *world) later(effect func() (storer.Object, error)) {
	time.AfterFunc(time.Duration(w.number(3000))*time.Millisecond, func() { w.locked(effect) })
}

// place pauses the root at times, as a garbage collection or a suspended
// machine would between the record and the send.
func (w *world) place(r *root, _ time.Time, service jujubegate.Service, shardOf func(int) int) (querier.Placement, *jujubegate.Refusal) {
	if w.trouble(w.pauses) {
		time.Sleep(time.Duration(w.number([]int64{500, 4000}[w.number(2)])) * time.Millisecond)
	}
	w.alive(r)
	if w.trouble(3) {
		return querier.Placement{}, refuse(jujubegate.NoCoverage, "no target")
	}
	return querier.Placement{
		Service:    configurator.ServiceSpec{Name: service, Deadline: time.Second},
		SubRequest: jujubegate.SubRequest{Shard: shardOf(4), Target: "10.0.0.1:9000", Attempt: 1},
	}, nil
}

// dispatch runs the order on a target, unless it gets lost or is refused.
func (w *world) dispatch(ctx context.Context, r *root, b jujubegate.Batch,
	deliver func([]jujubegate.SubResult, []jujubegate.TargetReport),
) error {
	if !w.alive(r) {
		return errors.New("crashed")
	}
	if !b.Order || len(b.SubRequests) != 1 {
		w.fault("order was not sent as one")
	}
	id := uuid.MustParse(strings.SplitN(b.QueryID, "/", 2)[0])
	sub := b.SubRequests[0]
	result := jujubegate.SubResult{Shard: sub.Shard, Attempt: sub.Attempt, Target: sub.Target}
	refused := func(reason jujubegate.Reason, outcome jujubegate.Outcome) {
		result.Refusal = &jujubegate.Refusal{Reason: reason, Outcome: outcome}
		deliver([]jujubegate.SubResult{result}, nil)
	}
	time.Sleep(time.Duration(w.number(20)) * time.Millisecond)
	if w.trouble(15) {
		refused(jujubegate.Shed, jujubegate.NotRun)
		return nil
	}
	if w.trouble(10) {
		return errors.New("connection refused")
	}
	if w.trouble(5) { // the target runs it after the root gave up
		<-ctx.Done()
		time.Sleep(time.Duration(w.number(2000)) * time.Millisecond)
	}
	w.mu.Lock()
	call, _ := ctx.Value(callKey{}).(callNote)
	w.runs[id] = append(w.runs[id], runNote{at: time.Now(), caller: call, body: string(b.Body)})
	w.mu.Unlock()
	switch {
	case w.liesNotRun:
		refused(jujubegate.Shed, jujubegate.NotRun)
	case w.trouble(10):
		return errors.New("connection reset")
	case w.trouble(5):
		refused(jujubegate.TargetError, jujubegate.Ran)
	case w.trouble(6):
		result.Rows = []byte(`[1`)
		deliver([]jujubegate.SubResult{result}, nil)
	default:
		result.Rows = fmt.Appendf(nil, `[{"Order":%q}]`, id)
		deliver([]jujubegate.SubResult{{Shard: sub.Shard + 1, Attempt: 9}, result, result}, nil)
	}
	return nil
}

// crash stops a root for good at its next step outside of its own memory.
func (w *world) crash(r *root) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r.crashed = true
}
