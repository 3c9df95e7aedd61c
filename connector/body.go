package connector

import (
	"errors"
	"fmt"
	"io"
)

// ErrBodyTooLarge is the error of a body that exceeds its limit, ErrMemory that of
// one for which the instance has no memory at present.
var (
	ErrBodyTooLarge = errors.New("the body is too large")
	ErrMemory       = errors.New("too many large bodies at the same time")
)

// ReadBody reads a body of at most limit bytes. Length is the number of bytes that
// were announced, or negative if that is not known. A large body takes memory only
// as its bytes arrive, so that an announced length costs nothing. Memory may be nil.
func ReadBody(r io.Reader, length int64, limit int, memory *Memory) ([]byte, error) {
	if length > int64(limit) {
		return nil, fmt.Errorf("%w: %d of at most %d bytes", ErrBodyTooLarge, length, limit)
	}
	var body []byte
	if length >= 0 && length <= uncountedBytes {
		body = make([]byte, length)
		_, err := io.ReadFull(r, body)
		return body, err
	}
	for {
		if len(body) == cap(body) {
			if len(body) == limit {
				return body, expectEnd(r, limit)
			}
			var ok bool
			if body, ok = memory.grow(body, limit); !ok {
				return nil, ErrMemory
			}
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// expectEnd returns an error unless a reader of limit bytes is at its end.
func expectEnd(r io.Reader, limit int) error {
	var next [1]byte
	n, err := io.ReadFull(r, next[:])
	switch {
	case n > 0:
		return fmt.Errorf("%w: more than %d bytes", ErrBodyTooLarge, limit)
	case errors.Is(err, io.EOF):
		return nil
	}
	return err
}
