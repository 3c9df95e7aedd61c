package mover

import (
	"math"
	"os"
	"runtime"
	"strconv"
	"sync"
	"testing"
	"time"

	"jujubegate.example/jujubegate/configurator"
)

var goodCases = []fault{
	{name: "good"},
	{name: "a tenth slower", slowFactor: 1.1},
	{name: "slowdown of both by 3", slowFactor: 3, bothVersions: true, from: 4 * time.Second, until: 16 * time.Second},
	{name: "broken network for both", errorRate: 0.1, bothVersions: true, from: 4 * time.Second, until: 16 * time.Second},
	{name: "slowdown of all by 4 after the full move", slowFactor: 4, bothVersions: true, afterFullShare: true},
	{name: "broken network for all after the full move", errorRate: 0.1, bothVersions: true, afterFullShare: true},
	{name: "short pauses", slowFactor: 20, bothVersions: true, pausePeriod: 10 * time.Second},
}

var badCases = []fault{
	{name: "errors at once", errorRate: 0.1},
	{name: "slow at once", slowFactor: 3},
	{name: "errors later", errorRate: 0.1, from: 10 * time.Second},
	{name: "slow later", slowFactor: 3, from: 10 * time.Second},
	{name: "errors under load", errorRate: 0.2, underLoad: true},
	{name: "slow under load", slowFactor: 3, underLoad: true},
	{name: "errors on one route", errorRate: 0.1, route: "Book"},
	{name: "slow on one route", slowFactor: 3, route: "Book"},
	{name: "errors after the full move", errorRate: 0.1, afterFullShare: true},
	{name: "slow after the full move", slowFactor: 4, afterFullShare: true},
}

// simulate runs a number of moves with the same fault in parallel.
func simulate(f fault, first uint64, moves int, hideCommonFault bool) []result {
	results := make([]result, moves)
	var wait sync.WaitGroup
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i := range results {
		wait.Go(func() {
			slots <- struct{}{}
			s := newSimulation(first+uint64(i), f)
			s.hideCommonFault = hideCommonFault
			results[i] = s.run()
			<-slots
		})
	}
	wait.Wait()
	return results
}

// naiveTakesBack simulates a fixed canary at a share of 50%, which is taken
// back at more than 5% errors over the last minute, and finished after a
// minute.
func naiveTakesBack(f fault, seed uint64) (takenBack bool) {
	s := newSimulation(seed, f)
	var answers, errors []float64
	for s.now.Sub(epoch) < 80*time.Second {
		share := 0.5
		if s.now.Sub(epoch) >= time.Minute {
			share = 1
			if s.fullShareSince.IsZero() {
				s.fullShareSince = s.now
			}
		}
		before := s.errorsOf("v2")
		s.addAnswers("v2", share)
		after := s.errorsOf("v2")
		answers, errors = append(answers, after.answers-before.answers), append(errors, after.events-before.events)
		var window sample
		for i := max(0, len(answers)-int(time.Minute/Tick)); i < len(answers); i++ {
			window = window.plus(sample{errors[i], answers[i]})
		}
		if window.answers > 100 && window.percent() > 5 {
			return true
		}
		s.now = s.now.Add(Tick)
	}
	return false
}

func (s *simulation) errorsOf(version string) sample {
	var total sample
	for i := range s.counts {
		for k, c := range s.counts[i] {
			if string(k.Version) == version {
				total = total.plus(errorSample(&c))
			}
		}
	}
	return total
}

// summary aggregates the results of many moves.
type summary struct {
	moves, done, takenBack, shareExceeded, lateWork int
	maxSinceVerdict, maxSinceVisible, lastDone      time.Duration
	firstReason                                     string
}

func summarize(f fault, results []result) summary {
	s := summary{moves: len(results)}
	for _, r := range results {
		switch r.state {
		case configurator.Done:
			if r.ended <= moveDuration {
				s.done++
				s.lastDone = max(s.lastDone, r.ended)
			}
		case configurator.TakenBack:
			s.takenBack++
			s.maxSinceVerdict, s.maxSinceVisible = max(s.maxSinceVerdict, r.sinceVerdict), max(s.maxSinceVisible, r.sinceVisible)
			s.firstReason = r.reason
		}
		if f.from == 0 && !f.afterFullShare && r.maxShare > 5 {
			s.shareExceeded++
		}
		if r.sinceVerdict > 2*time.Second {
			s.lateWork++
		}
	}
	return s
}

func percent(n, of int) float64 { return 100 * float64(n) / float64(of) }

// countNaiveTakenBack counts the moves that the naive canary takes back.
func countNaiveTakenBack(cases []fault, seed uint64, moves int) (takenBack, of int) {
	for _, f := range cases {
		for i := range moves {
			if of++; naiveTakesBack(f, seed+uint64(i)) {
				takenBack++
			}
		}
	}
	return takenBack, of
}

func runGood(t *testing.T, seed uint64, moves int) {
	t.Helper()
	var done, takenBack, all int
	for _, f := range goodCases {
		s := summarize(f, simulate(f, seed, moves, false))
		done, takenBack, all = done+s.done, takenBack+s.takenBack, all+s.moves
		t.Logf("%s: done %d, the last after %s, taken back %d of %d %s", f.name, s.done, s.lastDone, s.takenBack, s.moves,
			s.firstReason)
	}
	n, of := countNaiveTakenBack(goodCases, seed, 2)
	t.Logf("good: done %.1f%%, taken back %.1f%% of %d (naive: taken back %.1f%% of %d)",
		percent(done, all), percent(takenBack, all), all, percent(n, of), of)
	if percent(done, all) < 99 || percent(takenBack, all) > 1 {
		t.Errorf("good versions: done %d, taken back %d of %d", done, takenBack, all)
	}
}

func runBad(t *testing.T, seed uint64, moves int) {
	t.Helper()
	var all summary
	for _, f := range badCases {
		s := summarize(f, simulate(f, seed, moves, false))
		all.moves += s.moves
		all.takenBack += s.takenBack
		all.shareExceeded += s.shareExceeded
		all.lateWork += s.lateWork
		t.Logf("%s: taken back %d of %d, share above 5%% before the verdict %d, last new work at most %s after the "+
			"verdict and %s after 20 faulty answers; %s", f.name, s.takenBack, s.moves, s.shareExceeded, s.maxSinceVerdict,
			s.maxSinceVisible, s.firstReason)
	}
	n, of := countNaiveTakenBack(badCases, seed, 1)
	t.Logf("bad: taken back %.1f%% of %d (naive: %.1f%% of %d, with a share of 50%%)",
		percent(all.takenBack, all.moves), all.moves, percent(n, of), of)
	if percent(all.takenBack, all.moves) < 99 || all.shareExceeded > 0 || all.lateWork > 0 {
		t.Errorf("bad versions: taken back %d of %d, share above 5%% in %d, new work 2 s after the verdict in %d",
			all.takenBack, all.moves, all.shareExceeded, all.lateWork)
	}
}

func TestMovesOfGoodVersions(t *testing.T) {
	// Guards against good versions that are taken back or miss the deadline.
	runGood(t, 1, 20)
}

func TestMovesOfBadVersions(t *testing.T) {
	// Guards against bad versions that finish, exceed the proving share before
	// the verdict, or receive new work long after it.
	runBad(t, 1, 20)
}

func TestMovesWithoutComparison(t *testing.T) {
	// Guards against a simulation that would not detect a comparison with earlier
	// counts of the old version instead of concurrent ones.
	for _, f := range goodCases[2:6] {
		s := summarize(f, simulate(f, 1, 20, true))
		t.Logf("%s: taken back %d of %d", f.name, s.takenBack, s.moves)
		if s.takenBack < s.moves/2 {
			t.Errorf("%s: only %d of %d good versions were taken back without the comparison", f.name, s.takenBack, s.moves)
		}
	}
}

func TestSoakMoves(t *testing.T) {
	// Guards against rare wrong verdicts. JUJUBEGATE_SOAK sets the duration,
	// JUJUBEGATE_SEED the first seed.
	duration, err := time.ParseDuration(os.Getenv("JUJUBEGATE_SOAK"))
	if err != nil || duration <= 0 {
		t.Skip("JUJUBEGATE_SOAK is not set")
	}
	seed, _ := strconv.ParseUint(os.Getenv("JUJUBEGATE_SEED"), 10, 64)
	for start := time.Now(); time.Since(start) < duration && seed < math.MaxUint64-1000; seed += 200 {
		t.Logf("seeds from %d", seed)
		runGood(t, seed, 200)
		runBad(t, seed, 200)
	}
}
