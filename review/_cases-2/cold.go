package main

import (
	"net/http"
	"time"
)

const (
	// warmupRate is warmup_per_s, and coldBound the requests that a cold backend may get in
	// one second: warmup_per_s x cold_over + cold_slack.
	warmupRate = 10
	coldBound  = warmupRate*1.5 + 5
	// coldCrash is the number of requests in a second, well above warmup_per_s, at which a
	// cold backend crashes.
	coldCrash = 4 * warmupRate
	// warmup is how long the backend stays cold: warmup_s.
	warmup = 3 * time.Second
)

// playCold lets one of two backends become cold again. The backend writes that into its
// entry at once, and requests count from the store's acknowledgement on.
func playCold(r *record, trouble bool) (bool, error) {
	d, err := newDeployment(3)
	if err != nil {
		return false, err
	}
	defer d.close()
	ds, err := newDesks(d, 2, 20*time.Millisecond)
	if err != nil {
		return false, err
	}
	defer ds.close()
	d.configure(warmupRate)
	if err := d.startAll(r, d.machines, d.machines); err != nil {
		return false, err
	}
	t := newTraffic(r, d.machines, 6, 14*time.Millisecond, http.MethodPost)
	time.Sleep(5 * time.Second)
	cold := ds.list[0]
	// The regular beats would tell the same, later.
	ds.silence(0, true)
	var coldAt time.Time
	if trouble {
		ds.silence(0, false)
		ds.beat(0, warmup)
		ds.silence(0, true)
		coldAt = time.Now()
		cold.set(mode{coldUntil: coldAt.Add(warmup), coldCrash: coldCrash})
		r.write("%s is cold for %v, and the store has acknowledged its entry", cold.id, warmup)
	}
	time.Sleep(warmup)
	t.end()
	t.writeAll()
	ds.writeAll(r)
	lost := 0
	for _, s := range t.sent {
		if s.status != http.StatusOK && s.status != http.StatusServiceUnavailable {
			lost++
		}
	}
	r.write("%d client attempts, %d of them neither answered nor refused as not run", len(t.sent), lost)
	most, from := 0, time.Time{}
	for _, first := range cold.arrived() {
		start := t.sent[first.id].at
		if !trouble || start.Before(coldAt) {
			continue
		}
		// Requests that were sent and arrived in the second from start on.
		n := 0
		for _, a := range cold.arrived() {
			if !t.sent[a.id].at.Before(start) && a.at.Sub(start) < time.Second && a.at.Sub(coldAt) < warmup {
				n++
			}
		}
		if n > most {
			most, from = n, start
		}
	}
	if most > 0 {
		r.write("%s got %d requests in the second from %s, while it was cold; allowed are %v", cold.id, most, r.at(from), coldBound)
	}
	if !cold.crashed.IsZero() {
		r.write("%s crashed at %s", cold.id, r.at(cold.crashed))
	}
	return most > coldBound, nil
}
