package jujubegate

import "time"

// SteadyClock is a clock whose time of day does not jump: it tells the time of
// its creation plus what the underlying clock has measured since.
type SteadyClock struct {
	Clock
	start time.Time
}

// NewSteadyClock returns a steady clock over another one.
func NewSteadyClock(c Clock) SteadyClock { return SteadyClock{Clock: c, start: c.Now()} }

// Now returns the steady time.
func (c SteadyClock) Now() time.Time { return c.start.Add(c.Clock.Since(c.start)) }

// Since returns the steady time since t.
func (c SteadyClock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }
