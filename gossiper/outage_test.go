package gossiper

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/replicator"
	"jujubegate.example/jujubegate/storer"
	"jujubegate.example/jujubegate/tracker"
)

const (
	// storeTrip is the time of a call to the store beside its wait, and storeTimeout the
	// one after which an unanswered call fails.
	storeTrip    = 4 * time.Millisecond
	storeTimeout = 2 * time.Second
	// storePoll is how often a watch looks for changes.
	storePoll = 10 * time.Millisecond
	// leadKind and targetKind are the kinds of objects of a memoryStore.
	leadKind, targetKind = "k", "targets"
)

// memoryStore is a store with the entries of targets.
type memoryStore struct {
	mu       sync.Mutex
	revision int64
	targets  map[string]int64
	changes  []replicator.Change
	// refusing and silent say how the store fails for all; cut holds the instances that
	// it does not answer.
	refusing, silent bool
	cut              map[jujubegate.Instance]bool
}

func newMemoryStore(targets ...string) *memoryStore {
	s := &memoryStore{revision: 1, targets: make(map[string]int64), cut: make(map[jujubegate.Instance]bool)}
	for _, name := range targets {
		s.put(name)
	}
	return s
}

func (s *memoryStore) put(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.targets[name] = s.revision
	s.changes = append(s.changes, replicator.Change{Object: replicator.Object{Name: name, Revision: s.revision}})
}

func (s *memoryStore) remove(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.targets, name)
	s.changes = append(s.changes, replicator.Change{Object: replicator.Object{Name: name, Revision: s.revision}, Removed: true})
}

func (s *memoryStore) set(change func(*memoryStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// begin returns an error if the store does not answer the instance.
func (s *memoryStore) begin(ctx context.Context, i jujubegate.Instance) error {
	s.mu.Lock()
	refused, hangs := s.refusing, s.silent || s.cut[i]
	s.mu.Unlock()
	switch {
	case hangs:
		select {
		case <-time.After(storeTimeout):
		case <-ctx.Done():
		}
		return storer.ErrUnknown
	case refused:
		time.Sleep(storeTrip)
		return storer.ErrUnavailable
	}
	time.Sleep(storeTrip)
	return nil
}

func (s *memoryStore) position() replicator.Position {
	return replicator.Position{Era: 1, Revision: s.revision}
}

// source returns the store as an instance reaches it.
func (s *memoryStore) source(i jujubegate.Instance) replicator.Source {
	return replicator.Source{
		List: func(ctx context.Context, kind string) (replicator.Listing, error) {
			if err := s.begin(ctx, i); err != nil {
				return replicator.Listing{}, err
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			l := replicator.Listing{Position: s.position()}
			for name, revision := range s.targets {
				if kind == targetKind {
					l.Objects = append(l.Objects, replicator.Object{Name: name, Revision: revision})
				}
			}
			return l, nil
		},
		Watch: func(ctx context.Context, kind string, after int64, wait time.Duration) (replicator.Changes, error) {
			for started := time.Now(); ; time.Sleep(storePoll) {
				if err := s.begin(ctx, i); err != nil {
					return replicator.Changes{}, err
				}
				s.mu.Lock()
				c := replicator.Changes{Position: s.position()}
				for _, change := range s.changes {
					if kind == targetKind && change.Object.Revision > after {
						c.Changes = append(c.Changes, change)
					}
				}
				s.mu.Unlock()
				if len(c.Changes) > 0 || time.Since(started) >= wait || ctx.Err() != nil {
					return c, ctx.Err()
				}
			}
		},
	}
}

// updateTargets returns a function that applies the entries of a state to a tracker.
func updateTargets(targets func() *tracker.Tracker) func(*replicator.State) {
	return func(s *replicator.State) {
		var entries []tracker.Entry
		for name := range s.Objects {
			entries = append(entries, tracker.Entry{ID: name, Service: "s", Started: 1, Slots: 1})
		}
		targets().Update(entries, tracker.Recency{
			SeenAt: s.SeenAt, Gap: s.Gap.Length, GapEndedAt: s.Gap.EndedAt, StoreAway: s.Gap.StoreAway(), Restored: s.Restored,
		})
	}
}

// uses reports whether an instance would send a request to a target.
func uses(tr *tracker.Tracker, target string) bool {
	return slices.ContainsFunc(tr.Replicas("s"), func(r *tracker.Replica) bool { return r.Entry().ID == target && r.Usable(time.Now()) })
}

// reader returns the instance that reads the store for all.
func (f *memoryFleet) reader(t *testing.T) int {
	t.Helper()
	for i, g := range f.instances {
		if g.Rank(leadKind) == 0 {
			return i
		}
	}
	t.Fatal("no instance has the first rank")
	return 0
}

// fleetSize is a fleet with the drain time of deployments of its size.
type fleetSize struct {
	dataCentres, each int
	drain             time.Duration
}

var fleetSizes = []fleetSize{
	{1, 2, 3 * time.Second}, {2, 4, 3 * time.Second}, {4, 4, 3 * time.Second}, {4, 20, 5 * time.Second}, {6, 32, 6 * time.Second},
}

func TestTargetLeavesWhileReaderIsLost(t *testing.T) {
	// Guards against a target that is used until its process ends, since the loss of the
	// instance that reads the store was taken for an outage of the store, in which the
	// entries of live targets expire.
	losses := []struct {
		name string
		lose func(*memoryFleet, *Gossiper)
	}{
		{"it freezes", func(f *memoryFleet, g *Gossiper) {
			f.setDark([]*Gossiper{g})
			f.store.set(func(s *memoryStore) { s.cut[g.settings.Self.Instance] = true })
		}},
		{"it is cut off from the store", func(f *memoryFleet, g *Gossiper) {
			f.store.set(func(s *memoryStore) { s.cut[g.settings.Self.Instance] = true })
		}},
		{"it is cut off from the other instances", func(f *memoryFleet, g *Gossiper) { f.setDark([]*Gossiper{g}) }},
	}
	for _, size := range fleetSizes {
		for _, loss := range losses {
			t.Run(fmt.Sprintf("%d instances, %s", size.dataCentres*size.each, loss.name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newMemoryFleetOf(size.dataCentres, size.each, newMemoryStore("stays", "leaves"), size.drain)
					defer f.stop()
					f.waitFor(t, f.instances, len(f.instances)-1, 10*time.Second)
					time.Sleep(5 * time.Second)
					reader := f.reader(t)
					loss.lose(f, f.instances[reader])
					time.Sleep(100 * time.Millisecond)
					f.store.remove("leaves")
					removedAt := time.Now()
					var known time.Duration
					for time.Since(removedAt) < size.drain+time.Second {
						time.Sleep(50 * time.Millisecond)
						using := 0
						for i, tr := range f.trackers {
							if i == reader {
								continue
							}
							if uses(tr, "leaves") {
								using++
							}
							if !uses(tr, "stays") {
								t.Fatalf("instance %d does not use the target that stays, %v after the other one left", i, time.Since(removedAt))
							}
						}
						if using > 0 {
							known = time.Since(removedAt)
						}
						if using > 0 && time.Since(removedAt) > size.drain {
							t.Fatalf("%d instances use the target %v after it has left, allowed %v", using, time.Since(removedAt), size.drain)
						}
					}
					t.Logf("used for %v after it has left, allowed %v", known, size.drain)
				})
			})
		}
	}
}

func TestTargetsExpireInStoreOutages(t *testing.T) {
	// Guards against live targets that are given up because their entries expired while
	// the store was away, also when it is away again before they are written anew.
	cases := []struct {
		outages int
		silent  bool
	}{{1, false}, {1, true}, {2, false}, {2, true}, {3, false}}
	for _, size := range fleetSizes {
		for _, c := range cases {
			t.Run(fmt.Sprintf("%d instances, %d outages, silent %v", size.dataCentres*size.each, c.outages, c.silent), func(t *testing.T) {
				playOutages(t, size, c.outages, c.silent)
			})
		}
	}
}

func TestTargetsExpireInThreeSilentOutages(t *testing.T) {
	// Guards against the same if calls that get no answer last from one outage into the next,
	// so that few instances see the store between.
	for _, size := range fleetSizes {
		t.Run(fmt.Sprintf("%d instances", size.dataCentres*size.each), func(t *testing.T) { playOutages(t, size, 3, true) })
	}
}

// playOutages plays outages of the store in which the entries of three targets expire. Two
// of them write theirs again after the last one.
func playOutages(t *testing.T, size fleetSize, outages int, silent bool) {
	const outage, between, rewritten = 4500 * time.Millisecond, 1800 * time.Millisecond, 1500 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		f := newMemoryFleetOf(size.dataCentres, size.each, newMemoryStore("a", "b", "c"), size.drain)
		defer f.stop()
		f.waitFor(t, f.instances, len(f.instances)-1, 10*time.Second)
		time.Sleep(5 * time.Second)
		lost := 0
		check := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				for _, tr := range f.trackers {
					if !uses(tr, "a") || !uses(tr, "b") {
						lost++
					}
				}
			}
		}
		for n := range outages {
			f.store.set(func(s *memoryStore) { s.silent, s.refusing = silent, !silent })
			check(outage)
			if n == 0 {
				for _, name := range []string{"a", "b", "c"} {
					f.store.remove(name)
				}
			}
			f.store.set(func(s *memoryStore) { s.silent, s.refusing = false, false })
			if n < outages-1 {
				check(between)
			}
		}
		check(rewritten)
		f.store.put("a")
		f.store.put("b")
		check(10 * time.Second)
		if lost > 0 {
			t.Errorf("instances lacked live targets in %d of the checks, 50 ms apart", lost)
		}
		for i, tr := range f.trackers {
			if uses(tr, "c") {
				t.Errorf("instance %d still uses the target that did not come back", i)
			}
		}
	})
}
