package leaser

import (
	"time"

	"jujubegate.example/jujubegate"
)

// Faults breaks single rules of the decision core.
type Faults struct {
	NoTakeoverWait, NoMajorityAck, LeaseFromAnswer, IgnoreOpenViews, NoFence, LeaseWithoutMajority, OnlyPreviousView bool
}

// Core gives tests in other packages access to the decision core.
type Core struct{ c *core }

// Effects and Write are the outputs of the core.
type (
	Effects struct {
		Heartbeats         []Member
		ReadView, ReadList bool
		Write              *Write
		// Publish is set if the state is published.
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
		noWait: f.NoTakeoverWait, noMajority: f.NoMajorityAck, leaseOnAnswer: f.LeaseFromAnswer, ignoreOpen: f.IgnoreOpenViews,
		noFence: f.NoFence, keepLease: f.LeaseWithoutMajority, onlyPrevious: f.OnlyPreviousView,
	}
	return &Core{c}
}

func export(e effects) Effects {
	out := Effects{Heartbeats: e.heartbeats, ReadView: e.readView, ReadList: e.readList, Publish: e.adopted || e.ticked}
	if e.write != nil {
		out.Write = &Write{e.write.view, e.write.version}
	}
	return out
}

func (c *Core) Tick(now time.Time, g jujubegate.Generation) Effects { return export(c.c.tick(now, g)) }
func (c *Core) NewHeartbeat(now time.Time) HeartbeatRequest         { return c.c.message(now) }
func (c *Core) HandleRequest(now time.Time, r HeartbeatRequest) HeartbeatAnswer {
	return c.c.request(now, r)
}

func (c *Core) HandleAnswer(to Member, sentAt, now time.Time, a HeartbeatAnswer) Effects {
	return export(c.c.answer(to, sentAt, now, a))
}

func (c *Core) HandleViewRead(sentAt time.Time, v View, version int64, ok bool, now time.Time) Effects {
	return export(c.c.viewAnswer(viewRead{sentAt, v, version, ok}, now))
}

func (c *Core) HandleWriteResult(w Write, ok bool, now time.Time) Effects {
	return export(c.c.written(viewWrite{w.View, w.Version}, ok, now))
}
func (c *Core) HandleListing(l Listing, ok bool, now time.Time) { c.c.list(l, ok, now) }
func (c *Core) State() *State                                   { return c.c.state() }
func (c *Core) Announce()                                       { c.c.self.Leaving = true }
func (c *Core) HandOver()                                       { c.c.handingOver = true }
func (c *Core) Depart()                                         { c.c.departing = true }
func (c *Core) Departed() bool                                  { return c.c.departed() }
func (c *Core) RecordRelease(e jujubegate.Epoch)                { c.c.release(e) }
