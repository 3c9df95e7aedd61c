package dispatcher

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"jujubegate.example/jujubegate"
)

// Mark is the sequence number of a change to the reports; 0 is before the first
// change.
type Mark uint64

// reported is the last report of a target that counted as a change. The
// dispatcher's markMu guards it.
type reported struct {
	report jujubegate.TargetReport
	mark   Mark
}

// Reports returns the reports of all owned targets, sorted by address.
func (d *Dispatcher) Reports() []jujubegate.TargetReport {
	reports, _ := d.ReportsSince(0)
	return reports
}

// ReportsSince returns the reports that changed after a mark, sorted by
// address, and the mark to pass to the next call. A small change in latency or
// load doesn't count: the latency must change by more than an eighth, and the
// number of running and queued requests must cross a power of two.
func (d *Dispatcher) ReportsSince(mark Mark) ([]jujubegate.TargetReport, Mark) {
	now := d.settings.Clock.Now()
	d.mu.RLock()
	targets := make([]*ownedTarget, 0, len(d.targets))
	for _, o := range d.targets {
		targets = append(targets, o)
	}
	d.mu.RUnlock()
	d.markMu.Lock()
	defer d.markMu.Unlock()
	var changed []jujubegate.TargetReport
	next := d.mark + 1
	for _, o := range targets {
		report := o.report(now)
		if o.reported.mark == 0 || differsNoticeably(o.reported.report, report) {
			o.reported.report, o.reported.mark = report, next
			d.mark = next
		}
		if o.reported.mark > mark {
			changed = append(changed, report)
		}
	}
	slices.SortFunc(changed, func(a, b jujubegate.TargetReport) int { return cmp.Compare(a.Target, b.Target) })
	return changed, d.mark
}

func (o *ownedTarget) report(now time.Time) jujubegate.TargetReport {
	o.mu.Lock()
	defer o.mu.Unlock()
	return jujubegate.TargetReport{
		Target: o.target.Address, State: o.limiter.State(now), InFlight: o.limiter.InFlight(now),
		Queued: o.queue.Len(), Limit: o.limiter.Limit(now), Latency: o.limiter.Latency(), Snapshots: o.snapshots,
	}
}

func differsNoticeably(a, b jujubegate.TargetReport) bool {
	return a.State != b.State || a.Limit != b.Limit || !slices.Equal(a.Snapshots, b.Snapshots) ||
		(a.Latency-b.Latency).Abs() > a.Latency/8 ||
		bits.Len(uint(a.InFlight+a.Queued)) != bits.Len(uint(b.InFlight+b.Queued))
}
