package mover

import (
	"math"

	"jujubegate.example/jujubegate"
)

// contest compares two versions on one route and load level, for one kind of
// fault. "Worse than the tolerance" means worse than both the ratio and the
// limit; hence a bad version must win against both, and a good one against
// either, for which the mean of the two capitals counts.
type contest struct {
	tolerance           tolerance
	after               tolerance
	badRatio, badRate   process
	goodRatio, goodRate process
	// fresh and old sum the recent samples, for the reasons given to operators.
	fresh, old sample
	// answers is the number of answers of the new version in the whole move.
	answers float64
	// record and recent are the old version's rates for the time after the move,
	// over a long and a short time. The larger one counts, because a general
	// slowdown may be under way when the old version loses its traffic.
	record, recent sample
}

func newContest(k Kind, horizon int) contest {
	return contest{
		tolerance: together[k], after: afterwards[k],
		badRatio: newProcess(len(badRatios), horizon), badRate: newProcess(len(badRates), horizon),
		goodRatio: newProcess(len(goodRatios), horizon), goodRate: newProcess(len(goodRates), horizon),
	}
}

// together plays a block in which both versions ran.
func (c *contest) together(fresh, old sample) {
	c.old = c.old.times(shortMemory).plus(old)
	if fresh.answers == 0 {
		return
	}
	c.note(fresh)
	t := c.tolerance
	c.badRatio.play(func(i int) float64 { return paired(fresh, old, t.ratio*badRatios[i], t.ratio) })
	c.badRate.play(func(i int) float64 { return single(fresh, t.limit*badRates[i], t.limit) })
	c.goodRatio.play(func(i int) float64 { return paired(fresh, old, t.ratio*goodRatios[i], t.ratio) })
	c.goodRate.play(func(i int) float64 { return single(fresh, t.limit*goodRates[i], t.limit) })
}

func (c *contest) note(fresh sample) {
	c.answers += fresh.answers
	c.fresh = c.fresh.times(shortMemory).plus(fresh)
}

// remember records the old version's rate for the time after the move.
func (c *contest) remember(old sample) {
	if old.answers > 0 {
		c.record = c.record.times(longMemory).plus(old)
		c.recent = c.recent.times(shortMemory).plus(old)
	}
}

// alone plays a block without the old version against its recorded rate, or
// the present rate of the other services if that is larger.
func (c *contest) alone(fresh sample, control float64) {
	if fresh.answers == 0 || c.record.answers < minBound {
		return
	}
	c.note(fresh)
	limit := max(c.after.limit, c.after.ratio*max(c.recordedRate(), control))
	c.badRatio.play(func(i int) float64 { return single(fresh, limit*badRates[i], limit) })
	c.badRate.play(func(i int) float64 { return single(fresh, limit*badRates[i], limit) })
}

// recordedRate returns the rate of the old version before it lost its traffic.
// One event is added because the rate of few answers is uncertain.
func (c *contest) recordedRate() float64 {
	long := (c.record.events + 1) / (c.record.answers + 1)
	if c.recent.answers < minBound {
		return long
	}
	return max(long, (c.recent.events+1)/(c.recent.answers+1))
}

// bad returns the logarithm of the evidence that the version is bad.
func (c *contest) bad() float64 { return min(c.badRatio.value(), c.badRate.value()) }

// good returns the logarithm of the evidence that the version is good.
func (c *contest) good() float64 {
	return addLogs(c.goodRatio.value(), c.goodRate.value()) - math.Ln2
}

func (s sample) plus(t sample) sample {
	return sample{s.events + t.events, s.answers + t.answers}
}

func (s sample) times(f float64) sample { return sample{s.events * f, s.answers * f} }

// percent returns the rate in percent.
func (s sample) percent() float64 {
	if s.answers == 0 {
		return 0
	}
	return 100 * s.events / s.answers
}

// errorSample returns the errors of a count.
func errorSample(c *jujubegate.RouteCount) sample {
	return sample{float64(c.Errors), float64(c.Answers)}
}

// slowSample returns the answers of a count above a bucket.
func slowSample(c *jujubegate.RouteCount, bucket int) sample {
	var answers uint64
	for _, n := range c.Latency {
		answers += n
	}
	return sample{float64(above(&c.Latency, bucket)), float64(answers)}
}
