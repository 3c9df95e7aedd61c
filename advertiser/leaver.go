package advertiser

import (
	"time"
)

// Stage is a step of the leaving sequence.
type Stage int

// Stages in their order.
const (
	// Serving is the stage before the stop request.
	Serving Stage = iota
	// Announced tells the peers, which stop giving out this instance's address.
	Announced
	// Holding serves as before until the answers that callers keep have expired.
	Holding
	// Refusing refuses new work of callers and finishes the queries that were
	// accepted; sub-requests of other roots are still taken.
	Refusing
	// Draining gives the targets to the other members and finishes the
	// sub-requests in flight.
	Draining
	// Released has released the targets and leaves the view.
	Released
	// Done may exit.
	Done
)

var stageNames = []string{"Serving", "Announced", "Holding", "Refusing", "Draining", "Released", "Done"}

// String returns the name of the stage.
func (s Stage) String() string {
	if s < 0 || int(s) >= len(stageNames) {
		return "Unknown"
	}
	return stageNames[s]
}

// Limits holds the times of the leaving sequence.
type Limits struct {
	// Announce is the time for the announcement to reach all peers.
	Announce time.Duration
	// Hold is the time for which answers given out before expire.
	Hold time.Duration
	// Drain is the longest time for accepted work to finish, from Refusing on.
	Drain time.Duration
	// Depart is the longest time to wait for the other members at the end.
	Depart time.Duration
}

// DefaultLimits returns the times of the design.
func DefaultLimits() Limits {
	return Limits{
		// Two heartbeats, so that one may be lost.
		Announce: time.Second,
		// A lookup can be answered until the announcement arrives and takes
		// its way to the caller.
		Hold:   ValidFor + 2*time.Second,
		Drain:  30 * time.Second,
		Depart: 5 * time.Second,
	}
}

// Progress is what the leaving sequence depends on.
type Progress struct {
	// Queries and SubRequests count accepted work that has not ended.
	Queries     int
	SubRequests int
	// HandedOver is set once a view gives the targets to other members.
	HandedOver bool
	// Departed is set once the other members can go on without this instance.
	Departed bool
}

// Leaver is the leaving sequence as a state machine. It is not safe for
// concurrent use.
type Leaver struct {
	limits   Limits
	stage    Stage
	entered  time.Time
	drainEnd time.Time
	overrun  bool
}

// NewLeaver returns a sequence that has not begun.
func NewLeaver(limits Limits) *Leaver { return &Leaver{limits: limits} }

// Begin starts the sequence; later calls have no effect.
func (l *Leaver) Begin(now time.Time) {
	if l.stage == Serving {
		l.enter(Announced, now)
	}
}

// Stage returns the current stage.
func (l *Leaver) Stage() Stage { return l.stage }

// Leaving reports whether the peers must be told that this instance leaves.
func (l *Leaver) Leaving() bool { return l.stage >= Announced }

// AcceptsWork reports whether new work of callers is taken.
func (l *Leaver) AcceptsWork() bool { return l.stage < Refusing }

// Overrun reports whether accepted work had not ended within the drain limit
// and was interrupted, which violates the promise of a graceful stop.
func (l *Leaver) Overrun() bool { return l.overrun }

// Advance moves the sequence on as far as the progress allows and returns the stage.
func (l *Leaver) Advance(now time.Time, p Progress) Stage {
	for l.step(now, p) {
	}
	return l.stage
}

// step enters the next stage if its condition holds.
func (l *Leaver) step(now time.Time, p Progress) bool {
	spent := now.Sub(l.entered)
	switch l.stage {
	case Announced:
		return l.enterIf(spent >= l.limits.Announce, Holding, now)
	case Holding:
		if spent < l.limits.Hold {
			return false
		}
		l.drainEnd = now.Add(l.limits.Drain)
		return l.enterIf(true, Refusing, now)
	case Refusing:
		return l.enterIf(l.drained(now, p.Queries), Draining, now)
	case Draining:
		// Without a handover, such as with the store down, the others take
		// over after this process has ended.
		over := !now.Before(l.drainEnd)
		return l.enterIf((p.HandedOver || over) && l.drained(now, p.Queries+p.SubRequests), Released, now)
	case Released:
		return l.enterIf(p.Departed || spent >= l.limits.Depart, Done, now)
	default:
		return false
	}
}

// drained reports whether the work has ended or must be interrupted.
func (l *Leaver) drained(now time.Time, work int) bool {
	if work == 0 {
		return true
	}
	if now.Before(l.drainEnd) {
		return false
	}
	l.overrun = true
	return true
}

func (l *Leaver) enterIf(condition bool, s Stage, now time.Time) bool {
	if condition {
		l.enter(s, now)
	}
	return condition
}

func (l *Leaver) enter(s Stage, now time.Time) {
	l.stage = s
	l.entered = now
}
