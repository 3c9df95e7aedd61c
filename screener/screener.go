package screener

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
)

const (
	// minCrashShare is the least share of the targets that ended during a run which must
	// have had the request.
	minCrashShare = 0.8
	// firstBlock is how long a request is blocked at first. It is then tried again, since
	// its target may have been fixed; each further block is blockGrowth times as long.
	firstBlock  = 5 * time.Minute
	blockGrowth = 4
	maxBlock    = 24 * time.Hour
	// suspicionLifetime is how long a request that is not blocked stays suspected, and
	// how long a cleared one is remembered, so that late messages do not revive it.
	suspicionLifetime = 2 * time.Minute
	// probationLifetime is how long a request whose block is over stays suspected.
	probationLifetime = 24 * time.Hour
	// maxRecords bounds the requests that are remembered.
	maxRecords = 1024
	// endedMemory is how long the ends of targets are remembered, and maxEnded how many
	// of them. Requests take less time than that.
	endedMemory = 10 * time.Second
	maxEnded    = 4096
)

// Settings are the dependencies of a Screener.
type Settings struct {
	Clock jujubegate.Clock
	Log   *zap.Logger
	// Changed is called when other instances must be told of a change at once; may be
	// nil.
	Changed func()
}

// Screener remembers the requests under which targets ended. It is safe for concurrent
// use.
type Screener struct {
	settings Settings
	// known is the number of records. While it is 0, nothing is computed for requests.
	known atomic.Int64

	mu      sync.Mutex
	records map[Key]*record
	// ended holds the ends of targets, in order.
	ended []end
}

// end is the end of all connections to a target.
type end struct {
	target uint64
	at     time.Time
}

// record is what is known of one request.
type record struct {
	// epoch is raised each time that the request is cleared.
	epoch   int64
	crashes crashes
	// blocks counts how often the request was blocked, and blockedUntil is the end of
	// the last time.
	blocks       int
	blockedUntil time.Time
	expiresAt    time.Time
	// toldUntil is until when messages to peers include the record.
	toldUntil time.Time
}

func (r *record) blocked(now time.Time) bool { return now.Before(r.blockedUntil) }

// New returns a screener that knows nothing.
func New(settings Settings) *Screener {
	return &Screener{settings: settings, records: make(map[Key]*record)}
}

// Block says that a request must not be sent to any target.
type Block struct {
	Key Key
	// For is how long the request stays blocked.
	For time.Duration
}

// Begin returns the run of a request, or why it is blocked. The key is computed only if
// it is needed.
func (s *Screener) Begin(id string, key func() Key) (*Run, *Block) {
	now := s.settings.Clock.Now()
	r := &Run{screener: s, id: id, key: sync.OnceValue(key), started: now}
	if s.known.Load() == 0 {
		return r, nil
	}
	k := r.key()
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.records[k]
	if known == nil || len(known.crashes) == 0 && known.blocks == 0 {
		return r, nil
	}
	if known.blocked(now) {
		return nil, &Block{Key: k, For: known.blockedUntil.Sub(now)}
	}
	r.cautious = true
	return r, nil
}

func (s *Screener) isBlocked(k Key) bool {
	now := s.settings.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[k]
	return r != nil && r.blocked(now)
}

// RecordEnd records that all connections to a target ended.
func (s *Screener) RecordEnd(target string) {
	now := s.settings.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	first := 0
	for first < len(s.ended) && (now.Sub(s.ended[first].at) > endedMemory || len(s.ended)-first >= maxEnded) {
		first++
	}
	s.ended = append(s.ended[first:], end{xxhash.Sum64String(target), now})
}

// endedSince returns the hashes of the targets that ended since a time.
func (s *Screener) endedSince(since time.Time) map[uint64]struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	ended := make(map[uint64]struct{})
	for i := len(s.ended) - 1; i >= 0 && !s.ended[i].at.Before(since); i-- {
		ended[s.ended[i].target] = struct{}{}
	}
	return ended
}

// suspect records the targets that ended in a run of a request.
func (s *Screener) suspect(k Key, id string, crashed []crash) {
	now := s.settings.Clock.Now()
	s.mu.Lock()
	r := s.record(k, now)
	changed := r.addCrashes(crashed...)
	blocked := s.updateBlock(r, now)
	if changed || blocked {
		r.toldUntil = now.Add(tellFor)
		r.expiresAt = later(r.expiresAt, now.Add(suspicionLifetime))
	}
	fields := []zap.Field{
		zap.Stringer("Key", k), zap.String("Request", id), zap.Int("Crashes", len(r.crashes)), zap.Bool("Repeated", r.crashes.repeated()), zap.Duration("BlockedFor", max(r.blockedUntil.Sub(now), 0)),
	}
	s.mu.Unlock()
	switch {
	case blocked:
		s.settings.Log.Warn("screener: request that crashes targets is blocked", fields...)
	case changed:
		s.settings.Log.Info("screener: request is suspected of crashing targets", fields...)
	}
	if (changed || blocked) && s.settings.Changed != nil {
		s.settings.Changed()
	}
}

// record returns the record of a request, which it creates if there is none.
func (s *Screener) record(k Key, now time.Time) *record {
	r := s.records[k]
	if r == nil {
		s.makeRoom(now)
		r = &record{expiresAt: now.Add(suspicionLifetime)}
		s.records[k] = r
		s.known.Store(int64(len(s.records)))
	}
	return r
}

// makeRoom removes the records that have expired, and if there are still too many the
// one that expires first.
func (s *Screener) makeRoom(now time.Time) {
	var first Key
	for k, r := range s.records {
		if !now.Before(r.expiresAt) {
			delete(s.records, k)
		} else if f := s.records[first]; f == nil || r.expiresAt.Before(f.expiresAt) {
			first = k
		}
	}
	if len(s.records) >= maxRecords {
		delete(s.records, first)
	}
	s.known.Store(int64(len(s.records)))
}

// updateBlock blocks a request once that is justified. One that has been blocked before
// needs no further proof than another crash.
func (s *Screener) updateBlock(r *record, now time.Time) bool {
	proven := r.crashes.proven() || r.blocks > 0 && len(r.crashes) > 0
	if !proven || r.blocked(now) {
		return false
	}
	block := firstBlock
	for range r.blocks {
		block = min(block*blockGrowth, maxBlock)
	}
	r.blocks++
	r.blockedUntil = now.Add(block)
	r.expiresAt = r.blockedUntil.Add(probationLifetime)
	// After the block, only new crashes count.
	r.crashes = nil
	return true
}

// clear forgets what is held against a request, as a target has answered it.
func (s *Screener) clear(k Key, id string) {
	now := s.settings.Clock.Now()
	s.mu.Lock()
	r := s.records[k]
	if r == nil || len(r.crashes) == 0 && r.blocks == 0 {
		s.mu.Unlock()
		return
	}
	*r = record{epoch: r.epoch + 1, expiresAt: now.Add(suspicionLifetime), toldUntil: now.Add(tellFor)}
	s.mu.Unlock()
	s.settings.Log.Info("screener: request is cleared by an answer", zap.Stringer("Key", k), zap.String("Request", id))
	if s.settings.Changed != nil {
		s.settings.Changed()
	}
}

// BlockedCount returns the number of requests that are blocked.
func (s *Screener) BlockedCount() int {
	now := s.settings.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, r := range s.records {
		if r.blocked(now) {
			n++
		}
	}
	return n
}

// addCrashes adds ends of targets and reports whether anything has changed.
func (r *record) addCrashes(added ...crash) bool {
	changed := false
	for _, one := range added {
		var isNew bool
		r.crashes, isNew = r.crashes.with(one)
		changed = changed || isNew
	}
	return changed
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
