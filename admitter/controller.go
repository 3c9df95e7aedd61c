package admitter

import "time"

const (
	// minResults is the number of results after which the limit is changed; with
	// 20, the precision of the congested share is 5%.
	minResults = 20
	// maxWindow is the time after which the limit is changed with fewer results.
	maxWindow = time.Second
	// toleratedShare is the share of congested queries that stragglers and failed
	// targets cause without an overload.
	toleratedShare = 0.02
	// minDecrease and extraDecrease give the multiplicative decrease. It grows
	// from 4% to 29% with the square of the congested share: proportional to the
	// share it would be too strong, since one shard that refuses makes the whole
	// query congested. Halving the limit would leave a quarter of the capacity
	// unused.
	minDecrease   = 0.04
	extraDecrease = 0.25
	// The additive increase per second is a share of the limit at the last
	// decrease: fastStep below that limit, slowStep near it, which is between
	// nearBelow and nearAbove times that limit. Above it, the step doubles every
	// second up to maxStep, since the capacity must have grown.
	fastStep  = 0.10
	slowStep  = 0.01
	maxStep   = 0.5
	nearBelow = 0.95
	nearAbove = 1.05
	// minLimit is the least limit in queries per second.
	minLimit = 2
	// rateWeight is the weight of the latest window in the admitted rate.
	rateWeight = 0.3
	// settleTime is how long the queues take to become shorter after a decrease.
	settleTime = 200 * time.Millisecond
	// headroom bounds the limit as a multiple of the admitted rate. The limit is
	// removed when there was no congestion for releaseAfter and the limit is well
	// above the admitted rate.
	headroom     = 2
	releaseAfter = 10 * time.Second
)

// controller sets the limit on the admitted rate of one service by additive
// increase and multiplicative decrease.
type controller struct {
	limited bool
	// limit is in queries per second; limitAtDecrease is its value before the
	// last decrease.
	limit           float64
	limitAtDecrease float64
	// step is the current step above limitAtDecrease.
	step float64
	// windowStart, admitted, good and congested describe the current window.
	windowStart time.Time
	admitted    int
	good        int
	congested   int
	// rate is the smoothed admitted rate in queries per second.
	rate        float64
	congestedAt time.Time
	steppedAt   time.Time
}

// recordResult records the result of a query, and changes the limit at the end of
// a window. Queries that were admitted before settleTime after the last decrease
// are ignored, so that the queues from before it don't cause another decrease.
func (c *controller) recordResult(now, admitted time.Time, result Result) {
	if result == Neutral || admitted.Before(c.congestedAt.Add(settleTime)) {
		return
	}
	if c.windowStart.IsZero() {
		c.windowStart = now
	}
	if result == Congested {
		c.congested++
	} else {
		c.good++
	}
	elapsed := now.Sub(c.windowStart)
	results := c.good + c.congested
	if elapsed < demandPeriod || (results < minResults && elapsed < maxWindow) {
		return
	}
	rate := float64(c.admitted) / elapsed.Seconds()
	if c.rate == 0 {
		c.rate = rate
	}
	c.rate += rateWeight * (rate - c.rate)
	share := float64(c.congested) / float64(results)
	switch {
	case share > toleratedShare && c.congested > 1:
		c.decrease(now, share)
	case c.limited:
		c.increase(now, elapsed)
	}
	c.windowStart, c.admitted, c.good, c.congested = now, 0, 0, 0
}

func (c *controller) decrease(now time.Time, share float64) {
	// A limit far above the admitted rate was not in effect.
	if !c.limited || c.limit > c.rate*demandMargin {
		c.limited, c.limit = true, c.rate
	}
	c.limitAtDecrease = c.limit
	c.limit = max(c.limit*(1-minDecrease-extraDecrease*share*share), minLimit)
	c.congestedAt, c.steppedAt, c.step = now, now, slowStep
}

func (c *controller) increase(now time.Time, elapsed time.Duration) {
	step := slowStep
	switch {
	case c.limit < nearBelow*c.limitAtDecrease:
		step = fastStep
	case c.limit > nearAbove*c.limitAtDecrease:
		if now.Sub(c.steppedAt) >= time.Second {
			c.steppedAt = now
			c.step = min(2*c.step, maxStep)
		}
		step = c.step
	}
	if next := c.limit + max(c.limitAtDecrease*step, 1)*elapsed.Seconds(); next <= headroom*max(c.rate, minLimit) {
		c.limit = next
	}
	if now.Sub(c.congestedAt) >= releaseAfter && c.limit > c.rate*demandMargin*demandMargin {
		c.limited = false
	}
}
