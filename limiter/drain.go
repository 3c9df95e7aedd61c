package limiter

import "time"

// drainHold is how long after the last sign of leaving a load report can call
// the target back, since reports can be stale.
const drainHold = 10 * time.Second

// drain keeps requests from a target that leaves.
type drain struct {
	active bool
	last   time.Time
	// gone is set when the process that announced the leaving has ended.
	gone bool
}

func (d *drain) start(now time.Time) { d.active, d.last, d.gone = true, now, false }

func (d *drain) restarted() { d.gone = true }

// reportedBack handles a load report of a target that does not leave and
// reports whether it ends the leaving.
func (d *drain) reportedBack(now time.Time) bool {
	if !d.active || (!d.gone && now.Sub(d.last) < drainHold) {
		return false
	}
	d.active = false
	return true
}
