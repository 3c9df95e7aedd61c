package acceptor

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
)

// Reason says why a client was not served, or was disconnected.
type Reason int

// Reasons.
const (
	// ConnectionsEvicted counts connections that were closed to admit others.
	ConnectionsEvicted Reason = iota
	// ConnectionsRefused counts connections that were closed at once, as all others were
	// in use.
	ConnectionsRefused
	// ConnectionsIdle counts connections that were closed after the idle time.
	ConnectionsIdle
	// HeadsTooLarge, HeadsTimedOut and EmptyLines count heads that were refused.
	HeadsTooLarge
	HeadsTimedOut
	EmptyLines
	// HeadsEvicted counts connections that were closed in the middle of a head, as others
	// needed the memory, and HeadsWithoutMemory heads that were refused for lack of it.
	HeadsEvicted
	HeadsWithoutMemory
	// AnswersNotRead counts connections that were closed as an answer was not read.
	AnswersNotRead
	// MessagesWithoutMemory counts messages of peers that were refused for lack of memory,
	// MessagesRefused those in an encoding that no peer uses.
	MessagesWithoutMemory
	MessagesRefused
	reasonCount
)

// ReasonNames are the names of the reasons in the log.
var ReasonNames = [reasonCount]string{
	"ConnectionsEvicted", "ConnectionsRefused", "ConnectionsIdle", "HeadsTooLarge", "HeadsTimedOut", "EmptyLines",
	"HeadsEvicted", "HeadsWithoutMemory", "AnswersNotRead", "MessagesWithoutMemory", "MessagesRefused",
}

// reportPeriod is the time between two log lines with the same reason.
const reportPeriod = 10 * time.Second

// Reporter counts by reason what happened to clients, and logs a bounded number of lines
// about it. It is safe for concurrent use.
type Reporter struct {
	clock jujubegate.Clock
	log   *zap.Logger
	count func(Reason)

	mu     sync.Mutex
	recent [reasonCount]struct {
		logged   time.Time
		unlogged int
	}
}

// NewReporter returns a reporter that calls count for each event; count may be nil.
func NewReporter(clock jujubegate.Clock, log *zap.Logger, count func(Reason)) *Reporter {
	if count == nil {
		count = func(Reason) {}
	}
	return &Reporter{clock: clock, log: log, count: count}
}

// Count counts an event at a server. The first one is logged, and later ones together once in
// reportPeriod.
func (r *Reporter) Count(reason Reason, server string) {
	r.count(reason)
	if reason == ConnectionsIdle {
		// Clients that behave well leave connections idle too.
		return
	}
	now := r.clock.Now()
	r.mu.Lock()
	recent := &r.recent[reason]
	recent.unlogged++
	n := recent.unlogged
	due := recent.logged.IsZero() || now.Sub(recent.logged) >= reportPeriod
	if due {
		recent.logged, recent.unlogged = now, 0
	}
	r.mu.Unlock()
	if due {
		r.log.Warn("acceptor: clients rejected or disconnected", zap.String("Reason", ReasonNames[reason]), zap.String("Server", server), zap.Int("Count", n))
	}
}
