package leaser

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/samber/oops"

	"jujubegate.example/jujubegate"
)

// State returns the current state; it must not be changed.
func (l *Leaser) State() *State { return l.state.Load() }

// View returns the view in force here.
func (l *Leaser) View() View { return l.State().View }

// Serving reports whether this instance may take new work as a root.
func (l *Leaser) Serving(now time.Time) bool { return l.State().Serving(now) }

// MayOwnTargets reports whether this instance may own targets.
func (l *Leaser) MayOwnTargets(now time.Time) bool { return l.State().MayOwnTargets(now) }

// Peers returns the other instances heard of, members of the view or not,
// sorted by instance.
func (l *Leaser) Peers() []Peer {
	return slices.SortedFunc(maps.Values(l.State().Peers), func(a, b Peer) int {
		if a.Member.Instance != b.Member.Instance {
			if a.Member.Instance < b.Member.Instance {
				return -1
			}
			return 1
		}
		return a.Heard.Compare(b.Heard)
	})
}

// Releases returns the newest epoch that each other instance has released.
func (l *Leaser) Releases() map[ID]jujubegate.Epoch {
	releases := map[ID]jujubegate.Epoch{}
	for id, p := range l.State().Peers {
		if p.Released > 0 {
			releases[id] = p.Released
		}
	}
	return releases
}

// Release declares that nothing that this instance sent still runs on targets
// that the view of the epoch gives to others. Their new owners then take them
// over without waiting for the lease. An epoch later than the one in force is
// taken as the latter.
func (l *Leaser) Release(epoch jujubegate.Epoch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.core.release(epoch)
}

// release records a release and has it sent with the next tick.
func (c *core) release(epoch jujubegate.Epoch) {
	if epoch = min(epoch, c.view.Epoch); epoch > c.released {
		c.released = epoch
		c.beatAt = time.Time{}
	}
}

// Announce marks this instance as leaving in its heartbeats. It stays a member
// and keeps its targets.
func (l *Leaser) Announce() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.core.self.Leaving = true
	l.publish()
}

// Leave announces that this instance leaves, gives its targets to the other
// members, waits until nothing runs on them, releases them and leaves the
// view. Run must be running. If the context ends first, the others take the
// targets over after the process has ended.
func (l *Leaser) Leave(ctx context.Context) error {
	l.Announce()
	l.set(func(c *core) { c.handingOver = true })
	err := l.wait(ctx, func(c *core) bool {
		own, member := c.view.Member(c.self.Instance)
		return !member || own.Incarnation != c.self.Incarnation || own.Leaving
	})
	if err != nil {
		return oops.Wrapf(err, "hand over targets")
	}
	v := l.View()
	if l.o.WaitDrained != nil {
		if err := l.o.WaitDrained(ctx, v); err != nil {
			return oops.Wrapf(err, "drain targets")
		}
	}
	l.Release(v.Epoch)
	l.set(func(c *core) { c.departing = true })
	return oops.Wrapf(l.wait(ctx, (*core).departed), "leave the view")
}

// departed reports whether the other members can go on without this instance:
// a majority of each view that it was in has acknowledged one without it.
func (c *core) departed() bool {
	if c.view.Has(c.self.ID()) {
		return len(c.view.Members) == 1
	}
	for _, o := range c.open {
		if o.view.Has(c.self.ID()) && !o.closed && o.ackedAt.IsZero() {
			return false
		}
	}
	return true
}

func (l *Leaser) set(change func(c *core)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l.core)
}

// wait waits until the condition holds.
func (l *Leaser) wait(ctx context.Context, done func(c *core) bool) error {
	for {
		l.mu.Lock()
		ok, wake := done(l.core), l.wake
		l.mu.Unlock()
		if ok {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-wake:
		}
	}
}
