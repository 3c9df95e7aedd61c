package main

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"jujubegate.example/jujubegate/platform/standin"
)

// record is the file in which a case writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now()}, nil
}

// write writes a line with the time since the start of the case.
func (r *record) write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// at returns a time as the record shows it.
func (r *record) at(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(r.start).Seconds()) }

// answer is what a client received.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("status %d, Retry-After %q, %q", a.status, a.header.Get("Retry-After"), strings.TrimSpace(a.body))
}

// sending is one client attempt. Its status is 0 without an answer.
type sending struct {
	address      string
	text         string
	status       int
	at, answered time.Time
}

// traffic is what clients send.
type traffic struct {
	record *record
	stop   chan struct{}
	group  sync.WaitGroup

	mu   sync.Mutex
	sent map[string]sending
}

// end stops the clients and waits for their last answers.
func (t *traffic) end() {
	close(t.stop)
	t.group.Wait()
}

// client is a caller that asks one machine's directory where to connect and keeps the
// answer for the time that it names.
type client struct {
	nearest   *machine
	http      *http.Client
	addresses []string
	until     time.Time
	turn      int
	// failed are the addresses that gave no answer.
	failed map[string]bool
}

func newClient(nearest *machine) *client {
	t := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 8}
	return &client{nearest: nearest, http: &http.Client{Transport: t}, failed: make(map[string]bool)}
}

// address returns the address of a machine that takes requests; empty if none is known.
func (c *client) address() string {
	if time.Now().After(c.until) {
		if found, valid := resolve(&http.Client{Transport: c.http.Transport, Timeout: time.Second}, c.nearest); len(found) > 0 {
			c.addresses, c.until = found, time.Now().Add(valid)
		}
	}
	for range c.addresses {
		c.turn++
		if a := c.addresses[c.turn%len(c.addresses)]; !c.failed[a] {
			return a
		}
	}
	clear(c.failed)
	return ""
}

// avoid excludes an address that gave no answer.
func (c *client) avoid(address string, a answer) {
	if a.err != nil {
		c.failed[address] = true
	}
}

// send sends one client attempt to an address.
func (c *client) send(address, method, path, id, body string, budget time.Duration) answer {
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	r, err := standin.NewRequest(method, address, path, id, int(budget.Milliseconds()), reader)
	if err != nil {
		return answer{err: err}
	}
	caller := *c.http
	caller.Timeout = budget
	response, err := caller.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, response.Header, string(text), err}
}

// writeAll writes all that was sent and answered, in the order of sending.
func (t *traffic) writeAll() {
	t.record.write("all client attempts: ID, machine, sent, answered, status")
	ids := slices.SortedFunc(maps.Keys(t.sent), func(a, b string) int { return t.sent[a].at.Compare(t.sent[b].at) })
	for _, id := range ids {
		s := t.sent[id]
		t.record.write("%s %s %s %s %d", id, s.address, t.record.at(s.at), t.record.at(s.answered), s.status)
	}
}

// writeAll writes all that reached the backends.
func (ds *desks) writeAll(r *record) {
	r.write("all arrivals at backends: ID, backend, time, whether it ran, body")
	for _, k := range ds.list {
		for _, a := range k.arrived() {
			r.write("%s %s %s %v %q", a.id, k.id, r.at(a.at), a.run, a.text)
		}
	}
}

// writeRuns writes all that the targets ran.
func writeRuns(r *record, ledger *standin.Ledger) {
	r.write("all runs at backends: ID, backend, time, request, body")
	var all []standin.Run
	ledger.All(func(_ string, runs []standin.Run) { all = append(all, runs...) })
	slices.SortFunc(all, func(a, b standin.Run) int { return a.At.Compare(b.At) })
	for _, run := range all {
		r.write("%s %s %s %q %q", run.ID, run.Target, r.at(run.At), run.RequestLine, run.Body)
	}
}
