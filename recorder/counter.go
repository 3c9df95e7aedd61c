package recorder

import (
	"strconv"
	"sync/atomic"
)

// cacheLine is the distance in bytes that keeps counters from sharing a line.
const cacheLine = 64

// Counter is a number that only grows. It is safe for concurrent use and
// doesn't allocate.
type Counter struct {
	value atomic.Int64
	_     [cacheLine - 8]byte
}

// Add adds n, which must not be negative.
func (c *Counter) Add(n int64) { c.value.Add(n) }

// Inc adds 1.
func (c *Counter) Inc() { c.value.Add(1) }

// Value returns the number.
func (c *Counter) Value() int64 { return c.value.Load() }

// String returns the number as JSON.
func (c *Counter) String() string { return strconv.FormatInt(c.Value(), 10) }

// Gauge is a number that goes up and down. It is safe for concurrent use and
// doesn't allocate.
type Gauge struct {
	value atomic.Int64
	_     [cacheLine - 8]byte
}

// Set replaces the number.
func (g *Gauge) Set(n int64) { g.value.Store(n) }

// Add adds n, which may be negative.
func (g *Gauge) Add(n int64) { g.value.Add(n) }

// Value returns the number.
func (g *Gauge) Value() int64 { return g.value.Load() }

// String returns the number as JSON.
func (g *Gauge) String() string { return strconv.FormatInt(g.Value(), 10) }
