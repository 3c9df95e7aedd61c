package target

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// sampler is the seeded random source of a target.
type sampler struct {
	mu     sync.Mutex
	random *rand.Rand
}

func newSampler(seed uint64) *sampler {
	return &sampler{random: rand.New(rand.NewPCG(seed, seed))}
}

// chance returns true with the given probability.
func (s *sampler) chance(probability float64) bool {
	if probability <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64() < probability
}

// serviceTime draws a service time from a log-normal distribution. A share of the
// draws are stragglers, which take StraggleFactor times as long.
func (s *sampler) serviceTime(settings *Settings) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	ms := settings.ServiceTimeMs * math.Exp(settings.Sigma*s.random.NormFloat64())
	if s.random.Float64() < settings.StraggleShare {
		ms *= settings.StraggleFactor
	}
	return milliseconds(ms)
}
