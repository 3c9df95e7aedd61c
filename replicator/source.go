package replicator

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryGone is returned by Watch if the store no longer holds the changes
// since the revision. The other errors of a Source are those of package storer.
var ErrHistoryGone = errors.New("the store no longer holds the history")

// Object is one object of the store.
type Object struct {
	Name string
	// Revision is the revision of the store at the object's last change.
	Revision int64
	Value    []byte
}

// Listing holds all objects of a kind at one revision of the store.
type Listing struct {
	Objects []Object
	// Era is the era of the store; 0 if it is not known. It rises by one each time
	// the store comes back from an older copy. Revisions of different eras are not
	// related.
	Era      int64
	Revision int64
}

// Change is the new value of an object, or its removal.
type Change struct {
	Object  Object
	Removed bool
}

// Changes holds the changes of a kind up to a revision, oldest first.
type Changes struct {
	Changes []Change
	// Era is as in Listing.
	Era      int64
	Revision int64
}

// Source gives access to the platform's store. An adapter or a test sets the
// functions.
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
