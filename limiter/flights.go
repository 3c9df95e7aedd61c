package limiter

import "time"

// Ticket identifies one request in flight.
type Ticket struct {
	index int32
	// serial tells apart the uses of one index, so that a late Finish or
	// Closed cannot free another request.
	serial uint32
}

// noIndex is the index of no entry. Links store an index plus one, so that their
// zero value stands for noIndex.
const noIndex int32 = -1

// request is an entry of the request table: one request that may run at the
// target, or a free entry.
type request struct {
	started time.Time
	expires time.Time
	serial  uint32
	// previous and next link the abandoned requests in order of expiry; next
	// also links the free entries. Both are an index plus one; 0 is none.
	previous, next int32
	state          requestState
}

type requestState uint8

const (
	requestFree requestState = iota
	requestRunning
	requestAbandoned
)

// requestTable holds the requests in flight. Entries are reused, so that the
// steady state does not allocate.
type requestTable struct {
	entries []request
	// free, oldest and newest are an index plus one; 0 is none.
	free           int32
	oldest, newest int32
	count          int
}

func (r *requestTable) add(now time.Time) Ticket {
	i := r.free - 1
	if i == noIndex {
		r.entries = append(r.entries, request{})
		i = int32(len(r.entries) - 1)
	} else {
		r.free = r.entries[i].next
	}
	e := &r.entries[i]
	e.started, e.state = now, requestRunning
	e.serial++
	e.previous, e.next = 0, 0
	r.count++
	return Ticket{index: i, serial: e.serial}
}

// lookup returns the request of a ticket, nil if it has been freed.
func (r *requestTable) lookup(t Ticket) *request {
	if t.index < 0 || int(t.index) >= len(r.entries) {
		return nil
	}
	e := &r.entries[t.index]
	if e.serial != t.serial || e.state == requestFree {
		return nil
	}
	return e
}

// finish frees a request. It returns its start and whether it was running, that
// is neither abandoned nor freed before.
func (r *requestTable) finish(t Ticket) (started time.Time, running bool) {
	e := r.lookup(t)
	if e == nil {
		return time.Time{}, false
	}
	running = e.state == requestRunning
	r.release(t.index)
	return e.started, running
}

func (r *requestTable) release(i int32) {
	e := &r.entries[i]
	if e.state == requestAbandoned {
		r.unlink(i)
	}
	e.state, e.previous, e.next = requestFree, 0, r.free
	r.free = i + 1
	r.count--
}

// abandon marks a running request as abandoned: it counts until the expiry at
// most. The grace period is the same for all requests, so that appending keeps the
// list in order of expiry.
func (r *requestTable) abandon(t Ticket, expires time.Time) (started time.Time, ok bool) {
	e := r.lookup(t)
	if e == nil || e.state != requestRunning {
		return time.Time{}, false
	}
	e.state, e.expires = requestAbandoned, expires
	e.previous, e.next = r.newest, 0
	if r.newest != 0 {
		r.entries[r.newest-1].next = t.index + 1
	} else {
		r.oldest = t.index + 1
	}
	r.newest = t.index + 1
	return e.started, true
}

func (r *requestTable) unlink(i int32) {
	e := &r.entries[i]
	if e.previous != 0 {
		r.entries[e.previous-1].next = e.next
	} else {
		r.oldest = e.next
	}
	if e.next != 0 {
		r.entries[e.next-1].previous = e.previous
	} else {
		r.newest = e.previous
	}
}

// expire frees the abandoned requests whose grace period has passed.
func (r *requestTable) expire(now time.Time) {
	for r.oldest != 0 && !now.Before(r.entries[r.oldest-1].expires) {
		r.release(r.oldest - 1)
	}
}

// recount counts the requests by their entries, to check count.
func (r *requestTable) recount() int {
	n := 0
	for i := range r.entries {
		if r.entries[i].state != requestFree {
			n++
		}
	}
	return n
}
