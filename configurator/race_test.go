package configurator

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/parser"
	"jujubegate.example/jujubegate/storer"
)

// fastClock is a real clock that shortens waits to a hundredth.
type fastClock struct{ clockwork.Clock }

// After waits for a hundredth of the duration.
func (c fastClock) After(d time.Duration) <-chan time.Time { return c.Clock.After(d / 100) }

// proposal is one proposal of a run and its result.
type proposal struct {
	token      string
	start, end int64
	generation jujubegate.Generation
	err        error
	worker     int
	// resent says that the proposal was sent more than once, either after an
	// unknown outcome or through two followers at the same time.
	resent bool
}

// load is the start of one new follower during a run.
type load struct {
	start, end int64
	generation jujubegate.Generation
	token      string
	worker     int
}

// raceRun is a run of concurrent proposers against a faulty store.
type raceRun struct {
	t         *testing.T
	store     *fakeStore
	followers []*Follower
	started   time.Time

	mutex      sync.Mutex
	proposals  []proposal
	duplicates []proposal
	loads      []load
}

const (
	raceFollowers = 4
	raceProposals = 150
	// minAccepted is the number of accepted changes that a run needs to be
	// meaningful. The actual number depends on the scheduling.
	minAccepted = 60
)

func newRaceRun(t *testing.T, seed uint64) *raceRun {
	r := &raceRun{t: t, store: newFakeStore(seed), started: time.Now()}
	if _, err := r.newFollower().Submit(context.Background(), Proposal{Statements: deskText, Token: "base"}); err != nil {
		t.Fatal(err)
	}
	r.store.lostRate, r.store.downRate, r.store.delayRate = 0.15, 0.04, 0.15
	for range raceFollowers {
		r.followers = append(r.followers, r.newFollower())
	}
	return r
}

func (r *raceRun) newFollower() *Follower {
	f := New(r.store.store(), fastClock{clockwork.NewRealClock()}, zap.NewNop())
	f.OnViolation = func(err error) { r.t.Errorf("invariant violated: %v", err) }
	f.IsWatcher = func() bool { return true }
	return f
}

func (r *raceRun) elapsed() int64 { return int64(time.Since(r.started)) }

// proposeChanges proposes one change after another, each through a random
// follower.
func (r *raceRun) proposeChanges(worker int, random *rand.Rand) {
	for i := range raceProposals {
		p := proposal{token: fmt.Sprintf("t-%d-%d", worker, i), start: r.elapsed(), worker: worker}
		// The statement is valid any number of times, so the rules don't prevent a
		// second application.
		text := fmt.Sprintf("Alter Service Desk { Slots = %d; };", 1+(worker*raceProposals+i)%25)
		var duplicate sync.WaitGroup
		if i%10 == 3 {
			// Simulates a client that gave up on an instance which still processes
			// the proposal.
			p.resent = true
			f := r.followers[random.IntN(len(r.followers))]
			duplicate.Go(func() {
				g, err := f.Submit(context.Background(), Proposal{Statements: text, Author: "ivan", Token: p.token})
				if err == nil {
					r.mutex.Lock()
					defer r.mutex.Unlock()
					r.duplicates = append(r.duplicates, proposal{token: p.token, generation: g})
				}
			})
		}
		for range 3 {
			f := r.followers[random.IntN(len(r.followers))]
			// Half of the proposals have a short deadline and often end with an
			// unknown outcome.
			limit := time.Duration(200+random.IntN(4000)) * time.Microsecond
			if i%2 == 0 {
				limit = time.Second
			}
			ctx, cancel := context.WithTimeout(context.Background(), limit)
			p.generation, p.err = f.Submit(ctx, Proposal{Statements: text, Author: "ivan", Token: p.token})
			cancel()
			var unknown *OutcomeUnknownError
			if !errors.As(p.err, &unknown) {
				break
			}
			p.resent = true
		}
		duplicate.Wait()
		p.end = r.elapsed()
		r.mutex.Lock()
		r.proposals = append(r.proposals, p)
		r.mutex.Unlock()
	}
}

// startFollowers starts new followers repeatedly, as when instances are
// replaced.
func (r *raceRun) startFollowers(ctx context.Context, worker int) {
	for ctx.Err() == nil {
		l, f := load{start: r.elapsed(), worker: worker}, r.newFollower()
		if err := f.Load(ctx); err != nil {
			continue
		}
		l.generation, l.end = f.Current().Generation(), r.elapsed()
		for token, g := range f.current.Load().tokens {
			if g == l.generation {
				l.token = token
			}
		}
		r.mutex.Lock()
		r.loads = append(r.loads, l)
		r.mutex.Unlock()
		time.Sleep(2 * time.Millisecond)
	}
}

// watchFollower checks that the generation of a follower never decreases, and
// offers it the changes of random peers.
func (r *raceRun) watchFollower(ctx context.Context, f *Follower, random *rand.Rand) {
	var newest jujubegate.Generation
	for ctx.Err() == nil {
		g := f.Current().Generation()
		if g < newest {
			r.t.Errorf("generation %d after %d", g, newest)
		}
		newest = g
		peer := r.followers[random.IntN(len(r.followers))]
		_ = f.Apply(peer.After(g)) // the follower's own watch closes a gap
		time.Sleep(time.Millisecond)
	}
}

// injectOutages makes the store unavailable from time to time.
func (r *raceRun) injectOutages(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		r.store.setDown(true)
		time.Sleep(3 * time.Millisecond)
		r.store.setDown(false)
	}
}

func (r *raceRun) run(seed uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	var workers, background sync.WaitGroup
	background.Go(func() { r.injectOutages(ctx) })
	background.Go(func() { r.startFollowers(ctx, 2*raceFollowers) })
	for i, f := range r.followers {
		background.Go(func() { _ = f.Run(ctx) }) // returns the context's error
		background.Go(func() { r.watchFollower(ctx, f, rand.New(rand.NewPCG(seed, uint64(100+i)))) })
		workers.Go(func() { r.proposeChanges(i, rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	workers.Wait()
	cancel()
	background.Wait()
	r.store.lateWrites.Wait()
	r.store.clearFaults()
}

func TestRacingProposers(t *testing.T) {
	// Guards against reverted, lost or duplicate changes with concurrent
	// proposers and a store that loses responses, is down and delays writes.
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			r := newRaceRun(t, seed)
			r.run(seed)
			log := r.readLog()
			r.checkLog(log)
			r.checkFollowers(log)
			r.checkHistory(log)
		})
	}
}

// readLog returns the generation of each token in the store.
func (r *raceRun) readLog() map[string]jujubegate.Generation {
	objects := r.store.matching(func(o storer.Object) bool { return o.Key != snapshotKey })
	log := make(map[string]jujubegate.Generation, len(objects))
	for i, o := range objects {
		change, err := decodeChange(o)
		if err != nil || change.Generation != jujubegate.Generation(i+1) {
			r.t.Fatalf("object %d of the log is %s: %v", i+1, o.Key, err)
		}
		if before, ok := log[change.Token]; ok {
			r.t.Errorf("token %s is in generations %d and %d", change.Token, before, change.Generation)
		}
		log[change.Token] = change.Generation
	}
	return log
}

// checkLog compares the results that proposers received with the log.
func (r *raceRun) checkLog(log map[string]jujubegate.Generation) {
	outcomes := map[string]int{}
	for _, p := range r.duplicates {
		if log[p.token] != p.generation {
			r.t.Errorf("%s was accepted twice, as generation %d and %d", p.token, p.generation, log[p.token])
		}
	}
	for _, p := range r.proposals {
		stored, found := log[p.token]
		var conflict *ConflictError
		var unavailable *UnavailableError
		var unknown *OutcomeUnknownError
		switch {
		case p.err == nil:
			outcomes["accepted"]++
			if stored != p.generation {
				r.t.Errorf("%s was accepted as generation %d, the log has it at %d", p.token, p.generation, stored)
			}
		case errors.As(p.err, &unknown) || p.resent:
			outcomes["unknown"]++
		case errors.As(p.err, &conflict), errors.As(p.err, &unavailable):
			outcomes["refused"]++
			if found {
				r.t.Errorf("%s was refused (%v), the log has it at %d", p.token, p.err, stored)
			}
		default:
			r.t.Errorf("%s: %v", p.token, p.err)
		}
	}
	r.t.Logf("%d generations, outcomes of proposals %v, %d loads", len(log), outcomes, len(r.loads))
	if outcomes["accepted"] < minAccepted || outcomes["refused"] == 0 {
		r.t.Errorf("run has too few outcomes of one kind: %v", outcomes)
	}
}

// checkFollowers compares all followers and a new one with the log.
func (r *raceRun) checkFollowers(log map[string]jujubegate.Generation) {
	var want Configuration
	for _, o := range r.store.matching(func(o storer.Object) bool { return o.Key != snapshotKey }) {
		change, _ := decodeChange(o)
		want = mustApply(r.t, want, change.Statements)
	}
	for i, f := range append(r.followers, r.newFollower()) {
		if err := f.Load(context.Background()); err != nil {
			r.t.Fatal(err)
		}
		got := parser.Join(f.Current().Statements())
		if got != parser.Join(want.Statements()) || int(f.Current().Generation()) != len(log) {
			r.t.Errorf("follower %d has %s\nwant %s", i, got, parser.Join(want.Statements()))
		}
	}
}

// logInput is an operation of logModel: an append or a read.
type logInput struct {
	append bool
	token  string
	// generation is that of the appended change, or the newest one read.
	generation jujubegate.Generation
}

// logModel is an append-only list of tokens.
var logModel = porcupine.Model{
	Init: func() any { return []string{} },
	Step: func(before, input, _ any) (bool, any) {
		tokens, e := before.([]string), input.(logInput)
		if e.append {
			return int(e.generation) == len(tokens)+1, append(tokens[:len(tokens):len(tokens)], e.token)
		}
		ok := int(e.generation) == len(tokens) && (len(tokens) == 0 || tokens[len(tokens)-1] == e.token)
		return ok, tokens
	},
	Equal: func(a, b any) bool {
		x, y := a.([]string), b.([]string)
		return len(x) == len(y) && (len(x) == 0 || x[len(x)-1] == y[len(y)-1])
	},
}

// checkHistory checks that appends and loads are linearizable.
func (r *raceRun) checkHistory(log map[string]jujubegate.Generation) {
	var history []porcupine.Operation
	for _, p := range r.proposals {
		g, found := log[p.token]
		if !found {
			continue
		}
		end := p.end
		if p.err != nil {
			end = r.elapsed() // the change was stored at some time after the start
		}
		history = append(history, porcupine.Operation{
			ClientId: p.worker, Input: logInput{append: true, token: p.token, generation: g}, Call: p.start, Return: end,
		})
	}
	history = append(history, porcupine.Operation{Input: logInput{append: true, token: "base", generation: 1}})
	for _, l := range r.loads {
		history = append(history, porcupine.Operation{
			ClientId: l.worker, Input: logInput{token: l.token, generation: l.generation}, Call: l.start, Return: l.end,
		})
	}
	if result := porcupine.CheckOperationsTimeout(logModel, history, 10*time.Second); result != porcupine.Ok {
		r.t.Errorf("history of %d operations is not linearizable: %s", len(history), result)
	}
}
