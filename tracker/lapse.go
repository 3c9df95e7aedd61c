package tracker

import (
	"time"

	"go.uber.org/zap"
)

const (
	// reappearTime is how long after the store's return the entries of targets that
	// live may be missing: about 2 s until they are written again, and up to
	// 0.8 s until they are read.
	reappearTime = 2800 * time.Millisecond
	// drainMargin is left of the drain time for requests that are on their way.
	drainMargin = 300 * time.Millisecond
)

// Recency says how the store was seen before a list of targets was read.
type Recency struct {
	// SeenAt is when the list before was last confirmed.
	SeenAt time.Time
	// Gap is the length of a time without confirmations a moment before, which
	// ended at GapEndedAt; zero without one.
	Gap        time.Duration
	GapEndedAt time.Time
}

// retainMissing decides how long targets that are missing in a list may still be used.
// Entries can lapse while the store is away although their targets live, and a
// target that leaves may do so without a word. Some loss of entries is taken for
// lapsed if nobody saw the store for longer than such a target would serve, or
// if there was a gap and half of the entries vanished in it.
func (t *Tracker) retainMissing(missing []*Replica, listed int, recency Recency) {
	outage := recency.Gap >= t.settings.Drain || recency.Gap > 0 && len(missing) >= listed
	for _, r := range missing {
		if outage {
			r.usableUntil, r.probablyGone = recency.GapEndedAt.Add(reappearTime), false
		} else {
			r.usableUntil, r.probablyGone = recency.SeenAt.Add(t.settings.Drain-drainMargin), true
		}
		t.settings.Log.Info("tracker: target is no longer listed", zap.String("Target", r.Entry().ID),
			zap.String("Service", string(r.Entry().Service)), zap.Bool("StoreAway", outage), zap.Duration("Gap", recency.Gap),
			zap.Duration("UsableFor", r.usableUntil.Sub(t.settings.Clock.Now())))
	}
}
