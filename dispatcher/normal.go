package dispatcher

import (
	"sync"
	"time"

	"jujubegate.example/jujubegate"
)

// normalTimes holds, for each service, the last learned service time of a warm
// target. A new target's first answers are compared with it to tell whether the
// target is cold.
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
