package limiter

import "time"

// Ticket identifies one request in flight.
type Ticket struct {
	index int32
	// serial tells apart the uses of one index, so that a late Finish or
	// Closed cannot free another request.
	serial uint32
}

const none int32 = -1

// flight is one request that may run at the target.
type flight struct {
	started time.Time
	expires time.Time
	serial  uint32
	// previous and next link the abandoned flights in order of expiry, or,
	// through next only, the free ones.
	previous, next int32
	state          flightState
}

type flightState uint8

const (
	flightFree flightState = iota
	flightRunning
	flightAbandoned
)

// flights counts the requests in flight. Entries are reused, so that the
// steady state does not allocate.
type flights struct {
	entries []flight
	// free, oldest and newest are an index plus one; 0 is none.
	free           int32
	oldest, newest int32
	count          int
}

func (f *flights) start(now time.Time) Ticket {
	i := f.free - 1
	if i == none {
		f.entries = append(f.entries, flight{})
		i = int32(len(f.entries) - 1)
	} else {
		f.free = f.entries[i].next
	}
	e := &f.entries[i]
	e.started, e.state = now, flightRunning
	e.serial++
	e.previous, e.next = 0, 0
	f.count++
	return Ticket{index: i, serial: e.serial}
}

// entry returns the flight of a ticket, nil if it has been freed.
func (f *flights) entry(t Ticket) *flight {
	if t.index < 0 || int(t.index) >= len(f.entries) {
		return nil
	}
	e := &f.entries[t.index]
	if e.serial != t.serial || e.state == flightFree {
		return nil
	}
	return e
}

// finish frees a flight. It returns the start and whether it was running and
// not yet abandoned.
func (f *flights) finish(t Ticket) (started time.Time, running bool) {
	e := f.entry(t)
	if e == nil {
		return time.Time{}, false
	}
	running = e.state == flightRunning
	f.release(t.index)
	return e.started, running
}

func (f *flights) release(i int32) {
	e := &f.entries[i]
	if e.state == flightAbandoned {
		f.unlink(i)
	}
	e.state, e.previous, e.next = flightFree, 0, f.free
	f.free = i + 1
	f.count--
}

// abandon lets a running flight count until the expiry at most. The grace is
// the same for all, so that appending keeps the list in order of expiry.
func (f *flights) abandon(t Ticket, expires time.Time) (started time.Time, ok bool) {
	e := f.entry(t)
	if e == nil || e.state != flightRunning {
		return time.Time{}, false
	}
	e.state, e.expires = flightAbandoned, expires
	e.previous, e.next = f.newest, 0
	if f.newest != 0 {
		f.entries[f.newest-1].next = t.index + 1
	} else {
		f.oldest = t.index + 1
	}
	f.newest = t.index + 1
	return e.started, true
}

func (f *flights) unlink(i int32) {
	e := &f.entries[i]
	if e.previous != 0 {
		f.entries[e.previous-1].next = e.next
	} else {
		f.oldest = e.next
	}
	if e.next != 0 {
		f.entries[e.next-1].previous = e.previous
	} else {
		f.newest = e.previous
	}
}

// reap frees the abandoned flights whose grace has passed.
func (f *flights) reap(now time.Time) {
	for f.oldest != 0 && !now.Before(f.entries[f.oldest-1].expires) {
		f.release(f.oldest - 1)
	}
}

// recount counts the flights from their entries.
func (f *flights) recount() int {
	n := 0
	for i := range f.entries {
		if f.entries[i].state != flightFree {
			n++
		}
	}
	return n
}
