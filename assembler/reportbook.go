package assembler

import (
	"sync"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/leaser"
)

// reportCache holds the latest report of each target with the instance that sent
// it, its author. A report is valid only while its author owns the target: a new
// owner receives work only after it has reported the target, which it does once it
// may send to it.
type reportCache struct {
	mu      sync.RWMutex
	reports map[jujubegate.Address]authoredReport
}

type authoredReport struct {
	author leaser.ID
	report jujubegate.TargetReport
}

func newReportCache() *reportCache {
	return &reportCache{reports: make(map[jujubegate.Address]authoredReport)}
}

// put stores reports of an author.
func (c *reportCache) put(author leaser.ID, reports []jujubegate.TargetReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range reports {
		c.reports[r.Target] = authoredReport{author, r}
	}
}

// replaceAll stores the reports of all targets of an author and removes its
// earlier reports of other targets.
func (c *reportCache) replaceAll(author leaser.ID, reports []jujubegate.TargetReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for target, known := range c.reports {
		if known.author == author {
			delete(c.reports, target)
		}
	}
	for _, r := range reports {
		c.reports[r.Target] = authoredReport{author, r}
	}
}

// get returns the report of a target if its owner is the author.
func (c *reportCache) get(owner leaser.ID, target jujubegate.Address) (jujubegate.TargetReport, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	known, ok := c.reports[target]
	if !ok || known.author != owner {
		return jujubegate.TargetReport{}, false
	}
	return known.report, true
}

// all returns all reports.
func (c *reportCache) all() []jujubegate.TargetReport {
	c.mu.RLock()
	defer c.mu.RUnlock()
	reports := make([]jujubegate.TargetReport, 0, len(c.reports))
	for _, known := range c.reports {
		reports = append(reports, known.report)
	}
	return reports
}

// remove removes the report of a target if it is by the author.
func (c *reportCache) remove(author leaser.ID, target jujubegate.Address) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reports[target].author == author {
		delete(c.reports, target)
	}
}

// retain removes the reports of the targets for which keep returns false.
func (c *reportCache) retain(keep func(jujubegate.Address) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for target := range c.reports {
		if !keep(target) {
			delete(c.reports, target)
		}
	}
}
