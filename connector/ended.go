package connector

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"
)

const (
	// endedCheckPeriod is the time between two looks at the connections of a target that
	// may have ended, and endedChecks how often they are looked at: the ends of all its
	// connections arrive within milliseconds.
	endedCheckPeriod = 2 * time.Millisecond
	endedChecks      = 12
	// openChecks is the number of looks after which a connection that is still open shows
	// that the target has not ended.
	openChecks = 3
)

// BrokenByTarget reports whether the error of a request says that the target closed or
// reset the connection instead of answering.
func BrokenByTarget(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// Ended reports whether the process of the target has ended after a connection broke at
// the given time: no connection is left and it refuses a new one. A connection that
// was reset alone, or a target that is silent, is no such case.
func (p *Pool) Ended(ctx context.Context, brokenAt time.Time) bool {
	for i := range endedChecks {
		p.mu.Lock()
		refused, open := p.refusedAt.After(brokenAt), p.open-p.dialing
		if !refused && !p.closed && p.open == 0 {
			p.startDial()
		}
		closed := p.closed
		p.mu.Unlock()
		if refused || closed || open > 0 && i+1 >= openChecks {
			return refused
		}
		select {
		case <-p.settings.Clock.After(endedCheckPeriod):
		case <-ctx.Done():
			return false
		}
	}
	return false
}
