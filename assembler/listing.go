package assembler

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/leaser"
	"jujubegate.example/jujubegate/lister"
)

// platformListInterval is the time between two reads of the platform's list by the
// coordinator. It must be short because a leaving target may receive new requests
// only for a few seconds.
const platformListInterval = 2 * time.Second

// leavingList holds the leaving targets from the last read of the platform's list.
// It is empty at instances that do not read the list.
type leavingList struct {
	targets atomic.Pointer[[]jujubegate.Address]
}

func (l *leavingList) get() []jujubegate.Address {
	if targets := l.targets.Load(); targets != nil {
		return *targets
	}
	return nil
}

// pollPlatformList reads the list periodically while this instance is the
// coordinator. The other instances learn of leaving targets from its answers to
// their heartbeats.
func (d *Daemon) pollPlatformList(ctx context.Context) {
	for ctx.Err() == nil {
		if d.isCoordinator() {
			call, cancel := context.WithTimeout(ctx, d.settings.Store.Timeout)
			list, err := d.lister.List(call)
			cancel()
			if err == nil {
				leaving := list.LeavingTargets().Sorted()
				d.leavingList.targets.Store(&leaving)
				d.drainTargets(leaving)
			}
		} else {
			d.leavingList.targets.Store(nil)
		}
		select {
		case <-ctx.Done():
		case <-d.clock.After(platformListInterval):
		}
	}
}

// drainTargets stops new requests to leaving targets.
func (d *Daemon) drainTargets(leaving []jujubegate.Address) {
	d.checks.recordLeaving(d.clock.Now(), leaving)
	for _, target := range leaving {
		d.dispatcher.Drain(target)
	}
}

// listInstances returns the instances in the platform's list and the seeds, for
// the leaser. If the list cannot be read, the seeds suffice while no view is
// known; after that the read counts as failed.
func (d *Daemon) listInstances(ctx context.Context) (leaser.Listing, bool) {
	list, err := d.lister.List(ctx)
	if err != nil {
		d.logger.Debug("assembler: list of instances cannot be read", zap.Error(err))
		return d.seeds(), d.leaser.View().Epoch == 0
	}
	listing := d.seeds()
	for _, e := range slices.Concat(list.Live, list.Leaving) {
		if e.Kind == lister.KindInstance {
			listing.Live = append(listing.Live, leaser.ListedInstance{
				Instance: jujubegate.Instance(e.Name), PeerAddress: e.PeerAddress,
			})
		}
	}
	return listing, true
}

// seeds returns the peers from the settings while no view is known. Later it
// returns none, because an incomplete list would look as if instances had ended.
func (d *Daemon) seeds() leaser.Listing {
	var listing leaser.Listing
	if d.leaser.View().Epoch > 0 {
		return listing
	}
	for _, address := range d.settings.Peers.Seeds {
		if address != d.self.PeerAddress {
			listing.Live = append(listing.Live, leaser.ListedInstance{PeerAddress: address})
		}
	}
	return listing
}
