package mover

import (
	"fmt"
	"time"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/configurator"
)

// Outcome is the result of judging a version.
type Outcome int

// Outcomes of a judgement.
const (
	// Undecided is too little evidence.
	Undecided Outcome = iota
	// Good is enough evidence that the version is not worse than the tolerance.
	Good
	// Bad is enough evidence that it is worse.
	Bad
)

// String returns the word shown to operators.
func (o Outcome) String() string { return [...]string{"Undecided", "Good", "Bad"}[o] }

// Verdict is the judgement about a version and what it rests on. The fields
// after Outcome are those of the cell that decided or, while undecided, of the
// cell with the least evidence.
type Verdict struct {
	Outcome Outcome
	Route   jujubegate.Route
	Load    jujubegate.LoadLevel
	Kind    Kind
	// NewPercent and Old are the rates of both versions in percent.
	NewPercent, OldPercent float64
	// Answers is the number of recent answers of the new version.
	Answers uint64
	// SlowAbove is the time above which the new version's answers are slow, OldBound
	// that for the old version's; set for Slowness.
	SlowAbove, OldSlowAbove time.Duration
	// Recorded is set if the old rate was recorded before the old version lost
	// its traffic.
	Recorded bool
}

// String returns the verdict as a sentence for operators.
func (v Verdict) String() string {
	if v.Route == "" {
		return v.Outcome.String()
	}
	what, compared := v.Kind.String(), "for the old version at the same time"
	if v.Recorded {
		compared = "recorded for the old version before"
	}
	if v.Kind == Slowness && v.SlowAbove > 0 {
		what = fmt.Sprintf("answers slower than %s", v.SlowAbove.Round(100*time.Microsecond))
		compared = fmt.Sprintf("slower than %s %s", v.OldSlowAbove.Round(100*time.Microsecond), compared)
	}
	return fmt.Sprintf("%s: route %s, %s: %s %.2f%% of %d, %.2f%% %s",
		v.Outcome, v.Route, v.Load, what, v.NewPercent, v.Answers, v.OldPercent, compared)
}

// Judgement is what the evidence says about a move at one time.
type Judgement struct {
	// Move is the move as it was judged.
	Move    configurator.MoveSpec
	Verdict Verdict
	// Suspicious is set while the evidence against the version is too strong to
	// raise its share.
	Suspicious bool
	// ProvedWithoutLoad is Proved over the cells that are not under load and in which
	// the old version has enough answers to compare with, and
	// LoadAnswers the least number of answers in those that are and are not good.
	ProvedWithoutLoad float64
	AnswersUnderLoad  float64
	// StepStarted is when the present share was first seen.
	StepStarted time.Time
	// StepAnswers is the number of answers of the new version since then, and
	// Answers that since the evidence began at Begun.
	StepAnswers     uint64
	Answers         uint64
	EvidenceStarted time.Time
	// Proved is the part of the evidence for Good that the slowest cell has, 0 to 1.
	Proved float64
	// Done is when the move was first seen as done; zero before.
	Done time.Time
}
