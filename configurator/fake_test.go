package configurator

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"jujubegate.example/jujubegate/storer"
)

// fakeStore is an in-memory object API that can lose responses, be unavailable
// and delay writes.
type fakeStore struct {
	mutex    sync.Mutex
	objects  map[string]storer.Object
	revision int64
	changed  chan struct{}
	random   *rand.Rand

	// The rates are from 0 to 1.
	lostRate   float64 // writes that return ErrUnknown; half of them take effect
	downRate   float64 // calls that return ErrUnavailable
	delayRate  float64 // writes that return ErrUnknown and take effect later
	down       bool
	calls      int
	lateWrites sync.WaitGroup
}

func newFakeStore(seed uint64) *fakeStore {
	return &fakeStore{
		objects: make(map[string]storer.Object), changed: make(chan struct{}),
		random: rand.New(rand.NewPCG(seed, seed)),
	}
}

func (s *fakeStore) store() storer.Store {
	return storer.Store{Get: s.get, Put: s.put, List: s.list, Watch: s.watch}
}

// occurs draws whether an event with the given rate occurs.
func (s *fakeStore) occurs(rate float64) bool { return s.random.Float64() < rate }

func (s *fakeStore) get(_ context.Context, key string) (storer.Object, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls++
	if s.down || s.occurs(s.downRate) {
		return storer.Object{}, storer.ErrUnavailable
	}
	o, ok := s.objects[key]
	if !ok {
		return storer.Object{}, storer.ErrNotFound
	}
	return o, nil
}

func (s *fakeStore) put(_ context.Context, key string, value []byte, version int64) (storer.Object, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls++
	switch {
	case s.down || s.occurs(s.downRate):
		return storer.Object{}, storer.ErrUnavailable
	case s.occurs(s.delayRate):
		delay := time.Duration(s.random.IntN(2000)) * time.Microsecond
		s.lateWrites.Add(1)
		time.AfterFunc(delay, func() {
			defer s.lateWrites.Done()
			s.mutex.Lock()
			defer s.mutex.Unlock()
			_, _ = s.write(key, value, version)
		})
		return storer.Object{}, storer.ErrUnknown
	case s.occurs(s.lostRate):
		if s.occurs(0.5) {
			_, _ = s.write(key, value, version)
		}
		return storer.Object{}, storer.ErrUnknown
	}
	return s.write(key, value, version)
}

// write performs a write if the version matches. The caller holds the mutex.
func (s *fakeStore) write(key string, value []byte, version int64) (storer.Object, error) {
	if s.objects[key].Version != version {
		return storer.Object{}, storer.ErrConflict
	}
	s.revision++
	o := storer.Object{Key: key, Version: s.revision, Value: value}
	s.objects[key] = o
	close(s.changed)
	s.changed = make(chan struct{})
	return o, nil
}

func (s *fakeStore) list(_ context.Context, prefix, after string, limit int) ([]storer.Object, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls++
	if s.down || s.occurs(s.downRate) {
		return nil, storer.ErrUnavailable
	}
	objects := s.matching(func(o storer.Object) bool { return strings.HasPrefix(o.Key, prefix) && o.Key > after })
	return objects[:min(limit, len(objects))], nil
}

// matching returns the objects that match, in key order. The caller holds the
// mutex.
func (s *fakeStore) matching(match func(storer.Object) bool) []storer.Object {
	var objects []storer.Object
	for _, o := range s.objects {
		if match(o) {
			objects = append(objects, o)
		}
	}
	slices.SortFunc(objects, func(a, b storer.Object) int { return strings.Compare(a.Key, b.Key) })
	return objects
}

func (s *fakeStore) watch(
	ctx context.Context, prefix string, after int64, wait time.Duration,
) ([]storer.Object, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mutex.Lock()
		s.calls++
		if s.down || s.occurs(s.downRate) {
			s.mutex.Unlock()
			return nil, storer.ErrUnavailable
		}
		objects := s.matching(func(o storer.Object) bool {
			return strings.HasPrefix(o.Key, prefix) && o.Version > after
		})
		changed := s.changed
		s.mutex.Unlock()
		if len(objects) > 0 {
			return objects, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// setDown sets whether all calls fail with ErrUnavailable.
func (s *fakeStore) setDown(down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = down
}

// clearFaults switches all faults off.
func (s *fakeStore) clearFaults() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down, s.lostRate, s.downRate, s.delayRate = false, 0, 0, 0
}
