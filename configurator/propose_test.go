package configurator

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/storer"
)

func TestProposeAndLoad(t *testing.T) {
	// Guards against a started instance that misses accepted changes.
	Convey("A change accepted by one follower is loaded by another", t, func() {
		s := newFakeStore(1)
		a, b := newFollower(s), newFollower(s)
		g, err := a.Propose(context.Background(), deskText, "ivan")
		So(err, ShouldBeNil)
		So(g, ShouldEqual, jujubegate.Generation(1))
		So(a.Current().Generation(), ShouldEqual, g)
		So(b.Load(context.Background()), ShouldBeNil)
		So(b.Current(), ShouldResemble, a.Current())
	})
}

func TestSubmitWithoutEffect(t *testing.T) {
	// Guards against store writes and generations from batches without effect.
	cases := []struct {
		name     string
		proposal Proposal
		want     jujubegate.Generation
		findings int
	}{
		{"dry run", Proposal{Statements: alter(1), DryRun: true}, 2, 0},
		{"show", Proposal{Statements: "Show Services;"}, 1, 0},
		{"empty", Proposal{}, 1, 0},
		{"syntax", Proposal{Statements: "Frob"}, 0, 2},
		{"rule", Proposal{Statements: "Drop Service A; Drop Service B;"}, 0, 2},
		{"token and author", Proposal{Statements: alter(1), Token: "a b", Author: strings.Repeat("x", 257)}, 0, 2},
		{"dry run of a fault", Proposal{Statements: "Drop Service A;", DryRun: true}, 0, 1},
	}
	Convey("Proposals", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				s := newFakeStore(1)
				f := newFollower(s)
				proposeAll(t, f, deskText)
				g, err := f.Submit(context.Background(), c.proposal)
				var findings jujubegate.Findings
				So(errors.As(err, &findings), ShouldEqual, c.findings > 0)
				So(findings, ShouldHaveLength, c.findings)
				So(g, ShouldEqual, c.want)
				So(f.Current().Generation(), ShouldEqual, jujubegate.Generation(1))
				So(s.revision, ShouldEqual, 1)
			})
		}
	})
}

// putResult is the behaviour of one write.
type putResult struct {
	err error
	// effect says that the write takes effect.
	effect bool
	// before is another author's change that is written first.
	before bool
}

func TestSubmitWithLostAnswers(t *testing.T) {
	// Guards against a wrong report of what became of a write, and against a
	// change in force before the store is known to have it.
	cases := []struct {
		name       string
		results    []putResult
		readsFail  bool
		want       any
		generation jujubegate.Generation
	}{
		{"written", []putResult{{nil, true, false}}, false, nil, 2},
		{"unavailable", []putResult{{storer.ErrUnavailable, false, false}}, false, &UnavailableError{}, 1},
		{"lost answer, written", []putResult{{storer.ErrUnknown, true, false}}, false, nil, 2},
		{"lost answer, not written", []putResult{{storer.ErrUnknown, false, false}, {nil, true, false}}, false, nil, 2},
		{"twice lost", []putResult{{storer.ErrUnknown, false, false}, {storer.ErrUnknown, true, false}}, false, nil, 2},
		{"lost, then unavailable", []putResult{
			{storer.ErrUnknown, false, false}, {storer.ErrUnavailable, false, false}, {nil, true, false},
		}, false, nil, 2},
		{"other error, written", []putResult{{context.DeadlineExceeded, true, false}}, false, nil, 2},
		{"conflict", []putResult{{nil, true, true}}, false, &ConflictError{}, 2},
		{"conflict with itself", []putResult{{storer.ErrConflict, true, false}}, false, nil, 2},
		{"lost answer, another won", []putResult{{storer.ErrUnknown, false, true}}, false, &ConflictError{}, 2},
		{"lost answer, written, no reads", []putResult{{storer.ErrUnknown, true, false}}, true, &OutcomeUnknownError{}, 1},
		{"conflict, no reads", []putResult{{storer.ErrConflict, false, true}}, true, &OutcomeUnknownError{}, 1},
	}
	Convey("Writes", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				s := newFakeStore(1)
				proposeAll(t, newFollower(s), deskText)
				faulty := s.store()
				results := c.results
				faulty.Put = func(ctx context.Context, key string, value []byte, version int64) (storer.Object, error) {
					r := results[0]
					results = results[1:]
					if r.before {
						winner, _ := Change{Generation: 2, Author: "winner", Token: "w", Statements: alter(9)}.encode()
						_, _ = s.put(ctx, key, winner, 0)
					}
					if !r.effect {
						return storer.Object{}, r.err
					}
					o, err := s.put(ctx, key, value, version)
					if r.err != nil {
						err = r.err
					}
					return o, err
				}
				if c.readsFail {
					faulty.Get = func(context.Context, string) (storer.Object, error) {
						return storer.Object{}, storer.ErrUnavailable
					}
				}
				f := newFollower(&fakeStore{})
				f.log.store = faulty
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				if c.readsFail {
					ctx, cancel = context.WithTimeout(context.Background(), 100*time.Millisecond)
				}
				defer cancel()
				g, err := f.Propose(ctx, alter(1), "ivan")
				So(results, ShouldBeEmpty)
				So(f.Current().Generation(), ShouldEqual, c.generation)
				if c.want == nil {
					So(err, ShouldBeNil)
					So(g, ShouldEqual, jujubegate.Generation(2))
					return
				}
				So(err, ShouldHaveSameTypeAs, c.want)
				var conflict *ConflictError
				if errors.As(err, &conflict) {
					So(conflict, ShouldResemble, &ConflictError{Generation: 2, Author: "winner"})
				}
				var unknown *OutcomeUnknownError
				if errors.As(err, &unknown) {
					So(unknown.Generation, ShouldEqual, jujubegate.Generation(2))
				}
			})
		}
	})
}

func TestProposeWhileStoreIsDown(t *testing.T) {
	// Guards against an accepted change that only this instance has.
	Convey("A proposal is refused and changes nothing", t, func() {
		s := newFakeStore(1)
		f := newFollower(s)
		proposeAll(t, f, deskText)
		s.setDown(true)
		_, err := f.Propose(context.Background(), alter(1), "ivan")
		So(err, ShouldHaveSameTypeAs, &UnavailableError{})
		So(f.Current().Generation(), ShouldEqual, jujubegate.Generation(1))
		Convey("and one that waits for another ends with its context", func() {
			f.proposing <- struct{}{}
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			_, err := f.Propose(ctx, alter(1), "ivan")
			So(err, ShouldHaveSameTypeAs, &UnavailableError{})
		})
	})
}

func TestSubmitOnOldGeneration(t *testing.T) {
	// Guards against a paused component that acts on a state that others have
	// changed meanwhile.
	Convey("A proposal that was decided on an older generation is a conflict", t, func() {
		f := New(storer.NewMemory(clockwork.NewRealClock(), 1).Store, clockwork.NewRealClock(), zap.NewNop())
		const first = "Declare Service Desk { Shards = 1; Slots = 1; Connections = 4; ColdLimit = 1; Deadline = 1s; };"
		g, err := f.Propose(t.Context(), first, "ops")
		So(err, ShouldBeNil)
		_, err = f.Propose(t.Context(), "Alter Service Desk { Slots = 2; };", "ops")
		So(err, ShouldBeNil)
		_, err = f.Submit(t.Context(), Proposal{Statements: "Alter Service Desk { Slots = 3; };", Author: "mover", After: g})
		var conflict *ConflictError
		So(errors.As(err, &conflict), ShouldBeTrue)
		So(conflict, ShouldResemble, &ConflictError{Generation: 2, Author: "ops"})
		spec, _ := f.Current().Service("Desk")
		So(spec.Slots, ShouldEqual, 2)
		_, err = f.Submit(t.Context(), Proposal{Statements: "Alter Service Desk { Slots = 3; };", Author: "mover", After: 2})
		So(err, ShouldBeNil)
	})
}
