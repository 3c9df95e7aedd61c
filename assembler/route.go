package assembler

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/leaser"
	"jujubegate.example/jujubegate/transporter"
)

// reachableOwner returns the instance that owns the target, if it is usable.
func (d *Daemon) reachableOwner(target jujubegate.Address) (leaser.Member, bool) {
	owner, ok := d.ownership.Owner(target)
	if !ok || !d.peerHealth.usable(owner.ID(), d.leaser.State(), d.clock.Now()) {
		return leaser.Member{}, false
	}
	return owner, true
}

// dispatch sends a batch to the owner of its targets, which may be this instance.
func (d *Daemon) dispatch(ctx context.Context, owner leaser.Member, batch jujubegate.Batch,
	deliver func([]jujubegate.SubResult, []jujubegate.TargetReport),
) error {
	if owner.ID() == d.self.ID() {
		d.dispatcher.Do(ctx, batch, func(results []jujubegate.SubResult) { deliver(results, nil) })
		return nil
	}
	sent := d.clock.Now()
	watched, done := d.watchOwner(ctx, owner.ID(), sent, batch.Order)
	defer done()
	err := d.client.Dispatch(watched, owner, batch, func(results []jujubegate.SubResult, reports []jujubegate.TargetReport) {
		d.handleResults(owner, results)
		deliver(results, reports)
	})
	if err != nil && ctx.Err() == nil {
		d.peerHealth.recordFailure(owner.ID(), d.clock.Now())
	}
	return err
}

func (d *Daemon) cancel(owner leaser.Member, queryID string, subRequests []jujubegate.SubRequest) {
	if owner.ID() == d.self.ID() {
		d.dispatcher.Cancel(queryID, subRequests)
		return
	}
	d.client.Cancel(owner, queryID, subRequests)
}

// removeNotOwnedReports removes the owner's reports of targets for which it has
// refused a sub-request with NotOwner.
func (d *Daemon) removeNotOwnedReports(owner leaser.Member, results []jujubegate.SubResult) {
	for i := range results {
		if r := results[i].Refusal; r != nil && r.Reason == jujubegate.NotOwner {
			d.reports.remove(owner.ID(), results[i].Target)
		}
	}
}

// ownerReport returns the last report of a target by its owner.
func (d *Daemon) ownerReport(target jujubegate.Address) (jujubegate.TargetReport, bool) {
	owner, ok := d.ownership.Owner(target)
	if !ok {
		return jujubegate.TargetReport{}, false
	}
	return d.reports.get(owner.ID(), target)
}

// handleObservation records what a peer reports about its targets, their versions
// and the halts.
func (d *Daemon) handleObservation(o transporter.Observation) {
	d.checkOwners(o)
	d.reports.put(o.Peer.ID(), o.Reports)
	d.fleetTally.Merge(o.Peer.Instance, o.Peer.Incarnation, o.Counts, d.clock.Now())
	d.halts.Merge(o.Halts)
	if len(o.Leaving) > 0 {
		d.drainTargets(o.Leaving)
	}
}

// maintain periodically applies the configuration and updates the dispatcher's
// targets and this instance's own reports. It releases a view once no request runs
// on targets that the view assigned to other instances, so that these need not wait
// for the lease to expire.
func (d *Daemon) maintain(ctx context.Context) {
	for ctx.Err() == nil {
		// The view is read first, so that the targets are those of this view or a
		// later one.
		epoch := d.leaser.View().Epoch
		d.applyConfiguration()
		d.updateTargets(d.clock.Now())
		if d.dispatcher.Retired() == 0 {
			d.leaser.Release(epoch)
		}
		d.reports.replaceAll(d.self.ID(), d.dispatcher.Reports())
		d.fleetTally.Merge(d.self.Instance, d.self.Incarnation, d.countsOfMovingServices(), d.clock.Now())
		d.updateOrderRate()
		d.maintenance.wait(ctx, d.clock)
	}
}

// updateOrderRate sets this instance's share of the fleet's rate of order writes.
func (d *Daemon) updateOrderRate() {
	limit := float64(fleetOrderWriteRate) / float64(max(1, len(d.leaser.View().Members)))
	if rate.Limit(limit) != d.orderer.WriteLimiter.Limit() {
		d.orderer.WriteLimiter.SetLimit(rate.Limit(limit))
		d.orderer.WriteLimiter.SetBurst(max(minOrderBurst, int(limit)))
	}
}

// updateTargets passes the usable targets to the dispatcher and the checks. A
// target that its former owner may still use is left out, so that only one
// instance holds connections to it.
func (d *Daemon) updateTargets(now time.Time) {
	owned := d.ownership.Owned()
	usable := make([]jujubegate.Target, 0, len(owned))
	for _, t := range owned {
		if d.ownership.MaySend(t.Address, now) {
			usable = append(usable, t)
		}
	}
	c := d.follower.Current()
	d.dispatcher.Update(usable, c.Services())
	var halted []versionKey
	for _, h := range d.halts.List() {
		halted = append(halted, versionKey{h.Service, h.Version})
	}
	d.checks.update(now, c, halted, usable)
}

// trigger runs the loop of maintain before its interval has passed.
type trigger struct {
	requested chan struct{}
}

func newTrigger() trigger { return trigger{requested: make(chan struct{}, 1)} }

func (t trigger) request() {
	select {
	case t.requested <- struct{}{}:
	default:
	}
}

func (t trigger) wait(ctx context.Context, clock jujubegate.Clock) {
	select {
	case <-ctx.Done():
	case <-t.requested:
	case <-clock.After(maintenanceInterval):
	}
}
