package tracker

import (
	"time"

	"go.uber.org/zap"
)

const (
	// rewriteTime is how long after the end of a store outage live targets may take to
	// write their entries again, and rereadTime how long until an instance has read them.
	rewriteTime = 2 * time.Second
	rereadTime  = 800 * time.Millisecond
	// drainMargin is the part of the drain time that is left for requests in transit.
	// None is sent in it, also none that waited for a connection.
	drainMargin = 300 * time.Millisecond
)

// Recency describes when the store was read before a list of targets.
type Recency struct {
	// SeenAt is when the previous list was last confirmed.
	SeenAt time.Time
	// Gap is the length of a recent interval without confirmations, which ended at
	// GapEndedAt; zero if there was none. StoreAway is set if the store could not be
	// reached in it.
	Gap        time.Duration
	GapEndedAt time.Time
	StoreAway  bool
	// Restored is set if the store came back from an older copy at GapEndedAt, which
	// can lack the entries of live targets.
	Restored bool
}

// StoreReads describes the latest reads of the store.
type StoreReads struct {
	// ConfirmedAt is when the list of targets was last confirmed.
	ConfirmedAt time.Time
	// OutageEndedAt is when a recent interval without confirmations ended in which calls
	// to the store failed, be it those of one instance; zero if there was none.
	OutageEndedAt time.Time
}

// lapse says for how long a target that is no longer listed may be used. It is
// immutable.
type lapse struct {
	// expired is set if the entry has probably expired during an outage of the store,
	// so that a live target writes it again. Otherwise the target has probably left,
	// and gets requests only if its service has no others.
	expired bool
	// until is when the use ends.
	until time.Time
}

// expiredEntry returns the lapse of an entry that expired in an outage that has ended.
func expiredEntry(outageEndedAt time.Time) lapse {
	return lapse{expired: true, until: outageEndedAt.Add(rewriteTime + rereadTime)}
}

// withReads returns the lapse after further reads. A target whose entry has expired
// gets the same time again if the store may have been away once more.
func (l lapse) withReads(reads StoreReads) lapse {
	if next := expiredEntry(reads.OutageEndedAt); l.expired && next.until.After(l.until) {
		return next
	}
	return l
}

// over reports whether the use ends. That of an expired entry ends only once a read has
// shown that the target did not write it again, since the store may be away once more.
func (l lapse) over(now time.Time, reads StoreReads) bool {
	return !now.Before(l.until) && (!l.expired || !reads.ConfirmedAt.Before(l.until.Add(-rereadTime)))
}

// expiry returns when the connections to the target expire; zero if only a read of the
// store can tell.
func (l lapse) expiry() time.Time {
	if l.expired {
		return time.Time{}
	}
	return l.until
}

// lapseOf decides why some targets are missing in a list, and how long they may still be
// used. Entries expire during an outage of the store although their targets are live,
// but a target can also leave the list without draining first. An outage is taken as
// the cause if it was at least as long as a leaving target goes on serving, or if at
// least half of the entries are missing after it. A gap in which the store was there
// tells nothing about the targets: then they have left, for all that is known right
// after the list was last confirmed.
func lapseOf(missing, listed int, recency Recency, drain time.Duration) lapse {
	if recency.Restored || recency.StoreAway && (recency.Gap >= drain || missing >= listed) {
		return expiredEntry(recency.GapEndedAt)
	}
	return lapse{until: recency.SeenAt.Add(drain - drainMargin)}
}

// retainMissing records how long targets that are missing in a list may still be used.
func (t *Tracker) retainMissing(missing []*Replica, listed int, recency Recency) {
	l := lapseOf(len(missing), listed, recency, t.settings.Drain)
	for _, r := range missing {
		r.lapse = &l
		t.settings.Log.Info("tracker: target is no longer listed", zap.String("Target", r.Entry().ID),
			zap.String("Service", string(r.Entry().Service)), zap.Bool("Expired", l.expired), zap.Bool("StoreAway", recency.StoreAway),
			zap.Duration("Gap", recency.Gap), zap.Duration("SeenAgo", t.settings.Clock.Since(recency.SeenAt)),
			zap.Duration("UsableFor", l.until.Sub(t.settings.Clock.Now())))
	}
}

// storeReads returns the latest reads of the store.
func (t *Tracker) storeReads(now time.Time) StoreReads {
	if t.settings.StoreReads == nil {
		return StoreReads{ConfirmedAt: now}
	}
	return t.settings.StoreReads()
}
