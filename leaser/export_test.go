package leaser

import (
	"time"

	"jujubegate.example/jujubegate"
)

// Faults disables single safety rules of the core.
type Faults struct {
	NoTakeoverWait, NoMajorityAck, LeaseFromAnswer, IgnoreOpenViews, NoFence, LeaseWithoutMajority, OnlyPreviousView bool
}

// Core gives the tests of package leaser_test access to the core.
type Core struct{ c *core }

// Effects and Write mirror the unexported types effects and viewWrite.
type (
	Effects struct {
		Heartbeats         []Member
		ReadView, ReadList bool
		Write              *Write
		// Publish is set if the Leaser would publish a new State.
		Publish bool
	}
	Write struct {
		View    View
		Version int64
	}
)

func NewCore(self Member, f Faults) *Core {
	c := newCore(self, DefaultTiming())
	c.faults = faults{
		noTakeoverWait: f.NoTakeoverWait, noMajorityAck: f.NoMajorityAck, leaseFromAnswer: f.LeaseFromAnswer, ignoreOpenViews: f.IgnoreOpenViews,
		noFence: f.NoFence, leaseWithoutMajority: f.LeaseWithoutMajority, onlyPreviousView: f.OnlyPreviousView,
	}
	return &Core{c}
}

func export(e effects) Effects {
	out := Effects{Heartbeats: e.heartbeats, ReadView: e.readView, ReadList: e.readList, Publish: e.viewApplied || e.ticked}
	if e.write != nil {
		out.Write = &Write{e.write.view, e.write.version}
	}
	return out
}

func (c *Core) Tick(now time.Time, g jujubegate.Generation) Effects { return export(c.c.tick(now, g)) }

func (c *Core) NewHeartbeat(now time.Time) HeartbeatRequest { return c.c.newHeartbeat(now) }

func (c *Core) HandleRequest(now time.Time, r HeartbeatRequest) HeartbeatAnswer {
	return c.c.handleRequest(now, r)
}

func (c *Core) HandleAnswer(to Member, sentAt, now time.Time, a HeartbeatAnswer) Effects {
	return export(c.c.handleAnswer(to, sentAt, now, a))
}

func (c *Core) HandleViewRead(sentAt time.Time, v View, version int64, ok bool, now time.Time) Effects {
	return export(c.c.handleViewRead(viewRead{sentAt, v, version, ok}, now))
}

func (c *Core) HandleWriteResult(w Write, ok bool, now time.Time) Effects {
	return export(c.c.handleWriteResult(viewWrite{w.View, w.Version}, ok, now))
}
func (c *Core) HandleListing(l Listing, ok bool, now time.Time) { c.c.handleListing(l, ok, now) }
func (c *Core) State() *State                                   { return c.c.snapshot() }
func (c *Core) Announce()                                       { c.c.self.Leaving = true }
func (c *Core) HandOver()                                       { c.c.handingOver = true }
func (c *Core) Depart()                                         { c.c.departing = true }
func (c *Core) Departed() bool                                  { return c.c.departed() }
func (c *Core) RecordRelease(e jujubegate.Epoch)                { c.c.recordRelease(e) }
