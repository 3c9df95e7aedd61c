package screener

import (
	"time"

	"go.uber.org/zap"

	"jujubegate.example/jujubegate/wire"
)

const (
	// tellFor is for how long a change is told to peers. It reaches all instances of a
	// large fleet within a few seconds.
	tellFor = 10 * time.Second
	// maxTold bounds the records in one message.
	maxTold = 16
)

// News returns the records that must still be told to other instances, or all of them
// if whole is set.
func (s *Screener) News(whole bool) []*wire.Screening {
	if s.known.Load() == 0 {
		return nil
	}
	now := s.settings.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var news []*wire.Screening
	for k, r := range s.records {
		if !now.Before(r.expiresAt) {
			delete(s.records, k)
			s.known.Store(int64(len(s.records)))
			continue
		}
		if !whole && (!now.Before(r.toldUntil) || len(news) >= maxTold) {
			continue
		}
		news = append(news, r.toWire(k, now))
	}
	return news
}

func (r *record) toWire(k Key, now time.Time) *wire.Screening {
	return &wire.Screening{
		Key: k[:], Epoch: r.epoch, Crashes: r.crashes.toWire(now), Blocks: int32(r.blocks),
		BlockedMs: max(r.blockedUntil.Sub(now).Milliseconds(), 0), ExpiresMs: r.expiresAt.Sub(now).Milliseconds(),
	}
}

// Merge merges what a peer knows.
func (s *Screener) Merge(received []*wire.Screening) {
	changed := false
	for _, w := range received {
		changed = s.mergeOne(w) || changed
	}
	if changed && s.settings.Changed != nil {
		s.settings.Changed()
	}
}

// mergeOne merges one record and reports whether it has changed.
func (s *Screener) mergeOne(w *wire.Screening) bool {
	expires := time.Duration(w.GetExpiresMs()) * time.Millisecond
	if len(w.GetKey()) != keyBytes || expires <= 0 || expires > maxBlock+probationLifetime || w.GetBlocks() < 0 || w.GetBlockedMs() > maxBlock.Milliseconds() {
		s.settings.Log.Warn("screener: message of a peer cannot be used", zap.Binary("Key", w.GetKey()), zap.Int64("ExpiresMs", w.GetExpiresMs()))
		return false
	}
	k, now := Key(w.GetKey()), s.settings.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.record(k, now)
	if w.GetEpoch() < r.epoch {
		return false
	}
	changed := w.GetEpoch() > r.epoch
	if changed {
		*r = record{epoch: w.GetEpoch()}
	}
	wasBlocked := r.blocked(now)
	if until := now.Add(time.Duration(w.GetBlockedMs()) * time.Millisecond); w.GetBlockedMs() > 0 && int(w.GetBlocks()) > r.blocks {
		r.blocks, r.blockedUntil, r.crashes = int(w.GetBlocks()), until, nil
		changed = true
	}
	if int(w.GetBlocks()) == r.blocks {
		for _, told := range w.GetCrashes() {
			if one, ok := crashFrom(told, now); ok {
				changed = r.addCrashes(one) || changed
			}
		}
	}
	changed = s.updateBlock(r, now) || changed
	r.expiresAt = later(r.expiresAt, now.Add(expires))
	if !changed {
		return false
	}
	r.toldUntil = now.Add(tellFor)
	if r.blocked(now) && !wasBlocked {
		s.settings.Log.Info("screener: request is blocked by another instance", zap.Stringer("Key", k), zap.Duration("For", r.blockedUntil.Sub(now)))
	}
	return true
}
