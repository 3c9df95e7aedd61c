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
	// Guards against an instance that misses accepted changes when it starts.
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
	// Guards against a batch without effect that writes to the store or creates a
	// generation.
	cases := []struct {
		name     string
		proposal Proposal
		want     jujubegate.Generation
		findings int
	}{
		{"dry run", Proposal{Statements: alterSlots(1), DryRun: true}, 2, 0},
		{"Show statement", Proposal{Statements: "Show Services;"}, 1, 0},
		{"empty batch", Proposal{}, 1, 0},
		{"syntax error", Proposal{Statements: "Frob"}, 0, 2},
		{"violated rule", Proposal{Statements: "Drop Service A; Drop Service B;"}, 0, 2},
		{"invalid token and author", Proposal{Statements: alterSlots(1), Token: "a b", Author: strings.Repeat("x", 257)}, 0, 2},
		{"dry run of a violated rule", Proposal{Statements: "Drop Service A;", DryRun: true}, 0, 1},
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

// putResult is the simulated result of one write.
type putResult struct {
	err error
	// takesEffect says whether the write takes effect.
	takesEffect bool
	// otherFirst says whether a change of another author is written first.
	otherFirst bool
}

func TestSubmitWithLostAnswers(t *testing.T) {
	// Guards against reporting a wrong outcome of a write, and against applying a
	// change before the store is known to hold it.
	cases := []struct {
		name       string
		results    []putResult
		readsFail  bool
		want       any
		generation jujubegate.Generation
	}{
		{"written", []putResult{{nil, true, false}}, false, nil, 2},
		{"unavailable", []putResult{{storer.ErrUnavailable, false, false}}, false, &UnavailableError{}, 1},
		{"lost response, written", []putResult{{storer.ErrUnknown, true, false}}, false, nil, 2},
		{"lost response, not written", []putResult{{storer.ErrUnknown, false, false}, {nil, true, false}}, false, nil, 2},
		{"two lost responses", []putResult{{storer.ErrUnknown, false, false}, {storer.ErrUnknown, true, false}}, false, nil, 2},
		{"lost response, then unavailable", []putResult{
			{storer.ErrUnknown, false, false}, {storer.ErrUnavailable, false, false}, {nil, true, false},
		}, false, nil, 2},
		{"other error, written", []putResult{{context.DeadlineExceeded, true, false}}, false, nil, 2},
		{"conflict", []putResult{{nil, true, true}}, false, &ConflictError{}, 2},
		{"conflict with an earlier attempt", []putResult{{storer.ErrConflict, true, false}}, false, nil, 2},
		{"lost response, another change accepted", []putResult{{storer.ErrUnknown, false, true}}, false, &ConflictError{}, 2},
		{"lost response, written, reads fail", []putResult{{storer.ErrUnknown, true, false}}, true, &OutcomeUnknownError{}, 1},
		{"conflict, reads fail", []putResult{{storer.ErrConflict, false, true}}, true, &OutcomeUnknownError{}, 1},
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
					if r.otherFirst {
						winner, _ := Change{Generation: 2, Author: "winner", Token: "w", Statements: alterSlots(9)}.encode()
						_, _ = s.put(ctx, key, winner, 0)
					}
					if !r.takesEffect {
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
				g, err := f.Propose(ctx, alterSlots(1), "ivan")
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
	// Guards against accepting a change that is not in the store, so that only
	// this instance has it.
	Convey("A proposal fails and changes nothing", t, func() {
		s := newFakeStore(1)
		f := newFollower(s)
		proposeAll(t, f, deskText)
		s.setDown(true)
		_, err := f.Propose(context.Background(), alterSlots(1), "ivan")
		So(err, ShouldHaveSameTypeAs, &UnavailableError{})
		So(f.Current().Generation(), ShouldEqual, jujubegate.Generation(1))
		Convey("and a proposal that waits for another one fails when its context ends", func() {
			f.proposing <- struct{}{}
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			_, err := f.Propose(ctx, alterSlots(1), "ivan")
			So(err, ShouldHaveSameTypeAs, &UnavailableError{})
		})
	})
}

func TestSubmitOnOldGeneration(t *testing.T) {
	// Guards against a component that was paused and acts on state that others
	// have changed in the meantime.
	Convey("A proposal that is based on an older generation conflicts", t, func() {
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
