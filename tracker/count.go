package tracker

import "sync/atomic"

// counters count what targets have said about themselves since the start.
type counters struct{ departures, pauses, pausesUnreadable atomic.Int64 }

// DeparturesSeen returns the number of targets that have said in an answer, to this
// instance or another one, that they leave.
func (t *Tracker) DeparturesSeen() int64 { return t.counters.departures.Load() }

// PausesAsked returns the number of pauses that targets have asked this instance for.
func (t *Tracker) PausesAsked() int64 { return t.counters.pauses.Load() }

// PausesUnreadable returns the number of answers with a pause that cannot be read.
func (t *Tracker) PausesUnreadable() int64 { return t.counters.pausesUnreadable.Load() }

// LimitedCount returns the number of targets that name a limit.
func (t *Tracker) LimitedCount() int {
	return t.count(func(r *Replica) bool { return r.limited.Load() })
}

// PausedCount returns the number of targets that have asked for a pause or return from
// one.
func (t *Tracker) PausedCount() int {
	return t.count(func(r *Replica) bool { return r.paused.Load() })
}

// LeavingCount returns the number of listed targets that have said that they leave.
func (t *Tracker) LeavingCount() int {
	return t.count(func(r *Replica) bool {
		_, ok := t.departureOf(r.Entry())
		return ok
	})
}

func (t *Tracker) count(includes func(*Replica) bool) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, r := range t.replicas {
		if includes(r) {
			n++
		}
	}
	return n
}
