package storer

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"
)

var errOutage = errors.New("injected outage")

// read counts a read and applies the injected faults that precede it.
func (m *Memory) read(ctx context.Context, counter *int64) error {
	m.mu.Lock()
	*counter++
	latency := m.faults.Latency
	m.mu.Unlock()
	if err := m.sleep(ctx, latency); err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if err := m.awaitAvailable(ctx); err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return nil
}

// write counts a write, applies the injected faults and performs the write. A
// nil value deletes the object.
func (m *Memory) write(ctx context.Context, counter *int64, key string, value []byte, version int64) (Object, error) {
	m.mu.Lock()
	*counter++
	faults := m.faults
	draw := m.random.Float64()
	m.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return Object{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	sent := m.clock.Now()
	if err := m.sleep(ctx, faults.Latency); err != nil {
		m.scheduleLate(lateWrite{sent.Add(faults.Latency), key, value, version})
		return Object{}, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	if err := m.awaitAvailable(ctx); err != nil {
		if errors.Is(err, errOutage) {
			return Object{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		return Object{}, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	switch lost := faults.LostRequests; {
	case draw < lost:
		return Object{}, fmt.Errorf("%w: injected loss of the request for %q", ErrUnknown, key)
	case draw < lost+faults.LateWrites:
		m.scheduleLate(lateWrite{m.clock.Now().Add(faults.LateBy), key, value, version})
		return Object{}, fmt.Errorf("%w: injected delay of the request for %q", ErrUnknown, key)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyLate()
	o, err := m.apply(key, value, version)
	if draw < faults.LostRequests+faults.LateWrites+faults.LostAnswers {
		return Object{}, fmt.Errorf("%w: injected loss of the answer for %q", ErrUnknown, key)
	}
	return o, err
}

// apply performs a write if its version condition holds. The caller holds the
// lock.
func (m *Memory) apply(key string, value []byte, version int64) (Object, error) {
	current := m.objects[key]
	exists := current.Value != nil
	switch {
	case !exists && value == nil:
		return Object{}, fmt.Errorf("%w: %q", ErrNotFound, key)
	case exists && current.Version != version, !exists && version != 0:
		seen := Object{Key: key}
		if exists {
			seen.Version = current.Version
		}
		return seen, fmt.Errorf("%w: %q has version %d, not %d", ErrConflict, key, seen.Version, version)
	}
	m.revision++
	o := Object{Key: key, Version: m.revision, Value: value}
	m.objects[key] = o
	m.log = append(m.log, logEntry{version: m.revision, key: key})
	m.wakeWaiters()
	return cloneObject(o), nil
}

// applyLate performs the late writes that are due. The caller holds the lock.
func (m *Memory) applyLate() {
	now := m.clock.Now()
	for len(m.lateWrites) > 0 && !m.lateWrites[0].due.After(now) {
		w := m.lateWrites[0]
		m.lateWrites = m.lateWrites[1:]
		// The writer already got ErrUnknown, so nobody receives this result.
		_, _ = m.apply(w.key, w.value, w.version)
	}
}

func (m *Memory) scheduleLate(w lateWrite) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lateWrites = append(m.lateWrites, w)
	slices.SortStableFunc(m.lateWrites, func(a, b lateWrite) int { return a.due.Compare(b.due) })
}

// awaitAvailable blocks while a hang is injected, and returns an error during
// an outage or when the context ends.
func (m *Memory) awaitAvailable(ctx context.Context) error {
	for {
		m.mu.Lock()
		faults, changed := m.faults, m.changed
		m.mu.Unlock()
		switch {
		case faults.Outage:
			return errOutage
		case !faults.Hang:
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

func (m *Memory) sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	if deadline, ok := ctx.Deadline(); ok && deadline.Before(m.clock.Now().Add(d)) {
		// After a stall of the process both times may be over at once.
		<-ctx.Done()
		return context.Cause(ctx)
	}
	select {
	case <-m.clock.After(d):
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// wakeWaiters wakes all waiting calls, which then check the state again. The
// caller holds the lock.
func (m *Memory) wakeWaiters() {
	close(m.changed)
	m.changed = make(chan struct{})
}
