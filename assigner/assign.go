// Package assigner computes which instance owns which target from the view and
// the configuration, and decides whether this instance may send to a target.
package assigner

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/leaser"
)

const (
	// shardsPerBlock is the number of consecutive shards whose targets prefer the
	// same instance, so that a query is split over fewer owners. With 4, some
	// of 8 members in one data centre got no target.
	shardsPerBlock = 2
	// smallPoolSize is the number of members of a data centre up to which the load
	// of a member is limited to the mean rounded up. With 110 members, the loss of
	// one moved 28 times as many targets as it had under this limit, and 1.8 times
	// as many under a limit of 1.25 times the mean.
	smallPoolSize = 8
)

// Assignment is an immutable map from targets to their owners.
type Assignment struct {
	owners map[jujubegate.Address]int
	// members holds the members that can own targets; owners holds indices into it.
	members []leaser.Member
	owned   map[jujubegate.Instance][]jujubegate.Target
}

// Owner returns the member that owns the target.
func (a Assignment) Owner(address jujubegate.Address) (leaser.Member, bool) {
	i, ok := a.owners[address]
	if !ok {
		return leaser.Member{}, false
	}
	return a.members[i], true
}

// Owned returns the targets of an instance, sorted by service, version, shard and
// address. The result must not be changed.
func (a Assignment) Owned(instance jujubegate.Instance) []jujubegate.Target {
	return a.owned[instance]
}

// Assign distributes the targets over the members of the view. The result
// depends only on the arguments, and not on the order of the targets.
//
// Each target has an order of preference over the members: rendezvous hashing
// of its service, block of shards and rank among the replicas of its shard. The
// owner is the first member in this order that owns no other replica of the
// shard, is in the data centre of the target and is below its load limit; these
// conditions are relaxed in reverse order. The load limit is 1.25 times the mean
// of the data centre, in small data centres the mean rounded up. Without a limit,
// rendezvous hashing assigned between 0 and 10 of 40 targets to each of 8 members.
//
// Because of the limit, the owner of a target depends on the other targets, so a
// change of the configuration can move targets that it doesn't name. Two
// instances with different generations may therefore disagree on an owner, which
// Ownership guards against by fencing. Fencing would be needed without the limit
// as well, as a target can change its data centre and a shard can gain a replica.
//
// The targets of each version of a service are placed independently, so that
// declaring a new version beside the old one moves none of the old version's
// targets. A moved target has no owner until all instances know the change, and
// starts at its cold limit.
func Assign(view leaser.View, targets []jujubegate.Target) Assignment {
	members := eligibleMembers(view)
	a := Assignment{
		owners:  make(map[jujubegate.Address]int, len(targets)),
		members: members,
		owned:   make(map[jujubegate.Instance][]jujubegate.Target, len(members)),
	}
	sorted := slices.SortedFunc(slices.Values(targets), compareTargets)
	for len(sorted) > 0 {
		group := sorted[:groupLen(sorted)]
		sorted = sorted[len(group):]
		p := newPlacement(members, group)
		p.placeAll()
		for i, t := range group {
			if m := p.owner[i]; m >= 0 {
				a.owners[t.Address] = m
				a.owned[members[m].Instance] = append(a.owned[members[m].Instance], t)
			}
		}
	}
	return a
}

// compareTargets orders by service, version, shard and address.
func compareTargets(a, b jujubegate.Target) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version),
		cmp.Compare(a.Shard, b.Shard), cmp.Compare(a.Address, b.Address))
}

// groupLen returns the number of leading targets of the same service and version.
func groupLen(sorted []jujubegate.Target) int {
	for i, t := range sorted {
		if t.Service != sorted[0].Service || t.Version != sorted[0].Version {
			return i
		}
	}
	return len(sorted)
}

// placement is the state of one run of Assign for one version of a service. Its
// slices are indexed by the position of the member or of the target.
type placement struct {
	members      []leaser.Member
	hashes       []uint64
	targets      []jujubegate.Target
	replicaRanks []int
	owner        []int
	load         []int
	// pools holds the members of each data centre, by index.
	pools map[jujubegate.DataCentre][]int
	all   []int
	// maxLoad limits the load of a member that gets targets of its data centre.
	maxLoad map[jujubegate.DataCentre]int
	// maxLoadAll limits the load of a member that gets targets of other data centres.
	maxLoadAll int
}

func newPlacement(members []leaser.Member, targets []jujubegate.Target) *placement {
	p := &placement{
		members: members,
		targets: targets,
		pools:   map[jujubegate.DataCentre][]int{},
		maxLoad: map[jujubegate.DataCentre]int{},
	}
	p.owner = make([]int, len(p.targets))
	p.replicaRanks = make([]int, len(p.targets))
	p.load = make([]int, len(p.members))
	p.hashes = make([]uint64, len(p.members))
	for i, m := range p.members {
		p.hashes[i] = xxhash.Sum64String(string(m.Instance))
		p.pools[m.DataCentre] = append(p.pools[m.DataCentre], i)
		p.all = append(p.all, i)
	}
	counts := map[jujubegate.DataCentre]int{}
	for i, t := range p.targets {
		if i > 0 && sameShard(t, p.targets[i-1]) {
			p.replicaRanks[i] = p.replicaRanks[i-1] + 1
		}
		counts[t.DataCentre]++
	}
	for dc, count := range counts {
		p.maxLoad[dc] = maxLoad(count, len(p.pools[dc]))
	}
	p.maxLoadAll = maxLoad(len(p.targets), len(p.members))
	return p
}

// eligibleMembers returns the members that can own targets: those that are not
// leaving, or all if all are leaving.
func eligibleMembers(view leaser.View) []leaser.Member {
	eligible := make([]leaser.Member, 0, len(view.Members))
	for _, m := range view.Members {
		if !m.Leaving {
			eligible = append(eligible, m)
		}
	}
	if len(eligible) == 0 {
		return view.Members
	}
	return eligible
}

// maxLoad returns the largest number of the targets that one member may own.
func maxLoad(targets, members int) int {
	if members == 0 {
		return 0
	}
	mean := (targets + members - 1) / members
	if members <= smallPoolSize {
		return mean
	}
	return max(mean, targets*5/(members*4))
}

func sameShard(a, b jujubegate.Target) bool { return a.Service == b.Service && a.Shard == b.Shard }

// localMembers returns the members in the data centre of the target.
func (p *placement) localMembers(i int) []int { return p.pools[p.targets[i].DataCentre] }

// placeAll chooses the owners of all targets. Targets of data centres without
// members come last: otherwise they use up the load limits of members that local
// targets need, and the loss of a member moves targets between the remaining ones.
func (p *placement) placeAll() {
	for i := range p.owner {
		p.owner[i] = -1
	}
	for i := range p.targets {
		if local := p.localMembers(i); len(local) > 0 {
			p.place(i, local)
		}
	}
	for i := range p.targets {
		if len(p.localMembers(i)) == 0 {
			p.place(i, nil)
		}
	}
}

// replicaOwners returns the owners of all replicas of the target's shard, -1 for
// those that are not placed yet.
func (p *placement) replicaOwners(i int) []int {
	first, end := i-p.replicaRanks[i], i+1
	for end < len(p.targets) && p.replicaRanks[end] > 0 {
		end++
	}
	return p.owner[first:end]
}

// place chooses the owner of one target. The rules are tried in order, from the
// strictest one; each names the members, the load limit, and whether a member may
// own several replicas of a shard.
func (p *placement) place(i int, local []int) {
	t := p.targets[i]
	siblingOwners := p.replicaOwners(i)
	key := p.preferenceHash(i)
	limit := p.maxLoad[t.DataCentre]
	for _, rule := range []struct {
		members   []int
		limit     int
		sameOwner bool
	}{
		{local, limit, false},
		{local, len(p.targets), false},
		{p.all, p.maxLoadAll, false},
		{p.all, len(p.targets), false},
		{local, len(p.targets), true},
		{p.all, len(p.targets), true},
	} {
		best, found := uint64(0), -1
		for _, m := range rule.members {
			if p.load[m] >= rule.limit || !rule.sameOwner && slices.Contains(siblingOwners, m) {
				continue
			}
			if score := mix(key ^ p.hashes[m]); found < 0 || score > best {
				best, found = score, m
			}
		}
		if found >= 0 {
			p.owner[i] = found
			p.load[found]++
			return
		}
	}
}

// preferenceHash returns the hash that determines the target's order of preference.
func (p *placement) preferenceHash(i int) uint64 {
	t := p.targets[i]
	var buffer [64]byte
	text := append(buffer[:0], t.Service...)
	text = append(text, '/')
	text = strconv.AppendInt(text, int64(t.Shard/shardsPerBlock), 10)
	text = append(text, '/')
	text = strconv.AppendInt(text, int64(p.replicaRanks[i]), 10)
	return xxhash.Sum64(text)
}

// mix is the 64-bit finaliser of MurmurHash3. It spreads the combination of the
// two hashes over all bits.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return h
}
