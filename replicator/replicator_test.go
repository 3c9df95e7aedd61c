package replicator

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"jujubegate.example/jujubegate/storer"
)

func newReplicator(source Source) *Replicator {
	return New(Settings{
		Kind: "k", Source: source, Clock: clockwork.NewRealClock(), Log: zap.NewNop(),
		Changed: func(*State) {},
	})
}

func TestSinceMatchesState(t *testing.T) {
	// Guards against an instance that applies the changes of a peer and ends up with
	// other objects than the peer, although it misses some changes and gets others
	// twice.
	rapid.Check(t, func(t *rapid.T) {
		leader, follower := newReplicator(Source{}), newReplicator(Source{})
		leader.Replace(Listing{Position: Position{Revision: 1}}, Reading{})
		revision := int64(1)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			after := leader.Revision()
			c := Changes{}
			for range rapid.IntRange(0, 60).Draw(t, "changes") {
				revision++
				c.Changes = append(c.Changes, Change{
					Object:  Object{Name: fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "name")), Revision: revision},
					Removed: rapid.Bool().Draw(t, "removed"),
				})
			}
			c.Revision = revision
			leader.Apply(after, c, Reading{})
			if rapid.Bool().Draw(t, "hears") {
				at := follower.Revision()
				if c, ok := leader.Since(Position{Revision: at}); ok && at > 0 {
					follower.Apply(at, c, Reading{})
					follower.Apply(at, c, Reading{})
				} else {
					s := leader.State()
					follower.Replace(Listing{Position: Position{Revision: s.Revision}, Objects: slices.Collect(maps.Values(s.Objects))}, Reading{FromPeer: true})
				}
				if follower.Revision() != leader.Revision() {
					t.Fatalf("follower at %d, leader at %d", follower.Revision(), leader.Revision())
				}
				if f, l := follower.State().Objects, leader.State().Objects; !maps.EqualFunc(f, l, func(a, b Object) bool { return a.Name == b.Name && a.Revision == b.Revision }) {
					t.Fatalf("follower has %v, leader %v", f, l)
				}
			}
		}
	})
}

func TestRevisionNeverDecreases(t *testing.T) {
	// Guards against a state that goes back to an older revision or skips changes.
	r := newReplicator(Source{})
	r.Replace(Listing{Position: Position{Revision: 10}, Objects: []Object{{Name: "a", Revision: 10}}}, Reading{})
	r.Replace(Listing{Position: Position{Revision: 9}}, Reading{FromPeer: true})
	r.Apply(8, Changes{Position: Position{Revision: 9}, Changes: []Change{{Object: Object{Name: "a"}, Removed: true}}}, Reading{})
	r.Apply(11, Changes{Position: Position{Revision: 12}, Changes: []Change{{Object: Object{Name: "b", Revision: 12}}}}, Reading{})
	if r.Revision() != 10 || len(r.State().Objects) != 1 {
		t.Errorf("revision %d with %d objects, want 10 with 1: changes after 11 miss what came between", r.Revision(), len(r.State().Objects))
	}
}

func TestReaderFailover(t *testing.T) {
	// Guards against billed calls of an instance while another one reads for all, and
	// against an instance that does not start to read when confirmations stop.
	synctest.Test(t, func(t *testing.T) {
		var calls atomic.Int64
		r := newReplicator(Source{
			List: func(context.Context, string) (Listing, error) {
				calls.Add(1)
				return Listing{Position: Position{Revision: 5}}, nil
			},
			Watch: func(ctx context.Context, _ string, after int64, wait time.Duration) (Changes, error) {
				calls.Add(1)
				time.Sleep(wait)
				return Changes{Position: Position{Revision: after}}, nil
			},
		})
		reader := NewReader(r.settings.Clock, func() time.Duration { return 2 * time.Second }, r)
		ctx, stop := context.WithCancel(t.Context())
		r.Replace(Listing{Position: Position{Revision: 5}}, Reading{At: time.Now(), FromPeer: true})
		done := make(chan struct{})
		go func() {
			reader.Run(ctx)
			close(done)
		}()
		for range 20 {
			time.Sleep(500 * time.Millisecond)
			r.Confirm(Position{Revision: 5}, Reading{At: time.Now().Add(-100 * time.Millisecond), FromPeer: true})
		}
		if n := calls.Load(); n != 0 {
			t.Errorf("%d calls while a peer confirms, want none", n)
		}
		time.Sleep(2500 * time.Millisecond)
		if calls.Load() == 0 {
			t.Error("no call after 2.5 s without a confirmation")
		}
		stop()
		<-done
	})
}

func TestGapAfterStoreOutage(t *testing.T) {
	// Guards against a state that does not show the gap after a store outage. Entries
	// can expire in the gap, and the live targets that wrote them would be dropped at
	// once.
	synctest.Test(t, func(t *testing.T) {
		var down atomic.Bool
		states := make(chan *State, 10)
		var revision atomic.Int64
		revision.Store(5)
		r := newReplicator(Source{
			List: func(context.Context, string) (Listing, error) { return Listing{Position: Position{Revision: 5}}, nil },
			Watch: func(_ context.Context, _ string, after int64, wait time.Duration) (Changes, error) {
				time.Sleep(wait)
				if down.Load() {
					return Changes{}, storer.ErrUnavailable
				}
				if now := revision.Load(); now > after {
					return Changes{Position: Position{Revision: now}, Changes: []Change{{Object: Object{Name: "a", Revision: now}}}}, nil
				}
				return Changes{Position: Position{Revision: after}}, nil
			},
		})
		r.settings.Changed = func(s *State) { states <- s }
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			NewReader(r.settings.Clock, func() time.Duration { return 0 }, r).Run(ctx)
			close(done)
		}()
		<-states
		time.Sleep(5 * time.Second)
		revision.Store(6)
		// The change ends the second watch after the one whose request confirmed.
		if s := <-states; s.Gap != (Gap{}) || time.Since(s.SeenAt) > 2*watchWait+time.Millisecond {
			t.Errorf("a change without an outage has a gap of %v and a confirmation %v ago", s.Gap.Length, time.Since(s.SeenAt))
		}
		down.Store(true)
		time.Sleep(4 * time.Second)
		revision.Store(7)
		down.Store(false)
		// The first watch after a gap waits for followWait.
		if s := <-states; s.Gap.Length < 4*time.Second || !s.Gap.StoreAway() || time.Since(s.Gap.EndedAt) > time.Millisecond || time.Since(s.SeenAt) != s.Gap.Length+followWait {
			t.Errorf("a change right after an outage of 4 s has a gap of %v that ended %v ago, and a confirmation %v ago", s.Gap.Length, time.Since(s.Gap.EndedAt), time.Since(s.SeenAt))
		}
		stop()
		<-done
	})
}

func TestConfirmationIsNotNewerThanItsRead(t *testing.T) {
	// Guards against a target that is used for too long after its entry was removed.
	// The answer to a watch was under way for 120 ms when the entry was removed, so
	// that the state counted as confirmed at a time when it was outdated already.
	synctest.Test(t, func(t *testing.T) {
		const delay = 240 * time.Millisecond
		var removedAt time.Time
		var r *Replicator
		source := Source{
			List: func(context.Context, string) (Listing, error) {
				return Listing{Position: Position{Revision: 5}, Objects: []Object{{Name: "a", Revision: 5}}}, nil
			},
			Watch: func(_ context.Context, _ string, after int64, wait time.Duration) (Changes, error) {
				if !removedAt.IsZero() {
					return Changes{Position: Position{Revision: 6}, Changes: []Change{{Object: Object{Name: "a"}, Removed: true}}}, nil
				}
				time.Sleep(wait + delay/2)
				if after == 5 && r.Age() > wait+delay {
					removedAt = time.Now()
				}
				time.Sleep(delay / 2)
				return Changes{Position: Position{Revision: after}}, nil
			},
		}
		r = newReplicator(source)
		var seenAt time.Time
		r.settings.Changed = func(s *State) { seenAt = s.SeenAt }
		for removedAt.IsZero() || r.Revision() == 5 {
			if _, err := r.read(t.Context(), watchWait, 0); err != nil {
				t.Fatal(err)
			}
		}
		if seenAt.After(removedAt) {
			t.Errorf("the entry counts as seen %v after its removal", seenAt.Sub(removedAt))
		}
	})
}

func TestHoldingIsConsistent(t *testing.T) {
	// Guards against a revision that is reported with the age of a later one, which
	// confirms an outdated state at peers.
	synctest.Test(t, func(t *testing.T) {
		r := newReplicator(Source{})
		r.Replace(Listing{Position: Position{Revision: 1}}, Reading{At: time.Now()})
		var group sync.WaitGroup
		stop := make(chan struct{})
		group.Go(func() {
			for revision := int64(2); revision < 2000; revision++ {
				time.Sleep(time.Millisecond)
				r.Replace(Listing{Position: Position{Revision: revision}}, Reading{At: time.Now()})
			}
			close(stop)
		})
		start := time.Now()
		for i := 0; ; i++ {
			select {
			case <-stop:
				group.Wait()
				return
			default:
			}
			h := r.Holding()
			if confirmed := time.Now().Add(-h.Age).Sub(start); confirmed != time.Duration(h.Revision-1)*time.Millisecond {
				t.Fatalf("revision %d with an age of %v, confirmed at %v", h.Revision, h.Age, confirmed)
			}
			time.Sleep(300 * time.Microsecond)
		}
	})
}
