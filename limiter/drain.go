package limiter

import "time"

// drainHoldTime is how long after the last sign of draining a Warm or Cold load
// report is ignored, since it can be stale.
const drainHoldTime = 10 * time.Second

// drain stops requests to a draining target.
type drain struct {
	active bool
	// lastNotice is the time of the last sign that the target is draining.
	lastNotice time.Time
	// processEnded is set when the process that was draining has ended.
	processEnded bool
}

func (d *drain) start(now time.Time) { d.active, d.lastNotice, d.processEnded = true, now, false }

func (d *drain) recordRestart() { d.processEnded = true }

// endByReport handles a load report that is not Draining, and reports whether it
// ends the draining. It does so after drainHoldTime or a restart of the target.
func (d *drain) endByReport(now time.Time) bool {
	if !d.active || (!d.processEnded && now.Sub(d.lastNotice) < drainHoldTime) {
		return false
	}
	d.active = false
	return true
}
