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

// NewFleet starts one target per settings. If one fails, it closes the others.
func NewFleet(all []Settings, clock jujubegate.Clock, log *zap.Logger) (*Fleet, error) {
	f := &Fleet{}
	for _, s := range all {
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

// Close closes all targets at once; see Target.Close.
func (f *Fleet) Close(ctx context.Context) error {
	var g errgroup.Group
	for _, t := range f.targets {
		g.Go(func() error { return t.Close(ctx) })
	}
	return g.Wait()
}

// Grid returns the settings of shards times replicas targets, shard by shard.
// Each has its own seed, and the snapshot has as many shards as the grid.
// Address returns the host:port of the target with the number, from 0.
func Grid(base Settings, shards, replicas int, snapshot int64, address func(n int) string) []Settings {
	var all []Settings
	for shard := range shards {
		for range replicas {
			s := base
			n := len(all)
			s.Shard, s.Seed, s.Address = shard, base.Seed+uint64(n), address(n)
			s.Snapshots = []SnapshotSpec{{Snapshot: snapshot, Shards: shards}}
			all = append(all, s)
		}
	}
	return all
}
