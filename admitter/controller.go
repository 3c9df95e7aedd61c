package admitter

import "time"

const (
	// minResults is the number of results that a decision needs; 1 in 20 is
	// the precision of the congested share.
	minResults = 20
	// maxWait is the time after which a decision is made with fewer results.
	maxWait = time.Second
	// tolerated is the share of congested queries that stragglers and lost
	// targets cause without an overload.
	tolerated = 0.02
	// minDecrease and extraDecrease give the multiplicative decrease, from 4%
	// to 29% with the square of the congested share. A half would leave a
	// quarter of the capacity unused. The share itself is too strong a
	// measure: one shard that refuses makes the whole query congested.
	minDecrease   = 0.04
	extraDecrease = 0.25
	// The additive increase per second, as a share of the limit at the last
	// congestion: quick below it, slow near it, and above it doubled with
	// every second, since the capacity has grown then.
	quickStep = 0.10
	slowStep  = 0.01
	maxStep   = 0.5
	nearBelow = 0.95
	nearAbove = 1.05
	minLimit  = 2
	// rateWeight is the weight of the latest window in the admitted rate.
	rateWeight = 0.3
	// settle is the time in which queues shrink after a decrease.
	settle = 200 * time.Millisecond
	// headroom is the factor above the admitted rate up to which the limit
	// grows; after releaseAfter without congestion the limit is lifted.
	headroom     = 2
	releaseAfter = 10 * time.Second
)

// controller is the admitted rate of one service: additive increase,
// multiplicative decrease.
type controller struct {
	limited bool
	// limit is in queries per second, ceiling its value at the last decrease.
	limit   float64
	ceiling float64
	step    float64
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

// done notes the result of a query that was admitted at the time, and changes
// the limit at the end of a window. Queries that were admitted before the last
// decrease, or met the queues from before it, don't lead to another.
func (c *controller) done(now, admitted time.Time, result Result) {
	if result == Neutral || admitted.Before(c.congestedAt.Add(settle)) {
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
	if elapsed < tick || (results < minResults && elapsed < maxWait) {
		return
	}
	rate := float64(c.admitted) / elapsed.Seconds()
	if c.rate == 0 {
		c.rate = rate
	}
	c.rate += rateWeight * (rate - c.rate)
	share := float64(c.congested) / float64(results)
	switch {
	case share > tolerated && c.congested > 1:
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
	c.ceiling = c.limit
	c.limit = max(c.limit*(1-minDecrease-extraDecrease*share*share), minLimit)
	c.congestedAt, c.steppedAt, c.step = now, now, slowStep
}

func (c *controller) increase(now time.Time, elapsed time.Duration) {
	step := slowStep
	switch {
	case c.limit < nearBelow*c.ceiling:
		step = quickStep
	case c.limit > nearAbove*c.ceiling:
		if now.Sub(c.steppedAt) >= time.Second {
			c.steppedAt = now
			c.step = min(2*c.step, maxStep)
		}
		step = c.step
	}
	if next := c.limit + max(c.ceiling*step, 1)*elapsed.Seconds(); next <= headroom*max(c.rate, minLimit) {
		c.limit = next
	}
	if now.Sub(c.congestedAt) >= releaseAfter && c.limit > c.rate*demandMargin*demandMargin {
		c.limited = false
	}
}
