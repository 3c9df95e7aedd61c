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
	// minIncrease is the smallest increase of the share, in percentage points,
	// when capacity limits the next step. Smaller steps would only fill the
	// change log.
	minIncrease = 5
	// stepAnswers is the number of answers that the new version needs at one
	// share before the next step.
	stepAnswers = 500
	// stepsPerDeadline is the number of parts into which the time from the start
	// of a move to its deadline is divided; one part is the minimum step time.
	stepsPerDeadline = 50
	// minStepTime leaves time for a fault to be detected, which takes 1 to 2 s
	// with many answers.
	minStepTime = 2 * time.Second
	maxStepTime = time.Minute
	// WatchAfterDone is how long a version is still judged after its move is
	// done.
	WatchAfterDone = 10 * time.Minute
)

// sharePlan lists the shares in percent that follow the proving share declared
// by the operator.
var sharePlan = []int{25, 50, maxShare}

// NextStatement is the next statement of a move.
type NextStatement struct {
	Service jujubegate.Service
	// Text is the statement. Reason is the verdict or other cause of it.
	Text   string
	Reason string
}

// Evidence is the input of Decide besides the configuration.
type Evidence struct {
	// Judgements holds the current judgement of each service's move.
	Judgements map[jujubegate.Service]Judgement
	Halts      []Halt
	Reports    map[jujubegate.Address]jujubegate.TargetReport
}

// judgementOf returns the judgement of a move. A judgement of a move with
// another version or start time is ignored.
func (e Evidence) judgementOf(m configurator.MoveSpec) (Judgement, bool) {
	j, ok := e.Judgements[m.Service]
	if !ok || j.Move.To != m.To || !j.Move.Started.Equal(m.Started) {
		return Judgement{}, false
	}
	return j, true
}

// Decide returns the next statement of every move that needs one. It has no
// side effects.
func Decide(now time.Time, c configurator.Configuration, e Evidence) []NextStatement {
	var list []NextStatement
	for _, m := range c.Moves() {
		if p, ok := decide(now, c, m, e); ok {
			list = append(list, p)
		}
	}
	return list
}

func decide(
	now time.Time, c configurator.Configuration, m configurator.MoveSpec, e Evidence,
) (NextStatement, bool) {
	j, judged := e.judgementOf(m)
	if m.State == configurator.Done {
		if judged && j.Verdict.Outcome == Bad && hasTargetInService(c, m.Service, m.From) {
			return takeBack(m, j.Verdict.String()), true
		}
		return NextStatement{}, false
	}
	if !m.Running() {
		return NextStatement{}, false
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
		return takeBack(m, missedReason(c, m, j, e)), true
	}
	// A judgement made at an earlier share does not tell how long the move has
	// been at the current one.
	if !judged || j.Move.Share != m.Share || j.Move.State != m.State || !mayAdvance(now, m, j) {
		return NextStatement{}, false
	}
	return nextStep(c, m, j, e)
}

// StepTime returns the minimum time that a move stays at one share.
func StepTime(m configurator.MoveSpec) time.Duration {
	return min(max(m.Deadline.Sub(m.Started)/stepsPerDeadline, minStepTime), maxStepTime)
}

// mayAdvance reports whether the evidence allows the next step of the plan.
func mayAdvance(now time.Time, m configurator.MoveSpec, j Judgement) bool {
	if j.Suspicious || now.Sub(j.StepStarted) < StepTime(m) || j.StepAnswers < stepAnswers {
		return false
	}
	if m.State != configurator.Proving {
		return true
	}
	provedFraction, answersUnderLoad := requiredEvidence(now, m)
	return j.Verdict.Outcome == Good || (j.ProvedWithoutLoad >= provedFraction && j.AnswersUnderLoad >= answersUnderLoad)
}

// requiredEvidence returns the evidence that currently suffices to leave the
// proving share without the verdict Good: the fraction of the evidence for Good
// in cells without load, and the number of answers under load.
func requiredEvidence(now time.Time, m configurator.MoveSpec) (provedFraction, answersUnderLoad float64) {
	elapsedFraction := float64(now.Sub(m.Started)) / float64(m.Deadline.Sub(m.Started))
	if elapsedFraction < relaxationStart {
		return 1, math.Inf(1)
	}
	remaining := max(0, (relaxationEnd-elapsedFraction)/(relaxationEnd-relaxationStart))
	return relaxedProved + (1-relaxedProved)*remaining, relaxedAnswersUnderLoad * remaining
}

// nextStep returns the statement of the next step, if the warm targets have
// enough capacity for it.
func nextStep(
	c configurator.Configuration, m configurator.MoveSpec, j Judgement, e Evidence,
) (NextStatement, bool) {
	reason := j.Verdict.String()
	if m.Share >= maxShare {
		s := &parser.FinishVersion{Name: m.To, Service: parser.Given(m.Service)}
		return NextStatement{m.Service, s.String(), reason}, true
	}
	next := nextShare(m.Share)
	capacity := Capacity(c, m.Service, e.Reports)
	if capacity < next {
		next = capacity
		reason = fmt.Sprintf("%s; the warm targets carry %d%%", reason, capacity)
	}
	if next < m.Share+minIncrease {
		return NextStatement{}, false
	}
	s := &parser.AdvanceVersion{
		Name: m.To, Service: parser.Given(m.Service),
		State: parser.Given(parser.StateShifting), Share: parser.Given(next),
	}
	return NextStatement{m.Service, s.String(), reason}, true
}

func nextShare(share int) int {
	for _, next := range sharePlan {
		if next > share {
			return next
		}
	}
	return maxShare
}

func takeBack(m configurator.MoveSpec, reason string) NextStatement {
	s := &parser.TakeBackVersion{Name: m.To, Service: parser.Given(m.Service), Reason: parser.Given(truncateReason(reason))}
	return NextStatement{m.Service, s.String(), reason}
}

// truncateReason replaces control and invalid characters and shortens a reason
// to the maximum length in a statement.
func truncateReason(text string) string {
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

// missedReason returns the reason why a move missed its deadline.
func missedReason(c configurator.Configuration, m configurator.MoveSpec, j Judgement, e Evidence) string {
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

// hasTargetInService reports whether a version has a target outside the data
// centres that are out.
func hasTargetInService(c configurator.Configuration, s jujubegate.Service, v jujubegate.Version) bool {
	for _, t := range c.Targets() {
		if t.Service == s && t.Version == v && !c.DataCentreOut(t.DataCentre) {
			return true
		}
	}
	return false
}
