package conductor

import (
	"context"
	"math"
	"slices"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/gossiper"
	"jujubegate.example/jujubegate/tracker"
)

const (
	// activePart is the fraction of the shared limits that the active instances
	// divide among themselves. The passive ones, which get few requests, divide
	// the rest.
	activePart = 0.8
	// passiveIdle is how long a passive instance keeps idle connections. It is
	// short because they count against the connection limit of a target.
	passiveIdle = 1500 * time.Millisecond
	// coldSenderPart is the fraction of a cold target's spare requests that is
	// assigned to instances, one request each. The rest is a margin for instances
	// that do not yet agree on which of them may send.
	coldSenderPart = 2.0 / 3
	// A target that names a limit may get in limitWindow at most limitFactor times
	// what the limit allows plus limitAllowance requests, from all instances together.
	limitWindow    = 4 * time.Second
	limitFactor    = 1.5
	limitAllowance = 5
	// limitSenderPart is the fraction of the requests beyond the limit that is
	// assigned to instances, as their bursts. The rest is a margin, as with
	// coldSenderPart.
	limitSenderPart = 2.0 / 3
	// minLimitRate is the rate at which a target that takes nothing still gets
	// requests, since only an answer shows that its limit has ended.
	minLimitRate = 0.25
	// limitForgetAfter is the least time after which an instance that may not send to
	// a target tries whether its limit has ended.
	limitForgetAfter = 10 * time.Second
	// limitKey, with the ordinal of the copy, ranks the instances that may send to
	// targets with a limit. It is the same for the first copies of all shards, since a
	// query needs all its shards at one instance, and another one for the second
	// copies, so that more instances reach one of them.
	limitKey = "limit/"
	// startupPeriod is how long after its start an instance may not know all
	// others. It covers two gossip rounds and the start of processes that are
	// started together.
	startupPeriod = 2 * time.Second
	// maxStartupShare bounds the share of an instance during startupPeriod. Fleets
	// have 7 or 8 instances at present.
	maxStartupShare = 1.0 / 8
)

// division describes how the instances divide the limits that they share. It is
// immutable.
type division struct {
	self jujubegate.Instance
	// share is this instance's fraction of the shared limits.
	share float64
	// active are the instances that are advertised to callers.
	active   []gossiper.Peer
	isActive bool
	// startingUp is set during startupPeriod, while some instances may be unknown.
	startingUp bool
	// activeCount is the number of instances, including suspected and recently
	// dead ones, that divide activePart of the limits, or the whole limits if no
	// instance is passive.
	activeCount int
	// passiveCount is the number of live instances that are not active.
	passiveCount int
}

// newDivision returns the division for the live instances of a fleet; notLive is
// the number of suspected and recently dead instances. They still count, since
// targets may still hold their requests and connections. As it is not known
// which of them were active, they count both as active and as passive ones.
func newDivision(self jujubegate.Instance, fleet []gossiper.Peer, notLive int) division {
	active := gossiper.Active(fleet)
	d := division{
		self: self, active: active, activeCount: len(active) + notLive, passiveCount: len(fleet) - len(active),
		isActive: slices.ContainsFunc(active, func(p gossiper.Peer) bool { return p.Instance == self }),
	}
	switch {
	case len(active) == 0 || d.passiveCount == 0:
		d.activeCount, d.passiveCount = len(fleet)+notLive, 0
		d.share = 1 / float64(d.activeCount)
	case d.isActive:
		d.share = activePart / float64(d.activeCount)
	default:
		d.share = (1 - activePart) / float64(d.passiveCount+notLive)
	}
	return d
}

// idleLimit returns how long idle connections are kept; 0 means as long as the
// targets keep them.
func (d *division) idleLimit() time.Duration {
	if d.passiveCount > 0 && !d.isActive {
		return passiveIdle
	}
	return 0
}

// coldPart returns this instance's fraction of the request limit of a cold
// target. Spare is the number of requests that the limit allows beyond the rate
// of the target. If there are more instances than spare requests, only some of
// them send to the target. Instances with the same view of the fleet select the
// same ones.
func (d *division) coldPart(target string, spare float64) float64 {
	return d.part(target, max(int(coldSenderPart*spare), 1))
}

// limitShare returns this instance's part of the limit that a target names. Ordinal
// is that of the target among the copies of its service.
func (d *division) limitShare(ordinal int, perSecond float64) tracker.LimitShare {
	key := limitKey + strconv.Itoa(ordinal)
	perSecond = max(perSecond, minLimitRate)
	burst := limitSenderPart * (perSecond*(limitFactor-1)*limitWindow.Seconds() + limitAllowance)
	senders := max(int(min(burst, math.MaxInt32)), 1)
	part := d.part(key, senders)
	if part <= 0 {
		return tracker.LimitShare{ForgetAfter: d.forgetAfter(key, senders)}
	}
	return tracker.LimitShare{PerSecond: rate.Limit(perSecond * part), Burst: max(int(min(burst*part, math.MaxInt32)), 1)}
}

// forgetAfter returns after which time without an answer of the target this instance
// takes its limit as ended, if at most the given number of instances may send to it.
// The excluded instances try one after the other.
func (d *division) forgetAfter(key string, senders int) time.Duration {
	excluded := d.activeCount + d.passiveCount
	if d.isActive {
		excluded = max(gossiper.RankOf(key, d.self, d.active)-senders, 0)
	}
	return limitForgetAfter + time.Duration(excluded)*limitWindow
}

// part returns this instance's fraction of what a target may get if at most the
// given number of instances may send to it.
func (d *division) part(key string, senders int) float64 {
	switch {
	case d.startingUp || d.activeCount+d.passiveCount <= senders:
		return d.share
	case !d.isActive:
		return 0
	case d.activeCount <= senders:
		return 1 / float64(d.activeCount)
	case gossiper.RankOf(key, d.self, d.active) < senders:
		return 1 / float64(senders)
	}
	return 0
}

// share returns this instance's fraction of the shared limits.
func (c *Conductor) share() float64 { return c.division.Load().share }

func (c *Conductor) coldPart(target string, spare float64) float64 {
	return c.division.Load().coldPart(target, spare)
}

func (c *Conductor) limitShare(ordinal int, perSecond float64) tracker.LimitShare {
	return c.division.Load().limitShare(ordinal, perSecond)
}

// updateDivision recomputes the division of the shared limits from the live
// instances and applies it to the tracker.
func (c *Conductor) updateDivision() {
	fleet := c.liveFleet()
	d := newDivision(c.settings.Load().Instance, fleet, max(c.gossiper.Size()-len(fleet), 0))
	if c.clock.Since(c.started) < startupPeriod {
		d.share, d.startingUp = min(d.share, maxStartupShare), true
	}
	c.division.Store(&d)
	c.tracker.SetShare(d.share, d.idleLimit())
}

// updateAfterStartup recomputes the division at the end of startupPeriod, when
// the other instances are known.
func (c *Conductor) updateAfterStartup(ctx context.Context) {
	select {
	case <-c.clock.After(startupPeriod):
		c.updateDivision()
	case <-ctx.Done():
	}
}
