package jujubegate

import (
	"fmt"
	"time"
)

// Outcome says whether a request ran on a target.
type Outcome int

// Outcomes of a request.
const (
	Unknown Outcome = iota
	Ran
	NotRun
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	switch o {
	case Ran:
		return "Ran"
	case NotRun:
		return "NotRun"
	default:
		return "Unknown"
	}
}

// Reason says why a request or sub-request was refused.
type Reason string

// Reasons of a refusal.
const (
	Overloaded      Reason = "Overloaded"
	DeadlinePassed  Reason = "DeadlinePassed"
	SnapshotNotHeld Reason = "SnapshotNotHeld"
	TargetDraining  Reason = "Draining"
	NotOwner        Reason = "NotOwner"
	TargetDown      Reason = "TargetDown"
	BadAnswer       Reason = "BadAnswer"
	Cancelled       Reason = "Cancelled"
	OutOfService    Reason = "OutOfService"
	Shed            Reason = "Shed"
	TargetError     Reason = "TargetError"
	Isolated        Reason = "Isolated"
	Leaving         Reason = "Leaving"
	UnknownService  Reason = "UnknownService"
	UnknownRoute    Reason = "UnknownRoute"
	BadRequest      Reason = "BadRequest"
	StoreDown       Reason = "StoreDown"
	Duplicate       Reason = "Duplicate"
	Expired         Reason = "Expired"
	NoCoverage      Reason = "NoCoverage"
)

// Refusal is the typed error of a request that has no answer.
type Refusal struct {
	Reason  Reason
	Outcome Outcome
	// RetryAfter is the shortest useful wait before another try; 0 means none is known.
	RetryAfter time.Duration
	Detail     string
}

// Error returns the reason, the outcome and the detail.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Reason, r.Outcome, r.Detail)
}
