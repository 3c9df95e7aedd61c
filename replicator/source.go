package replicator

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryGone says that changes since a revision are no longer known. The
// other errors of a source are those of package storer.
var ErrHistoryGone = errors.New("the store no longer holds the history")

// Object is one object of the store.
type Object struct {
	Name string
	// Revision is that of the store at the object's last change.
	Revision int64
	Value    []byte
}

// Listing is all objects of a kind at one revision of the store.
type Listing struct {
	Objects  []Object
	Revision int64
}

// Change is one change of an object.
type Change struct {
	Object  Object
	Removed bool
}

// Changes are the changes of a kind up to a revision, oldest first.
type Changes struct {
	Changes  []Change
	Revision int64
}

// Source is the platform's store. The function fields are set by an adapter or
// by a test.
type Source struct {
	// List returns all objects of a kind.
	List func(ctx context.Context, kind string) (Listing, error)
	// Watch waits for changes after the revision and returns none if there are
	// none within the wait. It fails with ErrHistoryGone if it must be listed.
	Watch func(ctx context.Context, kind string, after int64, wait time.Duration) (Changes, error)
	// Put creates or replaces an object. Revision 0 demands that it does not
	// exist, a negative one replaces any.
	Put func(ctx context.Context, kind, name string, value []byte, revision int64) error
	// SetStatus replaces the status of an object that has the revision.
	SetStatus func(ctx context.Context, kind, name string, status []byte, revision int64) error
	// Delete removes an object; one that does not exist is no error.
	Delete func(ctx context.Context, kind, name string) error
}
