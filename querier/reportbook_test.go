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
func (c *reportCache) Put(reports []jujubegate.TargetReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range reports {
		c.reports[r.Target] = r
	}
}

// Get returns the latest report of a target.
func (c *reportCache) Get(target jujubegate.Address) (jujubegate.TargetReport, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	r, ok := c.reports[target]
	return r, ok
}
