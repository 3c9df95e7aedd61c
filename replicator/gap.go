package replicator

import (
	"time"

	"go.uber.org/zap"
)

// outageWitnesses is the number of instances whose calls must have failed in a gap for
// it to be an outage of the store. A single one can have lost its connection.
const outageWitnesses = 2

// recordGap records the gap that a reading ends, unless a recent outage of the store
// explains more. The caller holds mu.
func (r *Replicator) recordGap(beganAt time.Time, length time.Duration, reading Reading) {
	now := r.settings.Clock.Now()
	witnesses := r.settings.Failures.BeganBetween(beganAt, now)
	// If the calls of this instance failed and it ended the gap, the store came back.
	returned := !reading.FromPeer && witnesses.Has(r.settings.Failures.self)
	away := returned || reading.OutageEndedAt.After(beganAt) || witnesses.Len() >= outageWitnesses
	r.settings.Log.Info("replicator: no confirmation for some time", zap.String("Kind", r.settings.Kind), zap.Duration("Gap", length),
		zap.Bool("FromPeer", reading.FromPeer), zap.Any("Failed", witnesses.Sorted()), zap.Bool("StoreAway", away))
	if !away && r.recentGap().StoreAway {
		return
	}
	r.gapBeganAt, r.gap = beganAt, Gap{Length: length, EndedAt: now, StoreAway: away}
}

// latestGap returns the latest gap by what is known now of failed calls. The caller
// holds mu.
func (r *Replicator) latestGap() Gap {
	g := r.gap
	g.Failed = r.settings.Failures.BeganBetween(r.gapBeganAt, g.EndedAt).Len()
	g.StoreAway = g.StoreAway || g.Failed >= outageWitnesses
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
