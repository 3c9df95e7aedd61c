package conductor

import (
	"context"
	"slices"
	"time"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/gossiper"
)

const (
	// activePart is the part of the shared limits that the active instances
	// have; the rest is for those that get few requests.
	activePart = 0.8
	// passiveIdle is how long an instance that gets few requests keeps idle
	// connections, which count against the cap of a target.
	passiveIdle = 1500 * time.Millisecond
	// coldHolderPart is the part of the spare requests of a cold target that is
	// given to instances, one each; the rest covers instances that do not yet
	// agree on who they are.
	coldHolderPart = 2.0 / 3
	// settleTime is how long after its start an instance may not know the others:
	// two rounds of gossip, and the start of processes that start together.
	settleTime = 2 * time.Second
	// startShare bounds the share of an instance until then. Fleets of today have
	// 7 or 8 instances.
	startShare = 1.0 / 8
)

// division is how the instances share limits. It is immutable.
type division struct {
	self jujubegate.Instance
	// share is this instance's part of the limits that all instances share.
	share float64
	// active are the instances that callers are sent to.
	active   []gossiper.Peer
	isActive bool
	// unsettled is set while other instances may not be known.
	unsettled bool
	// users is the number of instances that use the larger part of the limits.
	users int
	// passive is the number of instances that live and are not active.
	passive int
}

// divide works out the division of a fleet. Instances that ended a while ago
// still count, since their requests and connections can outlast them.
func divide(self jujubegate.Instance, fleet []gossiper.Peer, ended int) division {
	active := gossiper.Active(fleet)
	d := division{
		self: self, active: active, users: len(active) + ended, passive: len(fleet) - len(active),
		isActive: slices.ContainsFunc(active, func(p gossiper.Peer) bool { return p.Instance == self }),
	}
	switch {
	case len(active) == 0 || d.passive == 0:
		d.users, d.passive = len(fleet)+ended, 0
		d.share = 1 / float64(d.users)
	case d.isActive:
		d.share = activePart / float64(d.users)
	default:
		d.share = (1 - activePart) / float64(d.passive+ended)
	}
	return d
}

// idle returns how long connections are kept idle; 0 means as long as targets do.
func (d *division) idle() time.Duration {
	if d.passive > 0 && !d.isActive {
		return passiveIdle
	}
	return 0
}

// coldPart returns this instance's part of what a cold target may get. If there
// are more instances than spare requests, only some of them use the target, who
// are the same ones for all that know the same instances.
func (d *division) coldPart(target string, spare float64) float64 {
	holders := max(int(coldHolderPart*spare), 1)
	switch {
	case d.unsettled || d.users+d.passive <= holders:
		return d.share
	case !d.isActive:
		return 0
	case d.users <= holders:
		return 1 / float64(d.users)
	case gossiper.RankOf(target, d.self, d.active) < holders:
		return 1 / float64(holders)
	}
	return 0
}

// share returns this instance's part of the limits that all instances share.
func (c *Conductor) share() float64 { return c.division.Load().share }

func (c *Conductor) coldPart(target string, spare float64) float64 {
	return c.division.Load().coldPart(target, spare)
}

// divide shares the limits anew.
func (c *Conductor) divide() {
	fleet := c.fleet()
	d := divide(c.settings.Load().Instance, fleet, max(c.gossiper.Size()-len(fleet), 0))
	if c.clock.Since(c.started) < settleTime {
		d.share, d.unsettled = min(d.share, startShare), true
	}
	c.division.Store(&d)
	c.tracker.SetShare(d.share, d.idle())
}

// settle shares the limits anew once the other instances are known.
func (c *Conductor) settle(ctx context.Context) {
	select {
	case <-c.clock.After(settleTime):
		c.divide()
	case <-ctx.Done():
	}
}
