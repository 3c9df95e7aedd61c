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

// fake is a target in virtual time. While cold it bears simColdLimit requests
// and refuses any further one; that also sets back its warming up.
type fake struct {
	random  *rand.Rand
	now     time.Time
	limiter *Limiter
	pending []pending
	running int
	// left is the number of answers until the target is warm; 0 is warm.
	left, warmUp int
	// signed says that the limiter has seen a sign of the present cold start.
	signed bool
	// reports holds what the last load reports would have said.
	reports []jujubegate.TargetState

	before, after, warmAnswers, colds int
}

// pending is an event to come: the end of a request at the target, or the
// time-out of a request on the owner's side.
type pending struct {
	at      time.Time
	started time.Time
	ticket  Ticket
	kind    Kind
	slow    bool
	timeout bool
}

// state is what a true load report says.
func (f *fake) state() jujubegate.TargetState {
	if f.left > 0 {
		return jujubegate.Cold
	}
	return jujubegate.Warm
}

func (f *fake) turnCold() {
	f.warmUp = 10 + f.random.IntN(60)
	f.left, f.signed = f.warmUp, false
	f.colds++
}

// serviceTime is 10 ms give or take a third; one in 100 is 20 times slower.
// A cold target is ten times slower, and still twice as slow when nearly warm.
func (f *fake) serviceTime() (d time.Duration, slow bool) {
	d = 7*time.Millisecond + time.Duration(f.random.Int64N(int64(6*time.Millisecond)))
	if f.left > 0 {
		factor := 2 + 8*float64(f.left)/float64(f.warmUp)
		return time.Duration(float64(d) * factor), factor > slowFactor+2
	}
	if f.random.IntN(100) == 0 {
		d *= 20
	}
	return d, false
}

// send is the arrival of one request that the limiter has allowed.
func (f *fake) send(t Ticket) {
	f.running++
	if f.left > 0 && f.running > simColdLimit {
		if f.signed {
			f.after++
		} else {
			f.before++
		}
		f.left = f.warmUp
		f.pending = append(f.pending, pending{at: f.now.Add(time.Millisecond), started: f.now, ticket: t, kind: Shed, slow: true})
		return
	}
	d, slow := f.serviceTime()
	f.pending = append(f.pending, pending{at: f.now.Add(d), started: f.now, ticket: t, kind: Answered, slow: slow})
	if d > simDeadline {
		f.pending = append(f.pending, pending{at: f.now.Add(simDeadline), started: f.now, ticket: t, timeout: true, slow: slow})
	}
}

// next handles the earliest event.
func (f *fake) next() {
	i := 0
	for j := range f.pending {
		if f.pending[j].at.Before(f.pending[i].at) {
			i = j
		}
	}
	e := f.pending[i]
	f.pending = slices.Delete(f.pending, i, i+1)
	f.now = e.at
	took := f.now.Sub(e.started)
	f.signed = f.signed || f.left > 0 && e.slow
	if e.timeout {
		f.limiter.Abandon(e.ticket, Result{Kind: TimedOut, Latency: took}, f.now)
		if f.random.IntN(2) == 0 { // the target notices the cancellation
			f.pending = slices.DeleteFunc(f.pending, func(p pending) bool { return p.ticket == e.ticket })
			f.running--
			f.limiter.Closed(e.ticket, f.now)
		}
		return
	}
	f.running--
	if f.left > 0 && e.kind == Answered {
		f.left--
	} else if f.left == 0 {
		f.warmAnswers++
	}
	if took > simDeadline {
		f.limiter.Closed(e.ticket, f.now)
	} else {
		f.limiter.Finish(e.ticket, Result{Kind: e.kind, Latency: took}, f.now)
	}
}

// report delivers a load report that can be up to three seconds old, and in
// one of 50 cases is wrong.
func (f *fake) report() {
	f.reports = append(f.reports, f.state())
	state := f.reports[len(f.reports)-1-min(f.random.IntN(4)*f.random.IntN(2), len(f.reports)-1)]
	if f.random.IntN(50) == 0 {
		state = jujubegate.Cold + jujubegate.Warm - state
	}
	f.signed = f.signed || state == jujubegate.Cold && f.left > 0
	f.limiter.Report(state, f.now)
}

// simulate runs a target under full load for a virtual time.
func simulate(seed uint64, settings Settings, length time.Duration) *fake {
	f := &fake{random: rand.New(rand.NewPCG(seed, 1)), now: epoch, limiter: New(settings, epoch)}
	f.turnCold()
	f.signed = true // a new target starts cold by rule, not by sign
	f.limiter.Violation = func(name, detail string) { panic(name + ": " + detail) }
	report, turn := epoch, epoch.Add(5*time.Second)
	for f.now.Before(epoch.Add(length)) {
		if !f.now.Before(report) {
			f.report()
			report = f.now.Add(time.Second)
		}
		if !f.now.Before(turn) {
			if f.left == 0 {
				f.turnCold()
			}
			turn = f.now.Add(time.Duration(1+f.random.IntN(10)) * time.Second)
		}
		for {
			t, ok := f.limiter.Acquire(f.now)
			if !ok {
				break
			}
			f.send(t)
		}
		if len(f.pending) == 0 {
			f.now = f.now.Add(10 * time.Millisecond)
			continue
		}
		f.next()
	}
	return f
}

func TestColdBoundHolds(t *testing.T) {
	// Guards against load above the bound of a target that turned cold without
	// warning, once anything has shown it.
	seeds := 20
	if os.Getenv("JUJUBEGATE_SOAK") != "" {
		seeds = 1000
	}
	first, _ := strconv.ParseUint(os.Getenv("JUJUBEGATE_SEED"), 10, 64)
	Convey("Targets that turn cold without warning", t, func() {
		settings := Settings{Slots: simSlots, ColdLimit: simColdLimit, Connections: 25}
		var after, answers, colds int
		for seed := range uint64(seeds) {
			f := simulate(first+seed, settings, 2*time.Minute)
			if f.after > 0 {
				fmt.Println("seed", first+seed, "above the bound", f.after)
			}
			after += f.after
			answers += f.warmAnswers
			colds += f.colds
		}
		Convey("never receive more than the bound", func() { So(after, ShouldEqual, 0) })
		Convey("were cold often", func() { So(colds, ShouldBeGreaterThan, 10*seeds) })
		Convey("and still use their slots when warm", func() {
			// 400 a second is full use; the targets are cold for about a third of the time.
			So(answers, ShouldBeGreaterThan, seeds*120*400/4)
		})
	})
	Convey("Negative control: without the ramp the bound is exceeded", t, func() {
		f := simulate(first, Settings{Slots: simSlots, ColdLimit: simSlots, Connections: 25}, 2*time.Minute)
		So(f.after, ShouldBeGreaterThan, 0)
	})
}
