package target

import (
	"context"
	"errors"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"jujubegate.example/jujubegate"
)

// Fleet is a group of targets in one process, each on its own port.
type Fleet struct {
	targets []*Target
}

// NewFleet starts one target for each element of settings. If one fails to
// start, it closes the others and returns the error.
func NewFleet(settings []Settings, clock jujubegate.Clock, log *zap.Logger) (*Fleet, error) {
	f := &Fleet{}
	for _, s := range settings {
		t, err := New(s, clock, log)
		if err != nil {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			return nil, errors.Join(err, f.Close(ctx))
		}
		f.targets = append(f.targets, t)
	}
	return f, nil
}

// Targets returns the targets in the order of their settings.
func (f *Fleet) Targets() []*Target { return f.targets }

// Close closes all targets concurrently; see Target.Close.
func (f *Fleet) Close(ctx context.Context) error {
	var g errgroup.Group
	for _, t := range f.targets {
		g.Go(func() error { return t.Close(ctx) })
	}
	return g.Wait()
}

// Grid returns the settings of a service with the given numbers of shards and of
// replicas per shard, ordered by shard. The n-th target, counted from 0, has the
// seed base.Seed+n and listens on address(n). All targets hold the same snapshot,
// whose partition map has that number of shards.
func Grid(base Settings, shards, replicas int, snapshot int64, address func(n int) string) []Settings {
	var settings []Settings
	for shard := range shards {
		for range replicas {
			s := base
			n := len(settings)
			s.Shard, s.Seed, s.Address = shard, base.Seed+uint64(n), address(n)
			s.Snapshots = []SnapshotSpec{{Snapshot: snapshot, Shards: shards}}
			settings = append(settings, s)
		}
	}
	return settings
}
