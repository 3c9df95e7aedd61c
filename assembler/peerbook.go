package assembler

import (
	"sync"
	"time"

	"jujubegate.example/jujubegate/leaser"
)

// maxOwnerSilence is the time since the last answered heartbeat after which
// sub-requests go to the owner of another replica. It allows for one lost
// heartbeat.
const maxOwnerSilence = 1200 * time.Millisecond

// peerHealth records peers that failed a dispatch, so that replicas of other
// owners are used before the membership view changes.
type peerHealth struct {
	mu     sync.RWMutex
	failed map[leaser.ID]time.Time
}

func newPeerHealth() *peerHealth { return &peerHealth{failed: make(map[leaser.ID]time.Time)} }

// recordFailure records that a dispatch to the peer failed or stalled.
func (h *peerHealth) recordFailure(id leaser.ID, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failed[id] = at
}

// usable reports whether the peer answered a heartbeat recently and after its
// last failure.
func (h *peerHealth) usable(id leaser.ID, s *leaser.State, now time.Time) bool {
	if id == s.Self.ID() {
		return true
	}
	peer, ok := s.Peers[id]
	if !ok || peer.Ended || now.Sub(peer.Answered) > maxOwnerSilence {
		return false
	}
	h.mu.RLock()
	failed, ok := h.failed[id]
	h.mu.RUnlock()
	return !ok || peer.Answered.After(failed)
}
