package replicator

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"jujubegate.example/jujubegate"
)

const (
	// failureRetention is how long the failed calls of an instance are remembered. An
	// instance that goes on failing renews them.
	failureRetention = 10 * time.Second
	// maxReportedFailures bounds the instances in one message to a peer. Two are
	// enough to tell an outage of the store from a lost connection of one instance.
	maxReportedFailures = 4
)

// Failure says that the calls of an instance to the store fail. It is immutable.
type Failure struct {
	Instance jujubegate.Instance
	// Series identifies a series of failed calls without a success between; a later one
	// of the instance has a higher number. Count is the number of the calls until At.
	Series, Count int64
	// BeganAt is when its calls began to fail, At when the latest one failed.
	BeganAt, At time.Time
}

// newer reports whether f is later news of an instance than known. It does not compare
// times: those that two peers report differ by the time of their messages.
func (f Failure) newer(known Failure) bool {
	if f.Series == known.Series {
		return f.Count > known.Count
	}
	return f.Series > known.Series
}

// Failures holds which instances lately failed to reach the store. It is safe for
// concurrent use.
type Failures struct {
	self  jujubegate.Instance
	clock jujubegate.Clock
	// changed is called when the calls of an instance begin to fail.
	changed func()

	mu sync.Mutex
	// failing is set while this instance calls the store and fails.
	failing bool
	latest  map[jujubegate.Instance]Failure
}

// NewFailures returns the failures as an instance knows them, at first none. It calls
// changed when those of an instance begin.
func NewFailures(self jujubegate.Instance, clock jujubegate.Clock, changed func()) *Failures {
	return &Failures{self: self, clock: clock, changed: changed, latest: make(map[jujubegate.Instance]Failure)}
}

// Record records that a call of this instance failed.
func (f *Failures) Record() {
	now := f.clock.Now()
	f.mu.Lock()
	began := !f.failing
	own := Failure{Instance: f.self, Series: now.UnixNano(), Count: 1, BeganAt: now, At: now}
	if !began {
		last := f.latest[f.self]
		own.Series, own.Count, own.BeganAt = last.Series, last.Count+1, last.BeganAt
	}
	f.failing = true
	f.latest[f.self] = own
	f.mu.Unlock()
	if began {
		f.changed()
	}
}

// EndSeries records that a call of this instance succeeded. Its next failure begins
// another series.
func (f *Failures) EndSeries() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failing = false
}

// EndSeriesBefore records that some instance read the store at a time, which ends a series
// of this instance whose latest failure was earlier.
func (f *Failures) EndSeriesBefore(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failing && f.latest[f.self].At.Before(at) {
		f.failing = false
	}
}

// Merge merges what a peer knows of other instances.
func (f *Failures) Merge(received []Failure) {
	began := false
	f.mu.Lock()
	for _, r := range received {
		known, ok := f.latest[r.Instance]
		if r.Instance == f.self || ok && !r.newer(known) {
			continue
		}
		f.latest[r.Instance] = r
		began = began || !ok || r.Series != known.Series
	}
	f.forget()
	f.mu.Unlock()
	if began {
		f.changed()
	}
}

// Recent returns the latest failures, newest first, for a peer.
func (f *Failures) Recent() []Failure {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.latest) == 0 {
		return nil
	}
	f.forget()
	recent := make([]Failure, 0, len(f.latest))
	for _, r := range f.latest {
		recent = append(recent, r)
	}
	slices.SortFunc(recent, func(a, b Failure) int { return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Instance, b.Instance)) })
	return recent[:min(len(recent), maxReportedFailures)]
}

// BeganBetween returns the instances whose calls began to fail in an interval. One
// whose calls failed before it is cut off from a store that others reached.
func (f *Failures) BeganBetween(from, to time.Time) jujubegate.Set[jujubegate.Instance] {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []jujubegate.Instance
	for _, r := range f.latest {
		if r.BeganAt.After(from) && !r.BeganAt.After(to) {
			names = append(names, r.Instance)
		}
	}
	return jujubegate.NewSet(names...)
}

// forget drops the failures that are long over. The caller holds mu.
func (f *Failures) forget() {
	now := f.clock.Now()
	for name, r := range f.latest {
		if now.Sub(r.At) > failureRetention && (name != f.self || !f.failing) {
			delete(f.latest, name)
		}
	}
}
