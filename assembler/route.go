package assembler

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/leaser"
	"jujubegate.example/jujubegate/transporter"
)

// owner returns the instance that owns the target, if it can be reached.
func (d *Daemon) owner(target jujubegate.Address) (leaser.Member, bool) {
	owner, ok := d.ownership.Owner(target)
	if !ok || !d.peers.usable(owner.ID(), d.leaser.State(), d.clock.Now()) {
		return leaser.Member{}, false
	}
	return owner, true
}

// dispatch sends a batch to its owner, which may be this instance.
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
		d.noteResults(owner, results)
		deliver(results, reports)
	})
	if err != nil && ctx.Err() == nil {
		d.peers.fail(owner.ID(), d.clock.Now())
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

// forgetDisowned drops the reports of targets that their author no longer owns.
func (d *Daemon) forgetDisowned(owner leaser.Member, results []jujubegate.SubResult) {
	for i := range results {
		if r := results[i].Refusal; r != nil && r.Reason == jujubegate.NotOwner {
			d.reports.forget(owner.ID(), results[i].Target)
		}
	}
}

// report returns what the owner of a target last said about it.
func (d *Daemon) report(target jujubegate.Address) (jujubegate.TargetReport, bool) {
	owner, ok := d.ownership.Owner(target)
	if !ok {
		return jujubegate.TargetReport{}, false
	}
	return d.reports.get(owner.ID(), target)
}

// observe takes what a peer says about its targets and their versions.
func (d *Daemon) observe(o transporter.Observation) {
	d.checkOwners(o)
	d.reports.put(o.Peer.ID(), o.Reports)
	d.evidence.Merge(o.Peer.Instance, o.Peer.Incarnation, o.Counts, d.clock.Now())
	d.halts.Merge(o.Halts)
	if len(o.Leaving) > 0 {
		d.drainTargets(o.Leaving)
	}
}

// keepUp updates the dispatcher's targets and this instance's own reports. It
// releases a view once nothing runs on targets that were lost with it, so that
// their new owners need not wait for the lease.
func (d *Daemon) keepUp(ctx context.Context) {
	for ctx.Err() == nil {
		// The view is read first: the targets follow from it or a later one.
		epoch := d.leaser.View().Epoch
		d.adoptConfiguration()
		d.updateTargets(d.clock.Now())
		if d.dispatcher.Retired() == 0 {
			d.leaser.Release(epoch)
		}
		d.reports.replace(d.self.ID(), d.dispatcher.Reports())
		d.evidence.Merge(d.self.Instance, d.self.Incarnation, d.movingCounts(), d.clock.Now())
		d.limitOrders()
		d.upkeep.wait(ctx, d.clock)
	}
}

// limitOrders gives this instance its part of the fleet's order writes.
func (d *Daemon) limitOrders() {
	limit := float64(fleetOrderWrites) / float64(max(1, len(d.leaser.View().Members)))
	if rate.Limit(limit) != d.orderer.WriteLimiter.Limit() {
		d.orderer.WriteLimiter.SetLimit(rate.Limit(limit))
		d.orderer.WriteLimiter.SetBurst(max(orderBurst, int(limit)))
	}
}

// updateTargets gives the dispatcher the targets that may be used now. A target
// that waits for a takeover is left out, so that its connections count once.
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
	d.checks.note(now, c, halted, usable)
}

// upkeep wakes the loop of keepUp before its interval has passed.
type upkeep struct {
	wanted chan struct{}
}

func newUpkeep() upkeep { return upkeep{wanted: make(chan struct{}, 1)} }

func (u upkeep) request() {
	select {
	case u.wanted <- struct{}{}:
	default:
	}
}

func (u upkeep) wait(ctx context.Context, clock jujubegate.Clock) {
	select {
	case <-ctx.Done():
	case <-u.wanted:
	case <-clock.After(upkeepInterval):
	}
}
