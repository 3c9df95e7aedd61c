package assembler

import (
	"sync"
	"time"

	"jujubegate.example/jujubegate/leaser"
)

// ownerFreshness is the time since the last heartbeat after which sub-requests
// go to the owner of another replica. It covers one lost heartbeat.
const ownerFreshness = 1200 * time.Millisecond

// peerBook notes owners that failed a dispatch, so that other replicas are used
// before the membership view changes.
type peerBook struct {
	mu     sync.RWMutex
	failed map[leaser.ID]time.Time
}

func newPeerBook() *peerBook { return &peerBook{failed: make(map[leaser.ID]time.Time)} }

// fail notes that a call to the peer broke.
func (b *peerBook) fail(id leaser.ID, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failed[id] = at
}

// usable reports whether the peer answered a heartbeat recently and after its
// last failure.
func (b *peerBook) usable(id leaser.ID, s *leaser.State, now time.Time) bool {
	if id == s.Self.ID() {
		return true
	}
	peer, ok := s.Peers[id]
	if !ok || peer.Ended || now.Sub(peer.Answered) > ownerFreshness {
		return false
	}
	b.mu.RLock()
	failed, ok := b.failed[id]
	b.mu.RUnlock()
	return !ok || peer.Answered.After(failed)
}
