package orderer

import (
	"context"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"jujubegate.example/jujubegate/storer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeStore is an object store in memory. fault, if set, determines whether a call
// takes effect and what error it returns.
type fakeStore struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]storer.Object
	fault    func(method, key string) (effect bool, err error)
}

func newFakeStore() *fakeStore { return &fakeStore{objects: make(map[string]storer.Object)} }

func (f *fakeStore) store() storer.Store {
	return storer.Store{Get: f.get, Put: f.put}
}

func (f *fakeStore) inject(method, key string) (bool, error) {
	if f.fault == nil {
		return true, nil
	}
	return f.fault(method, key)
}

func (f *fakeStore) get(_ context.Context, key string) (storer.Object, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, err := f.inject("Get", key); err != nil {
		return storer.Object{}, err
	}
	o, ok := f.objects[key]
	if !ok {
		return storer.Object{}, storer.ErrNotFound
	}
	return o, nil
}

func (f *fakeStore) put(_ context.Context, key string, value []byte, version int64) (storer.Object, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	effect, fault := f.inject("Put", key)
	if !effect {
		return storer.Object{}, fault
	}
	object, err := f.apply(key, value, version)
	if fault != nil {
		return storer.Object{}, fault
	}
	return object, err
}

// apply writes an object if its version matches. The caller holds the lock.
func (f *fakeStore) apply(key string, value []byte, version int64) (storer.Object, error) {
	if f.objects[key].Version != version {
		return storer.Object{}, storer.ErrConflict
	}
	f.revision++
	o := storer.Object{Key: key, Version: f.revision, Value: append([]byte(nil), value...)}
	f.objects[key] = o
	return o, nil
}

func alwaysTrue(time.Time) bool { return true }
