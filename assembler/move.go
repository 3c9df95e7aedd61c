package assembler

import (
	"context"
	"time"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/configurator"
	"jujubegate.example/jujubegate/mover"
)

// setUpMover creates the mover, which evaluates and advances version moves.
func (d *Daemon) setUpMover() {
	d.mover = mover.New(d.clock, d.follower.Current, d.fleetTally.Totals, d.tally.Counts, d.reports.all, d.submitMove, d.halts)
	d.mover.Instances = func() int { return len(d.leaser.View().Members) }
	d.mover.MaySubmit = func() bool { return d.serving(d.clock.Now()) && d.isCoordinator() }
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

// finished checks a request that reached its target and counts its result for the
// evaluation of the target's version.
func (d *Daemon) finished(t jujubegate.Target, route jujubegate.Route, running int, failed bool, took time.Duration) {
	now := d.clock.Now()
	d.checkSend(t, now.Add(-took))
	d.targetLatency.Record(took)
	d.tally.Observe(t, route, running, failed, took, now)
}

// isWarm reports whether a target of this instance is warm. A cold target is slow
// whatever its version.
func (d *Daemon) isWarm(target jujubegate.Address) bool {
	report, ok := d.reports.get(d.self.ID(), target)
	return ok && report.State == jujubegate.Warm
}

// countsOfMovingServices returns this instance's counts for services whose move is
// being evaluated.
func (d *Daemon) countsOfMovingServices() []jujubegate.RouteCount {
	return d.tally.CountsOf(d.mover.Watches)
}
