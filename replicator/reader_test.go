package replicator

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"jujubegate.example/jujubegate/storer"
)

// fakeStore is a store with one object per kind. A single revision counts the
// changes of all kinds.
type fakeStore struct {
	mu       sync.Mutex
	revision int64
	changed  map[string]int64
	calls    map[string]int
	down     map[string]bool
}

func newFakeStore() *fakeStore {
	return &fakeStore{revision: 10, changed: make(map[string]int64), calls: make(map[string]int), down: make(map[string]bool)}
}

func (f *fakeStore) change(kind string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	f.changed[kind] = f.revision
}

func (f *fakeStore) setDown(kind string, down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down[kind] = down
}

// takeCalls returns the number of calls for a kind and resets it.
func (f *fakeStore) takeCalls(kind string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.calls[kind]
	f.calls[kind] = 0
	return n
}

func (f *fakeStore) source() Source {
	beginCall := func(kind string) error {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.calls[kind]++
		if f.down[kind] {
			return storer.ErrUnavailable
		}
		return nil
	}
	return Source{
		List: func(_ context.Context, kind string) (Listing, error) {
			if err := beginCall(kind); err != nil {
				return Listing{}, err
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			return Listing{Position: Position{Revision: f.revision}, Objects: []Object{{Name: "a", Revision: f.changed[kind]}}}, nil
		},
		Watch: func(ctx context.Context, kind string, after int64, wait time.Duration) (Changes, error) {
			if err := beginCall(kind); err != nil {
				return Changes{}, err
			}
			for started := time.Now(); ; time.Sleep(time.Millisecond) {
				f.mu.Lock()
				c, changed := Changes{Position: Position{Revision: f.revision}}, f.changed[kind]
				f.mu.Unlock()
				if changed > after {
					c.Changes = []Change{{Object: Object{Name: "a", Revision: changed}}}
					return c, nil
				}
				if time.Since(started) >= wait {
					return c, nil
				}
				if err := ctx.Err(); err != nil {
					return Changes{}, err
				}
			}
		},
	}
}

func TestReader(t *testing.T) {
	// Guards against billed calls for kinds that have not changed, against changes
	// that are never read, and against a reader that does not report that it cannot
	// read one of the kinds, so that no other instance takes its place.
	const second = time.Second
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		lead, follower, paused := newReplicator(store.source()), newReplicator(store.source()), newReplicator(store.source())
		lead.settings.Kind, follower.settings.Kind, paused.settings.Kind = "lead", "follower", "paused"
		paused.settings.Pause = second
		reader := NewReader(lead.settings.Clock, func() time.Duration { return 0 }, lead, follower, paused)
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			reader.Run(ctx)
			close(done)
		}()
		time.Sleep(second)
		if !reader.Complete() {
			t.Fatal("a kind has no state after 1 s")
		}
		for _, kind := range []string{"lead", "follower", "paused"} {
			store.takeCalls(kind)
		}
		time.Sleep(7 * second)
		if l, f, p := store.takeCalls("lead"), store.takeCalls("follower"), store.takeCalls("paused"); l > 10 || f+p > 0 {
			t.Errorf("%d calls for the lead and %d and %d for the others in 7 s without a change, want at most 10 and none", l, f, p)
		}
		if follower.Age() > second || paused.Age() > second {
			t.Errorf("the others were confirmed %v and %v ago, want at most 1 s", follower.Age(), paused.Age())
		}
		for range 20 {
			store.change("follower")
			store.change("paused")
			time.Sleep(watchWait + 10*time.Millisecond)
			if follower.Revision() < store.changed["follower"] {
				t.Fatalf("the change of the follower was not read within %v", watchWait)
			}
		}
		if n := store.takeCalls("paused"); n > 15 {
			t.Errorf("%d calls in 14 s for a kind with a pause of 1 s", n)
		}
		time.Sleep(2 * second)
		if paused.Revision() < store.changed["paused"] {
			t.Error("the last change of the kind with a pause was not read")
		}
		store.change("lead")
		time.Sleep(10 * time.Millisecond)
		if lead.Revision() < store.changed["lead"] {
			t.Error("the change of the lead was not read at once")
		}
		store.setDown("follower", true)
		store.change("follower")
		time.Sleep(second)
		if !lead.Failing() {
			t.Error("the reader does not report that it cannot read the follower")
		}
		store.setDown("follower", false)
		time.Sleep(3 * second)
		if lead.Failing() || follower.Revision() < store.changed["follower"] {
			t.Error("the reader did not recover")
		}
		stop()
		<-done
	})
}

func TestConfirmationIsNewerThanItsRead(t *testing.T) {
	// Guards against a slow answer of the store that counts as one of a later time, because
	// a peer has confirmed the watched kind meanwhile: another kind may have changed since.
	synctest.Test(t, func(t *testing.T) {
		const delay = 150 * time.Millisecond
		store := newFakeStore()
		source := store.source()
		lead, follower := newReplicator(source), newReplicator(source)
		lead.settings.Kind, follower.settings.Kind = "lead", "follower"
		reader := NewReader(lead.settings.Clock, func() time.Duration { return 0 }, lead, follower)
		if err := reader.read(t.Context(), watchWait); err != nil {
			t.Fatal(err)
		}
		var answeredAt time.Time
		lead.settings.Source.Watch = func(ctx context.Context, kind string, after int64, wait time.Duration) (Changes, error) {
			c, err := source.Watch(ctx, kind, after, wait)
			answeredAt = time.Now()
			time.Sleep(delay / 2)
			store.change("follower")
			time.Sleep(delay / 2)
			lead.Confirm(lead.Position(), Reading{At: time.Now(), FromPeer: true})
			return c, err
		}
		if err := reader.read(t.Context(), watchWait); err != nil {
			t.Fatal(err)
		}
		if age, sinceAnswer := follower.Age(), time.Since(answeredAt); age < sinceAnswer {
			t.Errorf("the follower was confirmed %v ago, want at least the %v since the store's answer", age, sinceAnswer)
		}
	})
}

func TestStartedReaderMissesItsTurn(t *testing.T) {
	// Guards against a fleet that starts as a whole and waits for a check that is a quarter
	// of a second away, although an instance has learnt that it is the one to read.
	synctest.Test(t, func(t *testing.T) {
		const turnAt, soon = 260 * time.Millisecond, 50 * time.Millisecond
		store := newFakeStore()
		lead := newReplicator(store.source())
		start := time.Now()
		reader := NewReader(lead.settings.Clock, func() time.Duration {
			if time.Since(start) < turnAt {
				return time.Second
			}
			return 0
		}, lead)
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			reader.Run(ctx)
			close(done)
		}()
		time.Sleep(turnAt + soon)
		if lead.State() == nil {
			t.Errorf("the store was not read within %v of the reader's turn", soon)
		}
		stop()
		<-done
	})
}
