package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// askedPause is the Retry-After of the backend, and pauseSlack the time after its answer
	// from which on requests count.
	askedPause = 12 * time.Second
	pauseSlack = 500 * time.Millisecond
	// pausedRequests is how many requests may reach the backend from a machine.
	pausedRequests = 2
	// cutTime is how long the backend is cut off from all machines and the store.
	cutTime = 5500 * time.Millisecond
)

// playPause lets a backend turn requests away with Retry-After. It is then cut off for a
// while, so that its entry expires, and comes back before its pause is over.
func playPause(r *record, trouble bool) (bool, error) {
	d, err := newDeployment(3)
	if err != nil {
		return false, err
	}
	defer d.close()
	ds, err := newDesks(d, 8, 20*time.Millisecond)
	if err != nil {
		return false, err
	}
	defer ds.close()
	d.configure(3, 0)
	if err := d.startAll(r, d.machines, d.machines); err != nil {
		return false, err
	}
	t := newTraffic(r, d.machines, 6, 20*time.Millisecond, http.MethodGet)
	time.Sleep(2 * time.Second)
	busy := ds.list[0]
	busy.set(mode{retryAfter: fmt.Sprint(askedPause.Seconds())})
	time.Sleep(time.Second)
	busy.set(mode{})
	r.write("%s turns no more requests away", busy.id)
	if trouble {
		// The last beat is then as old as it gets.
		ds.silence(0, true)
		time.Sleep(heartbeat - 100*time.Millisecond)
		busy.set(mode{dark: true})
		cutAt := time.Now()
		r.write("%s is cut off", busy.id)
		time.Sleep(silence - heartbeat + 100*time.Millisecond)
		d.store.Remove("servers", busy.id)
		r.write("the store removes the entry of %s, %v without a beat", busy.id, silence)
		time.Sleep(cutTime - time.Since(cutAt))
		busy.set(mode{})
		r.write("%s is reached again", busy.id)
		time.Sleep(heartbeat / 2)
		ds.silence(0, false)
		ds.beat(0, 0)
		r.write("%s beats again", busy.id)
	}
	// Until the end of the last pause.
	last := time.Time{}
	for _, a := range busy.arrived() {
		if !a.run {
			last = a.at
		}
	}
	time.Sleep(time.Until(last.Add(askedPause)))
	t.end()
	// A machine is known by the address to which the client sent the request.
	until, reached := make(map[string]time.Time), make(map[string]int)
	from := make(map[string]time.Time)
	for _, a := range busy.arrived() {
		address := t.sent[a.id].address
		if !a.run {
			r.write("%s turned %s away, from the machine at %s, at %s", busy.id, a.id, address, r.at(a.at))
			if _, ok := until[address]; !ok {
				from[address], until[address] = a.at.Add(pauseSlack), a.at.Add(askedPause)
			}
			continue
		}
		if end, ok := until[address]; ok && a.at.After(from[address]) && a.at.Before(end) {
			reached[address]++
			r.write("%s reached %s from the machine at %s at %s, %v before the end of the pause", a.id, busy.id, address, r.at(a.at), end.Sub(a.at).Round(time.Millisecond))
		}
	}
	broken := false
	for _, m := range d.machines {
		r.write("%d requests reached %s from %s in its pause, allowed are %d", reached[m.front()], busy.id, m.name, pausedRequests)
		broken = broken || reached[m.front()] > pausedRequests
	}
	return broken, nil
}
