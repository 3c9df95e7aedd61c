package connector

import (
	"runtime"
	"sync/atomic"
)

// uncountedBytes is the size up to which a body does not count against a Memory.
// The number of connections bounds what such bodies take together.
const uncountedBytes = 16 << 10

// Memory bounds the large bodies that an instance holds at the same time, those
// that are still being read included. It is safe for concurrent use.
type Memory struct {
	limit int64
	left  atomic.Int64
}

// NewMemory returns a Memory for bodies of the given number of bytes in total.
func NewMemory(limit int64) *Memory {
	m := &Memory{limit: limit}
	m.left.Store(limit)
	return m
}

// Used returns the bytes that are taken.
func (m *Memory) Used() int64 { return m.limit - m.left.Load() }

// grow returns a copy of a buffer with at least twice its capacity, but at most
// limit bytes, or false if the memory does not suffice. The new buffer counts until
// it is garbage collected.
func (m *Memory) grow(old []byte, limit int) ([]byte, bool) {
	size := min(max(2*cap(old), uncountedBytes), limit)
	if size <= uncountedBytes || m == nil {
		return append(make([]byte, 0, size), old...), true
	}
	counted := int64(size)
	if m.left.Add(-counted) < 0 {
		m.left.Add(counted)
		return nil, false
	}
	buffer := append(make([]byte, 0, size), old...)
	runtime.AddCleanup(&buffer[:1][0], func(n int64) { m.left.Add(n) }, counted)
	return buffer, true
}
