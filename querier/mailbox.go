package querier

import (
	"sync"

	"jujubegate.example/jujubegate"
)

// event is a delivery of results of a stream, or the end of the stream. stream is an
// index into run.streams.
type event struct {
	stream  int
	results []jujubegate.SubResult
	ended   bool
	err     error
}

// mailbox is an unbounded queue of events from the streams to the loop of a query.
// Streams never block on it, so that a slow query does not delay other results of
// an owner.
type mailbox struct {
	mu     sync.Mutex
	events []event
	closed bool
	// ready signals new events; it has a buffer of one.
	ready chan struct{}
	// onLate is called with the number of results that arrived too late for the query.
	onLate func(results int)
}

func newMailbox(onLate func(int)) *mailbox {
	return &mailbox{ready: make(chan struct{}, 1), onLate: onLate}
}

func (m *mailbox) put(e event) {
	m.mu.Lock()
	if m.closed {
		m.mu.Unlock()
		if len(e.results) > 0 {
			m.onLate(len(e.results))
		}
		return
	}
	m.events = append(m.events, e)
	m.mu.Unlock()
	select {
	case m.ready <- struct{}{}:
	default:
	}
}

// take returns the queued events. It reuses empty as the buffer for later events.
func (m *mailbox) take(empty []event) []event {
	m.mu.Lock()
	defer m.mu.Unlock()
	events := m.events
	m.events = empty[:0]
	return events
}

// close drops the queued and all later events, and counts their results as late.
func (m *mailbox) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	for _, e := range m.events {
		if len(e.results) > 0 {
			m.onLate(len(e.results))
		}
	}
	m.events = nil
}
