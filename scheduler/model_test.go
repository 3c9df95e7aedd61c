package scheduler

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jujubegate.example/jujubegate"
)

const modelLength = 12

// waitingEntry is an entry of the model.
type waitingEntry struct{ Entry[int] }

// model is a reference implementation of the queue with plain lists.
type model struct {
	// turns lists the callers of each priority, the one to serve next first.
	turns   map[int][]jujubegate.Caller
	waiting []waitingEntry
	dropped []int
}

// entriesOf returns the waiting entries of a caller at a priority in the order of
// service.
func (m *model) entriesOf(caller jujubegate.Caller, priority int) []waitingEntry {
	var list []waitingEntry
	for _, w := range m.waiting {
		if w.Caller == caller && w.Priority == priority {
			list = append(list, w)
		}
	}
	slices.SortStableFunc(list, func(a, b waitingEntry) int { return a.Deadline.Compare(b.Deadline) })
	return list
}

func (m *model) remove(id int) {
	i := slices.IndexFunc(m.waiting, func(w waitingEntry) bool { return w.Payload == id })
	w := m.waiting[i]
	m.waiting = slices.Delete(m.waiting, i, i+1)
	if len(m.entriesOf(w.Caller, w.Priority)) == 0 {
		m.turns[w.Priority] = slices.DeleteFunc(m.turns[w.Priority], func(c jujubegate.Caller) bool { return c == w.Caller })
	}
}

// push adds an entry, or returns the reason of its refusal. It estimates the wait
// for the case that the caller's turn comes last in each round.
func (m *model) push(now time.Time, e Entry[int], load Load) jujubegate.Reason {
	if e.Deadline.Sub(now) < load.ServiceTime {
		return jujubegate.DeadlinePassed
	}
	before := 0
	own := 0
	for _, w := range m.entriesOf(e.Caller, e.Priority) {
		if !w.Deadline.After(e.Deadline) {
			own++
		}
	}
	same := 0
	for _, w := range m.waiting {
		if w.Priority > e.Priority {
			before++
		} else if w.Priority == e.Priority {
			same++
		}
	}
	callers := len(m.turns[e.Priority])
	if !slices.Contains(m.turns[e.Priority], e.Caller) {
		callers++
	}
	before += min(same, own*callers+callers-1)
	wait := time.Duration(0)
	if busy := load.InFlight + before + 1 - load.Limit; busy > 0 {
		wait = time.Duration(busy) * load.ServiceTime / time.Duration(load.Limit)
	}
	if now.Add(wait + load.ServiceTime).After(e.Deadline) {
		return jujubegate.Overloaded
	}
	if len(m.waiting) == modelLength && !m.evict(e) {
		return jujubegate.Overloaded
	}
	m.waiting = append(m.waiting, waitingEntry{Entry: e})
	if !slices.Contains(m.turns[e.Priority], e.Caller) {
		m.turns[e.Priority] = append(m.turns[e.Priority], e.Caller)
	}
	return ""
}

func (m *model) evict(e Entry[int]) bool {
	lowest := m.waiting[0].Priority
	for _, w := range m.waiting {
		lowest = min(lowest, w.Priority)
	}
	var longest []waitingEntry
	for _, c := range m.turns[lowest] {
		if list := m.entriesOf(c, lowest); len(list) > len(longest) {
			longest = list
		}
	}
	if lowest > e.Priority || lowest == e.Priority && len(longest) <= len(m.entriesOf(e.Caller, lowest))+1 {
		return false
	}
	victim := longest[len(longest)-1].Payload
	m.dropped = append(m.dropped, victim)
	m.remove(victim)
	return true
}

// pop removes the entry to serve next and returns its payload, or -1 if there is
// none.
func (m *model) pop(now time.Time, service time.Duration) int {
	for len(m.waiting) > 0 {
		highest := m.waiting[0].Priority
		for _, w := range m.waiting {
			highest = max(highest, w.Priority)
		}
		caller := m.turns[highest][0]
		first := m.entriesOf(caller, highest)[0]
		late := first.Deadline.Sub(now) < service
		if !late {
			m.turns[highest] = append(m.turns[highest][1:], caller)
		}
		m.remove(first.Payload)
		if !late {
			return first.Payload
		}
		m.dropped = append(m.dropped, first.Payload)
	}
	return -1
}

func TestQueueMatchesModel(t *testing.T) {
	// Guards against broken links between entries, flows and levels, and against
	// an order of service or a refusal that differs from the model.
	rapid.Check(t, func(t *rapid.T) {
		q := New[int](modelLength)
		m := &model{turns: map[int][]jujubegate.Caller{}}
		var dropped []int
		q.Dropped = func(e Entry[int], _ jujubegate.Reason) { dropped = append(dropped, e.Payload) }
		now, tickets := epoch, map[int]Ticket{}
		for id := range rapid.IntRange(50, 100).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"push", "push", "push", "push", "pop", "remove", "wait"}).Draw(t, "step") {
			case "push":
				e := Entry[int]{
					Caller:   rapid.SampledFrom([]jujubegate.Caller{"a", "b", "c", "d"}).Draw(t, "caller"),
					Priority: rapid.SampledFrom([]int{2, 2, 2, 1, 3}).Draw(t, "priority"),
					Deadline: now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "deadline")) * time.Millisecond),
					Payload:  id,
				}
				load := Load{rapid.IntRange(1, 3).Draw(t, "limit"), rapid.IntRange(0, 3).Draw(t, "in flight"), rapid.SampledFrom([]time.Duration{0, 0, serviceTime}).Draw(t, "service time")}
				want := m.push(now, e, load)
				ticket, v := q.Push(now, e, load)
				if v.Reason != want {
					t.Fatalf("pushed: %q, want %q", v.Reason, want)
				}
				if want == "" {
					tickets[id] = ticket
				}
			case "pop":
				want := m.pop(now, serviceTime)
				e, ok := q.Pop(now, serviceTime)
				if ok != (want >= 0) || ok && e.Payload != want {
					t.Fatalf("popped %v %v, want %d", e, ok, want)
				}
			case "remove":
				if len(tickets) == 0 {
					continue
				}
				picked := rapid.IntRange(0, id).Draw(t, "picked")
				ticket, known := tickets[picked]
				waits := slices.ContainsFunc(m.waiting, func(w waitingEntry) bool { return w.Payload == picked })
				if known && q.Remove(ticket) != waits {
					t.Fatalf("removal of %d: waits %v", picked, waits)
				}
				if waits {
					m.remove(picked)
				}
			case "wait":
				now = now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "wait")) * time.Millisecond)
			}
			if q.Len() != len(m.waiting) || !slices.Equal(dropped, m.dropped) {
				t.Fatalf("%d waiting, dropped %v, want %d and %v", q.Len(), dropped, len(m.waiting), m.dropped)
			}
		}
	})
}
