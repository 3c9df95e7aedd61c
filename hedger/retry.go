package hedger

import (
	"time"

	"jujubegate.example/jujubegate"
)

// Decision says what to do after a refusal.
type Decision int

// Decisions after a refusal.
const (
	// GiveUp ends the shard without a result.
	GiveUp Decision = iota
	// RetryElsewhere sends the sub-request to another replica.
	RetryElsewhere
)

// DecideRetry decides what to do after a refusal of a sub-request. A sub-request that
// did not run may be retried on any route, others only on an idempotent one. An
// order is never retried. The time left must exceed minUseful, the expected time
// of a sub-request.
func DecideRetry(refusal *jujubegate.Refusal, idempotent, order bool, left, minUseful time.Duration) Decision {
	if order || left <= minUseful {
		return GiveUp
	}
	switch refusal.Reason {
	case jujubegate.DeadlinePassed, jujubegate.Cancelled, jujubegate.BadRequest,
		jujubegate.UnknownService, jujubegate.UnknownRoute:
		// Another replica would refuse for the same reason.
		return GiveUp
	}
	if refusal.Outcome != jujubegate.NotRun && !idempotent {
		return GiveUp
	}
	return RetryElsewhere
}

// ShowsOverload reports whether the refusal is for lack of capacity.
func ShowsOverload(refusal *jujubegate.Refusal) bool {
	return refusal.Reason == jujubegate.Overloaded || refusal.Reason == jujubegate.Shed
}
