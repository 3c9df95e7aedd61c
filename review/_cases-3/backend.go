package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Headers of requests to back ends and of their answers.
const (
	headerID         = "X-Jujubegate-Attempt-Id"
	headerBudget     = "X-Jujubegate-Time-Budget"
	headerSeal       = "X-Jujubegate-Answer-Seal"
	headerTarget     = "X-Jujubegate-Target-Instance"
	headerLoad       = "X-Jujubegate-Server-Load"
	headerNotRun     = "X-Jujubegate-Not-Executed"
	headerInstanceID = "X-Jujubegate-Instance-Id"
)

// arrival is one request that reached a back end. From is the address of the connection.
type arrival struct {
	at             time.Time
	backend, id    string
	path           string
	ran, turnedOff bool
}

// shape is how a back end behaves.
type shape struct {
	slots, queue int
	work         time.Duration
	// idle is after which time an idle connection is closed; it is stated in Keep-Alive.
	idle time.Duration
	// crashOn is a part of the path of requests that end the process of the back end, after
	// crashAfter of work. It is back after downFor.
	crashOn    string
	crashAfter time.Duration
	downFor    time.Duration
	// answer returns the status with which a request that runs is answered; nil means 200.
	answer func(path string) int
	// awayAfter is how long it takes to turn a request away with Retry-After.
	awayAfter time.Duration
}

// backend is a stand-in for one back end.
type backend struct {
	shape
	id, service, zone, version string
	// away is until when requests are turned away with Retry-After. mu guards it.
	away time.Time

	world    *world
	address  string
	born     int64
	sequence int

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]struct{}
	running  int
	waiting  int
	free     chan struct{}
	crashes  int
}

func (b *backend) start() error {
	address := b.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("back end %s: %w", b.id, err)
	}
	b.mu.Lock()
	b.address, b.listener, b.conns = l.Addr().String(), l, make(map[net.Conn]struct{})
	b.running, b.waiting, b.free = 0, 0, make(chan struct{}, b.slots)
	b.mu.Unlock()
	go b.accept(l)
	return nil
}

func (b *backend) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		if b.listener != l {
			b.mu.Unlock()
			c.Close()
			return
		}
		b.conns[c] = struct{}{}
		b.mu.Unlock()
		go b.serve(c, l)
	}
}

// crash ends the process of the back end, as far as others see.
func (b *backend) crash() {
	b.mu.Lock()
	if b.listener == nil {
		b.mu.Unlock()
		return
	}
	b.crashes++
	b.listener.Close()
	b.listener = nil
	for c := range b.conns {
		c.Close()
	}
	b.mu.Unlock()
	b.world.note("back end %s crashed", b.id)
	time.AfterFunc(b.downFor, func() {
		if b.world.ended.Load() {
			return
		}
		if err := b.start(); err != nil {
			b.world.note("back end %s is not back: %v", b.id, err)
			return
		}
		b.world.note("back end %s is back", b.id)
	})
}

func (b *backend) alive(l net.Listener) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.listener == l
}

func (b *backend) serve(c net.Conn, l net.Listener) {
	defer func() {
		c.Close()
		b.mu.Lock()
		delete(b.conns, c)
		b.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		if b.idle > 0 {
			_ = c.SetReadDeadline(time.Now().Add(b.idle))
		}
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !b.alive(l) {
			return
		}
		response := b.respond(r, l)
		if response == "" || !b.alive(l) {
			return
		}
		if _, err := io.WriteString(c, response); err != nil {
			return
		}
	}
}

func (b *backend) respond(r *http.Request, l net.Listener) string {
	id := r.Header.Get(headerID)
	if want := r.Header.Get(headerTarget); want != "" && want != b.id {
		return b.message(http.StatusMisdirectedRequest, id, headerNotRun+": 1\r\n", nil)
	}
	a := arrival{at: time.Now(), backend: b.id, id: id, path: r.URL.Path}
	b.mu.Lock()
	away := b.away
	full := b.waiting >= b.queue
	if !full {
		b.waiting++
	}
	b.mu.Unlock()
	if left := time.Until(away); left > 0 || full {
		a.turnedOff = true
		b.world.arrived(a)
		if !full {
			b.mu.Lock()
			b.waiting--
			b.mu.Unlock()
		}
		extra := headerNotRun + ": 1\r\n"
		if left > 0 {
			time.Sleep(b.awayAfter)
			left = time.Until(away)
			extra += "Retry-After: " + strconv.FormatFloat(max(left.Seconds(), 0), 'f', 3, 64) + "\r\n"
			b.world.turnedAway(b.id, left)
		}
		return b.message(http.StatusServiceUnavailable, id, extra, nil)
	}
	b.mu.Lock()
	free := b.free
	b.mu.Unlock()
	free <- struct{}{}
	b.mu.Lock()
	b.waiting--
	b.running++
	b.mu.Unlock()
	defer func() {
		<-free
		b.mu.Lock()
		b.running--
		b.mu.Unlock()
	}()
	if !b.alive(l) {
		return ""
	}
	a.ran = true
	b.world.arrived(a)
	if b.crashOn != "" && strings.Contains(r.URL.Path, b.crashOn) {
		time.Sleep(b.crashAfter)
		b.crash()
		return ""
	}
	time.Sleep(b.work)
	status := http.StatusOK
	if b.answer != nil {
		status = b.answer(r.URL.Path)
	}
	b.mu.Lock()
	load := fmt.Sprintf("%s: %d,%d,%d\r\n", headerLoad, b.running, b.waiting, b.slots)
	b.mu.Unlock()
	return b.message(status, id, headerSeal+": "+seal(b.service, id)+"\r\n"+load, part(b.service, id))
}

func (b *backend) message(status int, id, extra string, body []byte) string {
	keep := ""
	if b.idle >= time.Second {
		keep = fmt.Sprintf("Keep-Alive: timeout=%d\r\n", int(b.idle.Seconds()))
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%s%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), headerID, id, extra, keep, len(body), body)
}

// seal is the signature of a service under its answer to a request.
func seal(service, id string) string {
	sum := sha256.Sum256([]byte("seal/" + service + "/" + id))
	return hex.EncodeToString(sum[:8])
}

// part is the body of the answer of a service to a request: four records.
func part(service, id string) []byte {
	var body []byte
	for i := range 2 {
		sum := sha256.Sum256([]byte(fmt.Sprintf("part/%s/%s/%d", service, id, i)))
		body = append(body, sum[:]...)
	}
	return body
}

// entry is the spec of the entry of the back end.
func (b *backend) entry(state string) map[string]any {
	b.sequence++
	return map[string]any{
		"service": b.service, "address": b.address, "zone": b.zone, "version": b.version, "slots": b.slots, "state": state,
		"warmup_left_ms": 0, "sequence": b.sequence, "born": b.born,
	}
}
