package assembler

import (
	"sync"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/leaser"
)

// reportBook keeps the latest report of each target with its author. A report
// counts only while its author owns the target: a new owner is asked for work
// once it has reported, which it does when it may send.
type reportBook struct {
	mu      sync.RWMutex
	reports map[jujubegate.Address]authoredReport
}

type authoredReport struct {
	author leaser.ID
	report jujubegate.TargetReport
}

func newReportBook() *reportBook {
	return &reportBook{reports: make(map[jujubegate.Address]authoredReport)}
}

// put replaces the reports of the named targets.
func (b *reportBook) put(author leaser.ID, reports []jujubegate.TargetReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range reports {
		b.reports[r.Target] = authoredReport{author, r}
	}
}

// replace is put for all targets of the author; others it reported are forgotten.
func (b *reportBook) replace(author leaser.ID, reports []jujubegate.TargetReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for target, known := range b.reports {
		if known.author == author {
			delete(b.reports, target)
		}
	}
	for _, r := range reports {
		b.reports[r.Target] = authoredReport{author, r}
	}
}

// get returns the report of a target by its owner.
func (b *reportBook) get(owner leaser.ID, target jujubegate.Address) (jujubegate.TargetReport, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	known, ok := b.reports[target]
	if !ok || known.author != owner {
		return jujubegate.TargetReport{}, false
	}
	return known.report, true
}

// all returns all reports.
func (b *reportBook) all() []jujubegate.TargetReport {
	b.mu.RLock()
	defer b.mu.RUnlock()
	reports := make([]jujubegate.TargetReport, 0, len(b.reports))
	for _, known := range b.reports {
		reports = append(reports, known.report)
	}
	return reports
}

// forget drops the report of a target, if the author gave it.
func (b *reportBook) forget(author leaser.ID, target jujubegate.Address) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reports[target].author == author {
		delete(b.reports, target)
	}
}

// keep forgets the targets for which the function returns false.
func (b *reportBook) keep(wanted func(jujubegate.Address) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for target := range b.reports {
		if !wanted(target) {
			delete(b.reports, target)
		}
	}
}
