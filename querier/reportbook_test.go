package querier

import (
	"sync"

	"jujubegate.example/jujubegate"
)

// reportCache holds the last report of each target that was put. Reports carry no
// time, so that an old one that arrives late stays until the next one. It is safe
// for concurrent use.
type reportCache struct {
	mu      sync.RWMutex
	reports map[jujubegate.Address]jujubegate.TargetReport
}

// newReportCache returns an empty cache.
func newReportCache() *reportCache {
	return &reportCache{reports: make(map[jujubegate.Address]jujubegate.TargetReport)}
}

// Put stores reports. They replace earlier ones of the same targets.
func (b *reportCache) Put(reports []jujubegate.TargetReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range reports {
		b.reports[r.Target] = r
	}
}

// Get returns the latest report of a target.
func (b *reportCache) Get(target jujubegate.Address) (jujubegate.TargetReport, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	r, ok := b.reports[target]
	return r, ok
}
