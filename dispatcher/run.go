package dispatcher

import (
	"context"
	"errors"
	"sync"
	"time"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/dialer"
)

var errCancelled = errors.New("the sender cancelled the sub-request")

// batchRun is the execution of one batch.
type batchRun struct {
	batch jujubegate.Batch
	tasks []task

	mu        sync.Mutex
	results   []jujubegate.SubResult
	remaining int
	// arrived signals a new result; done is closed after the last one.
	arrived chan struct{}
	done    chan struct{}
	// next links the runs of one query in the run index.
	next *batchRun
}

// addResult adds the result of one task to those that wait for delivery.
func (r *batchRun) addResult(result jujubegate.SubResult) {
	r.mu.Lock()
	r.results = append(r.results, result)
	r.remaining--
	if r.remaining == 0 {
		close(r.done)
	}
	r.mu.Unlock()
	select {
	case r.arrived <- struct{}{}:
	default:
	}
}

// takeResults removes and returns the results that wait for delivery, and
// whether they are the last.
func (r *batchRun) takeResults() (results []jujubegate.SubResult, last bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	results, r.results = r.results, nil
	return results, r.remaining == 0
}

// withdraw withdraws all tasks of the run.
func (r *batchRun) withdraw(reason jujubegate.Reason, cause error) {
	for i := range r.tasks {
		r.tasks[i].withdraw(reason, cause)
	}
}

// Do runs all sub-requests of a batch and delivers each result once; results
// that arrive within one millisecond are delivered together. It returns after
// the last delivery, and does not call deliver concurrently. When the context
// ends or the deadline passes, queued sub-requests are refused and running ones
// are cancelled, except for orders: the answer to a running order is awaited
// until one second after the deadline, then its outcome is delivered as unknown.
func (d *Dispatcher) Do(ctx context.Context, batch jujubegate.Batch, deliver func([]jujubegate.SubResult)) {
	if len(batch.SubRequests) == 0 {
		return
	}
	d.mu.RLock()
	if d.closing {
		d.mu.RUnlock()
		deliver(refuseAll(batch, newRefusal(jujubegate.Leaving, "this instance is leaving")))
		return
	}
	d.calls.Add(1)
	d.mu.RUnlock()
	defer d.calls.Done()

	r := &batchRun{
		batch: batch, tasks: make([]task, len(batch.SubRequests)), remaining: len(batch.SubRequests),
		arrived: make(chan struct{}, 1), done: make(chan struct{}),
	}
	d.mu.RLock()
	for i, sub := range batch.SubRequests {
		r.tasks[i] = task{run: r, sub: sub, target: d.targets[sub.Target]}
	}
	d.mu.RUnlock()
	d.runs.add(r)
	defer d.runs.remove(r)
	d.place(r)
	d.collect(ctx, r, deliver)
}

// place starts, queues or refuses each task of a run.
func (d *Dispatcher) place(r *batchRun) {
	now := d.settings.Clock.Now()
	for i := range r.tasks {
		t := &r.tasks[i]
		if t.target == nil {
			t.refuse(newRefusal(jujubegate.NotOwner, "this instance does not own the target"))
			continue
		}
		t.target.place(t, now)
	}
}

// collect delivers the results as they arrive, and withdraws the tasks that are
// left when the deadline passes or the context ends. Orders that still run
// orderGrace after the deadline are reported as unknown.
func (d *Dispatcher) collect(ctx context.Context, r *batchRun, deliver func([]jujubegate.SubResult)) {
	clock := d.settings.Clock
	deadline := clock.After(max(r.batch.Deadline.Sub(clock.Now()), 0))
	var orderEnd <-chan time.Time
	cancelled := ctx.Done()
	for {
		select {
		case <-r.arrived:
			select {
			case <-clock.After(coalesceTime):
			case <-r.done:
			}
			results, last := r.takeResults()
			if len(results) > 0 {
				d.countResults(results)
				deliver(results)
			}
			if last {
				return
			}
		case <-deadline:
			r.withdraw(jujubegate.DeadlinePassed, dialer.ErrDeadline)
			deadline = nil
			if r.batch.Order {
				orderEnd = clock.After(orderGrace)
			}
		case <-orderEnd:
			orderEnd = nil
			for i := range r.tasks {
				r.tasks[i].reportUnknown()
			}
		case <-cancelled:
			r.withdraw(jujubegate.Cancelled, errCancelled)
			cancelled = nil
		}
	}
}

func (d *Dispatcher) countResults(results []jujubegate.SubResult) {
	answered, cancelled := 0, 0
	for i := range results {
		switch r := results[i].Refusal; {
		case r == nil:
			answered++
		case r.Reason == jujubegate.Cancelled:
			cancelled++
		}
	}
	for _, c := range []struct {
		name string
		n    int
	}{
		{CountAnswered, answered},
		{CountCancelled, cancelled},
		{CountRefused, len(results) - answered - cancelled},
	} {
		if c.n > 0 {
			d.settings.Count(c.name, int64(c.n))
		}
	}
}

func refuseAll(batch jujubegate.Batch, refusal *jujubegate.Refusal) []jujubegate.SubResult {
	results := make([]jujubegate.SubResult, len(batch.SubRequests))
	for i, sub := range batch.SubRequests {
		results[i] = jujubegate.SubResult{
			Shard: sub.Shard, Attempt: sub.Attempt, Target: sub.Target, Refusal: refusal,
		}
	}
	return results
}

// Cancel withdraws the given sub-requests of a query, or all of them if none
// are given. Sub-requests that have ended are ignored.
func (d *Dispatcher) Cancel(queryID string, subRequests []jujubegate.SubRequest) {
	for _, r := range d.runs.find(queryID) {
		if len(subRequests) == 0 {
			r.withdraw(jujubegate.Cancelled, errCancelled)
			continue
		}
		for i := range r.tasks {
			for _, sub := range subRequests {
				if r.tasks[i].sub == sub {
					r.tasks[i].withdraw(jujubegate.Cancelled, errCancelled)
				}
			}
		}
	}
}

// runIndex holds the batches in progress by query ID. The runs of one query are
// linked through batchRun.next.
type runIndex struct {
	mu      sync.Mutex
	byQuery map[string]*batchRun
}

func newRunIndex() runIndex { return runIndex{byQuery: make(map[string]*batchRun)} }

func (s *runIndex) add(r *batchRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.next = s.byQuery[r.batch.QueryID]
	s.byQuery[r.batch.QueryID] = r
}

func (s *runIndex) remove(r *batchRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := r.batch.QueryID
	if s.byQuery[id] == r {
		if r.next == nil {
			delete(s.byQuery, id)
		} else {
			s.byQuery[id] = r.next
		}
		return
	}
	for p := s.byQuery[id]; p != nil; p = p.next {
		if p.next == r {
			p.next = r.next
			return
		}
	}
}

func (s *runIndex) find(queryID string) []*batchRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []*batchRun
	for r := s.byQuery[queryID]; r != nil; r = r.next {
		found = append(found, r)
	}
	return found
}

func (s *runIndex) cancelAll() {
	s.mu.Lock()
	var all []*batchRun
	for _, r := range s.byQuery {
		for ; r != nil; r = r.next {
			all = append(all, r)
		}
	}
	s.mu.Unlock()
	for _, r := range all {
		r.withdraw(jujubegate.Cancelled, errCancelled)
	}
}
