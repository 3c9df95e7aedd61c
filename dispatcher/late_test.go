package dispatcher

import (
	"testing"
	"testing/synctest"
	"time"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/dialer"
)

func TestBadAnswerAfterTheDeadline(t *testing.T) {
	// Guards against a query whose deadline has passed and that seems to have failed by the
	// answer which comes after it, as when the process was stalled until both were there.
	bad := dialer.Result{Refusal: newRefusal(jujubegate.BadAnswer, "empty"), Replied: true}
	bad.Refusal.Outcome = jujubegate.Unknown
	cases := []struct {
		name   string
		order  bool
		after  time.Duration
		reason jujubegate.Reason
	}{
		{"query, in time", false, time.Millisecond, jujubegate.BadAnswer},
		{"query, after the deadline", false, 60 * time.Millisecond, jujubegate.DeadlinePassed},
		{"order, after the deadline", true, 60 * time.Millisecond, jujubegate.BadAnswer},
		{"order, after its grace", true, orderGrace + 60*time.Millisecond, jujubegate.DeadlinePassed},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			s := newStub()
			s.stall, s.stalled = c.after, bad
			d, _ := newOwner(s)
			b := batch("q", 30*time.Millisecond)
			b.Order = c.order
			results := do(d, t.Context(), b)
			<-s.sent
			if r := (<-results)[0].Refusal; r == nil || r.Reason != c.reason || r.Outcome != jujubegate.Unknown {
				t.Errorf("%s: %v, want %s with an unknown outcome", c.name, r, c.reason)
			}
			d.Close(t.Context())
		})
	}
}
