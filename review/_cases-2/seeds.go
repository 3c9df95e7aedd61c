package main

import (
	"fmt"
	"net/http"
	"time"

	"jujubegate.example/jujubegate/platform/standin"
)

const (
	// stableWindow is stable_window_ms, and deadlyRetries the retries in which a request may
	// reach backends later than that after it has crashed the third.
	stableWindow  = 4 * time.Second
	deadlyRetries = 3
	deadlyPath    = "/deadly"
	// backFor is after how long a backend that has crashed is back.
	backFor = 2500 * time.Millisecond
)

// playSeeds starts a deployment for the first time. Its seeds are three machines that
// are down; without the disruption they are three of those that run. A request that
// crashes the backends that run it then comes to one machine after the other.
func playSeeds(r *record, trouble bool) (bool, error) {
	const down, backends = 3, 4
	d, err := newDeployment(down + 4)
	if err != nil {
		return false, err
	}
	defer d.close()
	ledger := standin.NewLedger()
	var targets []*standin.Target
	for i := range backends {
		t, err := standin.NewTarget("127.0.0.1:0", fmt.Sprintf("i-%d", i), standin.Single, fmt.Sprintf("zone-%d", i%2), ledger,
			standin.Behaviour{Work: 60 * time.Millisecond, Slots: 8, CrashOn: deadlyPath, CrashFor: backFor})
		if err != nil {
			return false, err
		}
		defer t.Close()
		targets = append(targets, t)
		d.store.Put("servers", t.ID, t.Entry("ready", 1))
	}
	crashes := func() int {
		n := 0
		for _, t := range targets {
			n += len(t.Crashes())
		}
		return n
	}
	d.configure(0)
	running, seeds := d.machines[down:], d.machines[:down]
	if !trouble {
		seeds = running
	}
	if err := d.startAll(r, running, seeds); err != nil {
		return false, err
	}
	for _, m := range running {
		found, _ := resolve(newClient(m).http, m)
		r.write("the directory of %s names %v", m.name, found)
	}
	calls := d.store.Calls()
	time.Sleep(2 * time.Second)
	r.write("the machines make %d calls to the store in 2 s", d.store.Calls()-calls)
	orders := newTraffic(r, running, len(running), 50*time.Millisecond, http.MethodPost)
	var thirdCrash time.Time
	retries, attempt := 0, 0
	for _, m := range running {
		c := newClient(m)
		for range 3 {
			if !thirdCrash.IsZero() {
				time.Sleep(time.Until(thirdCrash.Add(stableWindow + 100*time.Millisecond)))
			}
			before, sent, id, address := crashes(), time.Now(), fmt.Sprintf("deadly-%d", attempt), c.address()
			attempt++
			a := c.send(address, http.MethodGet, "/look-up"+deadlyPath, id, "", 2*time.Second)
			time.Sleep(50 * time.Millisecond)
			reached := len(ledger.Runs(id))
			r.write("%s sent to %s at %s: %v; it reached %d backends and crashed %d", id, address, r.at(sent), a, reached, crashes()-before)
			switch {
			case thirdCrash.IsZero() && crashes() >= 3:
				thirdCrash = time.Now()
				r.write("the third backend has crashed; retries count from %s on", r.at(thirdCrash.Add(stableWindow)))
			case !thirdCrash.IsZero() && reached > 0:
				retries++
			}
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(backFor)
	}
	orders.end()
	orders.writeAll()
	writeRuns(r, ledger)
	lost := 0
	for id, s := range orders.sent {
		if len(ledger.Runs(id)) > 0 && s.status != http.StatusOK {
			lost++
		}
	}
	r.write("%d of %d orders ran on a backend that crashed, and were lost", lost, len(orders.sent))
	r.write("the request reached backends in %d retries later than %v after it had crashed the third, allowed are %d; %d crashes in all", retries, stableWindow, deadlyRetries, crashes())
	return retries > deadlyRetries, nil
}
