package querier

import (
	"sync"

	"jujubegate.example/jujubegate"
)

// ReportBook keeps the latest report of each target, in the order in which they
// are put: reports carry no time, so an old one that arrives late stays until
// the next one. It is safe for concurrent use.
type ReportBook struct {
	mu      sync.RWMutex
	reports map[jujubegate.Address]jujubegate.TargetReport
}

// NewReportBook returns an empty book.
func NewReportBook() *ReportBook {
	return &ReportBook{reports: make(map[jujubegate.Address]jujubegate.TargetReport)}
}

// Put replaces the reports of the targets named.
func (b *ReportBook) Put(reports []jujubegate.TargetReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range reports {
		b.reports[r.Target] = r
	}
}

// Get returns the latest report of a target.
func (b *ReportBook) Get(target jujubegate.Address) (jujubegate.TargetReport, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	r, ok := b.reports[target]
	return r, ok
}

// Keep forgets the targets for which keep returns false.
func (b *ReportBook) Keep(keep func(jujubegate.Address) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for target := range b.reports {
		if !keep(target) {
			delete(b.reports, target)
		}
	}
}
