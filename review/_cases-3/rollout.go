package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// rollout: a service is moved to a version that turns bad late, and all machines are stopped
// and started in turn meanwhile.
func rollout(w *world) (bool, error) {
	const (
		fleetSize   = 3
		duration    = 50 * time.Second
		perS        = 5
		badAfter    = 38 * time.Second
		badShare    = 0.8
		rollAfter   = 13 * time.Second
		rollGap     = 1300 * time.Millisecond
		exposeShare = 0.1
		exposeSlack = 50
	)
	sh := shape{slots: 3, queue: 12, work: 60 * time.Millisecond, idle: 5 * time.Second}
	if err := w.addVersion("scheduler", "v1", 2, sh); err != nil {
		return false, err
	}
	var routes []map[string]any
	var prefixes []string
	for i := range 4 {
		prefix := fmt.Sprintf("/visit%d/", i)
		prefixes = append(prefixes, prefix)
		routes = append(routes, route(fmt.Sprintf("visit-%d", i), prefix, "non_idempotent", "scheduler", 6000, 600))
	}
	w.configure(routes, "scheduler")
	if err := w.addInstances(fleetSize); err != nil {
		return false, err
	}
	if err := w.waitReady(10 * time.Second); err != nil {
		return false, err
	}
	start := time.Now()
	var bad atomic.Bool
	var group sync.WaitGroup
	var stop atomic.Bool
	var mu sync.Mutex
	machine := make(map[string]string)
	// unrest holds when a machine was stopped or started.
	unrest := make(map[string][]time.Time)
	down := make(map[string]bool)
	disturb := func(p *instance, isDown bool) {
		mu.Lock()
		defer mu.Unlock()
		unrest[p.name] = append(unrest[p.name], time.Now())
		down[p.name] = isDown
	}
	statuses := make(map[int]int)
	client := newClient(16)
	group.Go(func() {
		for n := 0; !stop.Load(); n++ {
			time.Sleep(time.Duration(rand.ExpFloat64() / perS * float64(time.Second)))
			group.Go(func() {
				id := fmt.Sprintf("v%06d", n)
				mu.Lock()
				p := w.fleet[rand.IntN(fleetSize)]
				for down[p.name] {
					p = w.fleet[rand.IntN(fleetSize)]
				}
				machine[id] = p.name
				mu.Unlock()
				r := w.ask(client, p, "POST", prefixes[rand.IntN(len(prefixes))]+strconv.Itoa(n), id, "a visit", 6000)
				mu.Lock()
				statuses[r.status]++
				mu.Unlock()
			})
		}
	})
	time.Sleep(time.Until(start.Add(8 * time.Second)))
	// The version is ordered, and its back ends start beside the others.
	ordered := time.Now()
	w.store.Put("rollouts", "scheduler", map[string]any{"service": "scheduler", "target_version": "v2", "duration_s": duration.Seconds()})
	w.note("move to v2 ordered")
	newer := sh
	newer.answer = func(string) int {
		if bad.Load() && rand.Float64() < badShare {
			return http.StatusInternalServerError
		}
		return http.StatusOK
	}
	if err := w.addVersion("scheduler", "v2", 2, newer); err != nil {
		return false, err
	}
	time.AfterFunc(badAfter, func() { bad.Store(true); w.note("v2 turns bad") })
	if w.trouble {
		time.Sleep(time.Until(ordered.Add(rollAfter)))
		for _, p := range w.fleet {
			w.note("%s gets SIGTERM", p.name)
			disturb(p, true)
			p.signal(syscall.SIGTERM)
			select {
			case <-p.exited:
			case <-time.After(6 * time.Second):
				p.signal(syscall.SIGKILL)
				<-p.exited
			}
			time.Sleep(200 * time.Millisecond)
			disturb(p, true)
			if err := w.launch(p); err != nil {
				return false, err
			}
			time.Sleep(time.Second)
			disturb(p, false)
			time.Sleep(rollGap)
		}
	}
	time.Sleep(time.Until(ordered.Add(duration)))
	deadline := time.Now()
	time.Sleep(time.Second)
	stop.Store(true)
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	w.mu.Lock()
	arrivals := w.arrivals
	w.mu.Unlock()
	all, exposed, outOfTouch := 0, 0, 0
	for _, a := range arrivals {
		if a.at.Before(ordered) || a.at.After(deadline) {
			continue
		}
		all++
		if !strings.Contains(a.backend, "-v2-") {
			continue
		}
		touch := true
		for _, at := range unrest[machine[a.id]] {
			touch = touch && (a.at.Before(at) || a.at.Sub(at) >= stableWindow)
		}
		if touch {
			exposed++
		} else {
			outOfTouch++
		}
	}
	o, _ := w.store.Object("rollouts", "scheduler")
	w.note("state in the store: %s", o.Status)
	w.note("answers by status (0: none): %v", statuses)
	allowed := exposeShare*float64(all) + exposeSlack
	w.note("requests that reached the service from the order to its deadline: %d; those at v2 from machines in touch: %d, allowed %.1f; from others: %d", all, exposed, allowed, outOfTouch)
	return float64(exposed) <= allowed, nil
}
