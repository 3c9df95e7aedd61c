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

// listInterval is the time between two reads of the platform's list by the one
// instance that reads it for all. The promise is a few seconds from the start
// of a target's leaving.
const listInterval = 2 * time.Second

// listing holds the leaving targets of the last read of the platform's list.
type listing struct {
	leaving atomic.Pointer[[]jujubegate.Address]
}

func (l *listing) get() []jujubegate.Address {
	if known := l.leaving.Load(); known != nil {
		return *known
	}
	return nil
}

// readListing reads the list while this instance is the one to do so. The
// others learn of leaving targets from its heartbeats.
func (d *Daemon) readListing(ctx context.Context) {
	for ctx.Err() == nil {
		if d.firstMember() {
			call, cancel := context.WithTimeout(ctx, d.settings.Store.Timeout)
			list, err := d.lister.List(call)
			cancel()
			if err == nil {
				leaving := list.LeavingTargets().Sorted()
				d.listing.leaving.Store(&leaving)
				d.drainTargets(leaving)
			}
		} else {
			d.listing.leaving.Store(nil)
		}
		select {
		case <-ctx.Done():
		case <-d.clock.After(listInterval):
		}
	}
}

// drainTargets stops new work to targets that leave.
func (d *Daemon) drainTargets(leaving []jujubegate.Address) {
	d.checks.noteLeaving(d.clock.Now(), leaving)
	for _, target := range leaving {
		d.dispatcher.Drain(target)
	}
}

// listed reads the platform's list for the leaser.
func (d *Daemon) listed(ctx context.Context) (leaser.Listing, bool) {
	list, err := d.lister.List(ctx)
	if err != nil {
		d.logger.Debug("assembler: list of instances not read", zap.Error(err))
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

// seeds returns the peers of the settings. They matter while no view is known;
// later, an incomplete list would look like instances that have ended.
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
