package configurator

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/samber/oops"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/storer"
)

const (
	// pageSize is the number of changes read by one store call.
	pageSize = 256
	// callTimeout bounds one store call, so that a lost response is detected.
	callTimeout = 5 * time.Second
)

// Log is the sequence of changes in the store, with one object per generation.
// An object is created only if it does not exist, so each generation has one
// change.
type Log struct {
	store  storer.Store
	waiter waiter
}

// NewLog returns the log in a store.
func NewLog(store storer.Store, clock jujubegate.Clock, random func() float64) *Log {
	return &Log{store: store, waiter: waiter{clock: clock, random: random}}
}

// Page holds the changes that one store call returned.
type Page struct {
	Changes []Change
	// Revision is the largest store revision among the changes.
	Revision int64
}

// Create adds a change to the log and returns it as stored. If the response is
// lost, Create reads the object back until the outcome is certain or the context
// ends. It fails with ConflictError, UnavailableError or OutcomeUnknownError. If
// the log already holds a change with the same token, Create succeeds. A change
// that is too large is reported as jujubegate.Findings.
func (l *Log) Create(ctx context.Context, change Change) (Change, error) {
	value, err := change.encode()
	if err != nil {
		return Change{}, err
	}
	if len(value) > storer.MaxValueSize {
		return Change{}, jujubegate.Findings{{Message: fmt.Sprintf(
			"batch takes %d bytes in the store, the limit is %d", len(value), storer.MaxValueSize)}}
	}
	err = l.put(ctx, changeKey(change.Generation), value)
	switch {
	case err == nil:
		return change, nil
	case errors.Is(err, storer.ErrUnavailable):
		return Change{}, &UnavailableError{Cause: err}
	}
	return l.resolveOutcome(ctx, change, value, err)
}

func (l *Log) put(ctx context.Context, key string, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := l.store.Put(ctx, key, value, 0)
	return err
}

// resolveOutcome determines whether a change was stored after its creation failed
// with cause.
func (l *Log) resolveOutcome(ctx context.Context, change Change, value []byte, cause error) (Change, error) {
	// After a lost response, an object that is missing may still be written.
	// Only a successful write or an object at the key makes the outcome certain.
	responseLost := !errors.Is(cause, storer.ErrConflict)
	for attempt := 0; ; attempt++ {
		stored, err := l.get(ctx, change.Generation)
		switch {
		case err == nil && stored.Token == change.Token:
			return stored, nil
		case err == nil:
			return stored, &ConflictError{Generation: stored.Generation, Author: stored.Author}
		case errors.Is(err, storer.ErrNotFound) && responseLost:
			if err = l.put(ctx, changeKey(change.Generation), value); err == nil {
				return change, nil
			}
		}
		cause = err
		if l.waiter.backoff(ctx, attempt, resolveBackoffBase, resolveBackoffMax) != nil {
			return Change{}, &OutcomeUnknownError{Generation: change.Generation, Token: change.Token, Cause: cause}
		}
	}
}

func (l *Log) get(ctx context.Context, g jujubegate.Generation) (Change, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o, err := l.store.Get(ctx, changeKey(g))
	if err != nil {
		return Change{}, err
	}
	return decodeChange(o)
}

// Read returns the first page of the changes after a generation. more reports
// whether further ones may follow.
func (l *Log) Read(ctx context.Context, after jujubegate.Generation) (page Page, more bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	objects, err := l.store.List(ctx, changePrefix, changeKey(after), pageSize)
	if err != nil {
		return Page{}, false, oops.In("configurator").With("After", after).Wrapf(err, "list changes")
	}
	page, err = decodePage(objects)
	return page, len(objects) == pageSize, err
}

// Watch waits for changes after a store revision and returns them. The page is
// empty if none arrived within the wait.
func (l *Log) Watch(ctx context.Context, revision int64, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	objects, err := l.store.Watch(ctx, changePrefix, revision, wait)
	if err != nil {
		return Page{}, oops.In("configurator").With("Revision", revision).Wrapf(err, "watch changes")
	}
	return decodePage(objects)
}

func decodePage(objects []storer.Object) (Page, error) {
	var page Page
	for _, o := range objects {
		page.Revision = max(page.Revision, o.Version)
		if o.Value == nil {
			continue
		}
		change, err := decodeChange(o)
		if err != nil {
			return Page{}, err
		}
		page.Changes = append(page.Changes, change)
	}
	slices.SortFunc(page.Changes, func(a, b Change) int { return int(a.Generation - b.Generation) })
	return page, nil
}

// ReadSnapshot returns the stored snapshot and the version of its object, or a
// change of generation 0 and version 0 if there is none.
func (l *Log) ReadSnapshot(ctx context.Context) (Change, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o, err := l.store.Get(ctx, snapshotKey)
	if errors.Is(err, storer.ErrNotFound) {
		return Change{}, 0, nil
	}
	if err != nil {
		return Change{}, 0, oops.In("configurator").Wrapf(err, "read snapshot")
	}
	change, err := decodeChange(o)
	return change, o.Version, err
}

// WriteSnapshot replaces the stored snapshot if the new one has a later
// generation. It returns the generation of the snapshot that is then stored.
func (l *Log) WriteSnapshot(ctx context.Context, snapshot Change) (jujubegate.Generation, error) {
	stored, version, err := l.ReadSnapshot(ctx)
	if err != nil {
		return 0, err
	}
	if stored.Generation >= snapshot.Generation {
		return stored.Generation, nil
	}
	value, err := snapshot.encode()
	if err != nil {
		return stored.Generation, err
	}
	if len(value) > storer.MaxValueSize {
		return stored.Generation, oops.In("configurator").With("Bytes", len(value)).
			Errorf("snapshot of generation %d exceeds the size of an object", snapshot.Generation)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := l.store.Put(ctx, snapshotKey, value, version); err != nil {
		return stored.Generation, oops.In("configurator").Wrapf(err, "write snapshot")
	}
	return snapshot.Generation, nil
}
