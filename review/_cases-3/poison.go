package main

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"
)

// poison: two requests crash each back end that begins to run them. They come again every 3 s for 20 s,
// at the same time, each at any machine.
func poison(w *world) (bool, error) {
	const (
		fleetSize = 3
		lasts     = 45 * time.Second
		// During poisons the requests that crash back ends come, each every, which is 0.67 a second
		// beside the others: 0.03 of them for 20 s, as in the example of the users.
		poisons    = 20 * time.Second
		every      = 3 * time.Second
		crashAfter = 150 * time.Millisecond
		visitsPerS = 22.5
		mostLate   = 3
	)
	sh := shape{slots: 3, queue: 12, work: 160 * time.Millisecond, idle: 10 * time.Second, downFor: 2 * time.Second, crashAfter: crashAfter}
	if w.trouble {
		sh.crashOn = "/bad/"
	}
	if err := w.addBackends("scheduler", 12, sh); err != nil {
		return false, err
	}
	w.configure([]map[string]any{route("visit-booking", "/visit/", "idempotent", "scheduler", 6000, 600)}, "scheduler")
	if err := w.addInstances(fleetSize); err != nil {
		return false, err
	}
	if err := w.waitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	start := time.Now()
	var group sync.WaitGroup
	client := newClient(16)
	var mu sync.Mutex
	served, other := 0, 0
	group.Go(func() {
		for n := 0; time.Since(start) < lasts; n++ {
			time.Sleep(time.Duration(rand.ExpFloat64() / visitsPerS * float64(time.Second)))
			group.Go(func() {
				r := w.ask(client, w.fleet[rand.IntN(fleetSize)], "GET", "/visit/"+strconv.Itoa(n), fmt.Sprintf("v%06d", n), "", 6000)
				mu.Lock()
				defer mu.Unlock()
				if r.status == 200 {
					served++
				} else {
					other++
				}
			})
		}
	})
	time.Sleep(5 * time.Second)
	paths := []string{"/visit/bad/7f", "/visit/bad/93"}
	sent := make(map[string]map[string]time.Time)
	for _, path := range paths {
		sent[path] = make(map[string]time.Time)
	}
	begin := time.Now()
	for n := 0; time.Since(begin) < poisons; n++ {
		next := time.Now().Add(every)
		p := w.fleet[rand.IntN(fleetSize)]
		for i, path := range paths {
			id := fmt.Sprintf("bad%d-%04d", i, n)
			sent[path][id] = time.Now()
			group.Go(func() {
				r := w.ask(client, p, "GET", path, id, "", 6000)
				w.note("request %s for %s at %s: status %d", id, path, p.name, r.status)
			})
		}
		time.Sleep(time.Until(next))
	}
	group.Wait()
	w.mu.Lock()
	arrivals := w.arrivals
	w.mu.Unlock()
	w.note("other requests: %d served, %d not", served, other)
	held := true
	for _, path := range paths {
		var third time.Time
		runs, late := 0, 0
		reached := make(map[string]bool)
		for _, a := range arrivals {
			if a.path != path || !a.ran {
				continue
			}
			reached[a.id] = true
			if runs++; runs == 3 && w.trouble {
				third = a.at.Add(crashAfter)
			}
		}
		for id, at := range sent[path] {
			if reached[id] && !third.IsZero() && at.After(third.Add(stableWindow)) {
				late++
			}
		}
		w.note("%s: sent %d times, ran on back ends %d times; sent later than %v after its third crash and yet run: %d, allowed %d", path, len(sent[path]), runs, stableWindow, late, mostLate)
		held = held && late <= mostLate
	}
	return held, nil
}
