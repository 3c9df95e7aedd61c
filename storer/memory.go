package storer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"jujubegate.example/jujubegate"
)

// MaxPageSize bounds the total size of the values in one result of List or
// Watch, in bytes. A result may hold fewer objects than the limit of the call
// for this reason, but at least one if any match.
const MaxPageSize = 4 << 20

// Faults are the faults that a Memory injects. The zero value injects none.
type Faults struct {
	// Latency is added to each call. A write whose context ends during this
	// delay takes effect nevertheless.
	Latency time.Duration
	// Outage fails every call with ErrUnavailable.
	Outage bool
	// Hang blocks every call until its context ends or Hang is reset.
	Hang bool
	// LostAnswers is the share of writes that take effect and report ErrUnknown.
	LostAnswers float64
	// LostRequests is the share of writes that report ErrUnknown without effect.
	LostRequests float64
	// LateWrites is the share of writes that report ErrUnknown at once and are
	// applied after the delay LateBy, if their condition holds then.
	LateWrites float64
	LateBy     time.Duration
}

// Calls counts the calls that a Memory received.
type Calls struct {
	Gets, Puts, Deletes, Lists, Watches int64
}

// Memory is an in-memory object API for tests, with injectable faults. Pass its
// field Store, or a copy of it with some functions replaced, where a Store is
// needed. The version log that watches read grows with each write.
type Memory struct {
	Store

	clock jujubegate.Clock

	mu         sync.Mutex
	random     *rand.Rand
	faults     Faults
	calls      Calls
	revision   int64
	objects    map[string]Object
	log        []logEntry
	lateWrites []lateWrite
	changed    chan struct{}
}

// logEntry records that the key was written or deleted at the version.
type logEntry struct {
	version int64
	key     string
}

type lateWrite struct {
	due     time.Time
	key     string
	value   []byte
	version int64
}

// NewMemory returns an empty store. The seed determines which writes fail.
func NewMemory(clock jujubegate.Clock, seed uint64) *Memory {
	m := &Memory{
		clock:   clock,
		random:  rand.New(rand.NewPCG(seed, seed)),
		objects: map[string]Object{},
		changed: make(chan struct{}),
	}
	m.Store = Store{Get: m.get, Put: m.put, Delete: m.remove, List: m.list, Watch: m.watch}
	return m
}

// SetFaults replaces the injected faults and wakes waiting calls.
func (m *Memory) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
	m.wakeWaiters()
}

// Calls returns the counts of the calls so far.
func (m *Memory) Calls() Calls {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// Revision applies the late writes that are due and returns the version of the
// newest write.
func (m *Memory) Revision() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyLate()
	return m.revision
}

func (m *Memory) get(ctx context.Context, key string) (Object, error) {
	if err := m.read(ctx, &m.calls.Gets); err != nil {
		return Object{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyLate()
	o, ok := m.objects[key]
	if !ok || o.Value == nil {
		return Object{}, fmt.Errorf("%w: %q", ErrNotFound, key)
	}
	return cloneObject(o), nil
}

func (m *Memory) put(ctx context.Context, key string, value []byte, version int64) (Object, error) {
	if len(value) > MaxValueSize {
		return Object{}, fmt.Errorf("%w: %q has %d bytes", ErrTooLarge, key, len(value))
	}
	stored := append([]byte{}, value...)
	return m.write(ctx, &m.calls.Puts, key, stored, version)
}

func (m *Memory) remove(ctx context.Context, key string, version int64) error {
	_, err := m.write(ctx, &m.calls.Deletes, key, nil, version)
	return err
}

func (m *Memory) list(ctx context.Context, prefix, after string, limit int) ([]Object, error) {
	if err := m.read(ctx, &m.calls.Lists); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyLate()
	var keys []string
	for key, o := range m.objects {
		if o.Value != nil && key > after && strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	var page page
	for _, key := range keys {
		if len(page.objects) >= limit || !page.add(m.objects[key]) {
			break
		}
	}
	return page.objects, nil
}

func (m *Memory) watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Object, error) {
	if err := m.read(ctx, &m.calls.Watches); err != nil {
		return nil, err
	}
	timeout := m.clock.After(wait)
	for {
		m.mu.Lock()
		m.applyLate()
		objects := m.changedSince(prefix, after)
		faults, changed := m.faults, m.changed
		if len(objects) == 0 {
			// Nothing up to this revision matched, so the next scan can skip it.
			after = max(after, m.revision)
		}
		m.mu.Unlock()
		switch {
		case faults.Outage || faults.Hang:
			if err := m.awaitAvailable(ctx); err != nil {
				return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
			}
		case len(objects) > 0:
			return objects, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return nil, nil
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: %w", ErrUnavailable, context.Cause(ctx))
		}
	}
}

// changedSince returns the objects whose newest version is greater than after.
func (m *Memory) changedSince(prefix string, after int64) []Object {
	first, _ := slices.BinarySearchFunc(m.log, after+1, func(e logEntry, version int64) int {
		return int(e.version - version)
	})
	var page page
	for _, e := range m.log[first:] {
		o := m.objects[e.key]
		if o.Version != e.version || !strings.HasPrefix(e.key, prefix) {
			continue
		}
		if !page.add(o) {
			break
		}
	}
	return page.objects
}

// page collects copies of objects up to a total value size of MaxPageSize.
type page struct {
	objects []Object
	size    int
}

func (p *page) add(o Object) bool {
	p.size += len(o.Value)
	if len(p.objects) > 0 && p.size > MaxPageSize {
		return false
	}
	p.objects = append(p.objects, cloneObject(o))
	return true
}

func cloneObject(o Object) Object {
	if o.Value != nil {
		o.Value = append([]byte{}, o.Value...)
	}
	return o
}
