// Package merger chooses the snapshot of a query and merges the results of its
// shards into one answer.
package merger

import (
	"jujubegate.example/jujubegate"
)

// SnapshotChoice is the snapshot chosen for a query.
type SnapshotChoice struct {
	Snapshot jujubegate.Snapshot
	// Shards is the number of shards that can serve the snapshot.
	Shards int
	// Complete is set if all shards can serve the snapshot.
	Complete bool
}

// SnapshotChooser counts, for each snapshot, the shards that can serve it. Reset
// prepares it for the next query and keeps its buffers, so that a choice does not
// allocate in the steady state.
type SnapshotChooser struct {
	shards int
	counts []snapshotCount
	// index maps a snapshot to its index in counts. It is used if there are more than
	// maxScannedSnapshots.
	index map[jujubegate.Snapshot]int
}

type snapshotCount struct {
	snapshot jujubegate.Snapshot
	shards   int
	// lastShard is the shard that was counted last. It keeps two replicas of a shard
	// from being counted twice.
	lastShard int
}

// maxScannedSnapshots is the number of distinct snapshots up to which a linear scan
// is faster than a map. Targets usually hold two to four snapshots.
const maxScannedSnapshots = 16

// Reset starts a choice over the given number of shards.
func (c *SnapshotChooser) Reset(shards int) {
	c.shards = shards
	c.counts = c.counts[:0]
	clear(c.index)
}

// Add records the snapshots that a replica of the shard holds. All replicas of a
// shard must be added before those of the next shard.
func (c *SnapshotChooser) Add(shard int, held []jujubegate.Snapshot) {
	for _, s := range held {
		n := c.countOf(s)
		if n.lastShard != shard {
			n.lastShard = shard
			n.shards++
		}
	}
}

// countOf returns the count of a snapshot. It adds one for a new snapshot.
func (c *SnapshotChooser) countOf(s jujubegate.Snapshot) *snapshotCount {
	if len(c.counts) <= maxScannedSnapshots {
		for i := range c.counts {
			if c.counts[i].snapshot == s {
				return &c.counts[i]
			}
		}
	} else if i, ok := c.index[s]; ok {
		return &c.counts[i]
	}
	c.counts = append(c.counts, snapshotCount{snapshot: s, lastShard: -1})
	if len(c.counts) == maxScannedSnapshots+1 {
		if c.index == nil {
			c.index = make(map[jujubegate.Snapshot]int, 2*maxScannedSnapshots)
		}
		for i := range c.counts {
			c.index[c.counts[i].snapshot] = i
		}
	} else if len(c.counts) > maxScannedSnapshots {
		c.index[s] = len(c.counts) - 1
	}
	return &c.counts[len(c.counts)-1]
}

// Newest returns the newest snapshot that all shards can serve. If there is none,
// it returns the newest of those that the most shards can serve. It considers only
// snapshots greater than after, and returns false if there are none.
func (c *SnapshotChooser) Newest(after jujubegate.Snapshot) (SnapshotChoice, bool) {
	var best SnapshotChoice
	found := false
	for _, n := range c.counts {
		if n.snapshot <= after {
			continue
		}
		better := n.shards > best.Shards || (n.shards == best.Shards && n.snapshot > best.Snapshot)
		if !found || better {
			best = SnapshotChoice{Snapshot: n.snapshot, Shards: n.shards, Complete: n.shards == c.shards}
			found = true
		}
	}
	return best, found
}
