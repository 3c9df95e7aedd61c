package mover

import (
	"math"

	"jujubegate.example/jujubegate"
)

// comparison compares two versions on one route, at one load level and for one
// kind of fault. A version is worse than the tolerance if it exceeds both the
// ratio and the rate. Evidence that it is bad must therefore hold against both,
// and the smaller value counts; evidence that it is good may hold against
// either, and the mean of the two values counts.
type comparison struct {
	tolerance           tolerance
	baselineTolerance   tolerance
	badRatio, badRate   eProcess
	goodRatio, goodRate eProcess
	// newRecent and oldRecent are decaying sums of the samples of both versions,
	// shown to operators in verdicts.
	newRecent, oldRecent sample
	// newAnswers is the number of answers of the new version during the whole
	// move.
	newAnswers float64
	// longBaseline and shortBaseline are decaying sums of the old version's
	// samples, over a long and a short time. They are the baseline once the old
	// version has no more traffic. The larger rate is used, because a general
	// slowdown may have started shortly before the old version lost its traffic.
	longBaseline, shortBaseline sample
}

func newComparison(kind Kind, horizon int) comparison {
	return comparison{
		tolerance: concurrentTolerances[kind], baselineTolerance: baselineTolerances[kind],
		badRatio: newEProcess(len(badRatioFactors), horizon), badRate: newEProcess(len(badRateFactors), horizon),
		goodRatio: newEProcess(len(goodRatioFactors), horizon), goodRate: newEProcess(len(goodRateFactors), horizon),
	}
}

// addConcurrent adds a block in which both versions had traffic.
func (c *comparison) addConcurrent(newSample, oldSample sample) {
	c.oldRecent = c.oldRecent.scale(shortDecay).plus(oldSample)
	if newSample.answers == 0 {
		return
	}
	c.addNewSample(newSample)
	t := c.tolerance
	c.badRatio.update(func(i int) float64 { return pairedLogRatio(newSample, oldSample, t.ratio*badRatioFactors[i], t.ratio) })
	c.badRate.update(func(i int) float64 { return singleLogRatio(newSample, t.rate*badRateFactors[i], t.rate) })
	c.goodRatio.update(func(i int) float64 { return pairedLogRatio(newSample, oldSample, t.ratio*goodRatioFactors[i], t.ratio) })
	c.goodRate.update(func(i int) float64 { return singleLogRatio(newSample, t.rate*goodRateFactors[i], t.rate) })
}

// addNewSample updates the counts of the new version.
func (c *comparison) addNewSample(newSample sample) {
	c.newAnswers += newSample.answers
	c.newRecent = c.newRecent.scale(shortDecay).plus(newSample)
}

// updateBaseline adds a sample of the old version to the baseline.
func (c *comparison) updateBaseline(oldSample sample) {
	if oldSample.answers > 0 {
		c.longBaseline = c.longBaseline.scale(longDecay).plus(oldSample)
		c.shortBaseline = c.shortBaseline.scale(shortDecay).plus(oldSample)
	}
}

// addAgainstBaseline adds a block without traffic on the old version. The new
// version is compared with the baseline rate or, if it is higher, with the
// current rate of the services without a move.
func (c *comparison) addAgainstBaseline(newSample sample, controlRate float64) {
	if newSample.answers == 0 || c.longBaseline.answers < minAnswers {
		return
	}
	c.addNewSample(newSample)
	rate := max(c.baselineTolerance.rate, c.baselineTolerance.ratio*max(c.baselineRate(), controlRate))
	c.badRatio.update(func(i int) float64 { return singleLogRatio(newSample, rate*badRateFactors[i], rate) })
	c.badRate.update(func(i int) float64 { return singleLogRatio(newSample, rate*badRateFactors[i], rate) })
}

// baselineRate returns the rate of the old version before it lost its traffic.
// One event is added because a rate over few answers is uncertain.
func (c *comparison) baselineRate() float64 {
	long := (c.longBaseline.events + 1) / (c.longBaseline.answers + 1)
	if c.shortBaseline.answers < minAnswers {
		return long
	}
	return max(long, (c.shortBaseline.events+1)/(c.shortBaseline.answers+1))
}

// badEvidence returns the logarithm of the e-value for the new version being
// bad.
func (c *comparison) badEvidence() float64 { return min(c.badRatio.logValue(), c.badRate.logValue()) }

// goodEvidence returns the logarithm of the e-value for the new version being
// good.
func (c *comparison) goodEvidence() float64 {
	return addLogs(c.goodRatio.logValue(), c.goodRate.logValue()) - math.Ln2
}

func (s sample) plus(t sample) sample {
	return sample{s.events + t.events, s.answers + t.answers}
}

func (s sample) scale(f float64) sample { return sample{s.events * f, s.answers * f} }

// percent returns the rate of events in percent.
func (s sample) percent() float64 {
	if s.answers == 0 {
		return 0
	}
	return 100 * s.events / s.answers
}

// errorSample returns the errors among the answers of a count.
func errorSample(c *jujubegate.RouteCount) sample {
	return sample{float64(c.Errors), float64(c.Answers)}
}

// slowSample returns the answers above a latency bucket among those with a
// recorded service time.
func slowSample(c *jujubegate.RouteCount, bucket int) sample {
	var answers uint64
	for _, n := range c.Latency {
		answers += n
	}
	return sample{float64(countAbove(&c.Latency, bucket)), float64(answers)}
}
