package orderer

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/storer"
)

func caseCount(small int) int {
	if n, err := strconv.Atoi(os.Getenv("JUJUBEGATE_CASES")); err == nil && n > 0 {
		return n
	}
	return small
}

const ordersPerWorld = 20

// newID returns a UUIDv7 of the time. uuid.NewV7 keeps the latest time of the
// process, which is later than the time in a synctest bubble.
func newID(at time.Time, random *rand.Rand) uuid.UUID {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:], uint64(at.UnixMilli())<<16|uint64(random.Uint32()&0xffff))
	binary.BigEndian.PutUint64(id[8:], random.Uint64())
	id[6] = id[6]&0x0f | 0x70
	id[8] = id[8]&0x3f | 0x80
	return id
}

// visible is an answer that a caller saw.
type visible struct {
	// number counts the requests with one ID in the order in which they were sent.
	number  int
	outcome jujubegate.Outcome
	reason  jujubegate.Reason
	record  Record
}

// client is one caller with one order, which it repeats until it knows the
// outcome or gives up.
type client struct {
	w       *world
	random  *rand.Rand
	request Request
	seen    []visible
}

func (c *client) run(group *sync.WaitGroup) {
	for n := range 1 + c.random.IntN(6) {
		request := c.request
		request.First = n == 0 || c.w.firstAlways
		if n > 0 && c.random.IntN(20) == 0 {
			request.Body = []byte("another body")
		}
		request.Timeout = time.Duration(50+c.random.IntN(1500)) * time.Millisecond
		// Patience shorter than the timeout: the caller repeats the order
		// while the first request still runs, and never sees its answer.
		patience := request.Timeout + time.Second
		if c.random.IntN(4) == 0 {
			patience = time.Duration(c.random.IntN(200)) * time.Millisecond
		}
		r := c.w.roots[c.random.IntN(len(c.w.roots))]
		ctx, cancel := context.WithCancel(context.WithValue(context.Background(), callKey{}, callNote{number: n}))
		answered := make(chan visible, 1)
		group.Go(func() {
			v := visible{number: n, outcome: jujubegate.Ran}
			record, refusal := r.orderer.Order(ctx, request)
			v.record = record
			if refusal != nil {
				v.outcome, v.reason = refusal.Outcome, refusal.Reason
			}
			answered <- v
		})
		select {
		case v := <-answered:
			c.seen = append(c.seen, v)
		case <-time.After(patience):
			if c.random.IntN(2) == 0 {
				cancel() // the connection closes
			}
		}
		defer cancel()
		time.Sleep(time.Duration(c.random.IntN([]int{50, 2500}[c.random.IntN(2)])) * time.Millisecond)
	}
}

// verify checks what the caller saw against what ran.
func (c *client) verify() error {
	runs := c.w.runs[c.request.ID]
	if len(runs) > 1 {
		return fmt.Errorf("order %s ran %d times", c.request.ID, len(runs))
	}
	for _, v := range c.seen {
		if v.reason == jujubegate.Duplicate {
			continue // says nothing about the order with the other body
		}
		switch v.outcome {
		case jujubegate.NotRun:
			if len(runs) > 0 && runs[0].caller.number <= v.number {
				return fmt.Errorf("order %s was refused as not run (%s) by call %d but ran for call %d",
					c.request.ID, v.reason, v.number, runs[0].caller.number)
			}
		case jujubegate.Ran:
			if len(runs) != 1 {
				return fmt.Errorf("order %s was answered but ran %d times", c.request.ID, len(runs))
			}
			want := fmt.Sprintf(`[{"Order":%q}]`, c.request.ID)
			if v.reason == "" && string(v.record.Rows) != want {
				return fmt.Errorf("order %s was answered with %s", c.request.ID, v.record.Rows)
			}
		}
	}
	return nil
}

type tally struct{ orders, ran, notRun, unknown, duplicates, started int }

// runWorld runs orders against one random world and returns the first broken rule.
func runWorld(t *testing.T, seed uint64, skew time.Duration, spoil func(w *world), s *tally) (broken error) {
	synctest.Test(t, func(*testing.T) {
		random := rand.New(rand.NewPCG(seed, 1))
		w := newWorld(random, skew)
		spoil(w)
		ctx, cancel := context.WithCancel(context.Background())
		var callers, calls, repairs sync.WaitGroup
		for _, r := range w.roots {
			repairs.Go(func() { r.orderer.Run(ctx) })
		}
		clients := make([]*client, ordersPerWorld)
		for i := range clients {
			own := rand.New(rand.NewPCG(seed, uint64(i)+100))
			id := newID(time.Now(), own)
			clients[i] = &client{w: w, random: own, request: Request{
				Service: "Pellets", Route: "Book", Caller: "zora", ID: id, Key: id.String(), Body: []byte("body"),
			}}
			callers.Go(func() {
				time.Sleep(time.Duration(own.IntN(8000)) * time.Millisecond)
				clients[i].run(&calls)
			})
		}
		if w.number(2) == 0 {
			time.Sleep(time.Duration(w.number(8000)) * time.Millisecond)
			w.crash(w.roots[0])
		}
		if w.number(3) == 0 {
			time.Sleep(time.Duration(w.number(4000)) * time.Millisecond)
			w.setOutage(true)
			time.Sleep(time.Duration(w.number(4000)) * time.Millisecond)
			w.setOutage(false)
		}
		callers.Wait()
		w.mu.Lock()
		w.calm = true
		w.mu.Unlock()
		time.Sleep(5 * time.Minute) // repairs finish
		for _, r := range w.roots {
			if n := r.orderer.PendingRepairs(); n > 0 && !r.crashed {
				broken = errors.Join(broken, fmt.Errorf("%d repairs are left", n))
			}
		}
		close(w.end)
		calls.Wait()
		cancel()
		repairs.Wait()
		synctest.Wait()
		w.mu.Lock() // orders the reads after the writes of streams that outlive their call
		defer w.mu.Unlock()
		for _, c := range clients {
			broken = errors.Join(broken, c.verify(), w.verifyRecord(c, s))
			s.add(c)
		}
		for _, f := range w.faults {
			broken = errors.Join(broken, errors.New(f))
		}
	})
	return broken
}

func (w *world) setOutage(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outage = on
}

// verifyRecord checks the record that is left in the end.
func (w *world) verifyRecord(c *client, s *tally) error {
	o := &Orderer{Store: w.store.store()}
	record, refusal := o.Lookup(context.Background(), c.request.Service, c.request.ID)
	runs := len(w.runs[c.request.ID])
	if refusal != nil {
		if refusal.Reason != NoRecord || runs > 0 {
			return fmt.Errorf("order %s ran %d times and has no record: %w", c.request.ID, runs, refusal)
		}
		return nil
	}
	switch {
	case record.State == Ran && runs != 1, record.State == NotRun && runs != 0:
		return fmt.Errorf("order %s is recorded as %s and ran %d times", c.request.ID, record.State, runs)
	case record.State == Started:
		s.started++
	}
	return nil
}

func (s *tally) add(c *client) {
	s.orders++
	for _, v := range c.seen {
		switch {
		case v.reason == jujubegate.Duplicate:
			s.duplicates++
		case v.outcome == jujubegate.Ran:
			s.ran++
		case v.outcome == jujubegate.NotRun:
			s.notRun++
		default:
			s.unknown++
		}
	}
}

func TestOrdersInRandomWorlds(t *testing.T) {
	// Guards against an order that runs twice and against a false "not run",
	// for lost answers, late effects, outages, pauses, crashes, and repeats
	// through several roots at once.
	var s tally
	for i := range max(caseCount(4000)/ordersPerWorld, 1) {
		if err := runWorld(t, uint64(i), maxSkew/2, func(*world) {}, &s); err != nil {
			t.Fatalf("seed %d: %v", i, err)
		}
	}
	t.Logf("%+v", s)
	if s.orders >= 4000 && (s.ran == 0 || s.notRun == 0 || s.unknown == 0) {
		t.Fatal("the cases did not meet all outcomes")
	}
}

func TestChecksCatchBrokenRules(t *testing.T) {
	// Negative control: a world in which one rule is broken must be caught.
	cases := []struct {
		name  string
		skew  time.Duration
		spoil func(w *world)
	}{
		{"store ignores versions", 0, func(w *world) {
			for _, r := range w.roots {
				put, get := r.orderer.Store.Put, w.get
				r.orderer.Store.Put = func(ctx context.Context, key string, value []byte, _ int64) (storer.Object, error) {
					w.store.mu.Lock()
					o, _ := get(key)
					w.store.mu.Unlock()
					return put(ctx, key, value, o.Version)
				}
			}
		}},
		{"tokens are not unique", 0, func(w *world) {
			for _, r := range w.roots {
				r.orderer.NewToken = func() string { return "token" }
			}
		}},
		{"targets lie about runs", 0, func(w *world) { w.liesNotRun = true }},
		{"clocks differ too much", 20 * time.Second, func(w *world) { w.hostility, w.pauses = 0, 50 }},
		{"callers repeat orders as first ones", 0, func(w *world) {
			w.hostility = 40
			w.firstAlways = true
		}},
	}
	for _, c := range cases {
		var err error
		n := 0
		for ; n < 2000 && err == nil; n++ {
			err = runWorld(t, uint64(n), c.skew, c.spoil, &tally{})
		}
		if err == nil {
			t.Errorf("%s: not caught", c.name)
		}
		t.Logf("%s: caught after %d worlds", c.name, n)
	}
}
