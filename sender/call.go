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

// Try is one attempt of a call at one target.
type Try struct {
	Target string
	// Why says what led to the try.
	Why Why
	// At is the time since the start of the call, Took that until the end of
	// the try.
	At, Took time.Duration
	End      End
	Status   int
	Err      error
}

// Why is the reason of a try.
type Why string

// Reasons of tries.
const (
	First Why = "First"
	Hedge Why = "Hedge"
	Retry Why = "Retry"
)

// End says how a try ended.
type End string

// Ends of tries.
const (
	// Answered tries have the target's own answer.
	Answered End = "Answered"
	// NotSent tries never reached the target.
	NotSent End = "NotSent"
	// Refused tries were not run by the target.
	Refused End = "Refused"
	// Misdirected tries reached another target.
	Misdirected End = "Misdirected"
	// Broken tries may have run, but have no usable answer.
	Broken End = "Broken"
	// Overtaken tries were no longer needed.
	Overtaken End = "Overtaken"
	// Cancelled tries ended with their request.
	Cancelled End = "Cancelled"
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
	Ran   jujubegate.Outcome
	Tries []Try
	// Reason says why there is no answer.
	Reason jujubegate.Reason
}

// Success reports whether the outcome is a target's complete success.
func (o *Outcome) Success() bool {
	return o.OK && o.Answer.Status/100 == 2 && o.Answer.Signature != ""
}
