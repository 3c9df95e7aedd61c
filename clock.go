package jujubegate

import "time"

// Clock reads the time and waits. clockwork.Clock implements it.
type Clock interface {
	Now() time.Time
	Since(t time.Time) time.Duration
	Sleep(d time.Duration)
	After(d time.Duration) <-chan time.Time
}
