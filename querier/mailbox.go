package querier

import (
	"sync"

	"jujubegate.example/jujubegate"
)

// event is one delivery or the end of a stream.
type event struct {
	stream  int
	results []jujubegate.SubResult
	ended   bool
	err     error
}

// mailbox passes events from the streams to the query's loop without blocking
// a stream, so that one slow query does not hold up an owner's results.
type mailbox struct {
	mu     sync.Mutex
	events []event
	closed bool
	// ready holds one element while there are events.
	ready chan struct{}
	// late is called with results that arrive after the query's end.
	late func(results int)
}

func newMailbox(late func(int)) *mailbox {
	return &mailbox{ready: make(chan struct{}, 1), late: late}
}

func (m *mailbox) put(e event) {
	m.mu.Lock()
	if m.closed {
		m.mu.Unlock()
		if len(e.results) > 0 {
			m.late(len(e.results))
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

// take returns the events so far; empty becomes the buffer for the next ones.
func (m *mailbox) take(empty []event) []event {
	m.mu.Lock()
	defer m.mu.Unlock()
	events := m.events
	m.events = empty[:0]
	return events
}

func (m *mailbox) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	for _, e := range m.events {
		if len(e.results) > 0 {
			m.late(len(e.results))
		}
	}
	m.events = nil
}
