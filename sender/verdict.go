package sender

import (
	"context"
	"errors"

	"jujubegate.example/jujubegate/balancer"
	"jujubegate.example/jujubegate/connector"
)

// classify says how a try ended.
func classify(a *connector.Answer, err error) AttemptResult {
	switch {
	case errors.Is(err, connector.ErrNotSent):
		return NotSent
	case errors.Is(err, connector.ErrAbandoned):
		return Overtaken
	case cancelled(err):
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

func cancelled(err error) bool {
	return errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}

// verdict says what the end of a try tells about its target.
func verdict(end AttemptResult, a *connector.Answer, err error) balancer.Result {
	if errors.Is(err, connector.ErrNotSent) && (errors.Is(err, connector.ErrAbandoned) || cancelled(err)) {
		return balancer.Abandoned
	}
	switch end {
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
