package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// crashAt is when the servers crash, after the clients have begun, and crashFor how
	// long they are down.
	crashAt  = 8 * time.Second
	crashFor = 4500 * time.Millisecond
	// entryLapse is how long after the last heartbeat an entry is removed: three intervals
	// of 1.2 s.
	entryLapse = 3600 * time.Millisecond
	// steadyFor is how long the steady state is watched.
	steadyFor = 35 * time.Second
	// laterShare is the least share of the rate at which requests on the first routes are
	// served that those on routes added later must reach, and laterLeast the number of
	// requests from which on that is judged.
	laterShare = 0.25
	laterLeast = 20
)

// tally counts the requests on one route.
type tally struct {
	sent, served int
	statuses     map[int]int
}

// rate returns the share of the requests that were served.
func (t *tally) rate() float64 { return float64(t.served) / float64(max(t.sent, 1)) }

// popularQuestion adds a route on which all clients ask the same question, and crashes
// the servers of its service once.
func popularQuestion(c *caseRun) (bool, error) {
	f, err := c.newFleet(3)
	if err != nil {
		return false, err
	}
	serve := func(s *server, r *arrived) bool {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return false
		}
		if s.misdirected(r) {
			return true
		}
		c.notef("%s runs %s %s", s.id, r.id, r.RequestURI)
		time.Sleep(250 * time.Millisecond)
		return r.reply(s, "200 OK", "done")
	}
	var servers []*server
	services := []string{"calendar", "records"}
	for _, service := range services {
		for n := range 2 {
			s, err := newServer(fmt.Sprintf("i-%s-%d", service, n), service, "v1", n, serve)
			if err != nil {
				return false, err
			}
			servers = append(servers, s)
			s.report(f.store, "ready")
		}
	}
	record, today := route("record", "idempotent", "records"), route("today", "idempotent", "calendar")
	f.configure(3, []map[string]any{record}, services)
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(stableWindow)
	f.configure(6, []map[string]any{record, today}, services)
	c.printf("the operator adds the route today")
	time.Sleep(converge + time.Second)
	begin := time.Now()
	// The state is steady from stable_window_ms after the servers are back. Requests count
	// from recover_s after that.
	steady := begin.Add(crashAt + crashFor + recoverTime)
	tallies := map[string]*tally{"record": {statuses: map[int]int{}}, "today": {statuses: map[int]int{}}}
	var mu sync.Mutex
	var clients sync.WaitGroup
	for w := range 24 {
		clients.Go(func() {
			cl := newClient(w)
			for n := 0; time.Now().Before(steady.Add(steadyFor)); n++ {
				name, path := "today", "/today/visits"
				if w%3 == 0 {
					name, path = "record", fmt.Sprintf("/record/%d-%d", w, n)
				}
				id := fmt.Sprintf("%s-%d-%d", name, w, n)
				c.notef("%s %s is sent", id, path)
				a := cl.send(http.MethodGet, f.anyInstance(), path, id, budget, nil)
				c.notef("%s %s is answered %d after %v, Retry-After %q, error %v", id, path, a.status, a.took, a.header.Get("Retry-After"), a.err)
				mu.Lock()
				if t := tallies[name]; a.sent.After(steady) {
					t.sent++
					t.statuses[a.status]++
					if a.status == http.StatusOK {
						t.served++
					}
				}
				mu.Unlock()
				time.Sleep(time.Duration(100+rand.IntN(100)) * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Until(begin.Add(crashAt)))
	if c.trouble {
		for _, s := range servers[:2] {
			s.crash()
		}
		c.printf("both servers of calendar crash")
		time.Sleep(entryLapse)
		for _, s := range servers[:2] {
			f.store.Remove("servers", s.id)
		}
		c.printf("their entries are removed")
		time.Sleep(crashFor - entryLapse)
		for _, s := range servers[:2] {
			if err := s.restart(f.store); err != nil {
				return false, err
			}
		}
		c.printf("they are back")
	}
	clients.Wait()
	f.close()
	for _, s := range servers {
		s.crash()
	}
	for name, t := range tallies {
		c.printf("route %s: %d requests sent in steady state, %d served, statuses %v", name, t.sent, t.served, t.statuses)
	}
	first, later := tallies["record"], tallies["today"]
	return later.sent < laterLeast || later.rate() >= laterShare*first.rate(), nil
}
