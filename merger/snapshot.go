// Package merger chooses the snapshot of a query and merges the results of its
// shards into one answer.
package merger

import (
	"jujubegate.example/jujubegate"
)

// SnapshotChoice is the snapshot that a query uses.
type SnapshotChoice struct {
	Snapshot jujubegate.Snapshot
	// Shards is the number of shards that can serve it.
	Shards int
	// Complete is set if every shard can serve it.
	Complete bool
}

// SnapshotChooser counts which shards can serve which snapshot. It is reused between
// queries with Reset, so that a choice allocates nothing in steady state.
type SnapshotChooser struct {
	shards int
	counts []snapshotCount
	// index finds the count of a snapshot when there are too many for a scan.
	index map[jujubegate.Snapshot]int
}

type snapshotCount struct {
	snapshot jujubegate.Snapshot
	shards   int
	// last is the shard counted last, so that two replicas count once.
	last int
}

// maxScannedSnapshots is the number of distinct snapshots up to which a scan
// is faster than a map; targets hold two to four snapshots in normal operation.
const maxScannedSnapshots = 16

// Reset starts a choice over the number of shards.
func (c *SnapshotChooser) Reset(shards int) {
	c.shards = shards
	c.counts = c.counts[:0]
	clear(c.index)
}

// Add notes that a replica of the shard holds the snapshots. All replicas of a
// shard are added before those of the next.
func (c *SnapshotChooser) Add(shard int, held []jujubegate.Snapshot) {
	for _, s := range held {
		n := c.count(s)
		if n.last != shard {
			n.last = shard
			n.shards++
		}
	}
}

func (c *SnapshotChooser) count(s jujubegate.Snapshot) *snapshotCount {
	if len(c.counts) <= maxScannedSnapshots {
		for i := range c.counts {
			if c.counts[i].snapshot == s {
				return &c.counts[i]
			}
		}
	} else if i, ok := c.index[s]; ok {
		return &c.counts[i]
	}
	c.counts = append(c.counts, snapshotCount{snapshot: s, last: -1})
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

// Newest returns the newest snapshot that every shard can serve, or else the
// one that most shards can serve, the newest on ties. It considers only
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
