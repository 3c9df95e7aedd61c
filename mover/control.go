package mover

import "jujubegate.example/jujubegate"

const (
	// controlDecay is the factor per block by which older samples are weighted in
	// the rates of the services without a move (half after 2 blocks, 0.4 s).
	controlDecay = 0.7
	// controlWindow is the number of blocks (2 s) over which the maximum rate is
	// taken, because the fleet's counts arrive up to one second later.
	controlWindow = 10
	// maxLearnedSlowFraction is the fraction of slow answers above which a block
	// does not update the histogram of usual service times.
	maxLearnedSlowFraction = 2 * slowFraction
)

// controlGroup tracks the error and slowness rates of the services without a
// move at this instance. Once the new version has all the traffic, the old
// version can no longer show whether a fault is general, such as a slowdown or
// a broken network, or specific to the new version; the other services can.
type controlGroup struct {
	cells map[CellKey]*controlCell
	// pooled sums the decaying samples of all cells, by Kind.
	pooled [2]sample
	// recentRates is a ring buffer of the rates after each block, by Kind; next is
	// the slot to write.
	recentRates [controlWindow][2]float64
	next        int
}

// controlCell holds the usual service times of one service, version, route and
// load level.
type controlCell struct {
	latency    histogram
	slowBucket int
}

func newControlGroup() *controlGroup { return &controlGroup{cells: make(map[CellKey]*controlCell)} }

// reset discards all data. It is called while no service has a move.
func (c *controlGroup) reset() {
	if len(c.cells) > 0 {
		*c = *newControlGroup()
	}
}

// add adds the increments of one block, except those of services for which
// isMoving returns true.
func (c *controlGroup) add(increments []jujubegate.RouteCount, isMoving func(jujubegate.Service) bool) {
	for k := range c.pooled {
		c.pooled[k] = c.pooled[k].scale(controlDecay)
	}
	for i := range increments {
		count := &increments[i]
		if isMoving(count.Service) {
			continue
		}
		cell := c.cells[KeyOf(*count)]
		if cell == nil {
			cell = &controlCell{slowBucket: -1}
			c.cells[KeyOf(*count)] = cell
		}
		c.pooled[Errors] = c.pooled[Errors].plus(errorSample(count))
		if cell.slowBucket >= 0 {
			slow := slowSample(count, cell.slowBucket+baselineSlack)
			c.pooled[Slowness] = c.pooled[Slowness].plus(slow)
			// A slowdown must not be learned as the usual service time. Without this
			// check, a slowdown of 2 s was enough for that.
			if slow.events > maxLearnedSlowFraction*slow.answers {
				continue
			}
		}
		if cell.latency.total()*longDecay >= minAnswers {
			cell.latency.decay(longDecay)
		}
		cell.latency.add(&count.Latency)
		if cell.latency.total() >= minAnswers {
			cell.slowBucket = cell.latency.tailBucket(slowFraction)
		}
	}
	for k, s := range c.pooled {
		c.recentRates[c.next][k] = 0
		if s.answers >= minAnswers {
			c.recentRates[c.next][k] = s.events / s.answers
		}
	}
	c.next = (c.next + 1) % controlWindow
}

// rates returns the highest recent rates of errors and of slow answers of the
// services without a move. A rate is 0 if there were too few answers.
func (c *controlGroup) rates() (largest [2]float64) {
	for _, rates := range c.recentRates {
		for k, r := range rates {
			largest[k] = max(largest[k], r)
		}
	}
	return largest
}
