// Package scheduler orders the sub-requests that wait for one target: by
// priority, fairly between callers, by deadline within a caller. It does no I/O;
// the methods take the current time as an argument.
package scheduler

import (
	"time"

	"jujubegate.example/jujubegate"
)

// DefaultLength is the number of entries that may wait for one target. With two
// slots and a service time of 5 ms, the last of 256 entries waits 640 ms, which
// is longer than any deadline in use.
const DefaultLength = 256

// Entry is one waiting sub-request.
type Entry[T any] struct {
	Caller jujubegate.Caller
	// Priority is the priority of the service; larger ones are served first.
	Priority int
	Deadline time.Time
	Payload  T
}

// Load is the load of the target, from which the queue estimates a wait.
type Load struct {
	// Limit and InFlight are the numbers of allowed and of running requests.
	Limit, InFlight int
	// ServiceTime is the smoothed service time; 0 if unknown.
	ServiceTime time.Duration
}

// Verdict is the decision of Push.
type Verdict struct {
	// Reason is the reason for a refusal, empty if the entry was queued.
	Reason jujubegate.Reason
	// RetryAfter is the shortest time after which a retry can be useful.
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
	// Dropped is called with each entry that is removed without being served, and
	// the reason: DeadlinePassed if it can no longer meet its deadline, Overloaded
	// if it was evicted from the full queue. nil ignores it.
	Dropped func(Entry[T], jujubegate.Reason)

	capacity int
	nodes    []node[T]
	free     int32
	levels   []level
	flows    flows
	count    int
}

// node is one entry in the list of its flow, or an unused node. previous, next
// and flow are indexes.
type node[T any] struct {
	entry          Entry[T]
	previous, next int32
	flow           int32
	serial         uint32
	used           bool
}

const none int32 = -1

// New returns an empty queue of at most capacity entries; 0 means DefaultLength.
func New[T any](capacity int) *Queue[T] {
	if capacity <= 0 {
		capacity = DefaultLength
	}
	return &Queue[T]{capacity: capacity, free: none, flows: newFlows()}
}

// Len returns the number of waiting entries.
func (q *Queue[T]) Len() int { return q.count }

// Push adds an entry, or refuses it if it would probably miss its deadline.
// If the queue is full, an entry of lower priority, or of a caller that has more
// waiting entries, is evicted; if there is none, the new entry is refused.
func (q *Queue[T]) Push(now time.Time, e Entry[T], load Load) (Ticket, Verdict) {
	if now.Add(load.ServiceTime).After(e.Deadline) {
		return Ticket{}, Verdict{Reason: jujubegate.DeadlinePassed}
	}
	wait := q.Wait(e.Caller, e.Priority, e.Deadline, load)
	if late := now.Add(wait + load.ServiceTime).Sub(e.Deadline); late > 0 {
		return Ticket{}, Verdict{Reason: jujubegate.Overloaded, RetryAfter: late}
	}
	if q.count >= q.capacity && !q.evict(e.Caller, e.Priority) {
		return Ticket{}, Verdict{Reason: jujubegate.Overloaded, RetryAfter: max(wait, time.Millisecond)}
	}
	return q.insert(e), Verdict{}
}

// Wait estimates the time that a new entry would wait. If k entries of its caller
// are served before it, the entry waits for all entries of higher priority, for
// these k, and for at most k+1 entries of each other caller at its priority.
func (q *Queue[T]) Wait(caller jujubegate.Caller, priority int, deadline time.Time, load Load) time.Duration {
	ahead := 0
	for i := range q.levels {
		lvl := &q.levels[i]
		switch {
		case lvl.priority > priority:
			ahead += lvl.count
		case lvl.priority == priority:
			position, active := 0, lvl.flows
			if f, ok := q.flows.find(caller, priority); ok {
				position = q.position(f, deadline)
			} else {
				active++
			}
			ahead += min(lvl.count, (position+1)*active-1)
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
		f := q.nextFlow()
		i := q.flows.list[f].head
		e := q.nodes[i].entry
		if !now.Add(serviceTime).After(e.Deadline) {
			q.advanceRing(f)
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

// Remove removes a waiting entry. It reports false if the entry no longer waits.
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

// Clear removes all entries and calls removed for each.
func (q *Queue[T]) Clear(removed func(Entry[T])) {
	for q.count > 0 {
		i := q.flows.list[q.nextFlow()].head
		e := q.nodes[i].entry
		q.remove(i)
		removed(e)
	}
}
