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

// flow is the list of waiting entries of one caller at one priority, sorted by
// deadline.
type flow struct {
	key        flowKey
	head, tail int32
	count      int
	// previous and next link the flows of one priority in a ring.
	previous, next int32
}

// flows holds the flows that have waiting entries. Flows are identified by their
// index in list; free holds the indexes of unused ones.
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

// level is the ring of flows of one priority. One entry of each flow is served in
// turn, which is deficit round robin with a quantum of one entry, since all
// sub-requests of a target cost about the same.
type level struct {
	priority int
	// current is the flow to serve next, none if the level is empty.
	current int32
	// count is the number of waiting entries, flows that of flows.
	count int
	flows int
}

// levelIndex returns the index of the level of a priority, and adds it if needed.
// Levels are few, sorted by descending priority, and never removed.
func (q *Queue[T]) levelIndex(priority int) int {
	for i := range q.levels {
		if q.levels[i].priority == priority {
			return i
		}
	}
	q.levels = append(q.levels, level{priority: priority, current: none})
	slices.SortFunc(q.levels, func(a, b level) int { return b.priority - a.priority })
	return q.levelIndex(priority)
}

// nextFlow returns the flow to serve next: the current one of the highest level
// that is not empty.
func (q *Queue[T]) nextFlow() int32 {
	for i := range q.levels {
		if q.levels[i].count > 0 {
			return q.levels[i].current
		}
	}
	return none
}

// advanceRing makes the flow after f the current one of its level.
func (q *Queue[T]) advanceRing(f int32) {
	q.levels[q.levelIndex(q.flows.list[f].key.priority)].current = q.flows.list[f].next
}

// insert adds an entry to the flow of its caller and priority.
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
	lvl := &q.levels[q.levelIndex(e.Priority)]
	f, ok := q.flows.find(e.Caller, e.Priority)
	if !ok {
		f = q.flows.add(flowKey{e.Caller, e.Priority})
		q.joinRing(lvl, f)
	}
	n.flow = f
	q.linkByDeadline(f, i)
	lvl.count++
	q.count++
	return Ticket{index: i, serial: n.serial}
}

// joinRing adds a flow at the end of the round, before the current one.
func (q *Queue[T]) joinRing(lvl *level, f int32) {
	lvl.flows++
	if lvl.current == none {
		lvl.current = f
		return
	}
	flows := q.flows.list
	before := flows[lvl.current].previous
	flows[f].previous, flows[f].next = before, lvl.current
	flows[before].next, flows[lvl.current].previous = f, f
}

// position returns how many entries of a flow are served before an entry with
// the deadline.
func (q *Queue[T]) position(f int32, deadline time.Time) int {
	fl := &q.flows.list[f]
	position := fl.count
	for i := fl.tail; i != none && q.nodes[i].entry.Deadline.After(deadline); i = q.nodes[i].previous {
		position--
	}
	return position
}

// evict drops the last entry of the longest flow of the lowest priority to make
// room for a new entry, and reports whether it did. It does so only if the new
// entry has a higher priority, or if it has the same priority and its caller has
// fewer entries than that flow, counting the new one. Without eviction, a caller
// that fills the queue would exclude all others.
func (q *Queue[T]) evict(caller jujubegate.Caller, priority int) bool {
	lowest := len(q.levels) - 1
	for q.levels[lowest].count == 0 {
		lowest--
	}
	lvl := &q.levels[lowest]
	if lvl.priority > priority {
		return false
	}
	longest := lvl.current
	for f := q.flows.list[longest].next; f != lvl.current; f = q.flows.list[f].next {
		if q.flows.list[f].count > q.flows.list[longest].count {
			longest = f
		}
	}
	if lvl.priority == priority {
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

// linkByDeadline inserts an entry after those of its flow with an earlier or
// equal deadline. Deadlines mostly ascend, so that the search starts at the tail.
func (q *Queue[T]) linkByDeadline(f, i int32) {
	fl, n := &q.flows.list[f], &q.nodes[i]
	after := fl.tail
	for after != none && q.nodes[after].entry.Deadline.After(n.entry.Deadline) {
		after = q.nodes[after].previous
	}
	n.previous = after
	if after == none {
		n.next = fl.head
		fl.head = i
	} else {
		n.next = q.nodes[after].next
		q.nodes[after].next = i
	}
	if n.next == none {
		fl.tail = i
	} else {
		q.nodes[n.next].previous = i
	}
	fl.count++
}

// remove removes an entry from its flow, and the flow from its level if it is
// empty.
func (q *Queue[T]) remove(i int32) {
	n := &q.nodes[i]
	f := n.flow
	fl := &q.flows.list[f]
	if n.previous == none {
		fl.head = n.next
	} else {
		q.nodes[n.previous].next = n.next
	}
	if n.next == none {
		fl.tail = n.previous
	} else {
		q.nodes[n.next].previous = n.previous
	}
	fl.count--
	lvl := &q.levels[q.levelIndex(fl.key.priority)]
	lvl.count--
	q.count--
	if fl.count == 0 {
		q.leaveRing(lvl, f)
	}
	var zero Entry[T]
	n.entry, n.used = zero, false // drops the reference to the payload
	n.next, n.previous = q.free, none
	q.free = i
}

func (q *Queue[T]) leaveRing(lvl *level, f int32) {
	flows := q.flows.list
	lvl.flows--
	if lvl.flows == 0 {
		lvl.current = none
	} else {
		flows[flows[f].previous].next, flows[flows[f].next].previous = flows[f].next, flows[f].previous
		if lvl.current == f {
			lvl.current = flows[f].next
		}
	}
	q.flows.release(f)
}
