package main

import (
	"fmt"
	"net/http"
	"time"
)

// greyShare is the share of its requests that a grey backend fails, and greyTime for how
// long it does.
const (
	greyShare = 0.4
	greyTime  = 5 * time.Second
)

// playRefused sends orders while one of eight backends fails part of them with its own
// 503, which does not say that it has not run them.
func playRefused(r *record, trouble bool) (bool, error) {
	d, err := newDeployment(2)
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
	t := newTraffic(r, d.machines, 4, 20*time.Millisecond, http.MethodPost)
	time.Sleep(3 * time.Second)
	grey := ds.list[0]
	if trouble {
		r.write("%s fails %v of its requests", grey.id, greyShare)
		grey.set(mode{failing: greyShare})
	}
	time.Sleep(greyTime)
	grey.set(mode{})
	r.write("%s is well", grey.id)
	time.Sleep(time.Second)
	t.end()
	t.writeAll()
	ds.writeAll(r)
	refused, booked := 0, make(map[string]int)
	for _, k := range ds.list {
		for _, a := range k.arrived() {
			booked[a.text]++
			s := t.sent[a.id]
			if s.status == http.StatusServiceUnavailable || s.status == http.StatusTooManyRequests {
				refused++
				r.write("order %s (%s) ran on %s at %s, and its client was answered %d at %s", a.id, a.text, k.id, r.at(a.at), s.status, r.at(s.answered))
			}
		}
	}
	twice := 0
	for _, n := range booked {
		if n > 1 {
			twice++
		}
	}
	r.write("%d of %d client attempts were answered as not run and have run; %d of %d visits are booked twice", refused, len(t.sent), twice, len(booked))
	return refused > 0, nil
}

// newTraffic starts clients that send orders or look-ups with a pause between them.
func newTraffic(r *record, machines []*machine, clients int, pause time.Duration, method string) *traffic {
	t := &traffic{record: r, sent: make(map[string]sending), stop: make(chan struct{})}
	for n := range clients {
		t.group.Go(func() { t.run(newClient(machines[n%len(machines)]), n, pause, method) })
	}
	return t
}

func (t *traffic) run(c *client, n int, pause time.Duration, method string) {
	for i := 0; ; i++ {
		select {
		case <-t.stop:
			return
		case <-time.After(pause):
		}
		text, path, attempts := "", "/look-up/x", 1
		if method == http.MethodPost {
			// After a promise that it has not run, a client sends an order once more.
			text, path, attempts = fmt.Sprintf("visit %d-%d", n, i), "/order/x", 2
		}
		for attempt := range attempts {
			if s := t.send(c, fmt.Sprintf("a-%d-%d-%d", n, i, attempt), method, path, text); s != http.StatusServiceUnavailable && s != http.StatusTooManyRequests {
				break
			}
		}
	}
}

// send sends one client attempt and returns the status of its answer, 0 if there is none.
func (t *traffic) send(c *client, id, method, path, text string) int {
	s := sending{address: c.address(), text: text, at: time.Now()}
	if s.address == "" {
		return 0
	}
	a := c.send(s.address, method, path, id, text, 2*time.Second)
	s.status, s.answered = a.status, time.Now()
	if a.status != http.StatusOK {
		t.record.write("%s %s to %s: %v", method, id, s.address, a)
		c.avoid(s.address, a)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent[id] = s
	return a.status
}
