package mover

import "time"

// Kind is a way in which a version can be worse than the one before.
type Kind int

// Kinds of faults.
const (
	Errors Kind = iota
	Slowness
)

// String returns the words used in reasons.
func (k Kind) String() string {
	if k == Errors {
		return "errors"
	}
	return "slow answers"
}

// tolerance states which version counts as not worse: one whose rate of events
// is at most the larger of ratio times the old version's and limit.
type tolerance struct {
	ratio float64
	limit float64
}

// slowPart is the largest part of the old version's answers that counts as
// slow. It fixes the bound of a cell.
const slowPart = 0.05

// together are the tolerances against the old version at the same time. The new
// version's answers are slow beyond slackTogether above the bound, i.e. 1.4 times
// its time, so that the tolerance is one of time: comparing both at the bound
// called a version that was a tenth slower bad or left it undecided, because a
// narrow distribution multiplies the small difference.
var together = [2]tolerance{Errors: {ratio: 2, limit: 0.01}, Slowness: {ratio: 1.5, limit: 0.03}}

// afterwards are the tolerances against what was recorded while both versions
// ran. They are wider, and answers are slow only beyond slackAfterwards above
// the bound, i.e. twice its time, because without the old version only the other
// services tell a general slowdown from a fault of the new one.
var afterwards = [2]tolerance{Errors: {ratio: 4, limit: 0.03}, Slowness: {ratio: 2, limit: 0.05}}

// Slack above the bound for slow answers, in buckets.
const (
	slackTogether   = 1
	slackAfterwards = 2
)

// Bets of the processes, as factors of the tolerance. Those for a bad version
// range from twice the tolerance to an outage.
var (
	badRatios  = []float64{2, 5, 20}
	badRates   = []float64{2, 5, 25}
	goodRatios = []float64{0.3, 0.5, 0.7}
	goodRates  = []float64{0.02, 0.3, 0.6}
)

const (
	// FalseAlarmProbability bounds the probability that a version within the tolerance is
	// judged bad in one move. Half of it is for the evidence of the fleet, which is
	// the same at all instances but for the heartbeats under way, half is divided
	// over the instances' own evidence.
	FalseAlarmProbability = 0.005
	// falseGood bounds, per cell and kind, the probability that a version
	// outside the tolerance is judged good.
	falseGood = 0.005
	// suspicion is the probability of a false alarm below which the share is not
	// raised, although the version is not yet judged bad.
	suspicion = 0.05
	// cellsPerRoute is the number of tests per route: two load levels, two kinds.
	cellsPerRoute = 4
	// FleetBlockInterval is the time between two blocks of the fleet's evidence. It is a
	// heartbeat's interval, so that each block holds counts of every instance.
	FleetBlockInterval = 500 * time.Millisecond
	// LocalBlockInterval is the time between two blocks of an instance's own evidence.
	LocalBlockInterval = 200 * time.Millisecond
	// minBound is the number of answers of the old version below which the bound
	// for slow ones is unknown.
	minBound = 100
	// shortMemory and longMemory are the factors by which older blocks count for
	// the bound and the recent rate (half after 7 blocks) and for the recorded
	// rate (half after 140 blocks).
	shortMemory = 0.9
	longMemory  = 0.995
	// quietBlocks is the number of blocks without an answer of the old version
	// after which the new one is compared with what was recorded.
	quietBlocks = 3
	// requiredPart is the part of a service's answers from which on a cell must
	// be judged good before the share is raised beyond the proving share.
	requiredPart = 0.02
	// From relaxedFrom to relaxedUntil of the time to the deadline, less evidence
	// becomes enough to leave the proving share, or a good version would miss its
	// deadline where answers are few: relaxedProof of the evidence for Good
	// without load, which corresponds to a wrong judgement in 27% instead of 0.5%,
	// and instead of a judgement under load, which a small share hardly produces,
	// first relaxedAnswers and at last no answers. With a part of 0.5, 5 of 8,000
	// simulated good moves had too little time left for the other steps.
	relaxedFrom    = 0.4
	relaxedUntil   = 0.7
	relaxedProof   = 0.25
	relaxedAnswers = 100
)
