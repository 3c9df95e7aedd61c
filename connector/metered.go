package connector

import (
	"errors"
	"io"
)

// errEndless is the error of a message part that exceeds its limit on the wire.
var errEndless = errors.New("target sent too many bytes")

// meteredReader reads from a connection up to a limit, which is set anew for each
// part of a message. Parsers that have no limits of their own can then read from it.
type meteredReader struct {
	reader io.Reader
	left   int64
}

// allow lets the reader read n more bytes from the connection.
func (m *meteredReader) allow(n int64) { m.left = n }

// Read reads from the connection, or fails with errEndless if the limit is reached.
func (m *meteredReader) Read(b []byte) (int, error) {
	if m.left <= 0 {
		return 0, errEndless
	}
	if int64(len(b)) > m.left {
		b = b[:m.left]
	}
	n, err := m.reader.Read(b)
	m.left -= int64(n)
	return n, err
}
