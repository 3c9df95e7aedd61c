package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"jujubegate.example/jujubegate/platform/standin"
)

// Headers between the system and backends.
const (
	headerID       = "X-Jujubegate-Attempt-Id"
	headerExpected = "X-Jujubegate-Target-Instance"
	headerSeal     = "X-Jujubegate-Answer-Seal"
	headerNotRun   = "X-Jujubegate-Not-Executed"
)

// mode is how a backend behaves.
type mode struct {
	// failing is the share of the requests that the backend runs and answers 503, without
	// the header that says that it has not run them.
	failing float64
	// retryAfter is the Retry-After with which it turns all requests away; empty if it
	// does not.
	retryAfter string
	// coldUntil is until when it is cold. It crashes if it then gets coldCrash requests in
	// a second; 0 means that it does not.
	coldUntil time.Time
	coldCrash int
	// dark holds all answers back.
	dark bool
}

// arrival is one request that reached a backend.
type arrival struct {
	id, text string
	at       time.Time
	// run is set if the backend began to work on it.
	run bool
}

// desk is a backend of the service standin.Single.
type desk struct {
	id, zone, address string
	work              time.Duration
	server            *http.Server

	mu       sync.Mutex
	mode     mode
	arrivals []arrival
	crashed  time.Time
}

func newDesk(n int, work time.Duration) (*desk, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &desk{id: fmt.Sprintf("i-%d", n), zone: fmt.Sprintf("zone-%d", n%2), address: l.Addr().String(), work: work}
	k.server = &http.Server{Handler: k, ReadHeaderTimeout: time.Minute}
	go func() { _ = k.server.Serve(l) }()
	return k, nil
}

func (k *desk) set(m mode) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.mode = m
}

// arrived returns the requests that reached the backend.
func (k *desk) arrived() []arrival {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Clone(k.arrivals)
}

// close ends the backend with all its connections.
func (k *desk) close() { k.server.Close() }

// entry returns the spec of the backend's entry in the store.
func (k *desk) entry(sequence int, coldFor time.Duration) map[string]any {
	return map[string]any{
		"service": standin.Single, "address": k.address, "zone": k.zone, "version": "v1", "slots": 8,
		"state": "ready", "warmup_left_ms": coldFor.Milliseconds(), "sequence": sequence, "born": 1,
	}
}

// begin records a request and returns the mode in which it is answered.
func (k *desk) begin(id, text string) mode {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	k.arrivals = append(k.arrivals, arrival{id, text, now, k.mode.retryAfter == ""})
	if k.mode.coldCrash > 0 && now.Before(k.mode.coldUntil) {
		n := 0
		for _, a := range k.arrivals {
			if now.Sub(a.at) < time.Second && !a.at.Before(k.mode.coldUntil.Add(-warmup)) {
				n++
			}
		}
		if n >= k.mode.coldCrash && k.crashed.IsZero() {
			k.crashed = now
			go k.server.Close()
		}
	}
	return k.mode
}

func (k *desk) isDark() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.mode.dark
}

// ServeHTTP answers a request under its ID.
func (k *desk) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerID)
	w.Header().Set(headerID, id)
	if want := r.Header.Get(headerExpected); want != "" && want != k.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	m := k.begin(id, string(body))
	for k.isDark() {
		time.Sleep(5 * time.Millisecond)
	}
	if m.retryAfter != "" {
		w.Header().Set(headerNotRun, "1")
		w.Header().Set("Retry-After", m.retryAfter)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(k.work)
	seal, part := standin.Part(standin.Single, id)
	w.Header().Set(headerSeal, seal)
	if rand.Float64() < m.failing {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write(part)
}

// desks are the backends of a deployment, which write their entries to the store.
type desks struct {
	deployment *deployment
	list       []*desk

	mu       sync.Mutex
	sequence []int
	silent   []bool
	stop     chan struct{}
	group    sync.WaitGroup
}

// heartbeat is heartbeat_ms, and silence the time without one after which the store
// removes the entry of a backend: three intervals.
const (
	heartbeat = 1200 * time.Millisecond
	silence   = 3 * heartbeat
)

func newDesks(d *deployment, n int, work time.Duration) (*desks, error) {
	ds := &desks{deployment: d, sequence: make([]int, n), silent: make([]bool, n), stop: make(chan struct{})}
	for i := range n {
		k, err := newDesk(i, work)
		if err != nil {
			ds.close()
			return nil, err
		}
		ds.list = append(ds.list, k)
		ds.beat(i, 0)
	}
	ds.group.Go(func() {
		for {
			select {
			case <-ds.stop:
				return
			case <-time.After(heartbeat):
			}
			for i := range ds.list {
				ds.beat(i, 0)
			}
		}
	})
	return ds, nil
}

// beat writes the entry of a backend, unless it is silent.
func (ds *desks) beat(i int, coldFor time.Duration) {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	if ds.silent[i] {
		return
	}
	ds.sequence[i]++
	ds.deployment.store.Put("servers", ds.list[i].id, ds.list[i].entry(ds.sequence[i], coldFor))
}

// silence stops the beats of a backend, or lets it beat again.
func (ds *desks) silence(i int, silent bool) {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	ds.silent[i] = silent
}

func (ds *desks) close() {
	close(ds.stop)
	ds.group.Wait()
	for _, k := range ds.list {
		k.close()
	}
}
