package target

import "time"

// ServiceTimes draws service times as a target with the settings does.
func ServiceTimes(s Settings, n int) []time.Duration {
	d := newSampler(s.Seed)
	times := make([]time.Duration, n)
	for i := range times {
		times[i] = d.serviceTime(&s)
	}
	return times
}
