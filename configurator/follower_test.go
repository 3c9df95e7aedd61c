package configurator

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
)

const deskText = `
Declare Service Desk { Shards = 2; Slots = 2; Connections = 25; ColdLimit = 1; Deadline = 160ms; Priority = High; };
Declare Route Desk.Search { Idempotent = true; };
Declare Target "10.0.0.1:9000" { Service = Desk; Shard = 0; DataCentre = Sliven; Version = v1; };
Declare Target "10.0.0.2:9000" { Service = Desk; Shard = 0; DataCentre = Yambol; Version = v1; };
Declare Target "10.0.0.3:9000" { Service = Desk; Shard = 1; DataCentre = Sliven; Version = v1; };
Declare Target "10.0.0.4:9000" { Service = Desk; Shard = 1; DataCentre = Yambol; Version = v1; };
`

func newFollower(s *fakeStore) *Follower {
	return New(s.store(), clockwork.NewRealClock(), zap.NewNop())
}

// alterSlots returns a statement that is valid any number of times.
func alterSlots(i int) string { return fmt.Sprintf("Alter Service Desk { Slots = %d; };", 1+i%25) }

// proposeAll proposes texts that must be accepted.
func proposeAll(t *testing.T, f *Follower, texts ...string) {
	t.Helper()
	for _, text := range texts {
		if _, err := f.Propose(context.Background(), text, "ivan"); err != nil {
			t.Fatal(err)
		}
	}
}

// proposeHistory proposes deskText, then further changes up to a generation.
func proposeHistory(t *testing.T, f *Follower, generation int) {
	t.Helper()
	proposeAll(t, f, deskText)
	for i := 2; i <= generation; i++ {
		proposeAll(t, f, alterSlots(i))
	}
}

func TestOffer(t *testing.T) {
	// Guards against a follower that skips, repeats, reverts or reorders changes.
	Convey("A follower at generation 3 is offered", t, func() {
		source, f := newFollower(newFakeStore(1)), newFollower(newFakeStore(1))
		proposeHistory(t, source, 5)
		changes := source.After(0)
		var violations []error
		var pushed []Change
		f.OnViolation = func(err error) { violations = append(violations, err) }
		f.OnChange = func(changes []Change) { pushed = append(pushed, changes...) }
		So(f.Apply(changes[:3]), ShouldBeNil)
		So(pushed, ShouldResemble, changes[:3])
		other := changes[1]
		other.Token = "other"
		invalid := changes[3]
		invalid.Statements = "Drop Service Other;"
		again := changes[3]
		again.Statements = "Show Services;"
		cases := []struct {
			name       string
			offered    []Change
			generation jujubegate.Generation
			gap        bool
			violations int
			pushed     int
		}{
			{"known changes", changes[:3], 3, false, 0, 0},
			{"an older change", changes[:1], 3, false, 0, 0},
			{"the next change", changes[3:4], 4, false, 0, 1},
			{"all changes, out of order", []Change{changes[4], changes[2], changes[3]}, 5, false, 0, 2},
			{"a change after a gap", changes[4:], 3, true, 0, 0},
			{"a different change of a known generation", []Change{other}, 3, false, 1, 0},
			{"a change that can't be applied", []Change{invalid}, 3, false, 1, 0},
			{"a change without effect", []Change{again}, 3, false, 1, 0},
			{"a snapshot of a newer generation", []Change{source.current.Load().snapshot()}, 5, false, 0, 0},
		}
		for _, c := range cases {
			Convey(c.name, func() {
				err := f.Apply(c.offered)
				var gap *GapError
				So(errors.As(err, &gap), ShouldEqual, c.gap)
				So(f.Current().Generation(), ShouldEqual, c.generation)
				So(violations, ShouldHaveLength, c.violations)
				So(pushed, ShouldHaveLength, 3+c.pushed)
			})
		}
		Convey("a snapshot of an older generation", func() {
			So(source.Apply([]Change{f.current.Load().snapshot()}), ShouldBeNil)
			So(source.Current().Generation(), ShouldEqual, jujubegate.Generation(5))
		})
	})
}

func TestAfter(t *testing.T) {
	// Guards against passing an incomplete sequence of changes to peers.
	Convey("Changes after a generation", t, func() {
		source := newFollower(newFakeStore(1))
		proposeHistory(t, source, maxRecentChanges+10)
		cases := []struct {
			after jujubegate.Generation
			want  int
		}{{maxRecentChanges + 10, 0}, {maxRecentChanges + 20, 0}, {maxRecentChanges + 9, 1}, {10, maxRecentChanges}, {9, 1}, {0, 1}}
		for _, c := range cases {
			changes := source.After(c.after)
			So(changes, ShouldHaveLength, c.want)
			f := newFollower(newFakeStore(1))
			if c.after < 10 {
				So(f.Apply(changes), ShouldBeNil)
				So(f.Current(), ShouldResemble, source.Current())
			}
		}
	})
}

func TestLoadFromSnapshot(t *testing.T) {
	// Guards against a start that reads the whole log, and against a resent
	// proposal that is applied twice because the instance that accepted it was
	// replaced.
	Convey("With a snapshot at generation 64 and a log of 70 generations", t, func() {
		s := newFakeStore(1)
		source := newFollower(s)
		proposeHistory(t, source, 63)
		g, err := source.Submit(context.Background(), Proposal{Statements: alterSlots(1), Token: "mine"})
		So(err, ShouldBeNil)
		So(g, ShouldEqual, jujubegate.Generation(64))
		So(source.writeSnapshot(context.Background()), ShouldBeNil)
		for i := range 6 {
			proposeAll(t, source, alterSlots(i))
		}
		s.calls = 0
		f := newFollower(s)
		So(f.Load(context.Background()), ShouldBeNil)
		So(s.calls, ShouldEqual, 2)
		So(f.Current(), ShouldResemble, source.Current())
		So(f.ConfirmedAt().IsZero(), ShouldBeFalse)
		g, err = f.Submit(context.Background(), Proposal{Statements: alterSlots(1), Token: "mine"})
		So(err, ShouldBeNil)
		So(g, ShouldEqual, jujubegate.Generation(64))
		So(f.Current().Generation(), ShouldEqual, jujubegate.Generation(70))
		Convey("an older snapshot does not replace a newer one", func() {
			old := newFollower(newFakeStore(1))
			proposeHistory(t, old, 3)
			stored, err := source.log.WriteSnapshot(context.Background(), old.current.Load().snapshot())
			So(err, ShouldBeNil)
			So(stored, ShouldEqual, jujubegate.Generation(64))
		})
	})
}
