package screener

import (
	"bytes"
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
)

const (
	// keepPeriod is the time between two checks of the Keeper. For startTime after the
	// start it is startPeriod, so that what the store holds is known when the first
	// requests come.
	keepPeriod  = 250 * time.Millisecond
	startPeriod = 25 * time.Millisecond
	startTime   = 2 * time.Second
	// saveRetry is the time until a failed call to the store is made again.
	saveRetry = time.Second
	// maxSaved bounds the requests that are saved, those blocked for longest.
	maxSaved = 32
)

// Saved is a request that is or was blocked, as it is kept in the store.
type Saved struct {
	Key Key
	// Blocks is how often the request was blocked, and BlockedUntil the end of the last
	// time.
	Blocks       int
	BlockedUntil time.Time
	// ExpiresAt is until when the request counts as one that was blocked.
	ExpiresAt time.Time
}

// Saved returns the requests that are or were blocked.
func (s *Screener) Saved() []Saved {
	now := s.settings.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Saved
	for k, r := range s.records {
		if r.blocks > 0 && now.Before(r.expiresAt) {
			list = append(list, Saved{k, r.blocks, r.blockedUntil, r.expiresAt})
		}
	}
	slices.SortFunc(list, func(a, b Saved) int {
		if c := b.ExpiresAt.Compare(a.ExpiresAt); c != 0 {
			return c
		}
		return bytes.Compare(a.Key[:], b.Key[:])
	})
	return list[:min(len(list), maxSaved)]
}

// Restore adds requests that were saved, unless more is known of them.
func (s *Screener) Restore(list []Saved) {
	now, changed := s.settings.Clock.Now(), false
	s.mu.Lock()
	for _, saved := range list {
		if !saved.usable(now) {
			continue
		}
		r := s.record(saved.Key, now)
		if r.epoch > 0 || r.blocks >= saved.Blocks {
			continue
		}
		r.blocks, r.blockedUntil, r.expiresAt = saved.Blocks, saved.BlockedUntil, saved.ExpiresAt
		r.crashes = nil
		r.toldUntil, changed = now.Add(tellFor), true
		s.settings.Log.Info("screener: request was blocked before the start", zap.Stringer("Key", saved.Key),
			zap.Int("Blocks", saved.Blocks), zap.Duration("BlockedFor", max(saved.BlockedUntil.Sub(now), 0)))
	}
	s.mu.Unlock()
	if changed && s.settings.Changed != nil {
		s.settings.Changed()
	}
}

// usable reports whether the times of a saved request can be right.
func (s Saved) usable(now time.Time) bool {
	return s.Blocks > 0 && now.Before(s.ExpiresAt) && !s.ExpiresAt.After(now.Add(maxBlock+probationLifetime)) &&
		!s.BlockedUntil.After(now.Add(maxBlock))
}

// KeeperSettings are the dependencies of a Keeper.
type KeeperSettings struct {
	Screener *Screener
	Clock    jujubegate.Clock
	Log      *zap.Logger
	// Turn reports whether it is this instance that reads the store for all.
	Turn func() bool
	// Load returns what the store holds, and Save replaces it.
	Load func(ctx context.Context) ([]Saved, error)
	Save func(ctx context.Context, list []Saved) error
}

// Keeper keeps the blocked requests in the store, so that they stay blocked when all
// instances restart at once. The instance that reads the store for all reads them once
// after its start and writes them when they change; the others are told by it.
type Keeper struct {
	settings KeeperSettings
	loaded   bool
	// saved is what the store holds, as far as this instance knows.
	saved     []Saved
	notBefore time.Time
}

// NewKeeper returns a keeper that has read nothing.
func NewKeeper(settings KeeperSettings) *Keeper { return &Keeper{settings: settings} }

// Run reads and writes until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	start := k.settings.Clock.Now()
	for ctx.Err() == nil {
		period := keepPeriod
		if k.settings.Clock.Since(start) < startTime {
			period = startPeriod
		}
		select {
		case <-k.settings.Clock.After(period):
		case <-ctx.Done():
			return
		}
		k.check(ctx)
	}
}

// check makes the call that is due, if any.
func (k *Keeper) check(ctx context.Context) {
	now := k.settings.Clock.Now()
	if now.Before(k.notBefore) || !k.settings.Turn() {
		return
	}
	err := k.load(ctx)
	if err == nil {
		err = k.save(ctx)
	}
	if err != nil && ctx.Err() == nil {
		k.notBefore = now.Add(saveRetry)
		k.settings.Log.Warn("screener: blocked requests cannot be kept in the store", zap.Bool("Loaded", k.loaded), zap.Error(err))
	}
}

func (k *Keeper) load(ctx context.Context) error {
	if k.loaded {
		return nil
	}
	list, err := k.settings.Load(ctx)
	if err != nil {
		return err
	}
	k.loaded, k.saved = true, list
	k.settings.Screener.Restore(list)
	return nil
}

func (k *Keeper) save(ctx context.Context) error {
	list := k.settings.Screener.Saved()
	if slices.EqualFunc(list, k.saved, Saved.equal) {
		return nil
	}
	if err := k.settings.Save(ctx, list); err != nil {
		return err
	}
	k.saved = list
	return nil
}

// equal compares with the precision of the store.
func (s Saved) equal(other Saved) bool {
	return s.Key == other.Key && s.Blocks == other.Blocks && s.BlockedUntil.UnixMilli() == other.BlockedUntil.UnixMilli() &&
		s.ExpiresAt.UnixMilli() == other.ExpiresAt.UnixMilli()
}
