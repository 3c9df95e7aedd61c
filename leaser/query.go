package leaser

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/samber/oops"

	"jujubegate.example/jujubegate"
)

// State returns the published state, which must not be changed.
func (l *Leaser) State() *State { return l.state.Load() }

// View returns the current view of this instance.
func (l *Leaser) View() View { return l.State().View }

// Serving reports whether this instance may accept queries of callers as their
// root.
func (l *Leaser) Serving(now time.Time) bool { return l.State().Serving(now) }

// MayOwnTargets reports whether this instance serves and is a member of the view.
func (l *Leaser) MayOwnTargets(now time.Time) bool { return l.State().MayOwnTargets(now) }

// Peers returns the other known instances, members of the view or not, sorted by
// instance.
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

// Release declares that no request of this instance runs any more on targets
// that the view of the epoch assigns to others. Their new owners may then take
// them over without waiting for the lease. A later epoch than the current one
// counts as the current one.
func (l *Leaser) Release(epoch jujubegate.Epoch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.core.recordRelease(epoch)
}

// recordRelease records a release and has it reported at the next tick.
func (c *core) recordRelease(epoch jujubegate.Epoch) {
	if epoch = min(epoch, c.view.Epoch); epoch > c.releasedEpoch {
		c.releasedEpoch = epoch
		c.heartbeatAt = time.Time{}
	}
}

// Announce marks this instance as leaving in its heartbeats. The instance stays a
// member and keeps its targets.
func (l *Leaser) Announce() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.core.self.Leaving = true
	l.publish()
}

// Leave announces that this instance leaves, hands its targets over to the other
// members, waits until none of its requests runs on them, releases them and
// leaves the view. Run must be running. If the context ends first, the other
// members take the targets over after the process has ended.
func (l *Leaser) Leave(ctx context.Context) error {
	l.Announce()
	l.updateCore(func(c *core) { c.handingOver = true })
	err := l.waitUntil(ctx, func(c *core) bool {
		own, member := c.view.Member(c.self.Instance)
		return !member || own.Incarnation != c.self.Incarnation || own.Leaving
	})
	if err != nil {
		return oops.Wrapf(err, "hand over targets")
	}
	v := l.View()
	if l.options.WaitDrained != nil {
		if err := l.options.WaitDrained(ctx, v); err != nil {
			return oops.Wrapf(err, "drain targets")
		}
	}
	l.Release(v.Epoch)
	l.updateCore(func(c *core) { c.departing = true })
	return oops.Wrapf(l.waitUntil(ctx, (*core).departed), "leave the view")
}

// departed reports whether the other members no longer need this instance: it is
// not a member, and a majority of each open view that lists it has acknowledged
// a later view. It also holds for the only member.
func (c *core) departed() bool {
	if c.view.Has(c.self.ID()) {
		return len(c.view.Members) == 1
	}
	for _, o := range c.openViews {
		if o.view.Has(c.self.ID()) && !o.closed && o.ackedAt.IsZero() {
			return false
		}
	}
	return true
}

func (l *Leaser) updateCore(change func(c *core)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l.core)
}

// waitUntil blocks until the condition holds or the context ends.
func (l *Leaser) waitUntil(ctx context.Context, condition func(c *core) bool) error {
	for {
		l.mu.Lock()
		ok, stateChanged := condition(l.core), l.stateChanged
		l.mu.Unlock()
		if ok {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-stateChanged:
		}
	}
}
