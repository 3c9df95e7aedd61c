package target

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// sampler makes the random choices of a target.
type sampler struct {
	mu     sync.Mutex
	random *rand.Rand
}

func newSampler(seed uint64) *sampler {
	return &sampler{random: rand.New(rand.NewPCG(seed, seed))}
}

// hit returns true with the given probability.
func (s *sampler) hit(share float64) bool {
	if share <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64() < share
}

// serviceTime draws from the log-normal distribution with stragglers.
func (s *sampler) serviceTime(settings *Settings) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	ms := settings.ServiceTimeMs * math.Exp(settings.Sigma*s.random.NormFloat64())
	if s.random.Float64() < settings.StraggleShare {
		ms *= settings.StraggleFactor
	}
	return milliseconds(ms)
}
