package limiter

import "time"

const (
	// slowFactor is the multiple of the learned warm latency above which an
	// answer is slow. Cold targets are about ten times slower than warm ones;
	// under ordinary load the latency varies by a factor of two to three.
	slowFactor = 4
	// slowMargin is added to the bound for slow answers, since scheduling noise
	// of a few milliseconds says nothing about a target that answers in less.
	slowMargin = 5 * time.Millisecond
	// readyMargin is added to the bound in isReady, for the same reason.
	readyMargin = time.Millisecond
	// deviationFactor is the number of smoothed deviations above the warm
	// latency that are still normal.
	deviationFactor = 8
	// smoothingDivisor is the reciprocal of the weight of a new value in the
	// moving averages.
	smoothingDivisor = 8
)

// latency tracks the service time of a target.
type latency struct {
	smoothed time.Duration
	// warm is the moving average of answers within the normal service time,
	// deviation that of their distance from it. warm is 0 while the normal
	// service time is unknown.
	warm, deviation time.Duration
	// best is the shortest service time so far.
	best time.Duration
}

// isNormal reports whether an answer is within the normal service time.
func (l *latency) isNormal(d time.Duration) bool {
	if l.warm == 0 {
		return d <= 2*l.best+slowMargin
	}
	return d <= max(slowFactor*l.warm, l.warm+deviationFactor*l.deviation)+slowMargin
}

// isReady reports whether a mean service time allows the ramp to raise the
// limit. It is stricter than isNormal, since a target that warms up gradually is
// only a few times slower shortly before it is warm.
func (l *latency) isReady(mean time.Duration) bool {
	return l.warm == 0 || mean <= l.warm+l.warm/2+readyMargin
}

// observe records the service time of an answer, and reports whether it is less
// than half of the best so far, which shows that the target is still warming up.
// The warm latency is learned from a warm target only.
func (l *latency) observe(d time.Duration, cold bool) (improved bool) {
	l.smoothed = movingAverage(l.smoothed, d)
	if l.best == 0 || d < l.best {
		improved = l.best != 0 && d+readyMargin < l.best/2
		l.best = max(d, 1)
	}
	if !cold && l.isNormal(d) {
		l.deviation = movingAverage(l.deviation, (d - l.warm).Abs())
		l.warm = max(movingAverage(l.warm, d), 1)
	}
	return improved
}

// setWarm sets the latency of the warm target to a mean of answers.
func (l *latency) setWarm(mean time.Duration) {
	l.warm, l.deviation = max(mean, 1), mean/2
}

// resetWarm discards the learned warm latency.
func (l *latency) resetWarm() { l.warm, l.deviation, l.best = 0, 0, 0 }

func movingAverage(old, d time.Duration) time.Duration {
	if old == 0 {
		return d
	}
	return old + (d-old)/smoothingDivisor
}
