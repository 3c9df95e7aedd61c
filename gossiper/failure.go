package gossiper

import (
	"time"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/replicator"
	"jujubegate.example/jujubegate/wire"
)

const (
	// failingFor is how long after a failed call an instance counts as one that cannot
	// read the store. While it fails it repeats the call sooner.
	failingFor = 3 * time.Second
	// maxFailureAge bounds the ages that a peer reports.
	maxFailureAge = time.Hour
)

// storeFailures returns which instances lately failed to reach the store, for a peer.
func (g *Gossiper) storeFailures() []*wire.StoreFailure {
	now := g.settings.Clock.Now()
	var failures []*wire.StoreFailure
	for _, f := range g.settings.Failures.Recent() {
		failures = append(failures, &wire.StoreFailure{
			Instance: string(f.Instance), Series: f.Series, Count: f.Count, BeganAgeMs: now.Sub(f.BeganAt).Milliseconds(), AgeMs: now.Sub(f.At).Milliseconds(),
		})
	}
	return failures
}

// mergeStoreFailures merges the failures that a peer knew at a time.
func (g *Gossiper) mergeStoreFailures(received []*wire.StoreFailure, at time.Time) {
	failures := make([]replicator.Failure, 0, len(received))
	for _, w := range received {
		began, age := time.Duration(w.GetBeganAgeMs())*time.Millisecond, time.Duration(w.GetAgeMs())*time.Millisecond
		if w.GetInstance() == "" || age < 0 || began < age || began > maxFailureAge {
			continue
		}
		failures = append(failures, replicator.Failure{Instance: jujubegate.Instance(w.GetInstance()), Series: w.GetSeries(), Count: w.GetCount(), BeganAt: at.Add(-began), At: at.Add(-age)})
	}
	g.settings.Failures.Merge(failures)
}

// failingElsewhere returns the instances whose calls to the store fail now, as far as
// others have told. In a small fleet each instance tells this itself. It returns a few at
// most, so that not all instances call a store that is away.
func (g *Gossiper) failingElsewhere() jujubegate.Set[jujubegate.Instance] {
	if g.Size() <= FullMeshLimit+1 {
		return jujubegate.Set[jujubegate.Instance]{}
	}
	now := g.settings.Clock.Now()
	var names []jujubegate.Instance
	for _, f := range g.settings.Failures.Recent() {
		if now.Sub(f.At) < failingFor {
			names = append(names, f.Instance)
		}
	}
	return jujubegate.NewSet(names...)
}
