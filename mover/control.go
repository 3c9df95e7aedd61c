package mover

import "jujubegate.example/jujubegate"

const (
	// controlMemory is the factor by which older blocks of an instance count for
	// the rates of the other services (half after 2 blocks, 0.4 s).
	controlMemory = 0.7
	// controlWindow is the number of blocks, 2 s, over which the largest rate
	// counts, because the fleet's counts arrive up to a second later.
	controlWindow = 10
	// unusual is the part of slow answers above which a block is not learned from.
	unusual = 2 * slowPart
)

// control observes the services without a move at this instance. After the full
// move no answer of the old version tells a general slowdown or a broken network
// from a fault of the new version, but those of the other services do.
type control struct {
	cells  map[CellKey]*controlCell
	pooled [2]sample
	recent [controlWindow][2]float64
	next   int
}

// controlCell is the usual service times of one route of another service.
type controlCell struct {
	times histogram
	bound int
}

func newControl() *control { return &control{cells: make(map[CellKey]*controlCell)} }

// reset forgets everything, for the time without a move.
func (c *control) reset() {
	if len(c.cells) > 0 {
		*c = *newControl()
	}
}

// add adds a block of counts. Services for which the function returns true are
// left out.
func (c *control) add(grown []jujubegate.RouteCount, moving func(jujubegate.Service) bool) {
	for k := range c.pooled {
		c.pooled[k] = c.pooled[k].times(controlMemory)
	}
	for i := range grown {
		count := &grown[i]
		if moving(count.Service) {
			continue
		}
		cell := c.cells[KeyOf(*count)]
		if cell == nil {
			cell = &controlCell{bound: -1}
			c.cells[KeyOf(*count)] = cell
		}
		c.pooled[Errors] = c.pooled[Errors].plus(errorSample(count))
		if cell.bound >= 0 {
			slow := slowSample(count, cell.bound+slackAfterwards)
			c.pooled[Slowness] = c.pooled[Slowness].plus(slow)
			// A slowdown must not become the usual time, which took 2 s of it.
			if slow.events > unusual*slow.answers {
				continue
			}
		}
		if cell.times.total()*longMemory >= minBound {
			cell.times.decay(longMemory)
		}
		cell.times.add(&count.Latency)
		if cell.times.total() >= minBound {
			cell.bound = cell.times.bound(slowPart)
		}
	}
	for k, s := range c.pooled {
		c.recent[c.next][k] = 0
		if s.answers >= minBound {
			c.recent[c.next][k] = s.events / s.answers
		}
	}
	c.next = (c.next + 1) % controlWindow
}

// rates returns the largest recent rate of errors and slow answers of the other
// services; 0 if they have too few answers.
func (c *control) rates() (largest [2]float64) {
	for _, rates := range c.recent {
		for k, r := range rates {
			largest[k] = max(largest[k], r)
		}
	}
	return largest
}
