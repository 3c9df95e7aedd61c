package dispatcher

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"jujubegate.example/jujubegate"
)

// Mark numbers the changes of reports; 0 is before the first.
type Mark uint64

// reported is the last report of a lane that counted as changed. The
// dispatcher's markMu guards it.
type reported struct {
	report jujubegate.TargetReport
	mark   Mark
}

// Reports returns the reports of all owned targets by address.
func (d *Dispatcher) Reports() []jujubegate.TargetReport {
	reports, _ := d.ReportsSince(0)
	return reports
}

// ReportsSince returns the reports that changed after a mark, by address, and
// the mark to pass next. Numbers count as changed when they change noticeably:
// latency by an eighth, load by a power of two.
func (d *Dispatcher) ReportsSince(mark Mark) ([]jujubegate.TargetReport, Mark) {
	now := d.settings.Clock.Now()
	d.mu.RLock()
	lanes := make([]*lane, 0, len(d.lanes))
	for _, l := range d.lanes {
		lanes = append(lanes, l)
	}
	d.mu.RUnlock()
	d.markMu.Lock()
	defer d.markMu.Unlock()
	var changed []jujubegate.TargetReport
	next := d.mark + 1
	for _, l := range lanes {
		report := l.report(now)
		if l.reported.mark == 0 || noticeable(l.reported.report, report) {
			l.reported.report, l.reported.mark = report, next
			d.mark = next
		}
		if l.reported.mark > mark {
			changed = append(changed, report)
		}
	}
	slices.SortFunc(changed, func(a, b jujubegate.TargetReport) int { return cmp.Compare(a.Target, b.Target) })
	return changed, d.mark
}

func (l *lane) report(now time.Time) jujubegate.TargetReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	return jujubegate.TargetReport{
		Target: l.target.Address, State: l.limiter.State(now), InFlight: l.limiter.InFlight(now),
		Queued: l.queue.Len(), Limit: l.limiter.Limit(now), Latency: l.limiter.Latency(), Snapshots: l.snapshots,
	}
}

func noticeable(a, b jujubegate.TargetReport) bool {
	return a.State != b.State || a.Limit != b.Limit || !slices.Equal(a.Snapshots, b.Snapshots) ||
		(a.Latency-b.Latency).Abs() > a.Latency/8 ||
		bits.Len(uint(a.InFlight+a.Queued)) != bits.Len(uint(b.InFlight+b.Queued))
}
