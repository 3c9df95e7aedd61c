package mover

import (
	"fmt"
	"math"
	"strings"
	"time"
	"unicode/utf8"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/configurator"
	"jujubegate.example/jujubegate/parser"
)

const (
	maxShare = parser.MaxShare
	// minRaise is the smallest step in percent to which a lack of capacity may
	// reduce one of the plan; smaller ones would only fill the change log.
	minRaise = 5
	// stepAnswers is the number of answers of the new version at one share before
	// the next.
	stepAnswers = 500
	// stepParts divides the time of the whole move into the least time of a step.
	stepParts = 50
	// minStepTime lets a fault show, which takes 1 to 2 s with many answers.
	minStepTime = 2 * time.Second
	maxStepTime = time.Minute
	// WatchAfterDone is how long a version is judged after its move is done.
	WatchAfterDone = 10 * time.Minute
)

// plan holds the shares after the one that the operator declared.
var plan = []int{25, 50, maxShare}

// Proposal is the next statement of a move.
type Proposal struct {
	Service jujubegate.Service
	// Text is the statement, Reason what it rests on.
	Text   string
	Reason string
}

// Evidence is what Decide knows apart from the configuration.
type Evidence struct {
	// Judgements are those of the fleet's evidence, by service.
	Judgements map[jujubegate.Service]Judgement
	Halts      []Halt
	Reports    map[jujubegate.Address]jujubegate.TargetReport
}

// of returns the judgement of a move, if there is one of the same start.
func (e Evidence) of(m configurator.MoveSpec) (Judgement, bool) {
	j, ok := e.Judgements[m.Service]
	if !ok || j.Move.To != m.To || !j.Move.Started.Equal(m.Started) {
		return Judgement{}, false
	}
	return j, true
}

// Decide returns the next statement of every move that needs one. It changes
// nothing and does no I/O.
func Decide(now time.Time, c configurator.Configuration, e Evidence) []Proposal {
	var list []Proposal
	for _, m := range c.Moves() {
		if p, ok := decide(now, c, m, e); ok {
			list = append(list, p)
		}
	}
	return list
}

func decide(
	now time.Time, c configurator.Configuration, m configurator.MoveSpec, e Evidence,
) (Proposal, bool) {
	j, judged := e.of(m)
	if m.State == configurator.Done {
		if judged && j.Verdict.Outcome == Bad && servesAny(c, m.Service, m.From) {
			return takeBack(m, j.Verdict.String()), true
		}
		return Proposal{}, false
	}
	if !m.Running() {
		return Proposal{}, false
	}
	if judged && j.Verdict.Outcome == Bad {
		return takeBack(m, j.Verdict.String()), true
	}
	for _, h := range e.Halts {
		if h.Service == m.Service && h.Version == m.To && h.Started.Equal(m.Started) {
			return takeBack(m, h.Reason), true
		}
	}
	if !now.Before(m.Deadline) && m.OnMissed == configurator.MissedTakeBack {
		return takeBack(m, missed(c, m, j, e)), true
	}
	// A judgement of an earlier step says nothing about the time at this one.
	if !judged || j.Move.Share != m.Share || j.Move.State != m.State || !mayRaise(now, m, j) {
		return Proposal{}, false
	}
	return raise(c, m, j, e)
}

// StepTime returns the least time that a move stays at one share.
func StepTime(m configurator.MoveSpec) time.Duration {
	return min(max(m.Deadline.Sub(m.Started)/stepParts, minStepTime), maxStepTime)
}

// mayRaise reports whether the evidence allows the next step.
func mayRaise(now time.Time, m configurator.MoveSpec, j Judgement) bool {
	if j.Suspicious || now.Sub(j.StepStarted) < StepTime(m) || j.StepAnswers < stepAnswers {
		return false
	}
	if m.State != configurator.Proving {
		return true
	}
	proof, answers := needed(now, m)
	return j.Verdict.Outcome == Good || (j.ProvedWithoutLoad >= proof && j.AnswersUnderLoad >= answers)
}

// needed returns how much evidence is enough now instead of a judgement: the
// part of that for Good without load, and the number of answers under load.
func needed(now time.Time, m configurator.MoveSpec) (proof, answers float64) {
	part := float64(now.Sub(m.Started)) / float64(m.Deadline.Sub(m.Started))
	if part < relaxedFrom {
		return 1, math.Inf(1)
	}
	left := max(0, (relaxedUntil-part)/(relaxedUntil-relaxedFrom))
	return relaxedProof + (1-relaxedProof)*left, relaxedAnswers * left
}

// raise returns the statement of the next step, as far as the targets carry it.
func raise(
	c configurator.Configuration, m configurator.MoveSpec, j Judgement, e Evidence,
) (Proposal, bool) {
	reason := j.Verdict.String()
	if m.Share >= maxShare {
		s := &parser.FinishVersion{Name: m.To, Service: parser.Given(m.Service)}
		return Proposal{m.Service, s.String(), reason}, true
	}
	next := nextShare(m.Share)
	capacity := Capacity(c, m.Service, e.Reports)
	if capacity < next {
		next = capacity
		reason = fmt.Sprintf("%s; the warm targets carry %d%%", reason, capacity)
	}
	if next < m.Share+minRaise {
		return Proposal{}, false
	}
	s := &parser.AdvanceVersion{
		Name: m.To, Service: parser.Given(m.Service),
		State: parser.Given(parser.StateShifting), Share: parser.Given(next),
	}
	return Proposal{m.Service, s.String(), reason}, true
}

func nextShare(share int) int {
	for _, next := range plan {
		if next > share {
			return next
		}
	}
	return maxShare
}

func takeBack(m configurator.MoveSpec, reason string) Proposal {
	s := &parser.TakeBackVersion{Name: m.To, Service: parser.Given(m.Service), Reason: parser.Given(phrase(reason))}
	return Proposal{m.Service, s.String(), reason}
}

// phrase shortens a reason to what a statement can hold.
func phrase(text string) string {
	text = strings.Map(func(r rune) rune {
		if r < ' ' || r == utf8.RuneError {
			return ' '
		}
		return r
	}, text)
	if runes := []rune(text); len(runes) > parser.MaxString {
		return string(runes[:parser.MaxString])
	}
	return text
}

// missed says plainly why a move missed its deadline.
func missed(c configurator.Configuration, m configurator.MoveSpec, j Judgement, e Evidence) string {
	text := fmt.Sprintf("deadline %s passed at share %d%% (%s)", parser.FormatTime(m.Deadline), m.Share, m.State)
	switch {
	case j.Answers == 0:
		return text + ": the version had no answers"
	case j.Suspicious:
		return text + ": evidence against it, not yet enough for a verdict: " + j.Verdict.String()
	case m.State == configurator.Proving && j.Verdict.Outcome != Good:
		return text + ": not enough evidence: " + j.Verdict.String()
	case m.Share < maxShare && Capacity(c, m.Service, e.Reports) < nextShare(m.Share):
		return text + fmt.Sprintf(": its warm targets carry only %d%%", Capacity(c, m.Service, e.Reports))
	default:
		return text + ": the time was too short for the remaining steps"
	}
}

// servesAny reports whether a version has a target outside the data centres
// that are out.
func servesAny(c configurator.Configuration, s jujubegate.Service, v jujubegate.Version) bool {
	for _, t := range c.Targets() {
		if t.Service == s && t.Version == v && !c.DataCentreOut(t.DataCentre) {
			return true
		}
	}
	return false
}
