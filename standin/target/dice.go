package target

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// dice makes the random choices of a target.
type dice struct {
	mu     sync.Mutex
	random *rand.Rand
}

func newDice(seed uint64) *dice {
	return &dice{random: rand.New(rand.NewPCG(seed, seed))}
}

// hit returns true with the given probability.
func (d *dice) hit(share float64) bool {
	if share <= 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.random.Float64() < share
}

// serviceTime draws from the log-normal distribution with stragglers.
func (d *dice) serviceTime(s *Settings) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	ms := s.ServiceTimeMs * math.Exp(s.Sigma*d.random.NormFloat64())
	if d.random.Float64() < s.StraggleShare {
		ms *= s.StraggleFactor
	}
	return milliseconds(ms)
}
