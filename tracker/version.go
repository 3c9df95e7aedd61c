package tracker

import (
	"time"

	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
)

// versionsInUse returns the versions of the targets that get requests, by service.
func (t *Tracker) versionsInUse() map[jujubegate.Service]jujubegate.Set[jujubegate.Version] {
	versions := make(map[jujubegate.Service]jujubegate.Set[jujubegate.Version])
	if t.settings.MovesConfirmed == nil {
		return versions
	}
	for _, r := range t.replicas {
		e := r.Entry()
		if r.heldSince.IsZero() && !versions[e.Service].Has(e.Version) {
			versions[e.Service] = versions[e.Service].With(e.Version)
		}
	}
	return versions
}

// holdNewVersion holds a target back whose version is new to its service. It may be
// the version of a move that has not been read yet, and would get an equal part of the
// requests until then.
func (t *Tracker) holdNewVersion(e Entry, inUse map[jujubegate.Service]jujubegate.Set[jujubegate.Version], now time.Time) {
	versions, ok := inUse[e.Service]
	r := t.replicas[e.ID]
	if !ok || versions.Has(e.Version) || !r.heldSince.IsZero() || r.versionKnown {
		return
	}
	r.heldSince = now
	t.settings.Log.Info("tracker: target of a new version is held until the moves are known", zap.String("Target", e.ID),
		zap.String("Service", string(e.Service)), zap.String("Version", string(e.Version)))
}

// releaseVersions releases the targets for which the moves are known now: an operator
// orders a move before its targets start. It reports whether there were any.
func (t *Tracker) releaseVersions(now time.Time) bool {
	released := false
	for _, r := range t.replicas {
		if r.heldSince.IsZero() || !t.settings.MovesConfirmed().After(r.heldSince) {
			continue
		}
		t.settings.Log.Info("tracker: target of a new version may get requests", zap.String("Target", r.Entry().ID), zap.Duration("HeldFor", now.Sub(r.heldSince)))
		r.heldSince, r.versionKnown = time.Time{}, true
		released = true
	}
	return released
}

// Versions returns the versions of the targets of a service that new requests may use, with
// their numbers.
func (t *Tracker) Versions(service jujubegate.Service) map[jujubegate.Version]int {
	versions := make(map[jujubegate.Version]int)
	for _, r := range t.Replicas(service) {
		versions[r.Entry().Version]++
	}
	return versions
}
