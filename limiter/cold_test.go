package limiter

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"jujubegate.example/jujubegate"
)

const (
	simSlots, simColdLimit = 4, 1
	simDeadline            = 160 * time.Millisecond
)

// simTarget simulates a target and its limiter in virtual time. While cold it
// runs simColdLimit requests and sheds any further one, which also makes its
// warm-up start again.
type simTarget struct {
	random  *rand.Rand
	now     time.Time
	limiter *Limiter
	pending []pendingEvent
	running int
	// coldLeft is the number of answers until the target is warm, of warmUp at
	// the start; 0 is warm.
	coldLeft, warmUp int
	// coldSeen is set when the limiter has seen a sign of the current cold start.
	coldSeen bool
	// reports holds the true state at the time of each load report.
	reports []jujubegate.TargetState

	// overBeforeSign and overAfterSign count the requests above the cold limit
	// before and after the limiter has seen a sign of the cold start.
	overBeforeSign, overAfterSign, warmAnswers, coldStarts int
}

// pendingEvent is a future event: the end of a request at the target, or the
// timeout of a request on the owner's side.
type pendingEvent struct {
	at      time.Time
	started time.Time
	ticket  Ticket
	kind    Kind
	slow    bool
	timeout bool
}

// state returns the true state of the target.
func (s *simTarget) state() jujubegate.TargetState {
	if s.coldLeft > 0 {
		return jujubegate.Cold
	}
	return jujubegate.Warm
}

func (s *simTarget) turnCold() {
	s.warmUp = 10 + s.random.IntN(60)
	s.coldLeft, s.coldSeen = s.warmUp, false
	s.coldStarts++
}

// serviceTime returns 7 to 13 ms, and 20 times as much for one request in 100. A
// cold target is ten times slower at first and twice as slow when nearly warm.
// slow reports whether the answer shows that the target is cold.
func (s *simTarget) serviceTime() (d time.Duration, slow bool) {
	d = 7*time.Millisecond + time.Duration(s.random.Int64N(int64(6*time.Millisecond)))
	if s.coldLeft > 0 {
		factor := 2 + 8*float64(s.coldLeft)/float64(s.warmUp)
		return time.Duration(float64(d) * factor), factor > slowFactor+2
	}
	if s.random.IntN(100) == 0 {
		d *= 20
	}
	return d, false
}

// send handles the arrival of a request that the limiter has allowed.
func (s *simTarget) send(t Ticket) {
	s.running++
	if s.coldLeft > 0 && s.running > simColdLimit {
		if s.coldSeen {
			s.overAfterSign++
		} else {
			s.overBeforeSign++
		}
		s.coldLeft = s.warmUp
		s.pending = append(s.pending, pendingEvent{at: s.now.Add(time.Millisecond), started: s.now, ticket: t, kind: Shed, slow: true})
		return
	}
	d, slow := s.serviceTime()
	s.pending = append(s.pending, pendingEvent{at: s.now.Add(d), started: s.now, ticket: t, kind: Answered, slow: slow})
	if d > simDeadline {
		s.pending = append(s.pending, pendingEvent{at: s.now.Add(simDeadline), started: s.now, ticket: t, timeout: true, slow: slow})
	}
}

// next handles the earliest pending event.
func (s *simTarget) next() {
	i := 0
	for j := range s.pending {
		if s.pending[j].at.Before(s.pending[i].at) {
			i = j
		}
	}
	e := s.pending[i]
	s.pending = slices.Delete(s.pending, i, i+1)
	s.now = e.at
	took := s.now.Sub(e.started)
	s.coldSeen = s.coldSeen || s.coldLeft > 0 && e.slow
	if e.timeout {
		s.limiter.Abandon(e.ticket, Result{Kind: TimedOut, Latency: took}, s.now)
		if s.random.IntN(2) == 0 { // the target notices the cancellation
			s.pending = slices.DeleteFunc(s.pending, func(p pendingEvent) bool { return p.ticket == e.ticket })
			s.running--
			s.limiter.Closed(e.ticket, s.now)
		}
		return
	}
	s.running--
	if s.coldLeft > 0 && e.kind == Answered {
		s.coldLeft--
	} else if s.coldLeft == 0 {
		s.warmAnswers++
	}
	if took > simDeadline {
		s.limiter.Closed(e.ticket, s.now)
	} else {
		s.limiter.Finish(e.ticket, Result{Kind: e.kind, Latency: took}, s.now)
	}
}

// report delivers a load report, which can be up to three seconds old and is
// wrong in one case of 50.
func (s *simTarget) report() {
	s.reports = append(s.reports, s.state())
	state := s.reports[len(s.reports)-1-min(s.random.IntN(4)*s.random.IntN(2), len(s.reports)-1)]
	if s.random.IntN(50) == 0 {
		state = jujubegate.Cold + jujubegate.Warm - state
	}
	s.coldSeen = s.coldSeen || state == jujubegate.Cold && s.coldLeft > 0
	s.limiter.Report(state, s.now)
}

// simulate runs a target under full load for a length of virtual time.
func simulate(seed uint64, settings Settings, length time.Duration) *simTarget {
	s := &simTarget{random: rand.New(rand.NewPCG(seed, 1)), now: epoch, limiter: New(settings, epoch)}
	s.turnCold()
	s.coldSeen = true // the limiter treats a new target as cold without a sign
	s.limiter.Violation = func(name, detail string) { panic(name + ": " + detail) }
	nextReport, nextTurn := epoch, epoch.Add(5*time.Second)
	for s.now.Before(epoch.Add(length)) {
		if !s.now.Before(nextReport) {
			s.report()
			nextReport = s.now.Add(time.Second)
		}
		if !s.now.Before(nextTurn) {
			if s.coldLeft == 0 {
				s.turnCold()
			}
			nextTurn = s.now.Add(time.Duration(1+s.random.IntN(10)) * time.Second)
		}
		for {
			t, ok := s.limiter.Acquire(s.now)
			if !ok {
				break
			}
			s.send(t)
		}
		if len(s.pending) == 0 {
			s.now = s.now.Add(10 * time.Millisecond)
			continue
		}
		s.next()
	}
	return s
}

func TestColdBoundHolds(t *testing.T) {
	// Guards against load above the cold limit of a target that turned cold
	// without warning, after any sign has shown that it is cold.
	seeds := 20
	if os.Getenv("JUJUBEGATE_SOAK") != "" {
		seeds = 1000
	}
	first, _ := strconv.ParseUint(os.Getenv("JUJUBEGATE_SEED"), 10, 64)
	Convey("Targets that turn cold without warning", t, func() {
		settings := Settings{Slots: simSlots, ColdLimit: simColdLimit, Connections: 25}
		var overAfterSign, answers, coldStarts int
		for seed := range uint64(seeds) {
			s := simulate(first+seed, settings, 2*time.Minute)
			if s.overAfterSign > 0 {
				fmt.Println("seed", first+seed, "above the bound", s.overAfterSign)
			}
			overAfterSign += s.overAfterSign
			answers += s.warmAnswers
			coldStarts += s.coldStarts
		}
		Convey("never receive more than the bound", func() { So(overAfterSign, ShouldEqual, 0) })
		Convey("were cold often", func() { So(coldStarts, ShouldBeGreaterThan, 10*seeds) })
		Convey("and still use their slots when warm", func() {
			// 400 answers a second are full use; the targets are cold for about a third of the time.
			So(answers, ShouldBeGreaterThan, seeds*120*400/4)
		})
	})
	Convey("Negative control: without the ramp the bound is exceeded", t, func() {
		s := simulate(first, Settings{Slots: simSlots, ColdLimit: simSlots, Connections: 25}, 2*time.Minute)
		So(s.overAfterSign, ShouldBeGreaterThan, 0)
	})
}
