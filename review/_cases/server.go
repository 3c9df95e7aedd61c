package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"jujubegate.example/jujubegate/platform/standin"
)

// Headers of requests to servers and of their answers.
const (
	headerID       = "X-Jujubegate-Attempt-Id"
	headerBudget   = "X-Jujubegate-Time-Budget"
	headerSeal     = "X-Jujubegate-Answer-Seal"
	headerInstance = "X-Jujubegate-Target-Instance"
	headerNotRun   = "X-Jujubegate-Not-Executed"
)

// slots is the number of requests that a server runs at once.
const slots = 16

// arrived is a request that has reached a server.
type arrived struct {
	*http.Request
	id   string
	conn net.Conn
	at   time.Time
}

// server is a stand-in for a back end.
type server struct {
	id, service, version, zone string
	// serve reads the body of a request and answers it. It returns whether the connection
	// stays open.
	serve func(s *server, r *arrived) bool

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]struct{}
	sequence int
	// born is the Unix millisecond of the start.
	born int64
}

// newServer starts a server. Its number in its service says in which zone it is.
func newServer(id, service, version string, number int, serve func(*server, *arrived) bool) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("server %s: %w", id, err)
	}
	s := &server{
		id: id, service: service, version: version, zone: zoneOf(number), serve: serve,
		listener: l, conns: make(map[net.Conn]struct{}), born: time.Now().UnixMilli(),
	}
	go s.accept(l)
	return s, nil
}

func (s *server) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go s.read(c)
	}
}

// read reads the requests on a connection one after the other.
func (s *server) read(c net.Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil || !s.serve(s, &arrived{Request: r, id: r.Header.Get(headerID), conn: c, at: time.Now()}) {
			return
		}
	}
}

// crash ends the server as if its process was killed: its port refuses connections, and
// the open ones are reset.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener.Close()
	for c := range s.conns {
		if t, ok := c.(*net.TCPConn); ok {
			// An error means that the connection is closed already.
			_ = t.SetLinger(0)
		}
		c.Close()
	}
}

// restart starts the server again after a crash, at its address and with its ID.
func (s *server) restart(store *standin.Store) error {
	s.mu.Lock()
	l, err := net.Listen("tcp", s.listener.Addr().String())
	if err != nil {
		s.mu.Unlock()
		return fmt.Errorf("restart of %s: %w", s.id, err)
	}
	s.listener, s.sequence, s.born = l, 0, time.Now().UnixMilli()
	s.mu.Unlock()
	go s.accept(l)
	s.report(store, "ready")
	return nil
}

// report writes the entry of the server.
func (s *server) report(store *standin.Store, state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	store.Put("servers", s.id, map[string]any{
		"service": s.service, "address": s.listener.Addr().String(), "zone": s.zone, "version": s.version, "slots": slots,
		"state": state, "warmup_left_ms": 0, "sequence": s.sequence, "born": s.born,
	})
}

// misdirected answers a request that is meant for another server, and reports whether it
// was one.
func (s *server) misdirected(r *arrived) bool {
	if want := r.Header.Get(headerInstance); want == "" || want == s.id {
		return false
	}
	r.reply(s, "421 Misdirected Request", "")
	return true
}

// reply writes an answer to a request. One that says that the request has not run has no
// signature.
func (r *arrived) reply(s *server, status, body string) bool {
	mark := headerSeal + ": " + s.id + "." + r.id
	if status[:1] == "4" {
		mark = headerNotRun + ": 1"
	}
	_, err := fmt.Fprintf(r.conn, "HTTP/1.1 %s\r\n%s: %s\r\n%s\r\nContent-Length: %d\r\n\r\n%s", status, headerID, r.id, mark, len(body), body)
	return err == nil
}
