package sender

import (
	"time"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/connector"
	"jujubegate.example/jujubegate/router"
)

// Call is one request to one service.
type Call struct {
	Request *connector.Request
	Route   *router.Route
	Service jujubegate.Service
}

// Attempt is one attempt of a call at one target.
type Attempt struct {
	Target string
	// Kind says what led to the try.
	Kind AttemptKind
	// At is the time since the start of the call, Took that until the end of
	// the try.
	At, Took time.Duration
	Result   AttemptResult
	Status   int
	Err      error
}

// AttemptKind is the reason of a try.
type AttemptKind string

// Reasons of tries.
const (
	First AttemptKind = "First"
	Hedge AttemptKind = "Hedge"
	Retry AttemptKind = "Retry"
)

// AttemptResult says how a try ended.
type AttemptResult string

// Ends of tries.
const (
	// Answered tries have the target's own answer.
	Answered AttemptResult = "Answered"
	// NotSent tries never reached the target.
	NotSent AttemptResult = "NotSent"
	// Refused tries were not run by the target.
	Refused AttemptResult = "Refused"
	// Misdirected tries reached another target.
	Misdirected AttemptResult = "Misdirected"
	// Broken tries may have run, but have no usable answer.
	Broken AttemptResult = "Broken"
	// Overtaken tries were no longer needed.
	Overtaken AttemptResult = "Overtaken"
	// Cancelled tries ended with their request.
	Cancelled AttemptResult = "Cancelled"
)

// Late is the reason of a call that was given up as its answer came too late.
const Late jujubegate.Reason = "Late"

// Outcome is the end of a call.
type Outcome struct {
	// Answer is the target's, if OK is set.
	Answer connector.Answer
	OK     bool
	// Target is the ID of the target that answered.
	Target string
	// Ran says whether any target may have run the request; meaningless with OK.
	Ran      jujubegate.Outcome
	Attempts []Attempt
	// Reason says why there is no answer.
	Reason jujubegate.Reason
}

// Success reports whether the outcome is a target's complete success.
func (o *Outcome) Success() bool {
	return o.OK && o.Answer.Status/100 == 2 && o.Answer.Signature != ""
}
