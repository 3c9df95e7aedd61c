package replicator

import (
	"context"
	"errors"
	"time"
)

// Errors of a Source besides those of package storer.
var (
	// ErrHistoryGone is returned by Watch if the store no longer holds the changes
	// since the revision.
	ErrHistoryGone = errors.New("the store no longer holds the history")
	// ErrOutdated is returned for an answer of the store that is older than what it
	// answered before.
	ErrOutdated = errors.New("the store's answer is outdated")

	errOverdue = errors.New("the store's answer is overdue")
)

// Object is one object of the store.
type Object struct {
	Name string
	// Revision is the revision of the store at the object's last change, and Created
	// the one at its creation.
	Revision int64
	Created  int64
	Value    []byte
}

// Listing holds all objects of a kind at one position of the store.
type Listing struct {
	Objects []Object
	// Kept are the objects of earlier eras that count instead of those in the store,
	// and removals of such objects. Only peers report them.
	Kept []Change
	Position
}

// Change is the new value of an object, or its removal.
type Change struct {
	Object  Object
	Removed bool
}

// Changes holds the changes of a kind up to a position, oldest first.
type Changes struct {
	Changes []Change
	Position
}

// Source gives access to the platform's store. An adapter or a test sets the
// functions. An era of 0 in their results means that it is not known.
type Source struct {
	// List returns all objects of a kind.
	List func(ctx context.Context, kind string) (Listing, error)
	// Watch returns the changes after the revision. It waits for them if there are
	// none yet, and returns none when the wait ends. It fails with ErrHistoryGone if
	// the kind must be listed again.
	Watch func(ctx context.Context, kind string, after int64, wait time.Duration) (Changes, error)
	// Put creates or replaces an object. It requires that the object has the given
	// revision; 0 requires that it does not exist, a negative one requires nothing.
	Put func(ctx context.Context, kind, name string, value []byte, revision int64) error
	// SetStatus replaces the status of an object that has the given revision.
	SetStatus func(ctx context.Context, kind, name string, status []byte, revision int64) error
	// Delete removes an object. It is no error if the object does not exist.
	Delete func(ctx context.Context, kind, name string) error
}
