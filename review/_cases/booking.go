package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of EXPOSURE.
const (
	exposeShare = 0.1
	exposeSlack = 50
	rollback    = 5 * time.Second
	// rollbackBad is the number of bad answers from which on rollback counts.
	rollbackBad = 50
)

// budget is how long clients wait for the answer to an order.
const budget = 2 * time.Second

// visit is the arrival of a request at a server.
type visit struct {
	version string
	bad     bool
	at      time.Time
}

// booking is a deployment with one service that takes orders and is moved to other
// versions.
type booking struct {
	*fleet
	run *caseRun
	// fails returns the chance that a request fails at a server.
	fails   func(s *server, r *arrived) float64
	servers []*server

	mu     sync.Mutex
	visits []visit

	stop           chan struct{}
	clients        sync.WaitGroup
	sent, answered atomic.Int64
}

// newBooking starts three instances and three servers of version v1.
func newBooking(c *caseRun, fails func(*server, *arrived) float64) (*booking, error) {
	f, err := c.newFleet(3)
	if err != nil {
		return nil, err
	}
	b := &booking{fleet: f, run: c, fails: fails, stop: make(chan struct{})}
	if err := b.addServers("v1", 3); err != nil {
		return nil, err
	}
	f.configure(3, []map[string]any{route("booking", "non_idempotent", "booking")}, []string{"booking"})
	return b, f.startAll()
}

// addServers starts servers of a version, which report ready.
func (b *booking) addServers(version string, count int) error {
	for n := range count {
		s, err := newServer(fmt.Sprintf("i-%s-%d", version, n), "booking", version, n, b.serve)
		if err != nil {
			return err
		}
		b.servers = append(b.servers, s)
		s.report(b.store, "ready")
	}
	return nil
}

// failing returns a function for newBooking: a share of the answers of a version are
// failures.
func failing(version string, share float64) func(*server, *arrived) float64 {
	return func(s *server, _ *arrived) float64 {
		if s.version == version {
			return share
		}
		return 0
	}
}

// finish does what the platform does on the final state of a move: the servers of the old
// version stop at once, or those of the new one drain some seconds later.
func (b *booking) finish(state, oldVersion, newVersion string) {
	switch state {
	case "completed":
		b.eachOf(oldVersion, func(s *server) {
			s.crash()
			b.store.Remove("servers", s.id)
		})
		b.run.printf("the servers of %s stop", oldVersion)
	case "rolled_back":
		time.Sleep(3 * time.Second)
		b.eachOf(newVersion, func(s *server) { s.report(b.store, "draining") })
		b.run.printf("the servers of %s drain", newVersion)
	}
}

// eachOf calls f with the servers of a version.
func (b *booking) eachOf(version string, f func(*server)) {
	for _, s := range b.servers {
		if s.version == version {
			f(s)
		}
	}
}

func (b *booking) serve(s *server, r *arrived) bool {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return false
	}
	if s.misdirected(r) {
		return true
	}
	bad := rand.Float64() < b.fails(s, r)
	b.mu.Lock()
	b.visits = append(b.visits, visit{s.version, bad, r.at})
	b.mu.Unlock()
	b.run.notef("%s of %s runs %s, fails: %v", s.id, s.version, r.id, bad)
	time.Sleep(20 * time.Millisecond)
	if bad {
		return r.reply(s, "500 Internal Server Error", "")
	}
	return r.reply(s, "200 OK", "booked")
}

// sendOrders starts clients that send one order after the other, with a pause.
func (b *booking) sendOrders(clients int, pause time.Duration) {
	for w := range clients {
		b.clients.Go(func() {
			cl := newClient(w)
			time.Sleep(time.Duration(w) * pause / time.Duration(clients))
			for n := 0; ; n++ {
				select {
				case <-b.stop:
					return
				case <-time.After(pause):
				}
				id := fmt.Sprintf("order-%d-%d", w, n)
				b.run.notef("%s is sent", id)
				a := cl.send(http.MethodPost, b.anyInstance(), "/booking/visit", id, budget, []byte("visit "+id))
				b.run.notef("%s is answered %d after %v, error %v", id, a.status, a.took, a.err)
				b.sent.Add(1)
				if a.status == http.StatusOK {
					b.answered.Add(1)
				}
			}
		})
	}
}

// end stops the clients, the servers and the instances.
func (b *booking) end() {
	close(b.stop)
	b.clients.Wait()
	for _, s := range b.servers {
		s.crash()
	}
	b.close()
}

// order writes an order of the operator to move the service to a version. The spec is
// replaced and the status stays, as the store's page says.
func (b *booking) order(version string, within time.Duration) error {
	body, err := json.Marshal(map[string]any{
		"meta": map[string]any{"name": "booking"},
		"spec": map[string]any{"service": "booking", "target_version": version, "duration_s": within.Seconds()},
	})
	if err != nil {
		return err
	}
	method, path := http.MethodPost, "/objects/rollouts"
	if _, ok := b.store.Object("rollouts", "booking"); ok {
		method, path = http.MethodPut, path+"/booking"
	}
	r, err := http.NewRequest(method, "http://"+b.address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	response.Body.Close()
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("order of %s: status %d", version, response.StatusCode)
	}
	b.run.printf("the operator orders %s within %v", version, within)
	return nil
}

// waitDecided waits until the instances have written a final state of the move, and
// returns the last one.
func (b *booking) waitDecided(timeout time.Duration) string {
	state := ""
	for begin := time.Now(); time.Since(begin) < timeout && state != "completed" && state != "rolled_back"; time.Sleep(20 * time.Millisecond) {
		state = b.moveState()
	}
	b.run.printf("rollouts/booking is %q", state)
	return state
}

// moveState returns the state that the instances have written for the move.
func (b *booking) moveState() string {
	var status struct {
		State string `json:"state"`
	}
	if o, ok := b.store.Object("rollouts", "booking"); ok && len(o.Status) > 0 {
		// A status that cannot be read counts as none.
		_ = json.Unmarshal(o.Status, &status)
	}
	return status.State
}

// judge reports whether EXPOSURE holds for a version that was ordered at a time.
func (b *booking) judge(version string, ordered time.Time, within time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	all, inTime, total, bad, late := 0, 0, 0, 0, 0
	var lastBad time.Time
	for _, v := range b.visits {
		if v.at.Before(ordered) {
			continue
		}
		beforeDeadline := !v.at.After(ordered.Add(within))
		if beforeDeadline {
			all++
		}
		if v.version != version {
			continue
		}
		total++
		if beforeDeadline {
			inTime++
		}
		if !lastBad.IsZero() && v.at.Sub(lastBad) > rollback+budget {
			// It was sent later than rollback after the last bad answer that is allowed.
			late++
		}
		if v.bad {
			if bad++; bad == rollbackBad {
				lastBad = v.at
			}
		}
	}
	bound := exposeShare*float64(all) + exposeSlack
	b.run.printf("%d orders sent, %d answered with success", b.sent.Load(), b.answered.Load())
	b.run.printf("%s got %d of the %d requests of its service between its order and its deadline, %.1f are allowed", version, inTime, all, bound)
	b.run.printf("%s got %d requests in all, %d failed, %d were sent later than %v after the %dth bad answer, none is allowed", version, total, bad, late, rollback, rollbackBad)
	return float64(inTime) <= bound && late == 0
}
