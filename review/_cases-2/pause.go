package main

import (
	"fmt"
	"net/http"
	"time"

	"jujubegate.example/jujubegate/platform/standin"
)

const (
	// askedPause is the Retry-After of the backend, and pauseSlack the time after its answer
	// from which on requests count.
	askedPause = 20 * time.Second
	pauseSlack = 500 * time.Millisecond
	// pausedRequests is how many requests may reach the backend from a machine.
	pausedRequests = 2
	// storeDown is how long the store is down each time, and storeUp how long it is up
	// between the two, less than the time after which expired entries are back.
	storeDown = 4500 * time.Millisecond
	storeUp   = 1800 * time.Millisecond
	// rewriteAfter is how long after the store's return the entries that expired are back.
	rewriteAfter = 1500 * time.Millisecond
)

// playPause lets a backend turn requests away with Retry-After. The store is then down twice,
// so that all entries expire, and all are back before the end of the pause.
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
	d.configure(0)
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
		d.storeOutage(r, ds)
		time.Sleep(storeUp)
		d.storeOutage(r, ds)
		time.Sleep(rewriteAfter)
		for i := range ds.list {
			ds.silence(i, false)
			ds.beat(i, 0)
		}
		r.write("the entries are back, %v after the store", rewriteAfter)
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
	t.writeAll()
	ds.writeAll(r)
	// A machine is known by the address to which the client sent the request.
	from, until := make(map[string]time.Time), make(map[string]time.Time)
	reached := make(map[string]int)
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

// storeOutage takes the store down for storeDown. The entries of the backends, which cannot
// beat meanwhile, expire.
func (d *deployment) storeOutage(r *record, ds *desks) {
	d.store.SetFault(standin.Unavailable)
	r.write("the store is down")
	for i := range ds.list {
		ds.silence(i, true)
	}
	time.Sleep(silence)
	for _, k := range ds.list {
		d.store.Remove("servers", k.id)
	}
	time.Sleep(storeDown - silence)
	d.store.SetFault(standin.NoFault)
	r.write("the store is up, the entries have expired")
}
