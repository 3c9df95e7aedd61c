package jujubegate

import "time"

// Clock tells the time and waits. clockwork.Clock meets it.
type Clock interface {
	Now() time.Time
	Since(t time.Time) time.Duration
	Sleep(d time.Duration)
	After(d time.Duration) <-chan time.Time
}
