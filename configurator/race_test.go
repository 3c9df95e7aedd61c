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

// fastClock is a real clock on which waits take a hundredth of their time.
type fastClock struct{ clockwork.Clock }

// After waits for a hundredth of the duration.
func (c fastClock) After(d time.Duration) <-chan time.Time { return c.Clock.After(d / 100) }

// proposal is one proposal of a run and its end.
type proposal struct {
	token      string
	start, end int64
	generation jujubegate.Generation
	err        error
	worker     int
	// resent says that an unknown outcome came before.
	resent bool
}

// load is one start of a new follower during a run.
type load struct {
	start, end int64
	generation jujubegate.Generation
	token      string
	worker     int
}

// trial is a run of racing proposers against a faulty store.
type trial struct {
	t         *testing.T
	store     *fakeStore
	followers []*Follower
	began     time.Time

	mutex     sync.Mutex
	proposals []proposal
	twins     []proposal
	loads     []load
}

const (
	trialFollowers = 4
	trialProposals = 150
	// trialAccepted is the number of accepted changes below which a run shows
	// too little; how many there are depends on the scheduling.
	trialAccepted = 60
)

func newTrial(t *testing.T, seed uint64) *trial {
	r := &trial{t: t, store: newFakeStore(seed), began: time.Now()}
	if _, err := r.follower().Submit(context.Background(), Proposal{Statements: deskText, Token: "base"}); err != nil {
		t.Fatal(err)
	}
	r.store.lostRate, r.store.downRate, r.store.delayRate = 0.15, 0.04, 0.15
	for range trialFollowers {
		r.followers = append(r.followers, r.follower())
	}
	return r
}

func (r *trial) follower() *Follower {
	f := New(r.store.store(), fastClock{clockwork.NewRealClock()}, zap.NewNop())
	f.OnViolation = func(err error) { r.t.Errorf("invariant violated: %v", err) }
	f.Watcher = func() bool { return true }
	return f
}

func (r *trial) now() int64 { return int64(time.Since(r.began)) }

// work proposes one change after another, each through a random follower.
func (r *trial) work(worker int, random *rand.Rand) {
	for i := range trialProposals {
		p := proposal{token: fmt.Sprintf("t-%d-%d", worker, i), start: r.now(), worker: worker}
		// A second application of the statement would not be refused.
		text := fmt.Sprintf("Alter Service Desk { Slots = %d; };", 1+(worker*trialProposals+i)%25)
		var twin sync.WaitGroup
		if i%10 == 3 {
			// The client gave up on an instance that still works on the proposal.
			p.resent = true
			f := r.followers[random.IntN(len(r.followers))]
			twin.Go(func() {
				g, err := f.Submit(context.Background(), Proposal{Statements: text, Author: "ivan", Token: p.token})
				if err == nil {
					r.mutex.Lock()
					defer r.mutex.Unlock()
					r.twins = append(r.twins, proposal{token: p.token, generation: g})
				}
			})
		}
		for range 3 {
			f := r.followers[random.IntN(len(r.followers))]
			// Half of the proposals end early, often with an unknown outcome.
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
		twin.Wait()
		p.end = r.now()
		r.mutex.Lock()
		r.proposals = append(r.proposals, p)
		r.mutex.Unlock()
	}
}

// replace starts new followers, as replaced instances do.
func (r *trial) replace(ctx context.Context, worker int) {
	for ctx.Err() == nil {
		l, f := load{start: r.now(), worker: worker}, r.follower()
		if err := f.Load(ctx); err != nil {
			continue
		}
		l.generation, l.end = f.Current().Generation(), r.now()
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

// watch checks that a follower never goes back, and passes changes on.
func (r *trial) watch(ctx context.Context, f *Follower, random *rand.Rand) {
	var newest jujubegate.Generation
	for ctx.Err() == nil {
		g := f.Current().Generation()
		if g < newest {
			r.t.Errorf("generation %d after %d", g, newest)
		}
		newest = g
		peer := r.followers[random.IntN(len(r.followers))]
		_ = f.Offer(peer.After(g)) // a gap is closed by the watch
		time.Sleep(time.Millisecond)
	}
}

// outages makes the store unavailable from time to time.
func (r *trial) outages(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		r.store.setDown(true)
		time.Sleep(3 * time.Millisecond)
		r.store.setDown(false)
	}
}

func (r *trial) run(seed uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	var workers, helpers sync.WaitGroup
	helpers.Go(func() { r.outages(ctx) })
	helpers.Go(func() { r.replace(ctx, 2*trialFollowers) })
	for i, f := range r.followers {
		helpers.Go(func() { _ = f.Run(ctx) }) // returns the context's error
		helpers.Go(func() { r.watch(ctx, f, rand.New(rand.NewPCG(seed, uint64(100+i)))) })
		workers.Go(func() { r.work(i, rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	workers.Wait()
	cancel()
	helpers.Wait()
	r.store.late.Wait()
	r.store.heal()
}

func TestRacingProposers(t *testing.T) {
	// Guards against reverted, lost or doubled changes when proposers race and
	// the store loses answers, is down and writes late.
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			r := newTrial(t, seed)
			r.run(seed)
			log := r.readLog()
			r.checkLog(log)
			r.checkFollowers(log)
			r.checkHistory(log)
		})
	}
}

// readLog returns the generation of each token in the store.
func (r *trial) readLog() map[string]jujubegate.Generation {
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

// checkLog compares what proposers were told with the log.
func (r *trial) checkLog(log map[string]jujubegate.Generation) {
	ends := map[string]int{}
	for _, p := range r.twins {
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
			ends["accepted"]++
			if stored != p.generation {
				r.t.Errorf("%s was accepted as generation %d, the log has it at %d", p.token, p.generation, stored)
			}
		case errors.As(p.err, &unknown) || p.resent:
			ends["unknown"]++
		case errors.As(p.err, &conflict), errors.As(p.err, &unavailable):
			ends["refused"]++
			if found {
				r.t.Errorf("%s was refused (%v), the log has it at %d", p.token, p.err, stored)
			}
		default:
			r.t.Errorf("%s: %v", p.token, p.err)
		}
	}
	r.t.Logf("%d generations, ends of proposals %v, %d loads", len(log), ends, len(r.loads))
	if ends["accepted"] < trialAccepted || ends["refused"] == 0 {
		r.t.Errorf("run has too few ends of one kind: %v", ends)
	}
}

// checkFollowers compares all followers, and a new one, with the log.
func (r *trial) checkFollowers(log map[string]jujubegate.Generation) {
	var want Configuration
	for _, o := range r.store.matching(func(o storer.Object) bool { return o.Key != snapshotKey }) {
		change, _ := decodeChange(o)
		want = applied(r.t, want, change.Statements)
	}
	for i, f := range append(r.followers, r.follower()) {
		if err := f.Load(context.Background()); err != nil {
			r.t.Fatal(err)
		}
		got := parser.Join(f.Current().Statements())
		if got != parser.Join(want.Statements()) || int(f.Current().Generation()) != len(log) {
			r.t.Errorf("follower %d has %s\nwant %s", i, got, parser.Join(want.Statements()))
		}
	}
}

// entry is an input of the log's model: an append or a read.
type entry struct {
	append bool
	token  string
	// generation is that of the appended change, of the accepted change that
	// won, or the newest one read.
	generation jujubegate.Generation
}

// logModel is a list of tokens that only grows.
var logModel = porcupine.Model{
	Init: func() any { return []string{} },
	Step: func(before, input, _ any) (bool, any) {
		tokens, e := before.([]string), input.(entry)
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
func (r *trial) checkHistory(log map[string]jujubegate.Generation) {
	var history []porcupine.Operation
	for _, p := range r.proposals {
		g, found := log[p.token]
		if !found {
			continue
		}
		end := p.end
		if p.err != nil {
			end = r.now() // the change was stored at some time after the start
		}
		history = append(history, porcupine.Operation{
			ClientId: p.worker, Input: entry{append: true, token: p.token, generation: g}, Call: p.start, Return: end,
		})
	}
	history = append(history, porcupine.Operation{Input: entry{append: true, token: "base", generation: 1}})
	for _, l := range r.loads {
		history = append(history, porcupine.Operation{
			ClientId: l.worker, Input: entry{token: l.token, generation: l.generation}, Call: l.start, Return: l.end,
		})
	}
	if result := porcupine.CheckOperationsTimeout(logModel, history, 10*time.Second); result != porcupine.Ok {
		r.t.Errorf("history of %d operations is not linearizable: %s", len(history), result)
	}
}
