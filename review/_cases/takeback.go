package main

import "time"

const (
	// takeBackMove is the duration_s of both orders.
	takeBackMove = 20 * time.Second
	// takeBackAfter is how long after the order of the bad version the operator orders the
	// old one again.
	takeBackAfter = 2 * time.Second
)

// takeBack orders a bad version, and the old one again before the instances have found
// the bad one out.
func takeBack(c *caseRun) (bool, error) {
	b, err := newBooking(c, failing("v2", 0.5))
	if err != nil {
		return false, err
	}
	b.sendOrders(8, 60*time.Millisecond)
	time.Sleep(stableWindow + time.Second)
	ordered := time.Now()
	if err := b.order("v2", takeBackMove); err != nil {
		return false, err
	}
	if err := b.addServers("v2", 3); err != nil {
		return false, err
	}
	oldVersion, newVersion := "v1", "v2"
	if c.trouble {
		oldVersion, newVersion = newVersion, oldVersion
		time.Sleep(takeBackAfter)
		if err := b.order("v1", takeBackMove); err != nil {
			return false, err
		}
	}
	b.finish(b.waitDecided(takeBackMove+5*time.Second), oldVersion, newVersion)
	time.Sleep(time.Until(ordered.Add(takeBackMove + 10*time.Second)))
	b.end()
	return b.judge("v2", ordered, takeBackMove), nil
}
