package scheduler

import (
	"slices"
	"time"

	"jujubegate.example/jujubegate"
)

// flowKey identifies the entries of one caller at one priority.
type flowKey struct {
	caller   jujubegate.Caller
	priority int
}

// flow is the list of waiting entries of one caller, by deadline.
type flow struct {
	key        flowKey
	head, tail int32
	count      int
	// previous and next link the flows of one priority in a ring.
	previous, next int32
}

// flows holds the flows with waiting entries; unused ones are kept for reuse.
type flows struct {
	list  []flow
	index map[flowKey]int32
	free  []int32
}

func newFlows() flows { return flows{index: make(map[flowKey]int32)} }

func (s *flows) find(caller jujubegate.Caller, priority int) (int32, bool) {
	f, ok := s.index[flowKey{caller, priority}]
	return f, ok
}

func (s *flows) add(key flowKey) int32 {
	var f int32
	if n := len(s.free); n > 0 {
		f = s.free[n-1]
		s.free = s.free[:n-1]
	} else {
		s.list = append(s.list, flow{})
		f = int32(len(s.list) - 1)
	}
	s.list[f] = flow{key: key, head: none, tail: none, previous: f, next: f}
	s.index[key] = f
	return f
}

func (s *flows) release(f int32) {
	delete(s.index, s.list[f].key)
	s.free = append(s.free, f)
}

// level is the ring of flows of one priority. All sub-requests of a target
// cost about the same, so that serving one entry of each flow in turn is
// deficit round robin with a quantum of one entry.
type level struct {
	priority int
	// current is the flow to serve next, none if the level is empty.
	current int32
	count   int
	flows   int
}

// level returns the index of the level of a priority, adding it if needed.
// Levels are few, sorted by descending priority, and stay once added.
func (q *Queue[T]) level(priority int) int {
	for i := range q.levels {
		if q.levels[i].priority == priority {
			return i
		}
	}
	q.levels = append(q.levels, level{priority: priority, current: none})
	slices.SortFunc(q.levels, func(a, b level) int { return b.priority - a.priority })
	return q.level(priority)
}

// next returns the flow to serve next: the current one of the highest level.
func (q *Queue[T]) next() int32 {
	for i := range q.levels {
		if q.levels[i].count > 0 {
			return q.levels[i].current
		}
	}
	return none
}

// served moves the turn to the flow after f.
func (q *Queue[T]) served(f int32) {
	q.levels[q.level(q.flows.list[f].key.priority)].current = q.flows.list[f].next
}

func (q *Queue[T]) insert(e Entry[T]) Ticket {
	i := q.free
	if i == none {
		q.nodes = append(q.nodes, node[T]{})
		i = int32(len(q.nodes) - 1)
	} else {
		q.free = q.nodes[i].next
	}
	n := &q.nodes[i]
	n.entry, n.used = e, true
	n.serial++
	v := &q.levels[q.level(e.Priority)]
	f, ok := q.flows.find(e.Caller, e.Priority)
	if !ok {
		f = q.flows.add(flowKey{e.Caller, e.Priority})
		q.joinRing(v, f)
	}
	n.flow = f
	q.linkByDeadline(f, i)
	v.count++
	q.count++
	return Ticket{index: i, serial: n.serial}
}

// joinRing adds a flow at the end of the round, before the current one.
func (q *Queue[T]) joinRing(v *level, f int32) {
	v.flows++
	if v.current == none {
		v.current = f
		return
	}
	s := q.flows.list
	before := s[v.current].previous
	s[f].previous, s[f].next = before, v.current
	s[before].next, s[v.current].previous = f, f
}

// place returns how many entries of a flow are served before one with the deadline.
func (q *Queue[T]) place(f int32, deadline time.Time) int {
	w := &q.flows.list[f]
	place := w.count
	for i := w.tail; i != none && q.nodes[i].entry.Deadline.After(deadline); i = q.nodes[i].previous {
		place--
	}
	return place
}

// makeRoom drops the last entry of the longest flow of the lowest priority if
// that is fair to a new entry of the caller, and reports whether it did.
// Without it, a caller that fills the queue would shut out all others.
func (q *Queue[T]) makeRoom(caller jujubegate.Caller, priority int) bool {
	lowest := len(q.levels) - 1
	for q.levels[lowest].count == 0 {
		lowest--
	}
	v := &q.levels[lowest]
	if v.priority > priority {
		return false
	}
	longest := v.current
	for f := q.flows.list[longest].next; f != v.current; f = q.flows.list[f].next {
		if q.flows.list[f].count > q.flows.list[longest].count {
			longest = f
		}
	}
	if v.priority == priority {
		own := 0
		if f, ok := q.flows.find(caller, priority); ok {
			own = q.flows.list[f].count
		}
		if q.flows.list[longest].count <= own+1 {
			return false
		}
	}
	i := q.flows.list[longest].tail
	e := q.nodes[i].entry
	q.remove(i)
	if q.Dropped != nil {
		q.Dropped(e, jujubegate.Overloaded)
	}
	return true
}

// linkByDeadline puts an entry behind those of its flow with an earlier or
// equal deadline. Deadlines mostly ascend, so the search starts at the tail.
func (q *Queue[T]) linkByDeadline(f, i int32) {
	w, n := &q.flows.list[f], &q.nodes[i]
	after := w.tail
	for after != none && q.nodes[after].entry.Deadline.After(n.entry.Deadline) {
		after = q.nodes[after].previous
	}
	n.previous = after
	if after == none {
		n.next = w.head
		w.head = i
	} else {
		n.next = q.nodes[after].next
		q.nodes[after].next = i
	}
	if n.next == none {
		w.tail = i
	} else {
		q.nodes[n.next].previous = i
	}
	w.count++
}

func (q *Queue[T]) remove(i int32) {
	n := &q.nodes[i]
	f := n.flow
	w := &q.flows.list[f]
	if n.previous == none {
		w.head = n.next
	} else {
		q.nodes[n.previous].next = n.next
	}
	if n.next == none {
		w.tail = n.previous
	} else {
		q.nodes[n.next].previous = n.previous
	}
	w.count--
	v := &q.levels[q.level(w.key.priority)]
	v.count--
	q.count--
	if w.count == 0 {
		q.leaveRing(v, f)
	}
	var zero Entry[T]
	n.entry, n.used = zero, false // lets go of the payload
	n.next, n.previous = q.free, none
	q.free = i
}

func (q *Queue[T]) leaveRing(v *level, f int32) {
	s := q.flows.list
	v.flows--
	if v.flows == 0 {
		v.current = none
	} else {
		s[s[f].previous].next, s[s[f].next].previous = s[f].next, s[f].previous
		if v.current == f {
			v.current = s[f].next
		}
	}
	q.flows.release(f)
}
