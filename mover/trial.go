package mover

import (
	"cmp"
	"math"
	"slices"
	"time"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/configurator"
)

// cellID identifies a cell within one service.
type cellID struct {
	route jujubegate.Route
	load  jujubegate.LoadLevel
}

// trialCell is the evidence on one route at one load level.
type trialCell struct {
	// comparisons holds one comparison per Kind.
	comparisons [2]comparison
	// oldLatency holds recent service times of the old version.
	oldLatency histogram
	// slowBucket is the latency bucket above which answers of the old version are
	// slow, determined from earlier blocks; -1 if it is unknown.
	slowBucket int
	// answers is the number of answers of both versions.
	answers float64
}

// Trial is the sequential test of the new version of one move, fed with blocks
// of counts. It does no I/O and is not safe for concurrent use.
type Trial struct {
	move    configurator.MoveSpec
	horizon int
	// The thresholds are logarithms of e-values.
	badThreshold, suspectThreshold, goodThreshold float64
	cells                                         map[cellID]*trialCell
	// routes holds the declared routes; counts of other routes are ignored.
	routes           []jujubegate.Route
	blocksWithoutOld int
	// controlRates are the current rates of the services without a move, by Kind.
	controlRates [2]float64
	bad          *Verdict
	// judgement caches the judgement until the next block; nil if it has to be
	// computed.
	judgement *Judgement

	evidenceStarted, stepStarted, doneSince time.Time
	answers, stepAnswers                    uint64
}

// NewTrial returns a trial without evidence. The probability that it ever
// judges a version within the tolerance as bad is at most
// falseAlarmProbability.
func NewTrial(
	move configurator.MoveSpec, routes []jujubegate.Route, blockInterval time.Duration, falseAlarmProbability float64,
) *Trial {
	tests := float64(max(len(routes), 1) * testsPerRoute)
	return &Trial{
		move: move, routes: routes,
		horizon:      max(int((move.Deadline.Sub(move.Started)+WatchAfterDone)/blockInterval), 1),
		badThreshold: math.Log(tests / falseAlarmProbability), suspectThreshold: -math.Log(suspicionProbability),
		goodThreshold: -math.Log(falseGoodProbability),
		cells:         make(map[cellID]*trialCell),
	}
}

// Add adds a block: the increase of the counts since the last block. move is
// the current state of the move, with the same start time.
func (t *Trial) Add(now time.Time, move configurator.MoveSpec, increments []jujubegate.RouteCount) {
	t.SetMove(now, move)
	t.judgement = nil
	oldCounts, newCounts := make(map[cellID]*jujubegate.RouteCount), make(map[cellID]*jujubegate.RouteCount)
	var oldAnswers uint64
	for i := range increments {
		c := &increments[i]
		if c.Service != move.Service || !slices.Contains(t.routes, c.Route) {
			continue
		}
		id := cellID{c.Route, c.Load}
		switch c.Version {
		case move.From:
			oldCounts[id] = c
			oldAnswers += c.Answers
		case move.To:
			newCounts[id] = c
			t.answers += c.Answers
			t.stepAnswers += c.Answers
		default:
			continue
		}
		t.cellFor(id)
	}
	t.blocksWithoutOld++
	if oldAnswers > 0 {
		t.blocksWithoutOld = 0
	}
	for id, cell := range t.cells {
		cell.add(countOrZero(newCounts[id]), countOrZero(oldCounts[id]), t.usesBaseline(), t.controlRates)
	}
	if t.bad == nil {
		t.judgeBad()
	}
}

func countOrZero(c *jujubegate.RouteCount) *jujubegate.RouteCount {
	if c == nil {
		return &jujubegate.RouteCount{}
	}
	return c
}

// usesBaseline reports whether the old version has no more traffic, so that the
// new version is compared with the baseline.
func (t *Trial) usesBaseline() bool {
	fullShare := t.move.State == configurator.Done || t.move.Share >= 100
	return fullShare && t.blocksWithoutOld >= minBlocksWithoutOld
}

// SetMove sets the current state of the move. The time and the answers of a
// step count from the first call with its share and state.
func (t *Trial) SetMove(now time.Time, move configurator.MoveSpec) {
	if t.evidenceStarted.IsZero() {
		t.evidenceStarted = now
	}
	if t.stepStarted.IsZero() || move.Share != t.move.Share || move.State != t.move.State {
		t.stepStarted, t.stepAnswers = now, 0
	}
	if move.State == configurator.Done && t.doneSince.IsZero() {
		t.doneSince = now
	}
	if move != t.move {
		t.move, t.judgement = move, nil
	}
}

func (t *Trial) cellFor(id cellID) *trialCell {
	c := t.cells[id]
	if c == nil {
		c = &trialCell{slowBucket: -1, comparisons: [2]comparison{
			Errors: newComparison(Errors, t.horizon), Slowness: newComparison(Slowness, t.horizon),
		}}
		t.cells[id] = c
	}
	return c
}

// add adds a block, with the slow bucket of the earlier blocks, and then
// updates the slow bucket.
func (c *trialCell) add(newCount, oldCount *jujubegate.RouteCount, usesBaseline bool, controlRates [2]float64) {
	c.answers += float64(newCount.Answers + oldCount.Answers)
	errorComparison, slowComparison := &c.comparisons[Errors], &c.comparisons[Slowness]
	if usesBaseline {
		errorComparison.addAgainstBaseline(errorSample(newCount), controlRates[Errors])
		if c.slowBucket >= 0 {
			slowComparison.addAgainstBaseline(slowSample(newCount, c.slowBucket+baselineSlack), controlRates[Slowness])
		}
		return
	}
	errorComparison.addConcurrent(errorSample(newCount), errorSample(oldCount))
	errorComparison.updateBaseline(errorSample(oldCount))
	if c.slowBucket >= 0 {
		slowComparison.addConcurrent(slowSample(newCount, c.slowBucket+concurrentSlack), slowSample(oldCount, c.slowBucket))
		slowComparison.updateBaseline(slowSample(oldCount, c.slowBucket+baselineSlack))
	}
	if oldCount.Answers > 0 {
		if c.oldLatency.total()*shortDecay >= minAnswers {
			c.oldLatency.decay(shortDecay)
		}
		c.oldLatency.add(&oldCount.Latency)
		if c.oldLatency.total() >= minAnswers {
			c.slowBucket = c.oldLatency.tailBucket(slowFraction)
		}
	}
}

// judgeBad sets the verdict Bad if the evidence in any cell reaches the
// threshold. The cell with the strongest evidence is reported.
func (t *Trial) judgeBad() {
	worst := t.badThreshold
	for id, cell := range t.cells {
		for k := range cell.comparisons {
			if value := cell.comparisons[k].badEvidence(); value >= worst {
				worst = value
				v := t.verdict(Bad, id, Kind(k))
				t.bad = &v
			}
		}
	}
}

func (t *Trial) verdict(outcome Outcome, id cellID, kind Kind) Verdict {
	cell := t.cells[id]
	c := &cell.comparisons[kind]
	v := Verdict{
		Outcome: outcome, Route: id.route, Load: id.load, Kind: kind,
		NewPercent: c.newRecent.percent(), OldPercent: c.oldRecent.percent(),
		Answers: uint64(c.newRecent.answers), Recorded: t.usesBaseline(),
	}
	if kind == Slowness && cell.slowBucket >= 0 {
		v.SlowAbove, v.OldSlowAbove = UpperBound(cell.slowBucket+concurrentSlack), UpperBound(cell.slowBucket)
	}
	if v.Recorded {
		v.OldPercent = 100 * c.baselineRate()
		if kind == Slowness {
			v.SlowAbove = UpperBound(cell.slowBucket + baselineSlack)
			v.OldSlowAbove = v.SlowAbove
		}
	}
	return v
}

// Judgement returns the judgement on all blocks so far.
func (t *Trial) Judgement() Judgement {
	if t.judgement == nil {
		j := t.judge()
		t.judgement = &j
	}
	return *t.judgement
}

func (t *Trial) judge() Judgement {
	j := Judgement{
		Move: t.move, StepStarted: t.stepStarted, StepAnswers: t.stepAnswers, Answers: t.answers,
		EvidenceStarted: t.evidenceStarted, DoneSince: t.doneSince,
		Proved: 1, ProvedWithoutLoad: 1, AnswersUnderLoad: math.Inf(1),
	}
	if t.bad != nil {
		j.Verdict, j.Suspicious = *t.bad, true
		return j
	}
	required := t.requiredCells()
	good := len(required) > 0
	for _, id := range required {
		for k := range t.cells[id].comparisons {
			c := &t.cells[id].comparisons[k]
			j.Suspicious = j.Suspicious || c.badEvidence() >= t.suspectThreshold
			proved := min(max(c.goodEvidence()/t.goodThreshold, 0), 1)
			switch {
			case id.load == jujubegate.Unloaded && (Kind(k) == Errors || t.cells[id].slowBucket >= 0):
				j.ProvedWithoutLoad = min(j.ProvedWithoutLoad, proved)
			case id.load == jujubegate.Loaded && proved < 1:
				j.AnswersUnderLoad = min(j.AnswersUnderLoad, c.newAnswers)
			}
			good = good && proved == 1
			if proved < j.Proved {
				j.Proved, j.Verdict = proved, t.verdict(Undecided, id, Kind(k))
			}
		}
	}
	if good {
		j.Verdict = Verdict{Outcome: Good, Answers: t.answers}
	}
	if len(required) == 0 {
		j.Proved, j.ProvedWithoutLoad = 0, 0
	}
	return j
}

// requiredCells returns the cells with at least requiredFraction of the
// service's answers, sorted by route and load level.
func (t *Trial) requiredCells() []cellID {
	total := 0.0
	for _, c := range t.cells {
		total += c.answers
	}
	var list []cellID
	for id, c := range t.cells {
		if c.answers >= requiredFraction*total {
			list = append(list, id)
		}
	}
	slices.SortFunc(list, func(a, b cellID) int {
		return cmp.Or(cmp.Compare(a.route, b.route), cmp.Compare(a.load, b.load))
	})
	return list
}
