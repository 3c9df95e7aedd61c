package replicator

import (
	"context"
	"errors"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"pgregory.net/rapid"
)

// object returns an object whose value is its place in the words of its writer.
func object(name string, revision, word int64) Object {
	return Object{Name: name, Revision: revision, Created: revision, Value: []byte(strconv.FormatInt(word, 10))}
}

// word returns the value of an object.
func word(o Object) int64 {
	n, _ := strconv.ParseInt(string(o.Value), 10, 64)
	return n
}

func later(a, b Object) bool { return word(a) > word(b) }

func listing(era, revision int64, objects ...Object) Listing {
	return Listing{Position: Position{era, revision}, Objects: objects}
}

func changes(era, revision int64, changes ...Change) Changes {
	return Changes{Position: Position{era, revision}, Changes: changes}
}

func TestStoreComesBackFromOlderCopy(t *testing.T) {
	// Guards against states that are ordered by revision although the store has given
	// out the revisions again, and against what its writers took back coming into
	// force again.
	const within = 10 * time.Second
	ordered, unordered := Rewriting{Later: later, KeepMissing: true, Within: within}, Rewriting{KeepMissing: true, Within: within}
	lapsing, endless := Rewriting{Later: later, Within: within}, Rewriting{Later: later, KeepMissing: true}
	put := func(o Object) Change { return Change{Object: o} }
	drop := func(name string) Change { return Change{Object: Object{Name: name}, Removed: true} }
	type step func(r *Replicator, c *clockwork.FakeClock)
	list := func(l Listing) step {
		return func(r *Replicator, _ *clockwork.FakeClock) { r.Replace(l, Reading{At: r.settings.Clock.Now()}) }
	}
	apply := func(after int64, c Changes) step {
		return func(r *Replicator, _ *clockwork.FakeClock) { r.Apply(after, c, Reading{At: r.settings.Clock.Now()}) }
	}
	wait := func(d time.Duration) step {
		return func(r *Replicator, c *clockwork.FakeClock) {
			c.Advance(d)
			r.endRewriting()
		}
	}
	cases := []struct {
		name      string
		rewriting Rewriting
		steps     []step
		// want is the value of the object a; 0 if it must not be there.
		want int64
		at   Position
	}{
		{"lower revision, changed object", ordered, []step{list(listing(1, 10, object("a", 10, 3))), list(listing(2, 7, object("a", 7, 4)))}, 4, Position{2, 7}},
		{"older copy", ordered, []step{list(listing(1, 10, object("a", 10, 3))), list(listing(2, 7, object("a", 7, 2)))}, 3, Position{2, 7}},
		{"older copy, written again", ordered, []step{list(listing(1, 10, object("a", 10, 3))), list(listing(2, 7, object("a", 7, 2))), apply(7, changes(2, 8, put(object("a", 8, 3))))}, 3, Position{2, 8}},
		{"older copy, written again step by step", ordered, []step{list(listing(1, 10, object("a", 10, 4))), list(listing(2, 7, object("a", 7, 2))), apply(7, changes(2, 8, put(object("a", 8, 3))))}, 4, Position{2, 8}},
		{"later word at a revision given out before", ordered, []step{list(listing(1, 10, object("a", 10, 3))), list(listing(2, 7, object("a", 7, 2))), apply(7, changes(2, 10, put(object("a", 10, 5))))}, 5, Position{2, 10}},
		{"never written again", ordered, []step{list(listing(1, 10, object("a", 10, 3))), list(listing(2, 7, object("a", 7, 2))), wait(within)}, 2, Position{2, 7}},
		{"never written again, kept without end", endless, []step{list(listing(1, 10, object("a", 10, 3))), list(listing(2, 7, object("a", 7, 2))), wait(time.Hour)}, 3, Position{2, 7}},
		{"missing in the copy", unordered, []step{list(listing(1, 10, object("a", 10, 3))), list(listing(2, 7))}, 3, Position{2, 7}},
		{"missing, never written again", unordered, []step{list(listing(1, 10, object("a", 10, 3))), list(listing(2, 7)), wait(within)}, 0, Position{2, 7}},
		{"missing, written and removed again", unordered, []step{list(listing(1, 10, object("a", 10, 3))), list(listing(2, 7)), apply(7, changes(2, 9, put(object("a", 8, 3)), drop("a")))}, 0, Position{2, 9}},
		{"missing, and its writer lives", lapsing, []step{list(listing(1, 10, object("a", 10, 3))), list(listing(2, 7))}, 0, Position{2, 7}},
		{"removed since the copy", ordered, []step{list(listing(1, 10, object("a", 9, 3))), apply(10, changes(1, 11, drop("a"))), list(listing(2, 10, object("a", 9, 3)))}, 0, Position{2, 10}},
		{"removed since, later word", ordered, []step{list(listing(1, 10, object("a", 9, 3))), apply(10, changes(1, 11, drop("a"))), list(listing(2, 10, object("a", 9, 3))), apply(10, changes(2, 11, put(object("a", 11, 4))))}, 4, Position{2, 11}},
		{"removed since, no order", unordered, []step{list(listing(1, 10, object("a", 9, 3))), apply(10, changes(1, 11, drop("a"))), list(listing(2, 10, object("a", 9, 3)))}, 0, Position{2, 10}},
		{"removed since, written again", unordered, []step{list(listing(1, 10, object("a", 9, 3))), apply(10, changes(1, 11, drop("a"))), list(listing(2, 10, object("a", 9, 3))), apply(10, changes(2, 11, put(object("a", 11, 3))))}, 3, Position{2, 11}},
		{"removed since, still there after the time", unordered, []step{list(listing(1, 10, object("a", 9, 3))), apply(10, changes(1, 11, drop("a"))), list(listing(2, 10, object("a", 9, 3))), wait(within)}, 3, Position{2, 10}},
		{"removed since, another one of its name", unordered, []step{list(listing(1, 10, object("a", 9, 3))), apply(10, changes(1, 11, drop("a"))), list(listing(2, 11, object("a", 11, 3)))}, 3, Position{2, 11}},
		{"two restores in series", ordered, []step{list(listing(1, 10, object("a", 10, 3))), list(listing(2, 7, object("a", 7, 2))), list(listing(3, 5, object("a", 5, 1)))}, 3, Position{3, 5}},
		{"removed, two restores in series", unordered, []step{list(listing(1, 10, object("a", 9, 3))), apply(10, changes(1, 11, drop("a"))), list(listing(2, 10, object("a", 9, 3))), list(listing(3, 9, object("a", 9, 3)))}, 0, Position{3, 9}},
		{"listing of an earlier era", ordered, []step{list(listing(2, 7, object("a", 7, 2))), list(listing(1, 10, object("a", 10, 3)))}, 2, Position{2, 7}},
		{"changes of an earlier era", ordered, []step{list(listing(2, 7, object("a", 7, 2))), apply(7, changes(1, 10, put(object("a", 10, 3))))}, 2, Position{2, 7}},
		{"changes of a later era", ordered, []step{list(listing(1, 7, object("a", 7, 2))), apply(7, changes(2, 10, put(object("a", 10, 3))))}, 2, Position{1, 7}},
		{"era not known", ordered, []step{list(listing(2, 7, object("a", 7, 2))), apply(7, changes(0, 8, put(object("a", 8, 3))))}, 3, Position{2, 8}},
		{"era known later", ordered, []step{list(listing(0, 7, object("a", 7, 2))), list(listing(1, 8, object("a", 8, 1)))}, 1, Position{1, 8}},
	}
	for _, c := range cases {
		clock := clockwork.NewFakeClock()
		r := New(Settings{Kind: "k", Clock: clock, Log: zap.NewNop(), Changed: func(*State) {}, Rewriting: c.rewriting})
		for _, s := range c.steps {
			s(r, clock)
		}
		if got := word(r.State().Objects["a"]); got != c.want || r.Position() != c.at {
			t.Errorf("%s: %d at %v, want %d at %v", c.name, got, r.Position(), c.want, c.at)
		}
	}
}

func TestNewInstanceTakesCopyForCurrent(t *testing.T) {
	// Guards against an instance that has read only the older copy of a restored store
	// and stays with it, since its peers are at the same position.
	clock := clockwork.NewFakeClock()
	newOne := func() *Replicator {
		return New(Settings{Kind: "k", Clock: clock, Log: zap.NewNop(), Changed: func(*State) {}, Rewriting: Rewriting{Later: later, KeepMissing: true}})
	}
	peer, fresh := newOne(), newOne()
	stored := listing(2, 7, object("a", 7, 2), object("c", 6, 1))
	peer.Replace(listing(1, 9, object("a", 8, 3), object("b", 9, 1), object("c", 6, 1)), Reading{})
	peer.Apply(9, changes(1, 10, Change{Object: Object{Name: "c"}, Removed: true}), Reading{})
	peer.Replace(stored, Reading{})
	fresh.Replace(stored, Reading{})
	if !fresh.Behind(peer.Holding()) || peer.Behind(fresh.Holding()) {
		t.Fatal("the new instance does not see that its peer knows more")
	}
	fresh.Replace(peer.Whole(), Reading{FromPeer: true})
	objects := fresh.State().Objects
	if _, ok := objects["c"]; ok || word(objects["a"]) != 3 || word(objects["b"]) != 1 {
		t.Errorf("the new instance has %v", objects)
	}
	if fresh.Behind(peer.Holding()) {
		t.Error("the new instance asks its peer again")
	}
}

func TestOutdatedAnswerIsReadAgainWithoutPause(t *testing.T) {
	// Guards against billed calls without a pause while the answers of the store have
	// no effect: 1,472 listings in 4.5 s.
	cases := []struct {
		name string
		at   Position
	}{
		{"earlier era", Position{1, 9}},
		{"earlier revision, no era", Position{0, 3}},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			var calls atomic.Int64
			r := newReplicator(Source{
				List: func(context.Context, string) (Listing, error) { calls.Add(1); return Listing{Position: c.at}, nil },
				Watch: func(context.Context, string, int64, time.Duration) (Changes, error) {
					calls.Add(1)
					return Changes{}, ErrHistoryGone
				},
			})
			r.Replace(listing(2, 5, object("a", 5, 1)), Reading{At: time.Now()})
			if _, err := r.read(t.Context(), watchWait, 0); !errors.Is(err, ErrOutdated) {
				t.Fatalf("%s: error %v, want that the answer is outdated", c.name, err)
			}
			calls.Store(0)
			ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
			defer stop()
			NewReader(r.settings.Clock, func() time.Duration { return 0 }, r).Run(ctx)
			// Two calls for each attempt, which backs off up to a second.
			if n := calls.Load(); n > 60 {
				t.Errorf("%s: %d calls in 10 s", c.name, n)
			}
			if r.Position() != (Position{2, 5}) {
				t.Errorf("%s: state at %v", c.name, r.Position())
			}
		})
	}
}

func TestInstancesAgreeAfterRestores(t *testing.T) {
	// Guards against instances that disagree, or go back to an earlier word, after
	// restores in series that each of them sees at another time, through the store or
	// through peers.
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		var instances []*Replicator
		newest := make(map[*Replicator]int64)
		for range 3 {
			var r *Replicator
			r = New(Settings{
				Kind: "k", Clock: clock, Log: zap.NewNop(), Rewriting: Rewriting{Later: later, KeepMissing: true},
				Changed: func(s *State) {
					if w := word(s.Objects["a"]); w < newest[r] {
						t.Fatalf("an instance goes back from %d to %d", newest[r], w)
					}
					newest[r] = word(s.Objects["a"])
				},
			})
			instances = append(instances, r)
		}
		store := listing(1, 1, object("a", 1, 1))
		written := int64(1)
		copies := []Listing{store}
		tell := func(from, to *Replicator) {
			if from.State() == nil || !to.Behind(from.Holding()) {
				return
			}
			if c, ok := from.Since(to.Position()); ok && to.Position().Revision > 0 && to.Position().Before(from.Position()) {
				to.Apply(to.Position().Revision, c, Reading{FromPeer: true})
				return
			}
			to.Replace(from.Whole(), Reading{FromPeer: true})
		}
		read := func(r *Replicator) { r.Replace(store, Reading{}) }
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, 2).Draw(t, "instance")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				written++
				store = listing(store.Era, store.Revision+1, object("a", store.Revision+1, written))
				copies = append(copies, store)
			case 1:
				c := copies[rapid.IntRange(0, len(copies)-1).Draw(t, "copy")]
				store = listing(store.Era+1, c.Revision, c.Objects...)
			case 2, 3:
				read(instances[i])
			case 4:
				tell(instances[i], instances[rapid.IntRange(0, 2).Draw(t, "to")])
			}
		}
		// The operator writes its newest word again.
		store = listing(store.Era, store.Revision+1, object("a", store.Revision+1, written))
		read(instances[0])
		for range 2 {
			for _, from := range instances {
				for _, to := range instances {
					tell(from, to)
				}
			}
		}
		for i, r := range instances {
			if r.Position() != store.Position || word(r.State().Objects["a"]) != written {
				t.Fatalf("instance %d has %d at %v, want %d at %v", i, word(r.State().Objects["a"]), r.Position(), written, store.Position)
			}
		}
	})
}
