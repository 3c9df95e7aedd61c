package mover

import "time"

// Kind is a kind of fault by which a version can be worse than the previous
// one.
type Kind int

// Kinds of faults.
const (
	Errors Kind = iota
	Slowness
)

// String returns the name used in verdicts.
func (k Kind) String() string {
	if k == Errors {
		return "errors"
	}
	return "slow answers"
}

// tolerance defines which version is not worse than the old one: its rate of
// events may be at most ratio times the old version's rate, or at most rate,
// whichever is larger.
type tolerance struct {
	ratio float64
	rate  float64
}

// slowFraction is the largest fraction of the old version's answers that counts
// as slow. It determines the slow bucket of a cell.
const slowFraction = 0.05

// concurrentTolerances apply while both versions have traffic. Answers of the old
// version are slow above the slow bucket, those of the new version only above
// concurrentSlack more buckets, i.e. 1.4 times that service time: it may be slower
// by this factor. With the same limit for both, a version that was slower by a tenth
// was judged bad or stayed undecided, because in a narrow distribution a small
// difference in time moves many answers across the limit.
var concurrentTolerances = [2]tolerance{Errors: {ratio: 2, rate: 0.01}, Slowness: {ratio: 1.5, rate: 0.03}}

// baselineTolerances apply when the new version is compared with the rates
// recorded while both versions had traffic. They are wider, and answers are slow
// only above baselineSlack more buckets, i.e. twice the service time: without
// traffic on the old version, only the other services show whether a slowdown is
// general or a fault of the new version.
var baselineTolerances = [2]tolerance{Errors: {ratio: 4, rate: 0.03}, Slowness: {ratio: 2, rate: 0.05}}

// Number of buckets above the slow bucket in which answers are not slow yet.
const (
	concurrentSlack = 1
	baselineSlack   = 2
)

// Alternatives that the e-processes bet on, as factors of the tolerance. Those
// for a bad version range from twice the tolerance to an outage.
var (
	badRatioFactors  = []float64{2, 5, 20}
	badRateFactors   = []float64{2, 5, 25}
	goodRatioFactors = []float64{0.3, 0.5, 0.7}
	goodRateFactors  = []float64{0.02, 0.3, 0.6}
)

const (
	// FalseAlarmProbability bounds the probability that a version within the
	// tolerance is judged bad during one move. One half is for the fleet's
	// counts, which are the same at all instances except for heartbeats in
	// transit. The other half is divided among the instances for their own
	// counts.
	FalseAlarmProbability = 0.005
	// falseGoodProbability bounds, per cell and kind of fault, the probability
	// that a version outside the tolerance is judged good.
	falseGoodProbability = 0.005
	// suspicionProbability is the false alarm probability of the weaker evidence
	// that stops the share from being raised before the version is judged bad.
	suspicionProbability = 0.05
	// testsPerRoute is the number of tests per route: two load levels times two
	// kinds of faults.
	testsPerRoute = 4
	// FleetBlockInterval is the time between two blocks of the fleet's counts. It
	// equals the heartbeat interval, so that each block has counts of every
	// instance.
	FleetBlockInterval = 500 * time.Millisecond
	// LocalBlockInterval is the time between two blocks of this instance's
	// counts.
	LocalBlockInterval = 200 * time.Millisecond
	// minAnswers is the minimum number of answers for a slow bucket or for a rate
	// to compare with.
	minAnswers = 100
	// shortDecay and longDecay are the factors per block by which older blocks
	// are weighted: shortDecay for the slow bucket and the recent rates (half
	// after 7 blocks), longDecay for the baseline rate (half after 140 blocks).
	shortDecay = 0.9
	longDecay  = 0.995
	// minBlocksWithoutOld is the number of blocks without an answer of the old
	// version after which the new one is compared with the baseline.
	minBlocksWithoutOld = 3
	// requiredFraction is the fraction of a service's answers above which a cell
	// must be judged good before the share may exceed the proving share.
	requiredFraction = 0.02
	// Between relaxationStart and relaxationEnd, as fractions of the time from
	// start to deadline, the evidence required to leave the proving share
	// decreases. Otherwise, good versions with few answers would miss their
	// deadline. Without load, the requirement decreases to relaxedProved of the
	// evidence for Good, which corresponds to a wrong verdict with a probability
	// of 27% instead of 0.5%. Under load, where a small share has few answers, no
	// verdict is required but a number of answers, which decreases from
	// relaxedAnswersUnderLoad to 0. With relaxedProved = 0.5, 5 of 8,000
	// simulated good moves had too little time left for the remaining steps.
	relaxationStart         = 0.4
	relaxationEnd           = 0.7
	relaxedProved           = 0.25
	relaxedAnswersUnderLoad = 100
)
