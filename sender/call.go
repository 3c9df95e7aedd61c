package sender

import (
	"net/http"
	"time"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/connector"
	"jujubegate.example/jujubegate/router"
	"jujubegate.example/jujubegate/screener"
)

// Call is one request to one service.
type Call struct {
	Request *connector.Request
	Route   *router.Route
	Service jujubegate.Service
	// Due is when the answer is needed; zero if there is no such time.
	Due time.Time
	// Run follows what happens to the request at its targets; may be nil.
	Run *screener.Run
}

// Attempt is one sending of a request to one target.
type Attempt struct {
	Target string
	// Kind says why the attempt was made.
	Kind AttemptKind
	// At is the time from the start of the call to the start of the attempt,
	// and Took is the duration of the attempt.
	At, Took time.Duration
	Result   AttemptResult
	Status   int
	Err      error
	// TargetEnded is set if the process of the target ended while it had the request.
	TargetEnded bool
}

// AttemptKind is the reason for an attempt.
type AttemptKind string

// Kinds of attempts.
const (
	First AttemptKind = "First"
	Hedge AttemptKind = "Hedge"
	Retry AttemptKind = "Retry"
)

// AttemptResult says how an attempt ended.
type AttemptResult string

// Results of attempts.
const (
	// Answered attempts have a signed answer of the target.
	Answered AttemptResult = "Answered"
	// NotSent attempts never reached the target.
	NotSent AttemptResult = "NotSent"
	// Refused attempts were rejected by the target without running the request.
	Refused AttemptResult = "Refused"
	// Misdirected attempts reached another target, which now has the address.
	Misdirected AttemptResult = "Misdirected"
	// Broken attempts have no usable answer although the request may have run.
	Broken AttemptResult = "Broken"
	// Overtaken attempts were no longer needed, for instance because another
	// target answered first.
	Overtaken AttemptResult = "Overtaken"
	// Cancelled attempts ended because their call was cancelled or timed out.
	Cancelled AttemptResult = "Cancelled"
)

// Observation is the end of one attempt as evidence on the version of its target.
type Observation struct {
	Call    Call
	Version jujubegate.Version
	Result  AttemptResult
	// Status is that of the answer, if there is one.
	Status int
	// Took is the time from sending the attempt to its end, and Typical the median of
	// the route; 0 if it is unknown.
	Took, Typical time.Duration
	// Cold is set if the target was cold, and therefore slow.
	Cold bool
}

// Failed reports whether the target failed the request.
func (o *Observation) Failed() bool {
	return o.Result == Broken || o.Result == Answered && o.Status >= http.StatusInternalServerError
}

// Late is the reason for a call that was abandoned because its answer was no
// longer needed, for instance because the query was answered without it.
const Late jujubegate.Reason = "Late"

// CallResult is the result of a call.
type CallResult struct {
	// Answer is the answer of the target if OK is set.
	Answer connector.Answer
	OK     bool
	// Target is the ID of the target that answered.
	Target string
	// Outcome says whether a target ran the request. It is always Ran if OK is set.
	Outcome  jujubegate.Outcome
	Attempts []Attempt
	// Reason says why there is no answer if OK is not set.
	Reason jujubegate.Reason
	// RetryAfter is the time after which a retry can succeed; 0 if it is unknown.
	RetryAfter time.Duration
}

// Success reports whether a target answered with a 2xx status and a signature.
func (r *CallResult) Success() bool {
	return r.OK && r.Answer.Status/100 == 2 && r.Answer.Signature != ""
}
