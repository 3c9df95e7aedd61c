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

// Reasons for a refusal.
const (
	Overloaded      Reason = "Overloaded" // not sent for lack of capacity
	DeadlinePassed  Reason = "DeadlinePassed"
	SnapshotNotHeld Reason = "SnapshotNotHeld" // the target does not hold the requested snapshot
	TargetDraining  Reason = "Draining"
	NotOwner        Reason = "NotOwner" // the instance does not own the target, or another target has its address
	TargetDown      Reason = "TargetDown"
	BadAnswer       Reason = "BadAnswer" // the answer of a target is unusable or was lost
	Cancelled       Reason = "Cancelled"
	OutOfService    Reason = "OutOfService" // the data centre or version of the target is out of service
	Shed            Reason = "Shed"         // the target refused the request for lack of capacity
	TargetError     Reason = "TargetError"
	Isolated        Reason = "Isolated" // the instance has no serving lease or no current configuration
	Leaving         Reason = "Leaving"  // the instance is shutting down
	UnknownService  Reason = "UnknownService"
	UnknownRoute    Reason = "UnknownRoute"
	BadRequest      Reason = "BadRequest"
	StoreDown       Reason = "StoreDown"
	Duplicate       Reason = "Duplicate"  // the order ID was used for another request
	Expired         Reason = "Expired"    // the order ID is older than the retention time
	NoCoverage      Reason = "NoCoverage" // too few shards or targets can answer
	CrashesTargets  Reason = "CrashesTargets"
)

// Refusal is the typed error for a request without an answer.
type Refusal struct {
	Reason  Reason
	Outcome Outcome
	// RetryAfter is the shortest wait after which a retry can succeed; 0 if it
	// is unknown.
	RetryAfter time.Duration
	Detail     string
}

// Error returns the reason, the outcome and the detail.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Reason, r.Outcome, r.Detail)
}
