package recorder

import (
	"strconv"
	"sync/atomic"
)

// cacheLineBytes is the size of a cache line. Padding to it prevents false
// sharing.
const cacheLineBytes = 64

// Counter is a value that only increases. It is safe for concurrent use and
// does not allocate.
type Counter struct {
	value atomic.Int64
	_     [cacheLineBytes - 8]byte
}

// Add adds n, which must not be negative.
func (c *Counter) Add(n int64) { c.value.Add(n) }

// Inc adds 1.
func (c *Counter) Inc() { c.value.Add(1) }

// Value returns the current value.
func (c *Counter) Value() int64 { return c.value.Load() }

// String returns the value as JSON.
func (c *Counter) String() string { return strconv.FormatInt(c.Value(), 10) }

// Gauge is a value that can increase and decrease. It is safe for concurrent
// use and does not allocate.
type Gauge struct {
	value atomic.Int64
	_     [cacheLineBytes - 8]byte
}

// Set sets the value to n.
func (g *Gauge) Set(n int64) { g.value.Store(n) }

// Add adds n, which may be negative.
func (g *Gauge) Add(n int64) { g.value.Add(n) }

// Value returns the current value.
func (g *Gauge) Value() int64 { return g.value.Load() }

// String returns the value as JSON.
func (g *Gauge) String() string { return strconv.FormatInt(g.Value(), 10) }
