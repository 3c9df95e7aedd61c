package storer_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"
	"jujubegate.example/jujubegate/storer"
	"pgregory.net/rapid"
)

// tokenList is a value that holds the tokens of all writes that led to it.
type tokenList struct {
	Token  string
	Tokens []string
}

func appendToken(token string) storer.Modify {
	return func(current storer.Object) ([]byte, error) {
		var c tokenList
		if current.Value != nil {
			if err := json.Unmarshal(current.Value, &c); err != nil {
				return nil, err
			}
		}
		return json.Marshal(tokenList{Token: token, Tokens: append(c.Tokens, token)})
	}
}

func TestUpdateReportsEffect(t *testing.T) {
	// Guards against an effect that is reported wrongly, or a write that is
	// applied twice, with concurrent writers, lost responses, lost requests and
	// late writes. The final value lists the tokens of all applied writes.
	ctx := context.Background()
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		m := storer.NewMemory(clock, rapid.Uint64().Draw(t, "seed"))
		m.SetFaults(storer.Faults{
			LostAnswers:  rapid.Float64Range(0, 0.4).Draw(t, "lost answers"),
			LostRequests: rapid.Float64Range(0, 0.3).Draw(t, "lost requests"),
			LateWrites:   rapid.Float64Range(0, 0.3).Draw(t, "late writes"),
			LateBy:       time.Second,
		})
		s := m.Store
		// A read may be followed by a write of another writer. Half of these writes
		// fall between the steps of an update.
		foreign := 0
		s.Get = func(ctx context.Context, key string) (storer.Object, error) {
			o, err := m.Get(ctx, key)
			if rapid.IntRange(0, 3).Draw(t, "interleave") == 0 {
				foreign++
				_, _, _ = storer.Update(ctx, m.Store, key, fmt.Sprintf("foreign-%d", foreign), appendToken(fmt.Sprintf("foreign-%d", foreign)))
			}
			return o, err
		}
		effects := map[string]storer.Effect{}
		for i := range rapid.IntRange(1, 12).Draw(t, "updates") {
			token := fmt.Sprintf("own-%d", i)
			_, effect, err := storer.Update(ctx, s, "k", token, appendToken(token))
			if (err == nil) != (effect == storer.Applied) {
				t.Fatalf("effect %v with error %v", effect, err)
			}
			effects[token] = effect
			clock.Advance(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
		}
		clock.Advance(time.Hour)
		m.SetFaults(storer.Faults{})
		m.Revision()
		var final tokenList
		if o, err := m.Get(ctx, "k"); err == nil {
			if err := json.Unmarshal(o.Value, &final); err != nil {
				t.Fatal(err)
			}
		}
		applications := map[string]int{}
		for _, token := range final.Tokens {
			applications[token]++
		}
		for token, effect := range effects {
			n := applications[token]
			switch {
			case n > 1:
				t.Fatalf("%s took effect %d times", token, n)
			case effect == storer.Applied && n == 0, effect == storer.NotApplied && n == 1:
				t.Fatalf("%s is reported as %v and took effect %d times", token, effect, n)
			}
		}
	})
}

func TestCreateHasOneWinner(t *testing.T) {
	// Guards against two creators that are both told Applied, and against runs
	// in which no creator learns its effect although one created the object.
	ctx := context.Background()
	Convey("Concurrent creators with lost responses and late writes", t, func() {
		for seed := range uint64(200) {
			m := storer.NewMemory(clockwork.NewRealClock(), seed)
			m.SetFaults(storer.Faults{LostAnswers: 0.4, LostRequests: 0.1, LateWrites: 0.1, LateBy: 100 * time.Microsecond})
			effects := make([]storer.Effect, 8)
			var wg sync.WaitGroup
			for i := range effects {
				wg.Go(func() {
					token := fmt.Sprintf("t%d", i)
					_, effects[i], _ = storer.Create(ctx, m.Store, "k", token, fmt.Appendf(nil, `{"Token": %q}`, token))
				})
			}
			wg.Wait()
			time.Sleep(time.Millisecond)
			m.Revision()
			m.SetFaults(storer.Faults{})
			winner := ""
			if o, err := m.Get(ctx, "k"); err == nil {
				winner = storer.TokenOf(o.Value)
			}
			for i, effect := range effects {
				won := winner == fmt.Sprintf("t%d", i)
				if effect == storer.Applied && !won || effect == storer.NotApplied && won {
					t.Fatalf("seed %d: creator %d is told %v, the winner is %q", seed, i, effect, winner)
				}
			}
			// Reads don't fail here, so a creator that ends after the winner learns its
			// effect.
			certain := slices.Contains(effects, storer.Applied) || slices.Contains(effects, storer.NotApplied)
			So(winner == "" || certain, ShouldBeTrue)
		}
	})
}

func TestUpdateResolvesUnknownWrites(t *testing.T) {
	// Guards against reporting a definite effect that is not certain, or an
	// unknown one that is, in cases that the random tests reach rarely.
	ctx := context.Background()
	value := []byte(`{"Token": "own"}`)
	cases := []struct {
		name string
		// puts are the errors of successive writes; nil means success.
		puts []error
		// back is the token of the object that is read back, backErr the error of
		// that read.
		back    string
		backErr error
		update  storer.Effect
		create  storer.Effect
	}{
		{"first succeeds", []error{nil}, "", nil, storer.Applied, storer.Applied},
		{"first unavailable", []error{storer.ErrUnavailable}, "", nil, storer.NotApplied, storer.NotApplied},
		{"first conflicts with another writer", []error{storer.ErrConflict}, "other", nil, storer.NotApplied, storer.NotApplied},
		{"first conflicts with an earlier call", []error{storer.ErrConflict}, "own", nil, storer.NotApplied, storer.Applied},
		{"first conflicts, store down", []error{storer.ErrConflict}, "", storer.ErrUnavailable, storer.NotApplied, storer.EffectUnknown},
		{"first lost, second succeeds", []error{storer.ErrUnknown, nil}, "", nil, storer.Applied, storer.Applied},
		{"first lost, second conflicts with the first", []error{storer.ErrUnknown, storer.ErrConflict}, "own", nil, storer.Applied, storer.Applied},
		{"first lost, second conflicts with another writer", []error{storer.ErrUnknown, storer.ErrConflict}, "other", nil, storer.EffectUnknown, storer.NotApplied},
		{"both lost, object of another writer", []error{storer.ErrUnknown, storer.ErrUnknown}, "other", nil, storer.EffectUnknown, storer.NotApplied},
		{"first lost, second unavailable, no object", []error{storer.ErrUnknown, storer.ErrUnavailable}, "", storer.ErrNotFound, storer.EffectUnknown, storer.EffectUnknown},
		{"first lost, store down", []error{storer.ErrUnknown, storer.ErrUnavailable}, "", storer.ErrUnavailable, storer.EffectUnknown, storer.EffectUnknown},
	}
	Convey("Effect of a write", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				store := func() storer.Store {
					puts := 0
					return storer.Store{
						Put: func(_ context.Context, key string, value []byte, _ int64) (storer.Object, error) {
							puts++
							return storer.Object{Key: key, Version: 7, Value: value}, c.puts[puts-1]
						},
						Get: func(_ context.Context, key string) (storer.Object, error) {
							if puts == 0 {
								return storer.Object{}, storer.ErrNotFound
							}
							return storer.Object{Key: key, Version: 7, Value: fmt.Appendf(nil, `{"Token": %q}`, c.back)}, c.backErr
						},
					}
				}
				_, effect, err := storer.Update(ctx, store(), "k", "own", func(storer.Object) ([]byte, error) { return value, nil })
				So(effect, ShouldEqual, c.update)
				So(err == nil, ShouldEqual, effect == storer.Applied)
				_, effect, err = storer.Create(ctx, store(), "k", "own", value)
				So(effect, ShouldEqual, c.create)
				So(err == nil, ShouldEqual, effect == storer.Applied)
			})
		}
		Convey("a value without the token is not written", func() {
			m := storer.NewMemory(clockwork.NewRealClock(), 1)
			_, effect, err := storer.Create(ctx, m.Store, "k", "other", value)
			So(effect, ShouldEqual, storer.NotApplied)
			So(errors.Is(err, storer.ErrTokenMissing), ShouldBeTrue)
			So(m.Calls().Puts, ShouldEqual, 0)
		})
	})
}
