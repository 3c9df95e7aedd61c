package tracker

import (
	"time"

	"go.uber.org/zap"
)

const (
	// returnTime is how long after the store's return the entries of targets that
	// live may be missing: about 2 s until they are written again, and up to
	// 0.8 s until they are read.
	returnTime = 2800 * time.Millisecond
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

// lapse decides how long targets that are missing in a list may still be used.
// Entries can lapse while the store is away although their targets live, and a
// target that leaves may do so without a word. Some loss of entries is taken for
// lapsed if nobody saw the store for longer than such a target would serve, or
// if there was a gap and half of the entries vanished in it.
func (t *Tracker) lapse(missing []*Replica, left int, sight Recency) {
	away := sight.Gap >= t.settings.Drain || sight.Gap > 0 && len(missing) >= left
	for _, r := range missing {
		if away {
			r.usableUntil, r.suspect = sight.GapEndedAt.Add(returnTime), false
		} else {
			r.usableUntil, r.suspect = sight.SeenAt.Add(t.settings.Drain-drainMargin), true
		}
		t.settings.Log.Info("tracker: target is no longer listed", zap.String("Target", r.Entry().ID),
			zap.String("Service", string(r.Entry().Service)), zap.Bool("StoreAway", away), zap.Duration("Gap", sight.Gap),
			zap.Duration("UsableFor", r.usableUntil.Sub(t.settings.Clock.Now())))
	}
}
