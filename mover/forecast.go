package mover

import (
	"fmt"
	"time"

	"jujubegate.example/jujubegate/configurator"
	"jujubegate.example/jujubegate/parser"
)

// Prospect says whether a move is expected to meet its deadline.
type Prospect int

// Prospects of a move, from best to worst.
const (
	OnTime Prospect = iota
	AtRisk
	Late
)

// String returns the name shown to operators.
func (p Prospect) String() string { return [...]string{"OnTime", "AtRisk", "Late"}[p] }

// Forecast is the expected end of a move, extrapolated from the evidence so
// far.
type Forecast struct {
	Prospect Prospect
	// End is the expected end, or zero if it cannot be extrapolated yet.
	End time.Time
	// Reason says what delays the move. It is empty if nothing does.
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
	// spareFraction is the fraction of the remaining time that must be left after
	// the expected end for a move to be on time.
	spareFraction = 0.2
	// lateReportFraction is the fraction of the time from start to deadline up to
	// which a move that lacks evidence is reported as at risk instead of late.
	// Without it, 3 of 40 simulated moves were reported late but finished in time.
	lateReportFraction = 0.25
	// maxForecast limits the extrapolated time.
	maxForecast = 365 * 24 * time.Hour
)

// Predict returns the forecast of a running move.
func Predict(
	now time.Time, c configurator.Configuration, m configurator.MoveSpec, e Evidence,
) Forecast {
	if !now.Before(m.Deadline) {
		return Forecast{Prospect: Late, Reason: "the deadline has passed"}
	}
	j, _ := e.judgementOf(m)
	if j.Verdict.Outcome == Bad {
		return Forecast{Prospect: Late, Reason: "the version is to be taken back"}
	}
	if capacity := Capacity(c, m.Service, e.Reports); m.Share < maxShare && capacity < maxShare &&
		capacity < m.Share+minIncrease {
		return forecastWithoutEnd(now, m, fmt.Sprintf("the warm targets of the version carry %d%%", capacity))
	}
	proving, provingKnown := remainingProving(now, m, j)
	steps, stepsKnown := remainingSteps(now, m, j)
	if !provingKnown || !stepsKnown {
		return forecastWithoutEnd(now, m, "there is too little evidence to tell the end")
	}
	end := now.Add(proving + steps)
	f := Forecast{End: end}
	switch {
	case end.After(m.Deadline):
		f.Prospect, f.Reason = Late, "evidence comes in too slowly"
		if !mayReportLate(now, m) && now.Add(steps).Before(m.Deadline) {
			f.Prospect = AtRisk
		}
	case m.Deadline.Sub(end) < time.Duration(spareFraction*float64(m.Deadline.Sub(now))):
		f.Prospect, f.Reason = AtRisk, "little time is left after the expected end"
	}
	if j.Suspicious {
		f.Prospect, f.Reason = max(f.Prospect, AtRisk), "there is evidence against the version"
	}
	return f
}

// forecastWithoutEnd returns the forecast of a move whose end cannot be
// extrapolated.
func forecastWithoutEnd(now time.Time, m configurator.MoveSpec, reason string) Forecast {
	f := Forecast{Prospect: AtRisk, Reason: reason}
	if mayReportLate(now, m) {
		f.Prospect = Late
	}
	return f
}

// mayReportLate reports whether the move has run long enough to report it as late
// for lack of evidence.
func mayReportLate(now time.Time, m configurator.MoveSpec) bool {
	return now.Sub(m.Started) > time.Duration(lateReportFraction*float64(m.Deadline.Sub(m.Started)))
}

// remainingProving extrapolates the time until the evidence suffices to leave
// the proving share. It returns false if there is too little evidence to
// extrapolate. The logarithm of the evidence for a good version grows linearly
// with its answers.
func remainingProving(now time.Time, m configurator.MoveSpec, j Judgement) (time.Duration, bool) {
	if m.State != configurator.Proving || j.Verdict.Outcome == Good {
		return 0, true
	}
	if j.EvidenceStarted.IsZero() || j.Answers == 0 {
		return 0, false
	}
	elapsed := now.Sub(j.EvidenceStarted)
	relaxationEnds := m.Started.Add(time.Duration(relaxationEnd * float64(m.Deadline.Sub(m.Started))))
	relaxed := max(relaxationEnds.Sub(now), timeUntilProved(elapsed, j.ProvedWithoutLoad, relaxedProved))
	return min(timeUntilProved(elapsed, j.Proved, 1), relaxed), j.ProvedWithoutLoad > 0
}

// timeUntilProved returns the time until the evidence reaches the wanted
// fraction of that for Good, if it took the elapsed time to reach the current
// fraction.
func timeUntilProved(elapsed time.Duration, proved, wanted float64) time.Duration {
	if proved >= wanted {
		return 0
	}
	if proved <= 0 {
		return maxForecast
	}
	return min(time.Duration(float64(elapsed)*(wanted-proved)/proved), maxForecast)
}

// remainingSteps returns the minimum time of the steps after proving. Each step
// takes the minimum step time, or longer if answers arrive slowly. It returns
// false if there are no answers.
func remainingSteps(now time.Time, m configurator.MoveSpec, j Judgement) (time.Duration, bool) {
	elapsed := now.Sub(j.EvidenceStarted).Seconds()
	if j.Answers == 0 || elapsed <= 0 {
		return 0, false
	}
	// The average rate over the whole move is at most the rate at the current
	// share.
	rate := float64(j.Answers) / elapsed
	minTime, share := StepTime(m), max(m.Share, 1)
	remaining := time.Duration(0)
	if m.State == configurator.Shifting {
		remaining = max(minTime-now.Sub(j.StepStarted), 0)
	}
	for next := nextShare(share); share < maxShare; next = nextShare(share) {
		share = next
		answers := time.Duration(stepAnswers / (rate * float64(share) / float64(max(m.Share, 1))) * float64(time.Second))
		remaining += max(minTime, answers)
	}
	return remaining, true
}
