package assembler

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/configurator"
	"jujubegate.example/jujubegate/leaser"
)

const (
	// watchers is the number of instances that watch the store.
	watchers = 2
	// pushFanOut is the number of peers that a change is pushed to at once.
	pushFanOut = 3
	// peerTimeout bounds one control call to a peer.
	peerTimeout = time.Second
	// configurePause is the time between two tries to learn the configuration.
	configurePause = 200 * time.Millisecond
	// peerFreshness is the time since the last answer for which a peer counts
	// as reachable.
	peerFreshness = 2 * time.Second
)

// watches reports whether this instance watches the store: the two reachable
// members with the lowest hash do, and so does an instance that hears no
// majority, as no peer will tell it of changes.
func (d *Daemon) watches() bool {
	reachable := d.reachableMembers()
	if len(reachable) < d.leaser.View().Majority() || len(reachable) <= watchers {
		return true
	}
	return slices.ContainsFunc(reachable[:watchers], func(m leaser.Member) bool { return m.ID() == d.self.ID() })
}

// firstMember reports whether this instance is the one that acts for all, so
// that others don't compete for the same write.
func (d *Daemon) firstMember() bool {
	reachable := d.reachableMembers()
	return reachable[0].ID() == d.self.ID()
}

// reachableMembers returns this instance and the members that answered
// recently, by the hash of their names.
func (d *Daemon) reachableMembers() []leaser.Member {
	s := d.leaser.State()
	now := d.clock.Now()
	reachable := []leaser.Member{d.self}
	for _, m := range s.View.Members {
		if p, ok := s.Peers[m.ID()]; ok && m.ID() != d.self.ID() && !p.Ended && now.Sub(p.Answered) < peerFreshness {
			reachable = append(reachable, m)
		}
	}
	slices.SortFunc(reachable, func(a, b leaser.Member) int {
		return cmp.Compare(xxhash.Sum64String(string(a.Instance)), xxhash.Sum64String(string(b.Instance)))
	})
	return reachable
}

// changed puts new generations in force here and pushes them to some peers.
func (d *Daemon) changed(changes []configurator.Change) {
	d.adoptConfiguration()
	d.upkeep.request()
	peers := d.reachablePeers()
	d.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, peer := range peers[:min(pushFanOut, len(peers))] {
		d.background.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
			defer cancel()
			if _, err := d.client.PushChanges(ctx, peer, changes); err != nil {
				d.logger.Debug("assembler: push failed", zap.String("peer", string(peer.Instance)), zap.Error(err))
			}
		})
	}
}

// adoptConfiguration makes the ownership follow the newest generation. The
// follower tells of single changes, but not of a loaded snapshot.
func (d *Daemon) adoptConfiguration() {
	c := d.follower.Current()
	if c.Generation() <= d.ownership.Generation() {
		return
	}
	d.ownership.SetTargets(c.Generation(), c.Targets())
	d.reports.keep(func(a jujubegate.Address) bool {
		_, ok := c.Target(a)
		return ok
	})
}

func (d *Daemon) reachablePeers() []leaser.Member {
	now := d.clock.Now()
	var members []leaser.Member
	for _, p := range d.leaser.Peers() {
		if !p.Ended && now.Sub(p.Heard) < peerFreshness {
			members = append(members, p.Member)
		}
	}
	return members
}

// offer takes changes that a peer pushed. If some before them are missing, it
// leaves them to the next heartbeat, which shows who has them.
func (d *Daemon) offer(changes []configurator.Change) jujubegate.Generation {
	if err := d.follower.Offer(changes); err != nil {
		d.logger.Debug("assembler: pushed changes not applied", zap.Error(err))
	}
	return d.follower.Current().Generation()
}

// fetchFrom fetches the changes that a peer has and this instance lacks. One
// fetch runs at a time; the next heartbeat repeats a skipped one.
func (d *Daemon) fetchFrom(peer leaser.Member, generation jujubegate.Generation) {
	if generation <= d.follower.Current().Generation() || !d.fetching.CompareAndSwap(false, true) {
		return
	}
	d.background.Go(func() {
		defer d.fetching.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
		defer cancel()
		if err := d.fetch(ctx, peer); err != nil {
			d.logger.Debug("assembler: fetch failed", zap.String("peer", string(peer.Instance)), zap.Error(err))
		}
	})
}

func (d *Daemon) fetch(ctx context.Context, peer leaser.Member) error {
	changes, err := d.client.FetchChanges(ctx, peer, d.follower.Current().Generation())
	if err != nil {
		return err
	}
	return d.follower.Offer(changes)
}

// configure waits until the newest generation is known: the store confirmed
// it, or a majority of the members named theirs and none is newer.
func (d *Daemon) configure(ctx context.Context) {
	for ctx.Err() == nil {
		if !d.follower.ConfirmedAt().IsZero() || d.majorityConfirms(ctx) {
			d.configured.Store(true)
			d.logger.Info("assembler: configuration loaded",
				zap.Int64("generation", int64(d.follower.Current().Generation())))
			return
		}
		select {
		case <-ctx.Done():
		case <-d.clock.After(configurePause):
		}
	}
}

func (d *Daemon) majorityConfirms(ctx context.Context) bool {
	view := d.leaser.View()
	if len(view.Members) == 0 {
		return false
	}
	confirmed := 0
	for _, m := range view.Members {
		call, cancel := context.WithTimeout(ctx, peerTimeout)
		if d.fetch(call, m) == nil {
			confirmed++
		}
		cancel()
	}
	return confirmed >= view.Majority()
}

// lockedRand is a random source for concurrent use.
type lockedRand struct {
	mu     sync.Mutex
	random *rand.Rand
}

func newLockedRand(seed1, seed2 uint64) *lockedRand {
	return &lockedRand{random: rand.New(rand.NewPCG(seed1, seed2))}
}

// Shuffle orders n elements at random.
func (l *lockedRand) Shuffle(n int, swap func(i, j int)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.random.Shuffle(n, swap)
}
