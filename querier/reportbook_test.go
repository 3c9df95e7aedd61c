package querier

import (
	"sync"

	"jujubegate.example/jujubegate"
)

// reportBook keeps the latest report of each target, in the order in which they
// are put: reports carry no time, so an old one that arrives late stays until
// the next one. It is safe for concurrent use.
type reportBook struct {
	mu      sync.RWMutex
	reports map[jujubegate.Address]jujubegate.TargetReport
}

// newReportBook returns an empty book.
func newReportBook() *reportBook {
	return &reportBook{reports: make(map[jujubegate.Address]jujubegate.TargetReport)}
}

// Put replaces the reports of the targets named.
func (b *reportBook) Put(reports []jujubegate.TargetReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range reports {
		b.reports[r.Target] = r
	}
}

// Get returns the latest report of a target.
func (b *reportBook) Get(target jujubegate.Address) (jujubegate.TargetReport, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	r, ok := b.reports[target]
	return r, ok
}
