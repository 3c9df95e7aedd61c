package main

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// crowd: many clients send valid queries over 30 shards to two of three instances. The
// platform kills a process that exceeds its memory and starts it again.
func crowd(w *world) (bool, error) {
	const (
		fleetSize  = 3
		attacked   = 2
		clients    = 900
		shardsN    = 30
		lasts      = 75 * time.Second
		mostLost   = 3
		fieldBytes = 250
		bodyBytes  = 16 << 10
	)
	var shards []string
	for i := range shardsN {
		shards = append(shards, "invoicing-"+strconv.Itoa(i))
	}
	for _, s := range shards {
		if err := w.addBackends(s, 2, shape{slots: 2, queue: 12, work: 20 * time.Millisecond, idle: 5 * time.Second}); err != nil {
			return false, err
		}
	}
	if err := w.addBackends("scheduler", 12, shape{slots: 3, queue: 12, work: 160 * time.Millisecond, idle: 5 * time.Second}); err != nil {
		return false, err
	}
	w.configure([]map[string]any{
		gather("history-search", "/history/", shards), route("visit-booking", "/visit/", "idempotent", "scheduler", 6000, 600),
	}, append(shards, "scheduler")...)
	if err := w.addInstances(fleetSize); err != nil {
		return false, err
	}
	if err := w.waitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	start := time.Now()
	var k *keeper
	over := func() bool {
		if time.Since(start) > lasts {
			return true
		}
		if k == nil {
			return false
		}
		for i := range attacked {
			ends := k.endsOf(w.fleet[i].name)
			if len(ends) == 0 || time.Since(ends[0]) < 3*time.Second {
				return false
			}
		}
		return true
	}
	k = w.keep(func() bool { return time.Since(start) > lasts })
	l := losses{cut: make(map[string]sending)}
	var group sync.WaitGroup
	var answers, ordinary [600]atomic.Int64
	// Inside header_bytes and body_bytes of the configuration.
	fields := make([]string, 40)
	for i := range fields {
		fields[i] = fmt.Sprintf("X-Field-%02d: %s", i, strings.Repeat("f", fieldBytes))
	}
	body := strings.Repeat("b", bodyBytes)
	if w.trouble {
		for i := range clients * attacked {
			group.Go(func() {
				client := newClient(1)
				defer client.CloseIdleConnections()
				for n := 0; !over(); n++ {
					id, p, sent := fmt.Sprintf("q%05d-%05d", i, n), w.fleet[i%attacked], time.Now()
					r := ask(client, p.callers, "POST", "/history/"+strconv.Itoa(i), id, body, 1500, fields...)
					l.add(id, p, sent, r)
					answers[r.status].Add(1)
					if r.status != 200 {
						time.Sleep(100 * time.Millisecond)
					}
				}
			})
		}
	}
	client := newClient(16)
	for n := 0; !over(); n++ {
		time.Sleep(50 * time.Millisecond)
		group.Go(func() {
			id, p, sent := fmt.Sprintf("v%06d", n), w.fleet[rand.IntN(fleetSize)], time.Now()
			r := w.ask(client, p, "GET", "/visit/"+strconv.Itoa(n), id, "", 6000)
			l.add(id, p, sent, r)
			ordinary[r.status].Add(1)
		})
	}
	group.Wait()
	for status := range answers {
		if c := answers[status].Load(); c > 0 {
			w.note("queries of the crowd with status %d (0: none): %d", status, c)
		}
	}
	for status := range ordinary {
		if c := ordinary[status].Load(); c > 0 {
			w.note("other requests with status %d (0: none): %d", status, c)
		}
	}
	return l.within(w, k, mostLost), nil
}
