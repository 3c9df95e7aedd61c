// Package storer is the client of the platform's object API, a store of
// versioned objects.
package storer

import (
	"context"
	"errors"
	"time"
)

// MaxValueSize is the largest value that the object API accepts, in bytes.
const MaxValueSize = 1 << 20

// Errors of the object API.
var (
	ErrNotFound    = errors.New("object does not exist")
	ErrConflict    = errors.New("object version differs from the expected one")
	ErrUnavailable = errors.New("object API is unavailable, the call had no effect")
	ErrUnknown     = errors.New("object API did not answer, the write may have taken effect")
	ErrTooLarge    = errors.New("object is larger than the object API holds")
)

// Object is one versioned value. A version is the revision of the whole store
// at the last write of the object: every write of any object increases the
// revision. Version 0 means that the object does not exist.
type Object struct {
	Key     string
	Version int64
	Value   []byte
}

// Store is the object API. New, NewMemory or a test sets the functions.
type Store struct {
	// Get returns one object, or ErrNotFound.
	Get func(ctx context.Context, key string) (Object, error)
	// Put writes the value if the object has the given version; version 0
	// creates the object. It fails with ErrConflict, ErrTooLarge,
	// ErrUnavailable or ErrUnknown.
	Put func(ctx context.Context, key string, value []byte, version int64) (Object, error)
	// Delete removes the object if it has the given version.
	Delete func(ctx context.Context, key string, version int64) error
	// List returns up to limit objects with the prefix and a key greater than
	// after, in key order.
	List func(ctx context.Context, prefix, after string, limit int) ([]Object, error)
	// Watch returns objects with the prefix and a version greater than after.
	// It waits for one to appear, and returns none if the wait ends first. A
	// deleted object has a nil value.
	Watch func(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Object, error)
}
