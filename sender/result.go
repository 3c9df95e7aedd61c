package sender

import (
	"context"
	"errors"
	"net/http"

	"jujubegate.example/jujubegate/balancer"
	"jujubegate.example/jujubegate/connector"
)

// classify returns the result of an attempt.
func classify(a *connector.Answer, err error) AttemptResult {
	switch {
	case errors.Is(err, connector.ErrNotSent):
		return NotSent
	case errors.Is(err, connector.ErrAbandoned):
		return Overtaken
	case isCancellation(err):
		return Cancelled
	case err != nil:
		return Broken
	case a.Misdirected:
		return Misdirected
	case a.NotRun:
		return Refused
	case a.Signature == "":
		return Broken
	}
	return Answered
}

// promisesNotRun reports whether callers take a status for the word that the request has
// not run, and send it again. A target says so by the header that sets Answer.NotRun; its
// status alone says nothing.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooEarly, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func isCancellation(err error) bool {
	return errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}

// balancerResult translates the result of an attempt into what the balancer
// learns about the target.
func balancerResult(result AttemptResult, a *connector.Answer, err error) balancer.Result {
	if errors.Is(err, connector.ErrNotSent) && (errors.Is(err, connector.ErrAbandoned) || isCancellation(err)) {
		return balancer.Abandoned
	}
	if errors.Is(err, connector.ErrWithheld) {
		return balancer.Abandoned
	}
	switch result {
	case Answered:
		if a.Status >= 500 {
			return balancer.Failed
		}
		return balancer.Answered
	case NotSent, Broken:
		return balancer.Failed
	case Refused:
		return balancer.Refused
	case Misdirected:
		return balancer.Excluded
	case Overtaken:
		return balancer.Overtaken
	}
	return balancer.Abandoned
}
