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
	// readyFloor is added to the bound of answers that let the ramp go on, for
	// the same reason.
	readyFloor = time.Millisecond
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

// ready reports whether a mean of answers allows the ramp to go on. It is
// stricter than normal, since a target that warms up gradually is only a few
// times slower shortly before it is warm.
func (y *latency) ready(mean time.Duration) bool {
	return y.warm == 0 || mean <= y.warm+y.warm/2+readyFloor
}

// observe records an answer and reports whether it shows that the target is
// still warming up: the best so far was more than halved. The warm latency is
// learned from a warm target only.
func (y *latency) observe(d time.Duration, cold bool) (improved bool) {
	y.smoothed = average(y.smoothed, d)
	if y.best == 0 || d < y.best {
		improved = y.best != 0 && d+readyFloor < y.best/2
		y.best = max(d, 1)
	}
	if !cold && y.normal(d) {
		y.deviation = average(y.deviation, (d - y.warm).Abs())
		y.warm = max(average(y.warm, d), 1)
	}
	return improved
}

// settle takes a mean of answers as the latency of the warm target.
func (y *latency) settle(mean time.Duration) {
	y.warm, y.deviation = max(mean, 1), mean/2
}

// forget lets the warm latency be learned anew.
func (y *latency) forget() { y.warm, y.deviation, y.best = 0, 0, 0 }

func average(old, d time.Duration) time.Duration {
	if old == 0 {
		return d
	}
	return old + (d-old)/smoothing
}
