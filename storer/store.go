// Package storer reads and writes the platform's object API.
package storer

import (
	"context"
	"errors"
	"time"
)

// MaxValueSize is the largest value the object API holds, in bytes.
const MaxValueSize = 1 << 20

// Errors of the object API.
var (
	ErrNotFound    = errors.New("object does not exist")
	ErrConflict    = errors.New("object version differs from the expected one")
	ErrUnavailable = errors.New("object API is unavailable, the call had no effect")
	ErrUnknown     = errors.New("object API did not answer, the write may have taken effect")
	ErrTooLarge    = errors.New("object is larger than the object API holds")
)

// Object is one versioned value. Versions are revisions of the whole store:
// they grow with every write, and 0 means that the object does not exist.
type Object struct {
	Key     string
	Version int64
	Value   []byte
}

// Store is the object API. The function fields are set by New or by a test.
type Store struct {
	// Get returns one object, or ErrNotFound.
	Get func(ctx context.Context, key string) (Object, error)
	// Put writes the value if the object has the version; version 0 creates
	// it. It fails with ErrConflict, ErrUnavailable or ErrUnknown.
	Put func(ctx context.Context, key string, value []byte, version int64) (Object, error)
	// Delete removes the object if it has the version.
	Delete func(ctx context.Context, key string, version int64) error
	// List returns up to limit objects with the prefix and a key greater than
	// after, in key order.
	List func(ctx context.Context, prefix, after string, limit int) ([]Object, error)
	// Watch waits for objects with the prefix and a version greater than
	// after, and returns none if there are none within the wait. A deleted
	// object has a nil value.
	Watch func(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Object, error)
}
