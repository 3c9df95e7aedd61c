package orderer

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/samber/oops"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/storer"
)

// read returns a record and the version of its object.
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

// write stores a record if the object still has the version, and returns the new
// version. Version 0 stands for an object that does not exist.
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

// claim writes a started record, which makes this call the only one that may send
// the order, and returns the record and its version. If the order ran before, it
// returns the existing record, version 0 and no refusal.
func (c *call) claim(ctx context.Context) (Record, int64, *jujubegate.Refusal) {
	own := Record{
		ID: c.request.ID.String(), Service: c.request.Service, Route: c.request.Route,
		Caller: c.request.Caller, BodyHash: c.request.hash(), Token: c.o.NewToken(),
		State: Started, Created: c.started,
	}
	version := int64(0)
	// mayHaveWritten is set once a write with this call's token may have taken effect.
	mayHaveWritten := false
	for range maxConflicts {
		written, err := c.o.write(ctx, c.key, own, version)
		if err == nil {
			return own, written, nil
		}
		if errors.Is(err, storer.ErrUnavailable) {
			return c.refuseUnclaimed(own, mayHaveWritten, err)
		}
		mayHaveWritten = mayHaveWritten || !errors.Is(err, storer.ErrConflict)
		record, found, err := c.o.read(ctx, c.key)
		switch {
		case errors.Is(err, storer.ErrNotFound):
			// The write has not taken effect so far. Repeat it: at most one of the
			// two can succeed, and both carry this call's token.
			version = 0
			continue
		case err != nil:
			return c.refuseUnclaimed(own, mayHaveWritten, err)
		case record.Token == own.Token && record.State == Started:
			return own, found, nil
		case record.State != NotRun || record.mismatch(c.request) != "" || !c.mayReuse(record):
			recorded, refusal := c.answerFromRecord(record)
			return recorded, 0, refusal
		}
		version = found
	}
	return c.refuseUnclaimed(own, mayHaveWritten, oops.Errorf("record of order changed %d times", maxConflicts))
}

// mayReuse reports whether a NotRun record was finished more than reuseAfter before
// this call started.
func (c *call) mayReuse(record Record) bool {
	return record.Finished.Add(reuseAfter).Before(c.started)
}

// refuseUnclaimed refuses an order for which it is not certain that its record was
// written. This call never sends the order. If the write may have taken effect, a
// background repair changes the record to NotRun.
func (c *call) refuseUnclaimed(own Record, mayHaveWritten bool, err error) (Record, int64, *jujubegate.Refusal) {
	refusal := refuse(jujubegate.StoreDown, "%v", err)
	refusal.RetryAfter = retryAfterStoreDown
	if mayHaveWritten {
		c.o.queueRepair(c.key, own.withFinalState(NotRun, c.o.Clock.Now(), refusal))
	}
	if !c.request.First {
		// An earlier request with this ID may have run.
		refusal.Outcome = jujubegate.Unknown
	}
	return Record{}, 0, refusal
}
