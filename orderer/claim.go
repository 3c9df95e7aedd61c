package orderer

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/samber/oops"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/storer"
)

// read returns a record and its version.
func (o *Orderer) read(ctx context.Context, key string) (Record, int64, error) {
	object, err := o.Store.Get(ctx, key)
	if err != nil {
		return Record{}, 0, oops.With("key", key).Wrapf(err, "read order record")
	}
	var record Record
	if err := json.Unmarshal(object.Value, &record); err != nil {
		return Record{}, 0, oops.With("key", key).Wrapf(err, "decode order record")
	}
	return record, object.Version, nil
}

// write stores a record under the condition that the object has the version.
func (o *Orderer) write(ctx context.Context, key string, record Record, version int64) (int64, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return 0, oops.With("key", key).Wrapf(err, "encode order record")
	}
	object, err := o.Store.Put(ctx, key, value, version)
	if err != nil {
		return 0, oops.With("key", key).Wrapf(err, "write order record")
	}
	return object.Version, nil
}

// claim makes this call the one that may send the order, and returns its record
// and version. Version 0 without a refusal means that the order ran before.
func (c *call) claim(ctx context.Context) (Record, int64, *jujubegate.Refusal) {
	own := Record{
		ID: c.request.ID.String(), Service: c.request.Service, Route: c.request.Route,
		Caller: c.request.Caller, BodyHash: c.request.hash(), Token: c.o.NewToken(),
		State: Started, Created: c.started,
	}
	version := int64(0)
	// unsure is set once a write with our token may have taken effect.
	unsure := false
	for range maxConflicts {
		written, err := c.o.write(ctx, c.key, own, version)
		if err == nil {
			return own, written, nil
		}
		if errors.Is(err, storer.ErrUnavailable) {
			return c.unclaimed(own, unsure, err)
		}
		unsure = unsure || !errors.Is(err, storer.ErrConflict)
		record, found, err := c.o.read(ctx, c.key)
		switch {
		case errors.Is(err, storer.ErrNotFound):
			// The write had no effect so far; the same write again settles it.
			version = 0
			continue
		case err != nil:
			return c.unclaimed(own, unsure, err)
		case record.Token == own.Token && record.State == Started:
			return own, found, nil
		case record.State != NotRun || record.mismatch(c.request) != "" || !c.mayReuse(record):
			answer, refusal := c.recorded(record)
			return answer, 0, refusal
		}
		version = found
	}
	return c.unclaimed(own, unsure, oops.Errorf("record of order changed %d times", maxConflicts))
}

// mayReuse reports whether a NotRun record was finished long enough before this
// call started.
func (c *call) mayReuse(record Record) bool {
	return record.Finished.Add(reuseAfter).Before(c.started)
}

// unclaimed refuses an order whose record could not be written for certain.
// This call never sends it. If the write may have taken effect, the record is
// marked not run in the background.
func (c *call) unclaimed(own Record, unsure bool, err error) (Record, int64, *jujubegate.Refusal) {
	refusal := refuse(jujubegate.StoreDown, "%v", err)
	refusal.RetryAfter = retryStore
	if unsure {
		c.o.repair(c.key, own.withEnd(NotRun, c.o.Clock.Now(), refusal))
	}
	if !c.request.First {
		// An earlier request with this ID may have run.
		refusal.Outcome = jujubegate.Unknown
	}
	return Record{}, 0, refusal
}
