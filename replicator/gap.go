package replicator

import (
	"time"

	"go.uber.org/zap"
)

// outageWitnesses is the number of instances whose calls must have failed in a gap for
// it to be an outage of the store. A single one can have lost its connection.
const outageWitnesses = 2

// Gap is an interval without confirmations.
type Gap struct {
	Length  time.Duration
	EndedAt time.Time
	// Failed is the number of instances whose calls to the store began to fail in the
	// gap, as far as is known.
	Failed int
	// OutageEndedAt is when the store came back, if the gap is due to its outage; zero if
	// the instance that read the store for all was lost, as far as is known.
	OutageEndedAt time.Time
}

// StoreAway reports whether the store could not be reached in the gap, so that objects can
// have expired although their owners are live.
func (g Gap) StoreAway() bool { return !g.OutageEndedAt.IsZero() }

// recordGap records the gap that a reading ends, unless a recent outage of the store
// explains more. The caller holds mu.
func (r *Replicator) recordGap(beganAt time.Time, length time.Duration, reading Reading) {
	now := r.settings.Clock.Now()
	witnesses := r.settings.Failures.BeganBetween(beganAt, now)
	g := Gap{Length: length, EndedAt: now}
	switch {
	case reading.OutageEndedAt.After(beganAt):
		// The time of the peer is kept: if each instance reported its own, news of one
		// outage would go round in a large fleet for good.
		g.OutageEndedAt = reading.OutageEndedAt
	case !reading.FromPeer && witnesses.Has(r.settings.Failures.self), witnesses.Len() >= outageWitnesses:
		// The store came back for this instance, or it was away for several.
		g.OutageEndedAt = now
	}
	r.settings.Log.Info("replicator: no confirmation for some time", zap.String("Kind", r.settings.Kind), zap.Duration("Gap", length),
		zap.Bool("FromPeer", reading.FromPeer), zap.Any("Failed", witnesses.Sorted()), zap.Bool("StoreAway", g.StoreAway()))
	if !g.StoreAway() && r.recentGap().StoreAway() {
		return
	}
	r.gapBeganAt, r.gap = beganAt, g
}

// latestGap returns the latest gap by what is known now of failed calls. The caller
// holds mu.
func (r *Replicator) latestGap() Gap {
	g := r.gap
	g.Failed = r.settings.Failures.BeganBetween(r.gapBeganAt, g.EndedAt).Len()
	if !g.StoreAway() && g.Failed >= outageWitnesses {
		g.OutageEndedAt = g.EndedAt
	}
	return g
}

// recentGap returns the latest gap, or a zero one if it ended gapRetention ago or
// earlier. The caller holds mu.
func (r *Replicator) recentGap() Gap {
	if r.settings.Clock.Now().Sub(r.gap.EndedAt) >= gapRetention {
		return Gap{}
	}
	return r.latestGap()
}
