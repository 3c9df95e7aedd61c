package main

import (
	"fmt"
	"time"
)

const (
	// forwardMove is the duration_s of both orders.
	forwardMove = 20 * time.Second
	// nextOrder is how long after the roll-back the operator orders the corrected version,
	// and drainsAfter how long after it the servers of the bad one drain: "some seconds".
	nextOrder   = 2 * time.Second
	drainsAfter = 10 * time.Second
)

// rollForward orders a bad version, waits until it is rolled back, and orders the
// corrected one while the servers of the bad one still run.
func rollForward(c *caseRun) (bool, error) {
	b, err := newBooking(c, failing("v2", 0.5))
	if err != nil {
		return false, err
	}
	b.sendOrders(8, 60*time.Millisecond)
	time.Sleep(stableWindow + time.Second)
	ordered := time.Now()
	if err := b.order("v2", forwardMove); err != nil {
		return false, err
	}
	if err := b.addServers("v2", 3); err != nil {
		return false, err
	}
	if state := b.waitDecided(forwardMove); state != "rolled_back" {
		return false, fmt.Errorf("v2 is %q and not rolled back", state)
	}
	back := time.Now()
	if c.trouble {
		time.Sleep(nextOrder)
		if err := b.order("v3", forwardMove); err != nil {
			return false, err
		}
		if err := b.addServers("v3", 3); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(back.Add(drainsAfter)))
	b.eachOf("v2", func(s *server) { s.report(b.store, "draining") })
	c.printf("the servers of v2 drain")
	time.Sleep(time.Until(ordered.Add(forwardMove)))
	b.end()
	return b.judge("v2", ordered, forwardMove), nil
}
