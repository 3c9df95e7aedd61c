package sender

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"jujubegate.example/jujubegate/connector"
	"jujubegate.example/jujubegate/tracker"
)

// notice records what the target says about itself in an answer. A misdirected one is
// of another target.
func (r *callState) notice(replica *tracker.Replica, answer *connector.Answer, result AttemptResult) {
	if answer.Leaving && result != Misdirected {
		r.sender.settings.Tracker.ObserveLeaving(replica)
	}
	if answer.Pause.Asked && result != Misdirected {
		r.sender.settings.Tracker.ObservePause(replica, answer.Pause)
	}
}

// observe passes the end of an attempt on as evidence on the version of its target.
func (r *callState) observe(replica *tracker.Replica, result AttemptResult, status int, sentAt time.Time) {
	observe := r.sender.settings.Observe
	if observe == nil {
		return
	}
	now := r.sender.settings.Clock.Now()
	observe(Observation{
		Call: r.call, Version: replica.Entry().Version, Result: result, Status: status,
		Took: now.Sub(sentAt), Typical: r.latency.Typical(), Cold: replica.IsCold(now),
	})
}

// screen records what the end of an attempt says about the request, and reports whether
// the process of the target has ended.
func (r *callState) screen(ctx context.Context, replica *tracker.Replica, result AttemptResult, status int, err error, sentAt time.Time) bool {
	run := r.call.Run
	defer run.EndAttempt()
	switch {
	case result == Answered:
		if showsRun(status) {
			run.RecordAnswer()
		}
	case result == Broken && connector.BrokenByTarget(err) && !run.Answered() && replica.Pool.Ended(ctx, sentAt):
		e := replica.Entry()
		run.RecordCrash(fmt.Sprint(e.ID, "/", e.Started))
		return true
	}
	return false
}

// showsRun reports whether a target that answers with the status has run the request. It
// can also fail or reject one that it has not begun, for instance when the time is up.
func showsRun(status int) bool {
	return status < http.StatusInternalServerError && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
}
