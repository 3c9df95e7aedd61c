package configurator

import (
	"fmt"

	"jujubegate.example/jujubegate"
)

// ConflictError reports that another change was accepted first. The proposal had
// no effect and may be repeated.
type ConflictError struct {
	Generation jujubegate.Generation
	// Author is the author of the accepted change.
	Author string
}

// Error names the generation and the author of the accepted change.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("generation %d was taken by a change of %s; the statements had no effect", e.Generation, e.Author)
}

// UnavailableError reports that the store was not available and the change had
// no effect.
type UnavailableError struct{ Cause error }

// Error returns the cause.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("store is unavailable, the statements had no effect: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// OutcomeUnknownError reports that the store may have stored the change, or may
// still store it.
type OutcomeUnknownError struct {
	// Generation is the generation of the change if it was accepted.
	Generation jujubegate.Generation
	Token      string
	Cause      error
}

// Error names the generation to check, and the token to expect there.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("outcome is unknown: the change is in force if generation %d has the token %s: %v",
		e.Generation, e.Token, e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// GapError reports that changes before an offered one are missing.
type GapError struct {
	Have     jujubegate.Generation
	Received jujubegate.Generation
}

// Error names both generations.
func (e *GapError) Error() string {
	return fmt.Sprintf("change %d does not follow generation %d", e.Received, e.Have)
}

// DivergenceError reports a violated invariant: two different changes of the
// same generation.
type DivergenceError struct {
	Generation jujubegate.Generation
	// Known and Offered are the tokens of the two changes.
	Known    string
	Received string
}

// Error names the generation and both tokens.
func (e *DivergenceError) Error() string {
	return fmt.Sprintf("generation %d has two changes, tokens %s and %s", e.Generation, e.Known, e.Received)
}

// InvalidChangeError reports a violated invariant: an accepted change that can't
// be applied to the generation before it.
type InvalidChangeError struct {
	Generation jujubegate.Generation
	Cause      error
}

// Error names the generation and the cause.
func (e *InvalidChangeError) Error() string {
	return fmt.Sprintf("change %d does not apply: %v", e.Generation, e.Cause)
}

// Unwrap returns the cause.
func (e *InvalidChangeError) Unwrap() error { return e.Cause }
