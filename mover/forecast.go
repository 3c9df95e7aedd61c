package mover

import (
	"fmt"
	"time"

	"jujubegate.example/jujubegate/configurator"
	"jujubegate.example/jujubegate/parser"
)

// Prospect says whether a move will meet its deadline.
type Prospect int

// Prospects of a move.
const (
	OnTime Prospect = iota
	AtRisk
	Late
)

// String returns the word shown to operators.
func (p Prospect) String() string { return [...]string{"OnTime", "AtRisk", "Late"}[p] }

// Forecast is the expected end of a move at the present rate of evidence.
type Forecast struct {
	Prospect Prospect
	// End is the expected end; zero if nothing tells it yet.
	End time.Time
	// Reason says what holds the move up; empty if nothing does.
	Reason string
}

// String returns the forecast as shown to operators.
func (f Forecast) String() string {
	text := f.Prospect.String()
	if !f.End.IsZero() {
		text += ", end expected " + parser.FormatTime(f.End.Truncate(time.Second))
	}
	if f.Reason != "" {
		text += ": " + f.Reason
	}
	return text
}

const (
	// riskPart is the part of the remaining time that a move on time leaves free.
	riskPart = 0.2
	// settlePart is the part of the move's time after which missing evidence
	// counts as late instead of at risk. A first extrapolation called 3 of 40
	// simulated moves late that were done in time.
	settlePart = 0.25
	// maxForecast bounds the extrapolation.
	maxForecast = 365 * 24 * time.Hour
)

// Predict returns the forecast of a running move.
func Predict(
	now time.Time, c configurator.Configuration, m configurator.MoveSpec, e Evidence,
) Forecast {
	if !now.Before(m.Deadline) {
		return Forecast{Prospect: Late, Reason: "the deadline has passed"}
	}
	j, _ := e.of(m)
	if j.Verdict.Outcome == Bad {
		return Forecast{Prospect: Late, Reason: "the version is to be taken back"}
	}
	if capacity := Capacity(c, m.Service, e.Reports); m.Share < maxShare && capacity < maxShare &&
		capacity < m.Share+minRaise {
		return unknown(now, m, fmt.Sprintf("the warm targets of the version carry %d%%", capacity))
	}
	proving, ok := provingLeft(now, m, j)
	steps, moving := stepsLeft(now, m, j)
	if !ok || !moving {
		return unknown(now, m, "there is too little evidence to tell the end")
	}
	end := now.Add(proving + steps)
	f := Forecast{End: end}
	switch {
	case end.After(m.Deadline):
		f.Prospect, f.Reason = Late, "evidence comes in too slowly"
		if !settled(now, m) && now.Add(steps).Before(m.Deadline) {
			f.Prospect = AtRisk
		}
	case m.Deadline.Sub(end) < time.Duration(riskPart*float64(m.Deadline.Sub(now))):
		f.Prospect, f.Reason = AtRisk, "little time is left after the expected end"
	}
	if j.Suspicious {
		f.Prospect, f.Reason = max(f.Prospect, AtRisk), "there is evidence against the version"
	}
	return f
}

// unknown is the forecast of a move that does not get on.
func unknown(now time.Time, m configurator.MoveSpec, reason string) Forecast {
	f := Forecast{Prospect: AtRisk, Reason: reason}
	if settled(now, m) {
		f.Prospect = Late
	}
	return f
}

// settled reports whether the evidence is old enough to extrapolate from.
func settled(now time.Time, m configurator.MoveSpec) bool {
	return now.Sub(m.Started) > time.Duration(settlePart*float64(m.Deadline.Sub(m.Started)))
}

// provingLeft extrapolates the time until the evidence is enough to leave the
// proving share, and whether that can be told. The evidence of a good version
// grows evenly with the answers.
func provingLeft(now time.Time, m configurator.MoveSpec, j Judgement) (time.Duration, bool) {
	if m.State != configurator.Proving || j.Verdict.Outcome == Good {
		return 0, true
	}
	if j.EvidenceStarted.IsZero() || j.Answers == 0 {
		return 0, false
	}
	spent := now.Sub(j.EvidenceStarted)
	until := m.Started.Add(time.Duration(relaxedUntil * float64(m.Deadline.Sub(m.Started))))
	relaxed := max(until.Sub(now), growth(spent, j.ProvedWithoutLoad, relaxedProof))
	return min(growth(spent, j.Proved, 1), relaxed), j.ProvedWithoutLoad > 0
}

// growth returns the time until the evidence reaches a part of that for Good,
// after it took a time to reach the present part.
func growth(spent time.Duration, proved, wanted float64) time.Duration {
	if proved >= wanted {
		return 0
	}
	if proved <= 0 {
		return maxForecast
	}
	return min(time.Duration(float64(spent)*(wanted-proved)/proved), maxForecast)
}

// stepsLeft returns the least time of the steps after the proof: the time of
// each, or longer if answers come in slowly. It is not ok if none do.
func stepsLeft(now time.Time, m configurator.MoveSpec, j Judgement) (time.Duration, bool) {
	spent := now.Sub(j.EvidenceStarted).Seconds()
	if j.Answers == 0 || spent <= 0 {
		return 0, false
	}
	// The rate over the whole move is at most that of the present share.
	rate := float64(j.Answers) / spent
	least, share := StepTime(m), max(m.Share, 1)
	left := time.Duration(0)
	if m.State == configurator.Shifting {
		left = max(least-now.Sub(j.StepStarted), 0)
	}
	for next := nextShare(share); share < maxShare; next = nextShare(share) {
		share = next
		answers := time.Duration(stepAnswers / (rate * float64(share) / float64(max(m.Share, 1))) * float64(time.Second))
		left += max(least, answers)
	}
	return left, true
}
