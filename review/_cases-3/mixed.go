package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"time"
)

// options: a client that the platform does not control asks with OPTIONS and the target *,
// which HTTP/1.1 allows and no route matches.
func options(w *world) (bool, error) {
	if err := w.addBackends("scheduler", 2, shape{slots: 3, queue: 12, work: 20 * time.Millisecond, idle: 5 * time.Second}); err != nil {
		return false, err
	}
	w.configure([]map[string]any{route("visit-booking", "/visit/", "idempotent", "scheduler", 6000, 600)}, "scheduler")
	if err := w.addInstances(3); err != nil {
		return false, err
	}
	if err := w.waitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	unsealed := 0
	for n := range 30 {
		line := fmt.Sprintf("GET /visit/%d", n)
		if w.trouble && n%3 == 0 {
			line = "OPTIONS *"
		}
		status, sealed, err := rawAsk(w.fleet[n%len(w.fleet)].callers, line, fmt.Sprintf("o%04d", n))
		w.note("%s: status %d, signature %v, error %v", line, status, sealed, err)
		if status/100 == 2 && !sealed {
			unsealed++
		}
	}
	w.note("successes without the signature of a back end: %d, allowed 0", unsealed)
	return unsealed == 0, nil
}

// rawAsk sends a request with the given method and target on a connection of its own.
func rawAsk(address, line, id string) (status int, sealed bool, err error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, false, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := fmt.Fprintf(c, "%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 2000\r\n\r\n", line, host, headerID, id, headerBudget); err != nil {
		return 0, false, err
	}
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, false, err
	}
	r.Body.Close()
	return r.StatusCode, r.Header.Get(headerSeal) != "", nil
}
