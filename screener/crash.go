package screener

import (
	"slices"
	"time"

	"jujubegate.example/jujubegate/wire"
)

const (
	// proofCrashes is the number of ends of targets under a request from which on it is
	// blocked, if one of them came under a run that began after another.
	proofCrashes = 3
	// maxCrashes bounds the ends that are remembered of a request.
	maxCrashes = 4
	// sameEnd is the time within which two reports of the end of a target are of the same
	// end. A target that starts again takes longer.
	sameEnd = time.Second
	// sequenceMargin is how much later than the first end a run must have begun to repeat it
	// if its instance did not know of that end. Messages between instances can be delayed,
	// which moves the times that they tell.
	sequenceMargin = 2 * time.Second
)

// crash is the end of the process of a target while it had a request.
type crash struct {
	// target is a hash of the ID of the target and its start.
	target uint64
	at     time.Time
	// began is when the earliest run of the request that the target had was received.
	began time.Time
	// informed is set if all runs that the target had began when their instances knew of an
	// earlier end.
	informed bool
}

// merge returns the end as seen under the runs of both.
func (c crash) merge(other crash) crash {
	if other.began.Before(c.began) {
		c.began = other.began
	}
	c.informed = c.informed && other.informed
	return c
}

// tells reports whether the end says more than a known report of the same one. The times of
// other instances are not exact.
func (c crash) tells(known crash) bool {
	return known.informed && !c.informed || c.began.Before(known.began.Add(-sequenceMargin))
}

// crashes are the ends of targets under one request. The values are immutable.
type crashes []crash

// with returns the ends with one more, and whether they have changed. An end under several
// runs counts once.
func (c crashes) with(added crash) (crashes, bool) {
	for i, known := range c {
		if known.target != added.target || known.at.Sub(added.at).Abs() >= sameEnd {
			continue
		}
		if !added.tells(known) {
			return c, false
		}
		merged := slices.Clone(c)
		merged[i] = known.merge(added)
		return merged, true
	}
	if len(c) < maxCrashes {
		return append(slices.Clone(c), added), true
	}
	if c.repeated() || !added.repeats(c.first()) {
		return c, false
	}
	// Only the proof is missing: one of the others makes room.
	last := len(c) - 1
	if c[last].at.Equal(c.first()) {
		last--
	}
	replaced := slices.Clone(c)
	replaced[last] = added
	return replaced, true
}

// first returns when the first target ended.
func (c crashes) first() time.Time {
	first := c[0].at
	for _, one := range c[1:] {
		if one.at.Before(first) {
			first = one.at
		}
	}
	return first
}

// repeats reports whether the request came again after the first end and then ended the
// target.
func (c crash) repeats(first time.Time) bool {
	return c.informed || c.began.After(first.Add(sequenceMargin))
}

// repeated reports whether a target ended under a run that began after another end.
func (c crashes) repeated() bool {
	return len(c) > 0 && slices.ContainsFunc(c, func(one crash) bool { return one.repeats(c.first()) })
}

// proven reports whether the request is the cause. Ends at the same time are no proof,
// however many requests the targets had: they can have another cause.
func (c crashes) proven() bool { return len(c) >= proofCrashes && c.repeated() }

func (c crashes) toWire(now time.Time) []*wire.Crash {
	list := make([]*wire.Crash, len(c))
	for i, one := range c {
		list[i] = &wire.Crash{Target: one.target, AgeMs: now.Sub(one.at).Milliseconds(), BeganAgeMs: now.Sub(one.began).Milliseconds(), Informed: one.informed}
	}
	return list
}

// crashFrom returns the end that a peer tells, and whether its times can be right.
func crashFrom(w *wire.Crash, now time.Time) (crash, bool) {
	limit := maxBlock + probationLifetime
	age, began := time.Duration(w.GetAgeMs())*time.Millisecond, time.Duration(w.GetBeganAgeMs())*time.Millisecond
	ok := w.GetAgeMs() >= 0 && w.GetAgeMs() <= w.GetBeganAgeMs() && w.GetBeganAgeMs() <= limit.Milliseconds()
	return crash{target: w.GetTarget(), at: now.Add(-age), began: now.Add(-began), informed: w.GetInformed()}, ok
}
