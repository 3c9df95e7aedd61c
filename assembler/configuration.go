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
	// storeWatchers is the number of instances that watch the store.
	storeWatchers = 2
	// pushFanOut is the number of peers that an instance pushes a change to.
	pushFanOut = 3
	// peerTimeout bounds one control call to a peer.
	peerTimeout = time.Second
	// configurationRetryInterval is the time between two checks for a confirmed
	// configuration at startup.
	configurationRetryInterval = 200 * time.Millisecond
	// maxPeerSilence is how long after the last contact a peer still counts as
	// reachable.
	maxPeerSilence = 2 * time.Second
)

// watchesStore reports whether this instance watches the store. The two reachable
// members with the lowest hashes do. An instance that cannot reach a majority
// does too, because no peer would push changes to it.
func (d *Daemon) watchesStore() bool {
	reachable := d.reachableMembers()
	if len(reachable) < d.leaser.View().Majority() || len(reachable) <= storeWatchers {
		return true
	}
	return slices.ContainsFunc(reachable[:storeWatchers], func(m leaser.Member) bool { return m.ID() == d.self.ID() })
}

// isCoordinator reports whether this instance does the work that only one instance
// should do, so that instances do not compete for the same write.
func (d *Daemon) isCoordinator() bool {
	reachable := d.reachableMembers()
	return reachable[0].ID() == d.self.ID()
}

// reachableMembers returns this instance and the members of the view that
// answered recently, sorted by the hash of their names.
func (d *Daemon) reachableMembers() []leaser.Member {
	s := d.leaser.State()
	now := d.clock.Now()
	reachable := []leaser.Member{d.self}
	for _, m := range s.View.Members {
		if p, ok := s.Peers[m.ID()]; ok && m.ID() != d.self.ID() && !p.Ended && now.Sub(p.Answered) < maxPeerSilence {
			reachable = append(reachable, m)
		}
	}
	slices.SortFunc(reachable, func(a, b leaser.Member) int {
		return cmp.Compare(xxhash.Sum64String(string(a.Instance)), xxhash.Sum64String(string(b.Instance)))
	})
	return reachable
}

// handleChanges applies new generations and pushes them to a few random peers.
func (d *Daemon) handleChanges(changes []configurator.Change) {
	d.applyConfiguration()
	d.maintenance.request()
	peers := d.reachablePeers()
	d.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, peer := range peers[:min(pushFanOut, len(peers))] {
		d.background.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
			defer cancel()
			if _, err := d.client.PushChanges(ctx, peer, changes); err != nil {
				d.logger.Debug("assembler: changes cannot be pushed", zap.String("peer", string(peer.Instance)), zap.Error(err))
			}
		})
	}
}

// applyConfiguration applies the follower's generation to the ownership and the
// report cache. It also runs periodically, because the follower calls OnChange
// for single changes but not for a loaded snapshot.
func (d *Daemon) applyConfiguration() {
	c := d.follower.Current()
	if c.Generation() <= d.ownership.Generation() {
		return
	}
	d.ownership.SetTargets(c.Generation(), c.Targets())
	d.reports.retain(func(a jujubegate.Address) bool {
		_, ok := c.Target(a)
		return ok
	})
}

// reachablePeers returns the peers that were heard recently.
func (d *Daemon) reachablePeers() []leaser.Member {
	now := d.clock.Now()
	var members []leaser.Member
	for _, p := range d.leaser.Peers() {
		if !p.Ended && now.Sub(p.Heard) < maxPeerSilence {
			members = append(members, p.Member)
		}
	}
	return members
}

// applyPushedChanges applies changes that a peer pushed and returns this
// instance's generation. If changes before them are missing, the next heartbeat
// shows which peer has them and starts a fetch.
func (d *Daemon) applyPushedChanges(changes []configurator.Change) jujubegate.Generation {
	if err := d.follower.Apply(changes); err != nil {
		d.logger.Debug("assembler: pushed changes cannot be applied", zap.Error(err))
	}
	return d.follower.Current().Generation()
}

// fetchFrom starts to fetch the changes of a peer that this instance lacks. Only
// one fetch runs at a time; a skipped one is started by the next heartbeat.
func (d *Daemon) fetchFrom(peer leaser.Member, generation jujubegate.Generation) {
	if generation <= d.follower.Current().Generation() || !d.fetching.CompareAndSwap(false, true) {
		return
	}
	d.background.Go(func() {
		defer d.fetching.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
		defer cancel()
		if err := d.fetch(ctx, peer); err != nil {
			d.logger.Debug("assembler: changes cannot be fetched", zap.String("peer", string(peer.Instance)), zap.Error(err))
		}
	})
}

func (d *Daemon) fetch(ctx context.Context, peer leaser.Member) error {
	changes, err := d.client.FetchChanges(ctx, peer, d.follower.Current().Generation())
	if err != nil {
		return err
	}
	return d.follower.Apply(changes)
}

// awaitConfiguration waits until the newest generation is known: either the store
// has confirmed it, or a majority of the members has answered a fetch, so that
// none of them has a newer one.
func (d *Daemon) awaitConfiguration(ctx context.Context) {
	for ctx.Err() == nil {
		if !d.follower.ConfirmedAt().IsZero() || d.majorityConfirms(ctx) {
			d.configured.Store(true)
			d.logger.Info("assembler: configuration loaded",
				zap.Int64("generation", int64(d.follower.Current().Generation())))
			return
		}
		select {
		case <-ctx.Done():
		case <-d.clock.After(configurationRetryInterval):
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

// lockedRand is a random number generator that is safe for concurrent use.
type lockedRand struct {
	mu     sync.Mutex
	random *rand.Rand
}

func newLockedRand(seed1, seed2 uint64) *lockedRand {
	return &lockedRand{random: rand.New(rand.NewPCG(seed1, seed2))}
}

// Shuffle puts n elements in random order.
func (l *lockedRand) Shuffle(n int, swap func(i, j int)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.random.Shuffle(n, swap)
}
