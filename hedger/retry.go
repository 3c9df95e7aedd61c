package hedger

import (
	"time"

	"jujubegate.example/jujubegate"
)

// Decision says what follows a refusal.
type Decision int

// Decisions on refused sub-requests.
const (
	// GiveUp ends the shard without a result.
	GiveUp Decision = iota
	// RetryElsewhere sends the sub-request to another replica.
	RetryElsewhere
)

// Retry decides on a refused sub-request of a query. Refusals that say "not
// run" may be retried anywhere; others only on an idempotent route. An order is
// never retried. The time left must exceed the least useful time, which is the
// expected time of a sub-request.
func Retry(refusal *jujubegate.Refusal, idempotent, order bool, left, least time.Duration) Decision {
	if order || left <= least {
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
