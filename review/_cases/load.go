package main

import (
	"sync"
	"time"
)

const (
	// loadMove is the duration_s of the order.
	loadMove = 20 * time.Second
	// loadBearable is the rate of requests a second that a server of v2 bears. With all of
	// the traffic, each gets about 33.
	loadBearable = 12
)

// meter counts the requests of the last second at each server.
type meter struct {
	mu    sync.Mutex
	times map[string][]time.Time
}

// add counts a request and returns the number in the last second.
func (m *meter) add(server string, at time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	times := append(m.times[server], at)
	for at.Sub(times[0]) > time.Second {
		times = times[1:]
	}
	m.times[server] = times
	return len(times)
}

// badUnderLoad moves a service to a version that fails half of its requests once a server
// has more than loadBearable of them a second.
func badUnderLoad(c *caseRun) (bool, error) {
	m := &meter{times: make(map[string][]time.Time)}
	b, err := newBooking(c, func(s *server, r *arrived) float64 {
		if s.version == "v2" && m.add(s.id, r.at) > loadBearable && c.trouble {
			return 0.5
		}
		return 0
	})
	if err != nil {
		return false, err
	}
	b.sendOrders(8, 60*time.Millisecond)
	time.Sleep(stableWindow + time.Second)
	ordered := time.Now()
	if err := b.order("v2", loadMove); err != nil {
		return false, err
	}
	if err := b.addServers("v2", 3); err != nil {
		return false, err
	}
	b.finish(b.waitDecided(2*loadMove), "v1", "v2")
	time.Sleep(time.Until(ordered.Add(loadMove + 15*time.Second)))
	b.end()
	return b.judge("v2", ordered, loadMove), nil
}
