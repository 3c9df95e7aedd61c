package mover

import (
	"fmt"
	"time"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/configurator"
)

// Outcome is the result of judging a version.
type Outcome int

// Outcomes of a verdict.
const (
	// Undecided means that there is too little evidence.
	Undecided Outcome = iota
	// Good means that the version is not worse than the tolerance.
	Good
	// Bad means that the version is worse than the tolerance.
	Bad
)

// String returns the name shown to operators.
func (o Outcome) String() string { return [...]string{"Undecided", "Good", "Bad"}[o] }

// Verdict is the outcome for a version and the rates it is based on. The fields
// after Outcome describe the cell that decided or, while undecided, the cell
// with the least evidence for Good.
type Verdict struct {
	Outcome Outcome
	Route   jujubegate.Route
	Load    jujubegate.LoadLevel
	Kind    Kind
	// NewPercent and OldPercent are the event rates of both versions in percent.
	NewPercent, OldPercent float64
	// Answers is the number of recent answers of the new version.
	Answers uint64
	// SlowAbove and OldSlowAbove are the service times above which answers of the
	// new and the old version are slow. They are set for Slowness only.
	SlowAbove, OldSlowAbove time.Duration
	// Recorded is set if OldPercent was recorded before the old version lost its
	// traffic.
	Recorded bool
}

// String returns the verdict as a sentence for operators.
func (v Verdict) String() string {
	if v.Route == "" {
		return v.Outcome.String()
	}
	subject, reference := v.Kind.String(), "for the old version at the same time"
	if v.Recorded {
		reference = "recorded for the old version before"
	}
	if v.Kind == Slowness && v.SlowAbove > 0 {
		subject = fmt.Sprintf("answers slower than %s", v.SlowAbove.Round(100*time.Microsecond))
		reference = fmt.Sprintf("slower than %s %s", v.OldSlowAbove.Round(100*time.Microsecond), reference)
	}
	return fmt.Sprintf("%s: route %s, %s: %s %.2f%% of %d, %.2f%% %s",
		v.Outcome, v.Route, v.Load, subject, v.NewPercent, v.Answers, v.OldPercent, reference)
}

// Judgement is the result of a trial at one time.
type Judgement struct {
	// Move is the state of the move that was judged.
	Move    configurator.MoveSpec
	Verdict Verdict
	// Suspicious is set if the evidence against the version is too strong to
	// raise its share.
	Suspicious bool
	// ProvedWithoutLoad is like Proved, but only over the cells without load, and
	// for Slowness only over those with enough answers of the old version to
	// compare with. AnswersUnderLoad is the lowest number of answers of the new
	// version in a cell under load that is not proved good yet.
	ProvedWithoutLoad float64
	AnswersUnderLoad  float64
	// StepStarted is when the current share was first seen.
	StepStarted time.Time
	// StepAnswers and Answers are the numbers of answers of the new version since
	// StepStarted and EvidenceStarted.
	StepAnswers     uint64
	Answers         uint64
	EvidenceStarted time.Time
	// Proved is the fraction of the evidence for Good reached by the cell with
	// the least evidence, from 0 to 1.
	Proved float64
	// DoneSince is when the move was first seen as done, or zero before.
	DoneSince time.Time
}
