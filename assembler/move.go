package assembler

import (
	"context"
	"time"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/configurator"
	"jujubegate.example/jujubegate/mover"
)

// connectMover sets up the judgement of version moves.
func (d *Daemon) connectMover() {
	d.mover = mover.New(d.clock, d.follower.Current, d.evidence.Totals, d.tally.Counts, d.reports.all, d.submitMove, d.halts)
	d.mover.Instances = func() int { return len(d.leaser.View().Members) }
	d.mover.MaySubmit = func() bool { return d.serving(d.clock.Now()) && d.firstMember() }
	d.mover.Author = string(d.self.Instance)
	d.mover.Log = d.logger
}

func (d *Daemon) submitMove(ctx context.Context, p configurator.Proposal) error {
	_, err := d.follower.Submit(ctx, p)
	return err
}

// allows reports whether a target may receive new work.
func (d *Daemon) allows(t jujubegate.Target) bool {
	return d.follower.Current().Allows(t) && !d.halts.Halted(t.Service, t.Version)
}

// finished checks a request that reached its target and counts its end for the
// judgement of its version.
func (d *Daemon) finished(t jujubegate.Target, route jujubegate.Route, running int, failed bool, took time.Duration) {
	now := d.clock.Now()
	d.checkSend(t, now.Add(-took))
	d.targetLatency.Record(took)
	d.tally.Observe(t, route, running, failed, took, now)
}

// warm reports whether a target of this instance is warm. Cold ones are slow
// whatever their version.
func (d *Daemon) warm(target jujubegate.Address) bool {
	report, ok := d.reports.get(d.self.ID(), target)
	return ok && report.State == jujubegate.Warm
}

// movingCounts returns this instance's counts of services whose move is judged.
func (d *Daemon) movingCounts() []jujubegate.RouteCount {
	return d.tally.CountsOf(d.mover.Watches)
}
