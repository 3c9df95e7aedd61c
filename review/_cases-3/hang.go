package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// hang: before the traffic begins, clients that the platform does not control open connections,
// ask on each with OPTIONS and the target *, announce a body of 10 bytes and send none.
// FIRST is another request line for the comparison.
func hang(w *world) (bool, error) {
	const (
		fleetSize = 3
		clients   = 1000
		settles   = 5 * time.Second
		lasts     = 35 * time.Second
		perS      = 20
		tries     = 3
	)
	first := env("FIRST", "OPTIONS * HTTP/1.1")
	if err := w.addBackends("scheduler", 12, shape{slots: 3, queue: 12, work: 160 * time.Millisecond, idle: 5 * time.Second}); err != nil {
		return false, err
	}
	w.configure([]map[string]any{route("visit-booking", "/visit/", "idempotent", "scheduler", 6000, 600)}, "scheduler")
	if err := w.addInstances(fleetSize); err != nil {
		return false, err
	}
	if err := w.waitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	var conns []net.Conn
	if w.trouble {
		for i := range clients {
			for _, p := range w.fleet {
				c, err := net.DialTimeout("tcp", p.callers, time.Second)
				if err != nil {
					w.note("client %d of the crowd at %s: %v", i, p.name, err)
					continue
				}
				defer c.Close()
				// An error means that the instance has closed the connection.
				if _, err := fmt.Fprintf(c, "%s\r\nHost: %s\r\n%s: o%05d\r\n%s: 2000\r\nContent-Length: 10\r\n\r\n", first, host, headerID, i, headerBudget); err == nil {
					conns = append(conns, c)
				}
			}
		}
		w.note("the crowd has sent %d heads (%s) and sends no more", len(conns), first)
	}
	time.Sleep(settles)
	start := time.Now()
	w.note("the traffic begins")
	var mu sync.Mutex
	var group sync.WaitGroup
	sent, answered := 0, 0
	for n := 0; time.Since(start) < lasts; n++ {
		time.Sleep(time.Second / perS)
		group.Go(func() {
			// A client uses another address if it gets no answer from one.
			status := 0
			for i := 0; i < tries && status == 0; i++ {
				client := newClient(1)
				client.Timeout = 3 * time.Second
				client.Transport.(*http.Transport).DisableKeepAlives = true
				p := w.fleet[rand.IntN(fleetSize)]
				r := w.ask(client, p, "GET", "/visit/"+strconv.Itoa(n), fmt.Sprintf("v%06d-%d", n, i), "", 3000)
				if status = r.status; n%perS == 0 {
					w.note("request %d, try %d at %s: status %d %v", n, i, p.name, r.status, r.err)
				}
			}
			mu.Lock()
			defer mu.Unlock()
			if sent++; status == http.StatusOK {
				answered++
			}
		})
	}
	group.Wait()
	w.note("requests of other clients: %d, served %d", sent, answered)
	return answered > 0, nil
}
