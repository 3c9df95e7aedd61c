package mover

import (
	"cmp"
	"math"
	"slices"
	"time"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/configurator"
)

// cellID is a cell within one service.
type cellID struct {
	route jujubegate.Route
	load  jujubegate.LoadLevel
}

// trialCell is the evidence on one route and load level.
type trialCell struct {
	contests [2]contest
	// times holds the old version's recent service times.
	times histogram
	// bound is the bucket above which answers are slow, from the blocks before;
	// -1 if it is unknown.
	bound int
	// weight is the number of answers of both versions.
	weight float64
}

// Trial judges one move by blocks of evidence. It does no I/O and is not safe
// for concurrent use.
type Trial struct {
	move    configurator.MoveSpec
	horizon int
	// badAt, suspectAt and goodAt are logarithms of capital.
	badAt, suspectAt, goodAt float64
	cells                    map[cellID]*trialCell
	// routes limits the cells to declared routes.
	routes []jujubegate.Route
	quiet  int
	// control is the present rates of the services without a move.
	control [2]float64
	bad     *Verdict
	// judged is the result of the last block; nil if it has to be computed.
	judged *Judgement

	begun, since, done   time.Time
	answers, stepAnswers uint64
}

// NewTrial returns a trial without evidence. It judges a version within the
// tolerance as bad with a probability of at most falseAlarms, at whatever time
// one looks.
func NewTrial(
	move configurator.MoveSpec, routes []jujubegate.Route, block time.Duration, falseAlarms float64,
) *Trial {
	tests := float64(max(len(routes), 1) * cellsPerRoute)
	return &Trial{
		move: move, routes: routes,
		horizon: max(int((move.Deadline.Sub(move.Started)+WatchAfterDone)/block), 1),
		badAt:   math.Log(tests / falseAlarms), suspectAt: -math.Log(suspicion), goodAt: -math.Log(falseGood),
		cells: make(map[cellID]*trialCell),
	}
}

// Add adds a block: what the counts of the service have grown by. The move is
// the present one, with the same start.
func (t *Trial) Add(now time.Time, move configurator.MoveSpec, grown []jujubegate.RouteCount) {
	t.SetMove(now, move)
	t.judged = nil
	old, fresh := make(map[cellID]*jujubegate.RouteCount), make(map[cellID]*jujubegate.RouteCount)
	var oldAnswers uint64
	for i := range grown {
		c := &grown[i]
		if c.Service != move.Service || !slices.Contains(t.routes, c.Route) {
			continue
		}
		id := cellID{c.Route, c.Load}
		switch c.Version {
		case move.From:
			old[id] = c
			oldAnswers += c.Answers
		case move.To:
			fresh[id] = c
			t.answers += c.Answers
			t.stepAnswers += c.Answers
		default:
			continue
		}
		t.cell(id)
	}
	t.quiet++
	if oldAnswers > 0 {
		t.quiet = 0
	}
	for id, cell := range t.cells {
		cell.add(or(fresh[id]), or(old[id]), t.recorded(), t.control)
	}
	if t.bad == nil {
		t.judgeBad()
	}
}

func or(c *jujubegate.RouteCount) *jujubegate.RouteCount {
	if c == nil {
		return &jujubegate.RouteCount{}
	}
	return c
}

// recorded reports whether the new version runs alone.
func (t *Trial) recorded() bool {
	whole := t.move.State == configurator.Done || t.move.Share >= 100
	return whole && t.quiet >= quietBlocks
}

// SetMove notes the step that the move is at. The time and the answers of a step
// count from when it is first seen.
func (t *Trial) SetMove(now time.Time, move configurator.MoveSpec) {
	if t.begun.IsZero() {
		t.begun = now
	}
	if t.since.IsZero() || move.Share != t.move.Share || move.State != t.move.State {
		t.since, t.stepAnswers = now, 0
	}
	if move.State == configurator.Done && t.done.IsZero() {
		t.done = now
	}
	if move != t.move {
		t.move, t.judged = move, nil
	}
}

func (t *Trial) cell(id cellID) *trialCell {
	c := t.cells[id]
	if c == nil {
		c = &trialCell{bound: -1, contests: [2]contest{
			Errors: newContest(Errors, t.horizon), Slowness: newContest(Slowness, t.horizon),
		}}
		t.cells[id] = c
	}
	return c
}

// add plays a block with the bound of the blocks before, and then learns.
func (c *trialCell) add(fresh, old *jujubegate.RouteCount, recorded bool, control [2]float64) {
	c.weight += float64(fresh.Answers + old.Answers)
	faults, slow := &c.contests[Errors], &c.contests[Slowness]
	if recorded {
		faults.alone(errorSample(fresh), control[Errors])
		if c.bound >= 0 {
			slow.alone(slowSample(fresh, c.bound+slackAfterwards), control[Slowness])
		}
		return
	}
	faults.together(errorSample(fresh), errorSample(old))
	faults.remember(errorSample(old))
	if c.bound >= 0 {
		slow.together(slowSample(fresh, c.bound+slackTogether), slowSample(old, c.bound))
		slow.remember(slowSample(old, c.bound+slackAfterwards))
	}
	if old.Answers > 0 {
		if c.times.total()*shortMemory >= minBound {
			c.times.decay(shortMemory)
		}
		c.times.add(&old.Latency)
		if c.times.total() >= minBound {
			c.bound = c.times.bound(slowPart)
		}
	}
}

// judgeBad looks for the cell with the strongest evidence of a fault.
func (t *Trial) judgeBad() {
	worst := t.badAt
	for id, cell := range t.cells {
		for k := range cell.contests {
			if value := cell.contests[k].bad(); value >= worst {
				worst = value
				v := t.verdict(Bad, id, Kind(k))
				t.bad = &v
			}
		}
	}
}

func (t *Trial) verdict(o Outcome, id cellID, k Kind) Verdict {
	cell := t.cells[id]
	c := &cell.contests[k]
	v := Verdict{
		Outcome: o, Route: id.route, Load: id.load, Kind: k,
		NewPercent: c.fresh.percent(), OldPercent: c.old.percent(), Answers: uint64(c.fresh.answers), Recorded: t.recorded(),
	}
	if k == Slowness && cell.bound >= 0 {
		v.SlowAbove, v.OldSlowAbove = UpperBound(cell.bound+slackTogether), UpperBound(cell.bound)
	}
	if v.Recorded {
		v.OldPercent = 100 * c.recordedRate()
		if k == Slowness {
			v.SlowAbove = UpperBound(cell.bound + slackAfterwards)
			v.OldSlowAbove = v.SlowAbove
		}
	}
	return v
}

// Judgement returns what the evidence says since the last block.
func (t *Trial) Judgement() Judgement {
	if t.judged == nil {
		j := t.judge()
		t.judged = &j
	}
	return *t.judged
}

func (t *Trial) judge() Judgement {
	j := Judgement{
		Move: t.move, StepStarted: t.since, StepAnswers: t.stepAnswers, Answers: t.answers, EvidenceStarted: t.begun, Done: t.done,
		Proved: 1, ProvedWithoutLoad: 1, AnswersUnderLoad: math.Inf(1),
	}
	if t.bad != nil {
		j.Verdict, j.Suspicious = *t.bad, true
		return j
	}
	required := t.required()
	good := len(required) > 0
	for _, id := range required {
		for k := range t.cells[id].contests {
			c := &t.cells[id].contests[k]
			j.Suspicious = j.Suspicious || c.bad() >= t.suspectAt
			proved := min(max(c.good()/t.goodAt, 0), 1)
			switch {
			case id.load == jujubegate.Alone && (Kind(k) == Errors || t.cells[id].bound >= 0):
				j.ProvedWithoutLoad = min(j.ProvedWithoutLoad, proved)
			case id.load == jujubegate.Loaded && proved < 1:
				j.AnswersUnderLoad = min(j.AnswersUnderLoad, c.answers)
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

// required returns the cells that hold a part of the service's answers worth
// judging, in a fixed sequence.
func (t *Trial) required() []cellID {
	total := 0.0
	for _, c := range t.cells {
		total += c.weight
	}
	var list []cellID
	for id, c := range t.cells {
		if c.weight >= requiredPart*total {
			list = append(list, id)
		}
	}
	slices.SortFunc(list, func(a, b cellID) int {
		return cmp.Or(cmp.Compare(a.route, b.route), cmp.Compare(a.load, b.load))
	})
	return list
}
