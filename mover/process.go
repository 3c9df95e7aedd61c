package mover

import "math"

const (
	// maxLogGrowth limits the growth of the logarithm of the capital per block.
	// Capping the likelihood ratio keeps the process a supermartingale. A verdict
	// thus takes at least two blocks, so that one short pause of one target does
	// not cause it.
	maxLogGrowth = 4.0
	// initialFraction is the fraction of the capital that is bet from the first
	// block on. The rest is released evenly over the horizon, to detect faults
	// that begin later.
	initialFraction = 0.5
	// probabilityLimit is the largest probability that a bet assumes, which
	// avoids the logarithm of 0.
	probabilityLimit = 0.98
	// negligibleLogGap is the difference of two logarithms above which the
	// logarithm of the sum equals the larger one in float64 precision.
	negligibleLogGap = 37
)

// eProcess is an e-process, a sequential test by betting: while the null
// hypothesis holds, its value stays below 1/a at all times with a probability
// of at least 1-a (Ville's inequality). The value is the capital of a gambler
// who starts with 1 and bets against the null hypothesis; see Shafer, "Testing
// by betting", JRSS A 184 (2021), and Ramdas et al., "Game-theoretic statistics
// and safe anytime-valid inference", Statistical Science 38 (2023). The capital
// is split over several bets, which makes it a mixture sequential probability
// ratio test (Robbins 1970). It is also split over the times at which a fault
// may begin, as in the e-detectors of Shin, Ramdas and Rinaldo (2023), but with
// weights that sum to 1, so that the probability of a false alarm stays
// bounded.
type eProcess struct {
	// logCapital is the logarithm of the capital of each bet; -Inf before the
	// first block.
	logCapital []float64
	// reserve is the capital that has not been bet yet.
	reserve float64
	// perBlock is the part of the reserve that is released for betting per block.
	perBlock float64
	started  bool
}

// newEProcess returns an e-process with the given number of bets. horizon is
// the number of blocks over which the reserve is released.
func newEProcess(bets, horizon int) eProcess {
	p := eProcess{logCapital: make([]float64, bets), reserve: 1, perBlock: (1 - initialFraction) / float64(max(horizon, 1))}
	for i := range p.logCapital {
		p.logCapital[i] = math.Inf(-1)
	}
	return p
}

// update adds one block. logRatio returns the log-likelihood ratio of a bet's
// hypothesis to the null hypothesis.
func (p *eProcess) update(logRatio func(bet int) float64) {
	released := min(p.perBlock, p.reserve)
	if !p.started {
		p.started = true
		released = initialFraction
	}
	p.reserve -= released
	logStake := math.Log(released / float64(len(p.logCapital)))
	for i := range p.logCapital {
		p.logCapital[i] = addLogs(p.logCapital[i], logStake) + min(logRatio(i), maxLogGrowth)
	}
}

// logValue returns the logarithm of the total capital.
func (p *eProcess) logValue() float64 {
	total := math.Log(max(p.reserve, math.SmallestNonzeroFloat64))
	for _, c := range p.logCapital {
		total = addLogs(total, c)
	}
	return total
}

// addLogs returns log(exp(a)+exp(b)).
func addLogs(a, b float64) float64 {
	if a < b {
		a, b = b, a
	}
	if a-b > negligibleLogGap || math.IsInf(b, -1) {
		return a
	}
	return a + math.Log1p(math.Exp(b-a))
}

// sample is a number of events, such as errors, among a number of answers.
type sample struct{ events, answers float64 }

// singleLogRatio returns the log-likelihood ratio of one sample for an event
// probability against the limit. The bet is fair if the true probability equals
// the limit, and losing if it lies on the other side of the limit than the
// assumed probability.
func singleLogRatio(s sample, probability, limit float64) float64 {
	probability = min(probability, probabilityLimit)
	if limit >= probabilityLimit {
		return 0
	}
	logRatio := (s.answers - s.events) * math.Log((1-probability)/(1-limit))
	if s.events > 0 {
		logRatio += s.events * math.Log(probability/limit)
	}
	return logRatio
}

// pairedLogRatio compares two hypotheses on two samples from the same period: that
// their event probabilities have the given ratio, and that their ratio equals the
// limit. It returns the logarithm of the likelihood ratio of the first to the second.
// The probabilities themselves are not needed and may change from block to
// block; for test martingales on two samples see Turner, Ly and Grünwald,
// "Generic E-variables for exact sequential k-sample tests", JSPI 230 (2024).
//
// The exponential E of the result has an expectation of at most 1 if the true
// ratio equals the limit or lies on the other side of it than the assumed ratio.
// Let n and m be the answers of the new and the old version, p and p' their event
// probabilities, and a and b the factors by which E changes per event of the new
// and the old version. Then the logarithm of the expectation of E is at most
// n*p*(a-1) + m*p'*(b-1), which is 0 for p = limit*p' and negative if p/p' lies on
// that other side.
func pairedLogRatio(newSample, oldSample sample, ratio, limit float64) float64 {
	if newSample.answers == 0 || oldSample.answers == 0 {
		return 0
	}
	fraction, fractionAtLimit := newVersionFraction(newSample, oldSample, ratio), newVersionFraction(newSample, oldSample, limit)
	return newSample.events*math.Log(fraction/fractionAtLimit) + oldSample.events*math.Log((1-fraction)/(1-fractionAtLimit))
}

// newVersionFraction returns the expected fraction of all events that belong to the
// new version for a ratio of the event probabilities.
func newVersionFraction(newSample, oldSample sample, ratio float64) float64 {
	return ratio * newSample.answers / (ratio*newSample.answers + oldSample.answers)
}
