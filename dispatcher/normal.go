package dispatcher

import (
	"sync"
	"time"

	"jujubegate.example/jujubegate"
)

// normalTimes holds the last known service time of a warm target of each
// service, by which a new target's first answers are judged.
type normalTimes struct {
	mu        sync.Mutex
	byService map[jujubegate.Service]time.Duration
}

func (n *normalTimes) get(s jujubegate.Service) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.byService[s]
}

func (n *normalTimes) set(s jujubegate.Service, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.byService == nil {
		n.byService = make(map[jujubegate.Service]time.Duration)
	}
	n.byService[s] = d
}
