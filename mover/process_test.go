package mover

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/configurator"
)

func TestFalseAlarms(t *testing.T) {
	// Guards against an e-process that exceeds its bound at any time while the
	// null hypothesis holds with equality, also if the rates change over time.
	const runs, blocks, level = 1000, 100, 0.05
	cases := []struct {
		name   string
		update func(p *eProcess, random *rand.Rand, block int)
		bets   int
	}{
		{"rate at the limit", func(p *eProcess, random *rand.Rand, _ int) {
			s := binomial(random, 20, 0.03)
			p.update(func(i int) float64 { return singleLogRatio(s, 0.03*badRateFactors[i], 0.03) })
		}, len(badRateFactors)},
		{"ratio at the limit, changing rates", func(p *eProcess, random *rand.Rand, block int) {
			old := 0.01 + 0.2*float64(block%2)
			newSample, oldSample := binomial(random, 5, 1.5*old), binomial(random, 100, old)
			p.update(func(i int) float64 { return pairedLogRatio(newSample, oldSample, 1.5*badRatioFactors[i], 1.5) })
		}, len(badRatioFactors)},
		{"good rate at the limit", func(p *eProcess, random *rand.Rand, _ int) {
			s := binomial(random, 20, 0.01)
			p.update(func(i int) float64 { return singleLogRatio(s, 0.01*goodRateFactors[i], 0.01) })
		}, len(goodRateFactors)},
		{"good ratio at the limit", func(p *eProcess, random *rand.Rand, _ int) {
			newSample, oldSample := binomial(random, 10, 0.1), binomial(random, 100, 0.05)
			p.update(func(i int) float64 { return pairedLogRatio(newSample, oldSample, 2*goodRatioFactors[i], 2) })
		}, len(goodRatioFactors)},
	}
	for _, c := range cases {
		random, alarms := rand.New(rand.NewPCG(1, 2)), 0
		for range runs {
			p := newEProcess(c.bets, blocks)
			for block := range blocks {
				c.update(&p, random, block)
				if p.logValue() >= -math.Log(level) {
					alarms++
					break
				}
			}
		}
		rate := float64(alarms) / runs
		t.Logf("%s: %.2f%% of the runs exceeded the bound of %.0f%%", c.name, 100*rate, 100*level)
		if rate > level {
			t.Errorf("%s: false alarms in %.2f%% of the runs", c.name, 100*rate)
		}
	}
}

// binomial draws a binomial sample.
func binomial(random *rand.Rand, answers int, probability float64) sample {
	s := sample{answers: float64(answers)}
	for range answers {
		if random.Float64() < probability {
			s.events++
		}
	}
	return s
}

func TestAddLogs(t *testing.T) {
	Convey("addLogs handles zero and negligible terms", t, func() {
		So(addLogs(math.Inf(-1), math.Inf(-1)), ShouldEqual, math.Inf(-1))
		So(addLogs(0, math.Inf(-1)), ShouldEqual, 0)
		So(addLogs(math.Log(2), math.Log(3)), ShouldAlmostEqual, math.Log(5), 1e-12)
		So(addLogs(-100, 5), ShouldEqual, 5)
	})
}

// blockCounts returns the counts of one block with 1000 answers of the old
// version and 100 of the new one.
func blockCounts(newErrors, oldErrors uint64) []jujubegate.RouteCount {
	oldCount := jujubegate.RouteCount{Service: "Desk", Version: "v1", Route: "Search", Answers: 1000, Errors: oldErrors}
	oldCount.Latency[5] = 1000 - oldErrors
	newCount := jujubegate.RouteCount{Service: "Desk", Version: "v2", Route: "Search", Answers: 100, Errors: newErrors}
	newCount.Latency[5] = 100 - newErrors
	return []jujubegate.RouteCount{oldCount, newCount}
}

func TestTrial(t *testing.T) {
	move, _ := configurationWith(`BringIn Version v2 { Service = Desk; Deadline = 2h; };`).Move("Desk")
	cases := []struct {
		name    string
		guards  string
		block   []jujubegate.RouteCount
		blocks  int
		outcome Outcome
	}{
		{"no blocks", "a verdict without evidence", nil, 0, Undecided},
		{"errors", "a missed fault", blockCounts(20, 1), 20, Bad},
		{"one bad block", "a verdict from one short pause", blockCounts(100, 0), 1, Undecided},
		{"errors of both", "an outage blamed on the version", blockCounts(20, 200), 200, Good},
		{"no errors", "a good version that is never judged", blockCounts(0, 0), 100, Good},
		{"undeclared route", "evidence from invented routes", []jujubegate.RouteCount{
			{Service: "Desk", Version: "v2", Route: "Other", Answers: 100, Errors: 100},
		}, 20, Undecided},
		{"third version", "evidence about another version", []jujubegate.RouteCount{
			{Service: "Desk", Version: "v3", Route: "Search", Answers: 100, Errors: 100},
		}, 20, Undecided},
	}
	for _, c := range cases {
		Convey(c.name+": guards against "+c.guards, t, func() {
			trial := NewTrial(move, []jujubegate.Route{"Search"}, FleetBlockInterval, FalseAlarmProbability)
			now := epoch
			for range c.blocks {
				now = now.Add(FleetBlockInterval)
				trial.Add(now, move, c.block)
			}
			So(trial.Judgement().Verdict.Outcome, ShouldEqual, c.outcome)
		})
	}
	Convey("Few answers per block suffice: guards against a slow bucket that needs a minimum rate of answers", t, func() {
		oldCount := jujubegate.RouteCount{Service: "Desk", Version: "v1", Route: "Search", Answers: 4}
		newCount := jujubegate.RouteCount{Service: "Desk", Version: "v2", Route: "Search", Answers: 1}
		oldCount.Latency[5], newCount.Latency[5] = 4, 1
		trial := NewTrial(move, []jujubegate.Route{"Search"}, FleetBlockInterval, FalseAlarmProbability)
		for i := range 2000 {
			trial.Add(epoch.Add(time.Duration(i)*FleetBlockInterval), move, []jujubegate.RouteCount{oldCount, newCount})
		}
		So(trial.Judgement().Verdict.Outcome, ShouldEqual, Good)
	})
	Convey("A cell without a slow bucket does not delay a move forever", t, func() {
		trial := NewTrial(move, []jujubegate.Route{"Search"}, FleetBlockInterval, FalseAlarmProbability)
		newCount := jujubegate.RouteCount{Service: "Desk", Version: "v2", Route: "Search", Answers: 10}
		newCount.Latency[5] = 10
		for i := range 500 {
			trial.Add(epoch.Add(time.Duration(i)*FleetBlockInterval), move, []jujubegate.RouteCount{newCount})
		}
		j := trial.Judgement()
		So(j.Verdict.Outcome, ShouldEqual, Undecided)
		So(j.ProvedWithoutLoad, ShouldEqual, 1)
	})
	Convey("The verdict states the rates at the time of the fault", t, func() {
		trial := NewTrial(move, []jujubegate.Route{"Search"}, FleetBlockInterval, FalseAlarmProbability)
		for i := range 110 {
			counts := blockCounts(0, 1)
			if i >= 100 {
				counts = blockCounts(30, 1)
			}
			trial.Add(epoch.Add(time.Duration(i)*FleetBlockInterval), move, counts)
		}
		v := trial.Judgement().Verdict
		So(v.Outcome, ShouldEqual, Bad)
		So(v.NewPercent, ShouldBeGreaterThan, 5)
		So(v.String(), ShouldStartWith, "Bad: route Search, without load: errors ")
		So(v.String(), ShouldEndWith, "0.10% for the old version at the same time")
	})
	Convey("Without traffic on the old version, its recorded rate is the baseline", t, func() {
		trial := NewTrial(move, []jujubegate.Route{"Search"}, FleetBlockInterval, FalseAlarmProbability)
		for i := range 50 {
			trial.Add(epoch.Add(time.Duration(i)*FleetBlockInterval), move, blockCounts(0, 1))
		}
		done := move
		done.State, done.Share = configurator.Done, 100
		for i := range 10 {
			trial.Add(epoch.Add(time.Minute+time.Duration(i)*FleetBlockInterval), done, blockCounts(20, 0)[1:])
		}
		So(trial.Judgement().Verdict.Outcome, ShouldEqual, Bad)
		So(trial.Judgement().Verdict.String(), ShouldContainSubstring, "recorded for the old version before")
	})
}

func TestControl(t *testing.T) {
	Convey("The control group keeps the usual service times during a slowdown", t, func() {
		c, moving := newControlGroup(), func(s jujubegate.Service) bool { return s == "Desk" }
		counts := func(bucket int, errors uint64) []jujubegate.RouteCount {
			other := jujubegate.RouteCount{Service: "Other", Answers: 100, Errors: errors}
			other.Latency[bucket] = 100 - errors
			desk := jujubegate.RouteCount{Service: "Desk", Answers: 1000, Errors: 1000}
			return []jujubegate.RouteCount{desk, other}
		}
		So(c.rates(), ShouldEqual, [2]float64{})
		for range 100 {
			c.add(counts(5, 0), moving)
		}
		So(c.rates(), ShouldEqual, [2]float64{})
		for range 100 {
			c.add(counts(10, 20), moving)
		}
		So(c.rates()[Errors], ShouldAlmostEqual, 0.2, 0.001)
		So(c.rates()[Slowness], ShouldAlmostEqual, 1, 0.001)
		for range 2 * controlWindow {
			c.add(counts(5, 0), moving)
		}
		So(c.rates()[Slowness], ShouldBeLessThan, 0.05)
		c.reset()
		So(c.cells, ShouldBeEmpty)
	})
}
