package promoter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
)

func TestFault(t *testing.T) {
	// Guards against missing a bad version, which may fail on one route only or
	// whose failures may be spread over several instances, and against rejecting a
	// good one.
	const ms = time.Millisecond
	tally := func(version, route string, answers, failures int64, took time.Duration) Tally {
		return Tally{
			Service: "s", Version: jujubegate.Version(version), Route: jujubegate.Route(route),
			Answers: answers, Failures: failures, Took: took * time.Duration(answers),
		}
	}
	cases := []struct {
		name  string
		seen  []Tally
		fault bool
	}{
		{"no answers", nil, false},
		{"both good", []Tally{tally("v1", "a", 1000, 2, 10*ms), tally("v2", "a", 60, 0, 11*ms)}, false},
		{"three failures", []Tally{tally("v1", "a", 1000, 0, 10*ms), tally("v2", "a", 30, 3, 10*ms)}, false},
		{"many failures", []Tally{tally("v1", "a", 1000, 5, 10*ms), tally("v2", "a", 30, 9, 10*ms)}, true},
		{"both fail", []Tally{tally("v1", "a", 1000, 300, 10*ms), tally("v2", "a", 30, 9, 10*ms)}, false},
		{"slow", []Tally{tally("v1", "a", 1000, 0, 10*ms), tally("v2", "a", 20, 0, 40*ms)}, true},
		{"slow, few answers", []Tally{tally("v1", "a", 1000, 0, 10*ms), tally("v2", "a", 5, 0, 40*ms)}, false},
		{"bad on one route", []Tally{tally("v1", "a", 1000, 0, 10*ms), tally("v2", "a", 300, 0, 10*ms), tally("v1", "b", 100, 0, 10*ms), tally("v2", "b", 12, 6, 10*ms)}, true},
	}
	Convey("The evidence of two instances", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				e := newEvidence()
				for _, s := range c.seen {
					half := s
					half.Answers, half.Failures, half.Took = s.Answers/2, s.Failures/2, s.Took/2
					rest := s
					rest.Answers, rest.Failures, rest.Took = s.Answers-half.Answers, s.Failures-half.Failures, s.Took-half.Took
					k := tallyKey{s.Service, s.Version, s.Route}
					e.own[k] = half
					if e.peers["p"] == nil {
						e.peers["p"] = map[tallyKey]Tally{}
					}
					e.peers["p"][k] = rest
				}
				So(e.fault("s", "v2") != "", ShouldEqual, c.fault)
			})
		}
	})
}

func TestMoves(t *testing.T) {
	// Guards against a bad version that gets more than a tenth of the requests
	// plus 50, and a good one that is not completed by its deadline.
	cases := []struct {
		name string
		// failsFrom is when the version starts to fail, and failureRate the fraction
		// of its requests that fail from then on.
		failsFrom   time.Duration
		failureRate float64
		// readAfter is the delay until the move is read from the store.
		readAfter time.Duration
		want      State
	}{
		{"good", 0, 0, 0, Completed},
		{"good, move read late", 0, 0, 2 * time.Second, Completed},
		{"bad from the start", 0, 0.3, 0, RolledBack},
		{"bad later", 6 * time.Second, 0.4, 0, RolledBack},
	}
	for _, c := range cases {
		for seed := range uint64(20) {
			t.Run(fmt.Sprint(c.name, "-", seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					random := rand.New(rand.NewPCG(seed, 1))
					var written State
					var p *Promoter
					done := make(chan struct{})
					requested := Move{Name: "s", Service: "s", Version: "v2", Duration: 12 * time.Second}
					start := time.Now()
					p = New(Settings{
						Clock: clockwork.NewRealClock(), Log: zap.NewNop(), Rank: func() int { return 0 },
						Write: func(_ context.Context, m Move, s State) error {
							m.State, m.Written = s, true
							p.Update([]Move{m}, start)
							if s != Running {
								written = s
								close(done)
							}
							return nil
						},
					})
					ctx, stop := context.WithCancel(t.Context())
					stopped := make(chan struct{})
					time.Sleep(c.readAfter)
					p.Update([]Move{requested}, start)
					go func() { p.Run(ctx); close(stopped) }()
					candidate, all := 0, 0
					for time.Since(start) < requested.Duration {
						time.Sleep(10 * time.Millisecond)
						all++
						version := requested.Version
						if random.Float64() >= p.Plan("s").Share {
							version = "v1"
						} else {
							candidate++
						}
						failed := version == requested.Version && time.Since(start) >= c.failsFrom && random.Float64() < c.failureRate
						p.Observe(Observation{Service: "s", Version: version, Route: "r", Ended: true, Failed: failed, Took: 10 * time.Millisecond})
					}
					select {
					case <-done:
					default:
						t.Error("no state by the deadline")
					}
					if written != c.want {
						t.Errorf("state %d, want %d", written, c.want)
					}
					if float64(candidate) > 0.1*float64(all)+50 {
						t.Errorf("%d of %d requests went to the version before the deadline", candidate, all)
					}
					stop()
					<-stopped
				})
			})
		}
	}
}
