package jujubegate

import "time"

// SteadyClock is a clock whose time of day does not jump when the wall clock is
// set. It returns the time of its creation plus the time that has elapsed on
// the underlying clock since then.
type SteadyClock struct {
	Clock
	start time.Time
}

// NewSteadyClock returns a steady clock based on c.
func NewSteadyClock(c Clock) SteadyClock { return SteadyClock{Clock: c, start: c.Now()} }

// Now returns the time without jumps of the wall clock.
func (c SteadyClock) Now() time.Time { return c.start.Add(c.Clock.Since(c.start)) }

// Since returns the time elapsed since t, which is a time returned by Now.
func (c SteadyClock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }
