package dispatcher

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/configurator"
	"jujubegate.example/jujubegate/dialer"
)

const address jujubegate.Address = "a:1"

var spec = configurator.ServiceSpec{Name: "Desk", Shards: 1, Slots: 2, Connections: 25, ColdLimit: 1}

// stub is a target whose requests wait until the test answers them.
type stub struct {
	// sent receives each request that was permitted.
	sent   chan *stubRequest
	sends  atomic.Int32
	closed atomic.Int32
	events Events
	// bounds is the last connection bound that was set.
	bounds      atomic.Int64
	neverCloses atomic.Bool
	// stall is how long the process stalls after a request was sent, until it has read
	// the answer stalled; 0 if it does not.
	stall   time.Duration
	stalled dialer.Result
}

type stubRequest struct {
	dialer.Request
	ctx    context.Context
	answer chan dialer.Result
}

func newStub() *stub { return &stub{sent: make(chan *stubRequest, 100)} }

func (s *stub) open(_ jujubegate.Target, _ int, e Events) Link {
	s.events = e
	return Link{
		Send: s.send, SetBound: func(bound, _ int) { s.bounds.Store(int64(bound)) },
		SetConnections: func(int) {}, Close: func() { s.closed.Add(1) },
	}
}

// send returns the test's answer, or the result that the dialer returns for a
// cancelled request.
func (s *stub) send(ctx context.Context, r dialer.Request) dialer.Result {
	if refusal := r.Permit(); refusal != nil {
		return dialer.Result{Refusal: refusal}
	}
	s.sends.Add(1)
	request := &stubRequest{Request: r, ctx: ctx, answer: make(chan dialer.Result, 1)}
	s.sent <- request
	if s.stall > 0 {
		time.Sleep(s.stall)
		return s.stalled
	}
	select {
	case result := <-request.answer:
		return result
	case <-ctx.Done():
		reason := jujubegate.Cancelled
		if errors.Is(context.Cause(ctx), dialer.ErrDeadline) {
			reason = jujubegate.DeadlinePassed
		}
		closed := make(chan struct{})
		if !s.neverCloses.Load() {
			close(closed)
		}
		return dialer.Result{Refusal: &jujubegate.Refusal{Reason: reason}, Closed: closed}
	}
}

var goodResult = dialer.Result{Answer: dialer.Answer{Snapshot: 7, Rows: []byte("[]")}, Replied: true, ServiceTime: time.Millisecond}

// warm sends requests until the target is warm.
func (s *stub) warm(d *Dispatcher) {
	for d.Reports()[0].State != jujubegate.Warm {
		s.events.Loaded(dialer.Load{State: jujubegate.Warm, Snapshots: []jujubegate.Snapshot{7}}, nil)
		done := do(d, context.Background(), batch("warm-up", time.Second))
		(<-s.sent).answer <- goodResult
		<-done
	}
}

// permission holds what MaySend and Allowed return.
type permission struct{ owned, allowed atomic.Bool }

// newOwner returns a dispatcher that owns one target, the stub.
func newOwner(s *stub) (*Dispatcher, *permission) {
	p := &permission{}
	p.owned.Store(true)
	p.allowed.Store(true)
	d := New(Settings{
		MaySend: func(jujubegate.Address, time.Time) bool { return p.owned.Load() },
		Allowed: func(jujubegate.Target) bool { return p.allowed.Load() },
		Open:    s.open, Clock: clockwork.NewRealClock(),
		Violation: func(name, detail string) { panic(name + ": " + detail) },
	})
	d.Update([]jujubegate.Target{{Address: address, Service: "Desk"}}, []configurator.ServiceSpec{spec})
	return d, p
}

func batch(query string, deadline time.Duration) jujubegate.Batch {
	return jujubegate.Batch{
		QueryID: query, Service: "Desk", Route: "Search", Caller: "c", Snapshot: 7, Priority: 2,
		Deadline: time.Now().Add(deadline), SubRequests: []jujubegate.SubRequest{{Target: address, Attempt: 1}},
	}
}

func orderBatch(query string, deadline time.Duration) jujubegate.Batch {
	b := batch(query, deadline)
	b.Order = true
	return b
}

// do runs a batch in the background and sends all its results when it has ended.
func do(d *Dispatcher, ctx context.Context, b jujubegate.Batch) <-chan []jujubegate.SubResult {
	done := make(chan []jujubegate.SubResult, 1)
	go func() {
		var mu sync.Mutex
		var all []jujubegate.SubResult
		d.Do(ctx, b, func(rs []jujubegate.SubResult) {
			if !mu.TryLock() {
				panic("deliver was called concurrently")
			}
			defer mu.Unlock()
			all = append(all, rs...)
		})
		done <- all
	}()
	return done
}

// awaitQueued waits until one sub-request is queued.
func awaitQueued(d *Dispatcher) {
	for d.Reports()[0].Queued != 1 {
		time.Sleep(time.Millisecond)
	}
}
