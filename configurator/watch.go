package configurator

import (
	"context"
	"errors"

	"go.uber.org/zap"
)

// Run loads the configuration, then watches the store while Watcher returns true.
// It runs until the context ends, and returns the context's error.
func (f *Follower) Run(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		var err error
		switch {
		case !f.loaded.Load():
			err = f.Load(ctx)
		case f.IsWatcher == nil || !f.IsWatcher():
			err = f.waiter.backoff(ctx, 0, idlePause, idlePause)
		default:
			err = f.watch(ctx)
		}
		if ctx.Err() != nil {
			break
		}
		if err == nil {
			failures = 0
			continue
		}
		f.logger.Warn("configurator: store call failed", zap.Error(err), zap.Int("Failures", failures+1))
		_ = f.waiter.backoff(ctx, failures, watchBackoffBase, watchBackoffMax) // the loop checks the context
		failures++
	}
	return ctx.Err()
}

// watch makes one long poll, applies the changes, and writes a snapshot if one
// is due.
func (f *Follower) watch(ctx context.Context) error {
	f.mutex.Lock()
	revision := f.revision
	f.mutex.Unlock()
	start := f.clock.Now()
	page, err := f.log.Watch(ctx, revision, watchWait)
	if err != nil {
		return err
	}
	applied, err := f.applyChanges(page.Changes, page.Revision)
	f.notifyChange(applied)
	var gap *GapError
	if errors.As(err, &gap) {
		applied, err = f.catchUp(ctx, f.Current().Generation())
		f.notifyChange(applied)
	}
	if err != nil {
		return err
	}
	now := f.clock.Now()
	if len(page.Changes) == 0 {
		// An empty response was current at the end of the wait, but no later than
		// now.
		if end := start.Add(watchWait); end.Before(now) {
			now = end
		}
		f.setConfirmed(now)
	} else {
		f.setConfirmed(start)
	}
	if err := f.writeSnapshot(ctx); err != nil {
		return err
	}
	if len(applied) == 0 && f.clock.Since(start) < idlePause {
		return f.waiter.backoff(ctx, 0, idlePause, idlePause)
	}
	return nil
}

// writeSnapshot stores a snapshot if one is due.
func (f *Follower) writeSnapshot(ctx context.Context) error {
	s := f.current.Load()
	if int64(s.configuration.generation)/snapshotInterval <= f.storedSnapshot.Load()/snapshotInterval {
		return nil
	}
	g, err := f.log.WriteSnapshot(ctx, s.snapshot())
	if err != nil {
		return err
	}
	f.storedSnapshot.Store(max(f.storedSnapshot.Load(), int64(g)))
	f.logger.Info("configurator: snapshot stored", zap.Int64("Generation", int64(g)))
	return nil
}
