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
	const continueOnMissed = `BringIn Version v2 { Service = Desk; Deadline = 100s; OnMissed = Continue; };`
	shift := func(share string) string {
		return bringIn + `Advance Version v2 { Service = Desk; State = Shifting; Share = ` + share + `; };`
	}
	const finished = `Finish Version v2 { Service = Desk; };`
	enoughEvidence := Judgement{StepStarted: epoch, StepAnswers: 500, Answers: 500, ProvedWithoutLoad: 1, Proved: 1}
	goodWith := func(change func(j *Judgement)) Judgement {
		j := enoughEvidence
		j.Verdict.Outcome = Good
		change(&j)
		return j
	}
	good := goodWith(func(*Judgement) {})
	bad := goodWith(func(j *Judgement) {
		j.Verdict = Verdict{Outcome: Bad, Route: "Search", NewPercent: 10, Answers: 50}
	})
	littleLoad := goodWith(func(j *Judgement) { j.Verdict.Outcome, j.AnswersUnderLoad = Undecided, 40 })
	weakEvidence := goodWith(func(j *Judgement) { j.Verdict.Outcome, j.ProvedWithoutLoad, j.AnswersUnderLoad = Undecided, 0.2, 1000 })
	cases := []struct {
		name      string
		guards    string
		text      string
		judgement Judgement
		at        time.Duration
		limit     int
		halt      time.Duration // start of the halted move after epoch; -1 means no halt
		want      string        // prefix of the statement; "" if there is none
		reason    string
	}{
		{"proved", "a good version that stays at its share", bringIn, good, 5 * time.Second, 2, -1, "Advance Version v2 { Service = Desk; State = Shifting; Share = 25; };", "Good"},
		{"undecided", "a raise without a verdict", bringIn, littleLoad, 5 * time.Second, 2, -1, "", ""},
		{"few answers under load, late", "a missed deadline for lack of load", bringIn, littleLoad, 60 * time.Second, 2, -1, "Advance", ""},
		{"weak evidence, late", "a raise with little evidence", bringIn, weakEvidence, 90 * time.Second, 2, -1, "", ""},
		{"too soon", "steps that are too short to show a fault", bringIn, good, 1900 * time.Millisecond, 2, -1, "", ""},
		{"few answers", "steps with too few answers", bringIn, goodWith(func(j *Judgement) { j.StepAnswers = 499 }), 5 * time.Second, 2, -1, "", ""},
		{"suspicious", "a raise while a fault begins to show", shift("25"), goodWith(func(j *Judgement) { j.Suspicious = true }), 5 * time.Second, 2, -1, "", ""},
		{"second step", "a plan that skips or repeats shares", shift("25"), good, 5 * time.Second, 2, -1, "Advance Version v2 { Service = Desk; State = Shifting; Share = 50; };", ""},
		{"full share", "a plan that ends before the full share", shift("50"), good, 5 * time.Second, 2, -1, "Advance Version v2 { Service = Desk; State = Shifting; Share = 100; };", ""},
		{"finish", "a move that never ends", shift("100"), good, 5 * time.Second, 2, -1, "Finish Version v2 { Service = Desk; };", ""},
		{"half the capacity", "more load than the warm targets carry", shift("25"), good, 5 * time.Second, 1, -1, "Advance Version v2 { Service = Desk; State = Shifting; Share = 50; };", ""},
		{"at capacity", "more load than the warm targets carry", shift("50"), good, 5 * time.Second, 1, -1, "", ""},
		{"no warm targets", "load on cold targets", bringIn, good, 5 * time.Second, 0, -1, "", ""},
		{"bad", "a bad version that stays", bringIn, bad, time.Second, 2, -1, "TakeBack", "Bad: route Search, without load: errors 10.00% of 50, 0.00%"},
		{"bad after the move", "a bad version that stays after the move", shift("100") + finished, bad, time.Second, 2, -1, "TakeBack", "Bad"},
		{"good after the move", "needless statements", shift("100") + finished, good, 200 * time.Second, 2, -1, "", ""},
		{"halted by a peer", "a peer's evidence that is ignored", bringIn, good, 5 * time.Second, 2, 0, "TakeBack", "peer"},
		{"halt of another move", "an old halt that ends the new move", bringIn, good, 5 * time.Second, 2, time.Second, "Advance", ""},
		{"deadline", "a move that goes on after its deadline", bringIn, littleLoad, 100 * time.Second, 2, -1, "TakeBack", "deadline 2026-12-04T08:01:40Z passed at share 3% (Proving): not enough evidence"},
		{"deadline without answers", "an unclear reason", bringIn, Judgement{}, 100 * time.Second, 2, -1, "TakeBack", "no answers"},
		{"deadline, no capacity", "an unclear reason", shift("50"), good, 100 * time.Second, 1, -1, "TakeBack", "carry only 50%"},
		{"deadline, continue", "a move taken back against the operator's choice", continueOnMissed, good, 200 * time.Second, 2, -1, "Advance", ""},
	}
	for _, c := range cases {
		Convey(c.name+": guards against "+c.guards, t, func() {
			configuration := configurationWith(c.text)
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
			// The statement must be refused if the move has ended meanwhile, e.g.
			// while the submitting instance was paused.
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
		{"of an earlier share", func(m configurator.MoveSpec) configurator.MoveSpec { m.Share = 2; return m }, false},
		{"of an earlier move", func(m configurator.MoveSpec) configurator.MoveSpec { m.Started = epoch.Add(-time.Hour); return m }, true},
	}
	for _, s := range stale {
		Convey("A judgement "+s.name+" leads to no statement", t, func() {
			configuration, j := configurationWith(bringIn), good
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
	Convey("A reason is shortened to the maximum length in a statement", t, func() {
		m, _ := configurationWith(bringIn).Move("Desk")
		_, err := apply(configurationWith(bringIn), takeBack(m, strings.Repeat("\"ü\n", 400)).Text, epoch)
		So(err, ShouldBeNil)
	})
}

func TestPredict(t *testing.T) {
	c := configurationWith(`BringIn Version v2 { Service = Desk; Deadline = 100s; };`)
	m, _ := c.Move("Desk")
	proved := func(fraction float64, answers uint64) Judgement {
		return Judgement{EvidenceStarted: epoch, StepStarted: epoch, Answers: answers, StepAnswers: answers, Proved: fraction, ProvedWithoutLoad: fraction}
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
		{"hardly proved, early", proved(0.01, 200), 20 * time.Second, 2, AtRisk, "evidence comes in too slowly"},
		{"hardly proved", proved(0.01, 200), 26 * time.Second, 2, Late, "evidence comes in too slowly"},
		{"steps don't fit", proved(0.01, 20), 20 * time.Second, 2, Late, "evidence comes in too slowly"},
		{"no answers, early", Judgement{}, 5 * time.Second, 2, AtRisk, "too little evidence"},
		{"no answers, late", Judgement{}, 50 * time.Second, 2, Late, "too little evidence"},
		{"cold targets", proved(0.5, 2000), 20 * time.Second, 0, AtRisk, "carry 0%"},
		{"bad", Judgement{Verdict: Verdict{Outcome: Bad}}, 20 * time.Second, 2, Late, "taken back"},
		{"after the deadline", proved(1, 2000), 100 * time.Second, 2, Late, "deadline has passed"},
	}
	for _, test := range cases {
		Convey(test.name+": guards against a wrong forecast", t, func() {
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
