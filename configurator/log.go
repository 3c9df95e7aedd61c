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
	// callTimeout bounds one store call, so that a lost answer is noticed.
	callTimeout = 5 * time.Second
)

// Log is the sequence of changes in the store: one object for each
// generation, created on the condition that it does not exist.
type Log struct {
	store storer.Store
	wait  waiter
}

// NewLog returns the log in a store.
func NewLog(store storer.Store, clock jujubegate.Clock, random func() float64) *Log {
	return &Log{store: store, wait: waiter{clock: clock, random: random}}
}

// Page is a part of the log.
type Page struct {
	Changes []Change
	// Revision is the largest store revision among the changes.
	Revision int64
}

// Create adds a change to the log and returns it as stored. If the answer is
// lost it reads the object back until it knows the outcome or the context
// ends. It fails with ConflictError, UnavailableError or OutcomeUnknownError.
// A change with the same token that is there already counts as created.
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
	return l.settle(ctx, change, value, err)
}

func (l *Log) put(ctx context.Context, key string, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := l.store.Put(ctx, key, value, 0)
	return err
}

// settle finds out what became of a change whose creation failed with cause.
func (l *Log) settle(ctx context.Context, change Change, value []byte, cause error) (Change, error) {
	// After a lost answer an absent object may still appear, so that only a
	// successful write or another object at the key settles the outcome.
	lost := !errors.Is(cause, storer.ErrConflict)
	for attempt := 0; ; attempt++ {
		stored, err := l.get(ctx, change.Generation)
		switch {
		case err == nil && stored.Token == change.Token:
			return stored, nil
		case err == nil:
			return stored, &ConflictError{Generation: stored.Generation, Author: stored.Author}
		case errors.Is(err, storer.ErrNotFound) && lost:
			if err = l.put(ctx, changeKey(change.Generation), value); err == nil {
				return change, nil
			}
		}
		cause = err
		if l.wait.backoff(ctx, attempt, settleBase, settleCap) != nil {
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

// Read returns the changes after a generation, one page of them. More says
// that there may be others.
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

// Watch waits for changes after a store revision.
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

// ReadSnapshot returns the stored snapshot and its version, or a change of
// generation 0 and version 0 if there is none.
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

// WriteSnapshot replaces the stored snapshot unless it is as new already, and
// returns the generation of the one that is stored.
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
