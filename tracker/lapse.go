package tracker

import (
	"time"

	"go.uber.org/zap"
)

const (
	// reappearTime is how long after the end of a store outage the entries of live
	// targets may be missing: about 2 s until they are written again, and then up to
	// 0.8 s until they are read.
	reappearTime = 2800 * time.Millisecond
	// drainMargin is the part of the drain time that is left for requests in transit.
	// None is sent in it, also none that waited for a connection.
	drainMargin = 300 * time.Millisecond
)

// Recency describes when the store was read before a list of targets.
type Recency struct {
	// SeenAt is when the previous list was last confirmed.
	SeenAt time.Time
	// Gap is the length of a recent interval without confirmations, which ended at
	// GapEndedAt; zero if there was none.
	Gap        time.Duration
	GapEndedAt time.Time
	// Restored is set if the store came back from an older copy at GapEndedAt, which
	// can lack the entries of live targets.
	Restored bool
}

// retainMissing decides how long targets that are missing in a list may still be
// used. Entries expire during a store outage although their targets are live, but
// a target can also leave the list without draining first. An outage is taken as
// the cause if the gap was at least as long as a leaving target goes on serving, or
// if there was a gap and at least half of the entries are missing after it.
func (t *Tracker) retainMissing(missing []*Replica, listed int, recency Recency) {
	outage := recency.Restored || recency.Gap >= t.settings.Drain || recency.Gap > 0 && len(missing) >= listed
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
