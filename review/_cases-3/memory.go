package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"
)

// memory: the configuration has grown by many routes, and then its versions change one
// time-out each. The platform kills a process that exceeds its memory.
func memory(w *world) (bool, error) {
	const (
		fleetSize  = 3
		routesN    = 5300
		valueBytes = 1 << 20
		every      = 220 * time.Millisecond
		lasts      = 98 * time.Second
		perS       = 120
		mostLost   = 3
	)
	if err := w.addBackends("scheduler", 12, shape{slots: 3, queue: 12, work: 160 * time.Millisecond, idle: 5 * time.Second}); err != nil {
		return false, err
	}
	routes := func(timeout int) []map[string]any {
		list := []map[string]any{route("visit-booking", "/visit/", "idempotent", "scheduler", 6000, 600)}
		for i := range routesN {
			name := fmt.Sprintf("added-%05d", i)
			list = append(list, route(name, "/"+name+"/", "idempotent", "scheduler", timeout, 600))
		}
		return list
	}
	w.configure(routes(6000), "scheduler")
	o, _ := w.store.Object("config", "main")
	text, err := json.Marshal(o)
	if err != nil || len(text) > valueBytes {
		return false, fmt.Errorf("the configuration has %d bytes, more than %d: %w", len(text), valueBytes, err)
	}
	w.note("the configuration has %d bytes of at most %d", len(text), valueBytes)
	if err := w.addInstances(fleetSize); err != nil {
		return false, err
	}
	if err := w.waitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	start := time.Now()
	k := w.keep(func() bool { return time.Since(start) > lasts })
	var group sync.WaitGroup
	var mu sync.Mutex
	l := losses{cut: make(map[string]sending)}
	served, other := 0, 0
	client := newClient(64)
	group.Go(func() {
		for n := 0; time.Since(start) < lasts; n++ {
			time.Sleep(time.Second / perS)
			group.Go(func() {
				id, p, sent := fmt.Sprintf("v%06d", n), w.fleet[rand.IntN(fleetSize)], time.Now()
				r := w.ask(client, p, "GET", "/visit/"+strconv.Itoa(n), id, "", 6000)
				l.add(id, p, sent, r)
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
	for n := 0; w.trouble && time.Since(start) < lasts; n++ {
		w.configure(routes(5000+n%1000), "scheduler")
		time.Sleep(every)
		if n%25 == 0 {
			for _, p := range w.fleet {
				w.note("%s takes %d MB", p.name, p.residentKB()>>10)
			}
		}
	}
	group.Wait()
	w.note("requests: %d served, %d not", served, other)
	return l.within(w, k, mostLost), nil
}
