package scheduler

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jujubegate.example/jujubegate"
)

const modelLength = 12

// waiting is an entry of the plain model.
type waiting struct{ Entry[int] }

// plain is the queue as one list per caller and priority in a list of turns.
type plain struct {
	// turns lists the callers of a priority, the next one first.
	turns   map[int][]jujubegate.Caller
	waiting []waiting
	dropped []int
}

// of returns the waiting entries of a caller in the order of service.
func (p *plain) of(caller jujubegate.Caller, priority int) []waiting {
	var list []waiting
	for _, w := range p.waiting {
		if w.Caller == caller && w.Priority == priority {
			list = append(list, w)
		}
	}
	slices.SortStableFunc(list, func(a, b waiting) int { return a.Deadline.Compare(b.Deadline) })
	return list
}

func (p *plain) remove(id int) {
	i := slices.IndexFunc(p.waiting, func(w waiting) bool { return w.Payload == id })
	w := p.waiting[i]
	p.waiting = slices.Delete(p.waiting, i, i+1)
	if len(p.of(w.Caller, w.Priority)) == 0 {
		p.turns[w.Priority] = slices.DeleteFunc(p.turns[w.Priority], func(c jujubegate.Caller) bool { return c == w.Caller })
	}
}

// push returns the reason of a refusal. It serves a copy of the queue until
// the entry's turn to find the wait, in the most unfavourable round.
func (p *plain) push(now time.Time, e Entry[int], load Load) jujubegate.Reason {
	if e.Deadline.Sub(now) < load.ServiceTime {
		return jujubegate.DeadlinePassed
	}
	before := 0
	own := 0
	for _, w := range p.of(e.Caller, e.Priority) {
		if !w.Deadline.After(e.Deadline) {
			own++
		}
	}
	same := 0
	for _, w := range p.waiting {
		if w.Priority > e.Priority {
			before++
		} else if w.Priority == e.Priority {
			same++
		}
	}
	callers := len(p.turns[e.Priority])
	if !slices.Contains(p.turns[e.Priority], e.Caller) {
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
	if len(p.waiting) == modelLength && !p.evict(e) {
		return jujubegate.Overloaded
	}
	p.waiting = append(p.waiting, waiting{Entry: e})
	if !slices.Contains(p.turns[e.Priority], e.Caller) {
		p.turns[e.Priority] = append(p.turns[e.Priority], e.Caller)
	}
	return ""
}

func (p *plain) evict(e Entry[int]) bool {
	lowest := p.waiting[0].Priority
	for _, w := range p.waiting {
		lowest = min(lowest, w.Priority)
	}
	var longest []waiting
	for _, c := range p.turns[lowest] {
		if list := p.of(c, lowest); len(list) > len(longest) {
			longest = list
		}
	}
	if lowest > e.Priority || lowest == e.Priority && len(longest) <= len(p.of(e.Caller, lowest))+1 {
		return false
	}
	victim := longest[len(longest)-1].Payload
	p.dropped = append(p.dropped, victim)
	p.remove(victim)
	return true
}

// pop returns the entry to serve, or -1.
func (p *plain) pop(now time.Time, service time.Duration) int {
	for len(p.waiting) > 0 {
		highest := p.waiting[0].Priority
		for _, w := range p.waiting {
			highest = max(highest, w.Priority)
		}
		caller := p.turns[highest][0]
		first := p.of(caller, highest)[0]
		late := first.Deadline.Sub(now) < service
		if !late {
			p.turns[highest] = append(p.turns[highest][1:], caller)
		}
		p.remove(first.Payload)
		if !late {
			return first.Payload
		}
		p.dropped = append(p.dropped, first.Payload)
	}
	return -1
}

func TestQueueMatchesModel(t *testing.T) {
	// Guards against links between entries, callers and priorities that break,
	// and against an order or a refusal that differs from the plain one.
	rapid.Check(t, func(t *rapid.T) {
		q := New[int](modelLength)
		p := &plain{turns: map[int][]jujubegate.Caller{}}
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
				want := p.push(now, e, load)
				ticket, v := q.Push(now, e, load)
				if v.Reason != want {
					t.Fatalf("pushed: %q, want %q", v.Reason, want)
				}
				if want == "" {
					tickets[id] = ticket
				}
			case "pop":
				want := p.pop(now, serviceTime)
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
				waits := slices.ContainsFunc(p.waiting, func(w waiting) bool { return w.Payload == picked })
				if known && q.Remove(ticket) != waits {
					t.Fatalf("removal of %d: waits %v", picked, waits)
				}
				if waits {
					p.remove(picked)
				}
			case "wait":
				now = now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "wait")) * time.Millisecond)
			}
			if q.Len() != len(p.waiting) || !slices.Equal(dropped, p.dropped) {
				t.Fatalf("%d waiting, dropped %v, want %d and %v", q.Len(), dropped, len(p.waiting), p.dropped)
			}
		}
	})
}
