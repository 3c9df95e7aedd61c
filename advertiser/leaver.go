package advertiser

import (
	"time"
)

// Stage is a stage of the leaving sequence, the graceful stop of an instance.
type Stage int

// Stages of the leaving sequence, in order.
const (
	// Serving is the stage before a stop is requested.
	Serving Stage = iota
	// Announced waits until the peers know that this instance leaves, so that they
	// stop giving out its address.
	Announced
	// Holding serves as before until the answers that callers have cached expire.
	Holding
	// Refusing refuses new queries of callers and finishes the accepted ones.
	// Sub-requests of other roots are still accepted.
	Refusing
	// Draining hands the targets over to the other members and finishes the
	// sub-requests in flight.
	Draining
	// Released has released the targets and waits to leave the view.
	Released
	// Done means that the process may exit.
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

// Limits holds the time limits of the leaving sequence.
type Limits struct {
	// Announce is the time for the announcement to reach all peers.
	Announce time.Duration
	// Hold is the time after which all answers that hold this instance's address
	// have expired.
	Hold time.Duration
	// Drain is the longest time for accepted work to finish, counted from Refusing.
	Drain time.Duration
	// Depart is the longest time to stay in Released until the other members no
	// longer need this instance.
	Depart time.Duration
}

// DefaultLimits returns the default limits.
func DefaultLimits() Limits {
	return Limits{
		// Two heartbeats, so that one may be lost.
		Announce: time.Second,
		// The additional 2 s cover lookups that a peer answered before the
		// announcement reached it, and the transmission to the caller.
		Hold:   ValidFor + 2*time.Second,
		Drain:  30 * time.Second,
		Depart: 5 * time.Second,
	}
}

// Progress holds the inputs that the leaving sequence waits for.
type Progress struct {
	// Queries and SubRequests count accepted work that has not ended.
	Queries     int
	SubRequests int
	// HandedOver is set once the view assigns the targets to other members.
	HandedOver bool
	// Departed is set once the other members no longer need this instance.
	Departed bool
}

// Leaver is the state machine of the leaving sequence. It is not safe for concurrent
// use.
type Leaver struct {
	limits        Limits
	stage         Stage
	enteredAt     time.Time
	drainDeadline time.Time
	overrun       bool
}

// NewLeaver returns a leaver in the stage Serving.
func NewLeaver(limits Limits) *Leaver { return &Leaver{limits: limits} }

// Begin starts the leaving sequence. Only the first call has an effect.
func (l *Leaver) Begin(now time.Time) {
	if l.stage == Serving {
		l.enter(Announced, now)
	}
}

// Stage returns the current stage.
func (l *Leaver) Stage() Stage { return l.stage }

// Leaving reports whether the leaving sequence has begun, so that heartbeats must
// mark this instance as leaving.
func (l *Leaver) Leaving() bool { return l.stage >= Announced }

// AcceptsWork reports whether new queries of callers are accepted.
func (l *Leaver) AcceptsWork() bool { return l.stage < Refusing }

// Overrun reports whether accepted work had not ended within Limits.Drain, so that
// it is interrupted and the stop is not graceful.
func (l *Leaver) Overrun() bool { return l.overrun }

// Advance enters all further stages whose conditions hold and returns the current
// stage.
func (l *Leaver) Advance(now time.Time, p Progress) Stage {
	for l.step(now, p) {
	}
	return l.stage
}

// step enters the next stage if its condition holds.
func (l *Leaver) step(now time.Time, p Progress) bool {
	elapsed := now.Sub(l.enteredAt)
	switch l.stage {
	case Announced:
		return l.enterIf(elapsed >= l.limits.Announce, Holding, now)
	case Holding:
		if elapsed < l.limits.Hold {
			return false
		}
		l.drainDeadline = now.Add(l.limits.Drain)
		return l.enterIf(true, Refusing, now)
	case Refusing:
		return l.enterIf(l.workDone(now, p.Queries), Draining, now)
	case Draining:
		// Without a handover, for example while the store is down, the other
		// members take the targets over after this process has ended.
		expired := !now.Before(l.drainDeadline)
		return l.enterIf((p.HandedOver || expired) && l.workDone(now, p.Queries+p.SubRequests), Released, now)
	case Released:
		return l.enterIf(p.Departed || elapsed >= l.limits.Depart, Done, now)
	default:
		return false
	}
}

// workDone reports whether the work has ended or the drain deadline has passed,
// which it records as an overrun.
func (l *Leaver) workDone(now time.Time, work int) bool {
	if work == 0 {
		return true
	}
	if now.Before(l.drainDeadline) {
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
	l.enteredAt = now
}
