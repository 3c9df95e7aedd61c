package limiter

import "time"

const (
	// slowFactor is how many times the learned warm latency counts as far
	// above it. Cold targets are an order of magnitude slower; ordinary load
	// varies by two to three times.
	slowFactor = 4
	// slowFloor is added to the bound of slow answers, since scheduling noise
	// of a few milliseconds says nothing about a target that answers in less.
	slowFloor = 5 * time.Millisecond
	// deviations is how many smoothed deviations above the warm latency are
	// still normal.
	deviations = 8
	// smoothing is the divisor of the moving averages.
	smoothing = 8
)

// latency is what the answers of a target say about its service time.
type latency struct {
	smoothed time.Duration
	// warm and deviation describe answers within the normal service time;
	// warm is 0 until the target was first seen warm.
	warm, deviation time.Duration
	// best is the shortest answer while warm is unknown.
	best time.Duration
}

// normal reports whether an answer is within the normal service time.
func (y *latency) normal(d time.Duration) bool {
	if y.warm == 0 {
		return d <= 2*y.best+slowFloor
	}
	return d <= max(slowFactor*y.warm, y.warm+deviations*y.deviation)+slowFloor
}

// observe records an answer and reports whether it shows that the target is
// still warming up: a known best was more than halved.
func (y *latency) observe(d time.Duration) (improved bool) {
	y.smoothed = average(y.smoothed, d)
	if y.best == 0 || d < y.best {
		improved = y.best != 0 && d+slowFloor < y.best/2
		y.best = max(d, 1)
	}
	if y.warm != 0 && y.normal(d) {
		y.deviation = average(y.deviation, (d - y.warm).Abs())
		y.warm = max(average(y.warm, d), 1)
	}
	return improved
}

// settle takes the present latency as that of the warm target.
func (y *latency) settle() {
	y.warm, y.deviation = max(y.smoothed, 1), y.smoothed/2
}

func average(old, d time.Duration) time.Duration {
	if old == 0 {
		return d
	}
	return old + (d-old)/smoothing
}
