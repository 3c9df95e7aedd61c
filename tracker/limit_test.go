package tracker

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"jujubegate.example/jujubegate/connector"
)

func TestLimitIsObserved(t *testing.T) {
	// Guards against a limit that is missed, or that ends with an answer to a request
	// which the target took before it named the limit.
	const before, after = -time.Second, time.Second
	named := func(perSecond float64) connector.Limit {
		return connector.Limit{Named: true, Valid: true, PerSecond: perSecond}
	}
	cases := []struct {
		name    string
		answers []connector.Limit
		// sent is when the request of the last answer was sent, relative to the
		// answers before it.
		sent  time.Duration
		limit float64
		ok    bool
	}{
		{"none", []connector.Limit{{}}, after, 0, false},
		{"named", []connector.Limit{named(24)}, after, 24, true},
		{"zero", []connector.Limit{named(0)}, after, 0, true},
		{"changed", []connector.Limit{named(24), named(6)}, after, 6, true},
		{"changed by an earlier request", []connector.Limit{named(24), named(6)}, before, 6, true},
		{"ended", []connector.Limit{named(24), {}}, after, 0, false},
		{"answer to an earlier request", []connector.Limit{named(24), {}}, before, 24, true},
		{"not readable", []connector.Limit{named(24), {Named: true}}, after, 24, true},
		{"never readable", []connector.Limit{{Named: true}}, after, 0, false},
		{"named again", []connector.Limit{named(24), {}, named(12)}, after, 12, true},
	}
	for _, c := range cases {
		clock := clockwork.NewFakeClock()
		tr := newTracker(clock)
		tr.Update([]Entry{entry(0)}, Recency{})
		r := tr.Replicas("s")[0]
		for i, l := range c.answers {
			sentAt := clock.Now().Add(after / 2)
			if i == len(c.answers)-1 {
				sentAt = clock.Now().Add(c.sent)
			}
			clock.Advance(time.Millisecond)
			tr.ObserveLimit(r, l, sentAt)
		}
		if limit, ok := r.Limit(); limit != c.limit || ok != c.ok {
			t.Errorf("%s: limit %v, %v, want %v, %v", c.name, limit, ok, c.limit, c.ok)
		}
	}
}

func TestEndOfLimitIsMissed(t *testing.T) {
	// Guards against an instance that may not send to a target with a limit, and so
	// never hears that the limit has ended.
	cases := []struct {
		name  string
		share float64
		after time.Duration
		ok    bool
	}{
		{"may send", 0.5, 2 * forgetAfter, true},
		{"may not send", 0, forgetAfter - time.Second, true},
		{"may not send, after a while", 0, forgetAfter + time.Second, false},
	}
	for _, c := range cases {
		clock := clockwork.NewFakeClock()
		tr := newTracker(clock)
		tr.Update([]Entry{entry(0)}, Recency{})
		tr.SetShare(c.share, 0)
		r := tr.Replicas("s")[0]
		tr.ObserveLimit(r, connector.Limit{Named: true, Valid: true, PerSecond: 4}, clock.Now())
		if admitted := r.Admissible(clock.Now().Add(time.Second)); admitted != (c.share > 0) {
			t.Errorf("%s: admitted %v", c.name, admitted)
		}
		clock.Advance(c.after)
		tr.sweep()
		if _, ok := r.Limit(); ok != c.ok {
			t.Errorf("%s: limit known %v after %v, want %v", c.name, ok, c.after, c.ok)
		}
	}
}
