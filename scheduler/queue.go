// Package scheduler orders the sub-requests that wait for one target: by
// priority, fairly between callers, by deadline within a caller. It does no
// I/O; every method takes the time.
package scheduler

import (
	"time"

	"jujubegate.example/jujubegate"
)

// DefaultLength is the number of entries that may wait for one target. At two
// slots and 5 ms each, 256 entries wait longer than any deadline in use.
const DefaultLength = 256

// Entry is one sub-request that waits.
type Entry[T any] struct {
	Caller jujubegate.Caller
	// Priority is that of the service; a larger one is served first.
	Priority int
	Deadline time.Time
	Payload  T
}

// Load is what the queue needs to know about the target to estimate a wait.
type Load struct {
	// Limit and InFlight are the allowed and the running requests.
	Limit, InFlight int
	// ServiceTime is the smoothed service time; 0 if unknown.
	ServiceTime time.Duration
}

// Verdict is the answer to Push. Reason is empty if the entry was queued.
type Verdict struct {
	Reason jujubegate.Reason
	// RetryAfter is the shortest useful wait before another try.
	RetryAfter time.Duration
}

// Refusal returns the verdict as a typed refusal, nil if the entry was queued.
func (v Verdict) Refusal() *jujubegate.Refusal {
	if v.Reason == "" {
		return nil
	}
	detail := "the estimated wait passes the deadline"
	if v.Reason == jujubegate.DeadlinePassed {
		detail = "the service time passes the deadline"
	}
	return &jujubegate.Refusal{
		Reason: v.Reason, Outcome: jujubegate.NotRun, RetryAfter: v.RetryAfter, Detail: detail,
	}
}

// Ticket identifies a waiting entry.
type Ticket struct {
	index int32
	// serial tells apart the uses of one index.
	serial uint32
}

// Queue holds the entries that wait for one target. It is not safe for
// concurrent use.
type Queue[T any] struct {
	// Dropped receives each entry that is removed without being served, with the
	// reason: DeadlinePassed if it can no longer meet its deadline, Overloaded if
	// it made room in the full queue. nil ignores it.
	Dropped func(Entry[T], jujubegate.Reason)

	length int
	nodes  []node[T]
	free   int32
	levels []level
	flows  flows
	count  int
}

// node is one entry in the list of its flow.
type node[T any] struct {
	entry          Entry[T]
	previous, next int32
	flow           int32
	serial         uint32
	used           bool
}

const none int32 = -1

// New returns an empty queue of at most length entries; 0 means DefaultLength.
func New[T any](length int) *Queue[T] {
	if length <= 0 {
		length = DefaultLength
	}
	return &Queue[T]{length: length, free: none, flows: newFlows()}
}

// Len returns the number of waiting entries.
func (q *Queue[T]) Len() int { return q.count }

// Push adds an entry, or refuses it if it cannot meet its deadline behind the
// entries that are served before it. In a full queue it takes the place of an
// entry of lower priority, or of a caller that has more entries waiting.
func (q *Queue[T]) Push(now time.Time, e Entry[T], load Load) (Ticket, Verdict) {
	if now.Add(load.ServiceTime).After(e.Deadline) {
		return Ticket{}, Verdict{Reason: jujubegate.DeadlinePassed}
	}
	wait := q.Wait(e.Caller, e.Priority, e.Deadline, load)
	if late := now.Add(wait + load.ServiceTime).Sub(e.Deadline); late > 0 {
		return Ticket{}, Verdict{Reason: jujubegate.Overloaded, RetryAfter: late}
	}
	if q.count >= q.length && !q.makeRoom(e.Caller, e.Priority) {
		return Ticket{}, Verdict{Reason: jujubegate.Overloaded, RetryAfter: max(wait, time.Millisecond)}
	}
	return q.insert(e), Verdict{}
}

// Wait estimates how long a new entry would wait. With equal shares, an entry
// at place k of its caller is served after at most k entries of each caller
// that waits at its priority, and after all of higher priority.
func (q *Queue[T]) Wait(caller jujubegate.Caller, priority int, deadline time.Time, load Load) time.Duration {
	ahead := 0
	for i := range q.levels {
		v := &q.levels[i]
		switch {
		case v.priority > priority:
			ahead += v.count
		case v.priority == priority:
			place, active := 0, v.flows
			if f, ok := q.flows.find(caller, priority); ok {
				place = q.place(f, deadline)
			} else {
				active++
			}
			ahead += min(v.count, (place+1)*active-1)
		}
	}
	limit := max(load.Limit, 1)
	free := limit - load.InFlight
	if ahead < free {
		return 0
	}
	return time.Duration(ahead-free+1) * load.ServiceTime / time.Duration(limit)
}

// Pop removes the entry to serve next. Entries that can no longer meet their
// deadline are removed and passed to Dropped.
func (q *Queue[T]) Pop(now time.Time, serviceTime time.Duration) (Entry[T], bool) {
	for q.count > 0 {
		f := q.next()
		i := q.flows.list[f].head
		e := q.nodes[i].entry
		if !now.Add(serviceTime).After(e.Deadline) {
			q.served(f)
			q.remove(i)
			return e, true
		}
		q.remove(i)
		if q.Dropped != nil {
			q.Dropped(e, jujubegate.DeadlinePassed)
		}
	}
	return Entry[T]{}, false
}

// Remove takes out a waiting entry. It reports false if the entry has left.
func (q *Queue[T]) Remove(t Ticket) bool {
	if t.index < 0 || int(t.index) >= len(q.nodes) {
		return false
	}
	n := &q.nodes[t.index]
	if !n.used || n.serial != t.serial {
		return false
	}
	q.remove(t.index)
	return true
}

// Clear removes all entries and passes each to the function.
func (q *Queue[T]) Clear(removed func(Entry[T])) {
	for q.count > 0 {
		i := q.flows.list[q.next()].head
		e := q.nodes[i].entry
		q.remove(i)
		removed(e)
	}
}
