package main

import "time"

// quietMove is the duration_s of the order: that of the example on the platform's side.
const quietMove = 12 * time.Second

// quietService moves a service with few requests to a version a quarter of whose answers
// are failures.
func quietService(c *caseRun) (bool, error) {
	share := 0.0
	if c.trouble {
		share = 0.25
	}
	b, err := newBooking(c, failing("v2", share))
	if err != nil {
		return false, err
	}
	// Four orders a second.
	b.sendOrders(3, 750*time.Millisecond)
	time.Sleep(stableWindow + time.Second)
	ordered := time.Now()
	if err := b.order("v2", quietMove); err != nil {
		return false, err
	}
	if err := b.addServers("v2", 3); err != nil {
		return false, err
	}
	b.finish(b.waitDecided(2*quietMove), "v1", "v2")
	time.Sleep(time.Until(ordered.Add(95 * time.Second)))
	b.end()
	return b.judge("v2", ordered, quietMove), nil
}
