package tracker

import (
	"time"

	"golang.org/x/time/rate"
)

// startCold records that a target is cold for the given time and limits it.
func (t *Tracker) startCold(r *Replica, coldFor time.Duration, now time.Time) {
	if coldFor > 0 {
		r.setCold(now.Add(coldFor))
		t.limitCold(r, now)
	}
}

// limitCold limits the rate of the requests that a cold target gets from this
// instance. Targets of a service without a ColdRate are not limited.
func (t *Tracker) limitCold(r *Replica, now time.Time) {
	if t.table == nil || !r.IsCold(now) {
		return
	}
	s, ok := t.table.Service(r.Entry().Service)
	if !ok || s.ColdRate <= 0 {
		r.removeColdLimit()
		return
	}
	spare := s.ColdRate*(t.settings.ColdFactor-1) + t.settings.ColdAllowance
	part, burst := t.settings.ColdPart(r.Entry().ID, spare), 0
	if part > 0 {
		burst = max(int(spare*part), 1)
	}
	r.limitCold(rate.Limit(s.ColdRate*part), burst, now)
}

func (t *Tracker) limitAllCold() {
	now := t.settings.Clock.Now()
	for _, r := range t.replicas {
		t.limitCold(r, now)
	}
}
