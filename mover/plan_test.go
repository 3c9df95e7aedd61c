package mover

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/configurator"
)

func TestDecide(t *testing.T) {
	const bringIn = `BringIn Version v2 { Service = Desk; Share = 3; Deadline = 100s; };`
	const carryOn = `BringIn Version v2 { Service = Desk; Deadline = 100s; OnMissed = Continue; };`
	shift := func(share string) string {
		return bringIn + `Advance Version v2 { Service = Desk; State = Shifting; Share = ` + share + `; };`
	}
	const finished = `Finish Version v2 { Service = Desk; };`
	enough := Judgement{StepStarted: epoch, StepAnswers: 500, Answers: 500, ProvedWithoutLoad: 1, Proved: 1}
	with := func(change func(j *Judgement)) Judgement {
		j := enough
		j.Verdict.Outcome = Good
		change(&j)
		return j
	}
	good := with(func(*Judgement) {})
	bad := with(func(j *Judgement) {
		j.Verdict = Verdict{Outcome: Bad, Route: "Search", NewPercent: 10, Answers: 50}
	})
	load := with(func(j *Judgement) { j.Verdict.Outcome, j.AnswersUnderLoad = Undecided, 40 })
	weak := with(func(j *Judgement) { j.Verdict.Outcome, j.ProvedWithoutLoad, j.AnswersUnderLoad = Undecided, 0.2, 1000 })
	cases := []struct {
		name      string
		guards    string
		text      string
		judgement Judgement
		at        time.Duration
		limit     int
		halt      time.Duration // start of the move that a halt names, -1 without
		want      string        // prefix of the statement
		reason    string
	}{
		{"proved", "a good version that stays at its share", bringIn, good, 5 * time.Second, 2, -1, "Advance Version v2 { Service = Desk; State = Shifting; Share = 25; };", "Good"},
		{"undecided", "a raise without a verdict", bringIn, load, 5 * time.Second, 2, -1, "", ""},
		{"little load, late", "a missed deadline for want of load", bringIn, load, 60 * time.Second, 2, -1, "Advance", ""},
		{"weak, late", "a raise with little evidence", bringIn, weak, 90 * time.Second, 2, -1, "", ""},
		{"too soon", "steps that are too short to show a fault", bringIn, good, 1900 * time.Millisecond, 2, -1, "", ""},
		{"few answers", "steps with too few answers", bringIn, with(func(j *Judgement) { j.StepAnswers = 499 }), 5 * time.Second, 2, -1, "", ""},
		{"suspicious", "a raise while a fault begins to show", shift("25"), with(func(j *Judgement) { j.Suspicious = true }), 5 * time.Second, 2, -1, "", ""},
		{"second step", "a plan that skips or repeats shares", shift("25"), good, 5 * time.Second, 2, -1, "Advance Version v2 { Service = Desk; State = Shifting; Share = 50; };", ""},
		{"full share", "a plan that ends before the full share", shift("50"), good, 5 * time.Second, 2, -1, "Advance Version v2 { Service = Desk; State = Shifting; Share = 100; };", ""},
		{"finish", "a move that never ends", shift("100"), good, 5 * time.Second, 2, -1, "Finish Version v2 { Service = Desk; };", ""},
		{"half the capacity", "more load than the warm targets carry", shift("25"), good, 5 * time.Second, 1, -1, "Advance Version v2 { Service = Desk; State = Shifting; Share = 50; };", ""},
		{"at capacity", "more load than the warm targets carry", shift("50"), good, 5 * time.Second, 1, -1, "", ""},
		{"no warm targets", "load on cold targets", bringIn, good, 5 * time.Second, 0, -1, "", ""},
		{"bad", "a bad version that stays", bringIn, bad, time.Second, 2, -1, "TakeBack", "Bad: route Search, without load: errors 10.00% of 50, 0.00%"},
		{"bad after the move", "a bad version that stays after the move", shift("100") + finished, bad, time.Second, 2, -1, "TakeBack", "Bad"},
		{"good after the move", "statements without need", shift("100") + finished, good, 200 * time.Second, 2, -1, "", ""},
		{"halted by a peer", "a peer's evidence that is ignored", bringIn, good, 5 * time.Second, 2, 0, "TakeBack", "peer"},
		{"halt of another start", "an old halt that ends the new start", bringIn, good, 5 * time.Second, 2, time.Second, "Advance", ""},
		{"deadline", "a move that goes on after its deadline", bringIn, load, 100 * time.Second, 2, -1, "TakeBack", "deadline 2026-12-04T08:01:40Z passed at share 3% (Proving): not enough evidence"},
		{"deadline without answers", "an unclear reason", bringIn, Judgement{}, 100 * time.Second, 2, -1, "TakeBack", "no answers"},
		{"deadline, no capacity", "an unclear reason", shift("50"), good, 100 * time.Second, 1, -1, "TakeBack", "carry only 50%"},
		{"deadline, go on", "a move taken back against the operator's choice", carryOn, good, 200 * time.Second, 2, -1, "Advance", ""},
	}
	for _, c := range cases {
		Convey(c.name+": guards against "+c.guards, t, func() {
			configuration := declared(c.text)
			c.judgement.Move, _ = configuration.Move("Desk")
			e := Evidence{
				Judgements: map[jujubegate.Service]Judgement{"Desk": c.judgement},
				Reports:    make(map[jujubegate.Address]jujubegate.TargetReport),
			}
			for _, r := range warmReports(configuration, c.limit) {
				e.Reports[r.Target] = r
			}
			if c.halt >= 0 {
				e.Halts = []Halt{{"Desk", "v2", epoch.Add(c.halt), "peer"}}
			}
			list := Decide(epoch.Add(c.at), configuration, e)
			if c.want == "" {
				So(list, ShouldBeEmpty)
				return
			}
			So(list, ShouldHaveLength, 1)
			So(list[0].Text, ShouldStartWith, c.want)
			So(list[0].Reason, ShouldContainSubstring, c.reason)
			_, err := apply(configuration, list[0].Text, epoch.Add(c.at))
			So(err, ShouldBeNil)
			// A runner that was paused finds that the move has ended.
			ended, err := apply(configuration, `TakeBack Version v2 { Service = Desk; Reason = "other"; };`, epoch)
			So(err, ShouldBeNil)
			_, err = apply(ended, list[0].Text, epoch)
			So(err, ShouldNotBeNil)
		})
	}
	stale := []struct {
		name   string
		change func(m configurator.MoveSpec) configurator.MoveSpec
		bad    bool
	}{
		{"of the share before", func(m configurator.MoveSpec) configurator.MoveSpec { m.Share = 2; return m }, false},
		{"of the start before", func(m configurator.MoveSpec) configurator.MoveSpec { m.Started = epoch.Add(-time.Hour); return m }, true},
	}
	for _, s := range stale {
		Convey("A judgement "+s.name+" decides nothing", t, func() {
			configuration, j := declared(bringIn), good
			if s.bad {
				j = bad
			}
			m, _ := configuration.Move("Desk")
			j.Move = s.change(m)
			e := Evidence{Judgements: map[jujubegate.Service]Judgement{"Desk": j}, Reports: map[jujubegate.Address]jujubegate.TargetReport{}}
			for _, r := range warmReports(configuration, 2) {
				e.Reports[r.Target] = r
			}
			So(Decide(epoch.Add(5*time.Second), configuration, e), ShouldBeEmpty)
		})
	}
	Convey("A reason is cut to what a statement can hold", t, func() {
		m, _ := declared(bringIn).Move("Desk")
		_, err := apply(declared(bringIn), takeBack(m, strings.Repeat("\"ü\n", 400)).Text, epoch)
		So(err, ShouldBeNil)
	})
}

func TestPredict(t *testing.T) {
	c := declared(`BringIn Version v2 { Service = Desk; Deadline = 100s; };`)
	m, _ := c.Move("Desk")
	proved := func(part float64, answers uint64) Judgement {
		return Judgement{EvidenceStarted: epoch, StepStarted: epoch, Answers: answers, StepAnswers: answers, Proved: part, ProvedWithoutLoad: part}
	}
	cases := []struct {
		name      string
		judgement Judgement
		at        time.Duration
		limit     int
		prospect  Prospect
		text      string
	}{
		{"half proved", proved(0.5, 2000), 20 * time.Second, 2, OnTime, "OnTime, end expected 2026-12-04T08:0"},
		{"a fifth proved", proved(0.2, 200), 15 * time.Second, 2, AtRisk, "little time is left"},
		{"hardly proved at first", proved(0.01, 200), 20 * time.Second, 2, AtRisk, "evidence comes in too slowly"},
		{"hardly proved", proved(0.01, 200), 26 * time.Second, 2, Late, "evidence comes in too slowly"},
		{"steps don't fit", proved(0.01, 20), 20 * time.Second, 2, Late, "evidence comes in too slowly"},
		{"no answers at first", Judgement{}, 5 * time.Second, 2, AtRisk, "too little evidence"},
		{"no answers for long", Judgement{}, 50 * time.Second, 2, Late, "too little evidence"},
		{"cold targets", proved(0.5, 2000), 20 * time.Second, 0, AtRisk, "carry 0%"},
		{"bad", Judgement{Verdict: Verdict{Outcome: Bad}}, 20 * time.Second, 2, Late, "taken back"},
		{"after the deadline", proved(1, 2000), 100 * time.Second, 2, Late, "deadline has passed"},
	}
	for _, test := range cases {
		Convey(test.name+": guards against a wrong word to operators", t, func() {
			test.judgement.Move = m
			e := Evidence{
				Judgements: map[jujubegate.Service]Judgement{"Desk": test.judgement},
				Reports:    make(map[jujubegate.Address]jujubegate.TargetReport),
			}
			for _, r := range warmReports(c, test.limit) {
				e.Reports[r.Target] = r
			}
			f := Predict(epoch.Add(test.at), c, m, e)
			So(f.Prospect, ShouldEqual, test.prospect)
			So(f.String(), ShouldContainSubstring, test.text)
		})
	}
}
