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
	// blockSize is the number of consecutive shards whose targets prefer the
	// same instance, so that a query is split over fewer owners. With 4, some
	// of 8 members in one data centre had no target.
	blockSize = 2
	// smallPool is the number of members of a data centre up to which the load
	// is bounded by the mean rounded up. In larger ones this bound moved 28
	// times as many targets as a lost member had (110 members), 1.25 times the
	// mean 1.8 times as many.
	smallPool = 8
)

// Assignment is an immutable map from targets to their owners.
type Assignment struct {
	owners map[jujubegate.Address]int
	// members holds the members that can own targets.
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
// depends on the arguments only, and not on the order of the targets.
//
// Each target has an order of preference over the members: rendezvous hashing
// of its service, block of shards and rank among the replicas of its shard. It
// is owned by the first member that owns no other replica of its shard, is in
// its data centre and has room, with these conditions relaxed in reverse
// order. The room bounds the load of a member to 1.25 times the mean of its
// data centre, in small ones to the mean rounded up. Plain rendezvous hashing
// gave 8 members between 0 and 10 of 40 targets.
//
// Because of the bound the owner of a target depends on the other targets, so a
// change of the configuration can move targets that it does not name. Two
// instances with different generations may therefore disagree on an owner;
// Ownership fences this. A fence would be needed without the bound as well, as
// a target can change its data centre and a shard can gain a replica.
//
// The targets of each version of a service are placed on their own, so that
// declaring a new version beside the old one moves none of the old one's
// targets. A moved target has no owner until all instances know the change,
// and starts at its cold limit.
func Assign(view leaser.View, targets []jujubegate.Target) Assignment {
	members := owners(view)
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

// placement is the state of one run of Assign.
type placement struct {
	members []leaser.Member
	hashes  []uint64
	targets []jujubegate.Target
	ranks   []int
	owner   []int
	load    []int
	// pools holds the members of each data centre, by index.
	pools map[jujubegate.DataCentre][]int
	all   []int
	room  map[jujubegate.DataCentre]int
	// roomAll bounds the load of a member that takes targets of other data centres.
	roomAll int
}

func newPlacement(members []leaser.Member, targets []jujubegate.Target) *placement {
	p := &placement{
		members: members,
		targets: targets,
		pools:   map[jujubegate.DataCentre][]int{},
		room:    map[jujubegate.DataCentre]int{},
	}
	p.owner = make([]int, len(p.targets))
	p.ranks = make([]int, len(p.targets))
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
			p.ranks[i] = p.ranks[i-1] + 1
		}
		counts[t.DataCentre]++
	}
	for dc, count := range counts {
		p.room[dc] = room(count, len(p.pools[dc]))
	}
	p.roomAll = room(len(p.targets), len(p.members))
	return p
}

// owners returns the members that can own targets: those that don't leave, or
// all if all do.
func owners(view leaser.View) []leaser.Member {
	staying := make([]leaser.Member, 0, len(view.Members))
	for _, m := range view.Members {
		if !m.Leaving {
			staying = append(staying, m)
		}
	}
	if len(staying) == 0 {
		return view.Members
	}
	return staying
}

// room returns the largest number of targets for one of the members.
func room(targets, members int) int {
	if members == 0 {
		return 0
	}
	mean := (targets + members - 1) / members
	if members <= smallPool {
		return mean
	}
	return max(mean, targets*5/(members*4))
}

func sameShard(a, b jujubegate.Target) bool { return a.Service == b.Service && a.Shard == b.Shard }

// local returns the members in the data centre of the target.
func (p *placement) local(i int) []int { return p.pools[p.targets[i].DataCentre] }

// placeAll chooses all owners. Targets of data centres without members come
// last: placed among the others, they took the room of local targets, and the
// loss of a member moved targets between the remaining ones.
func (p *placement) placeAll() {
	for i := range p.owner {
		p.owner[i] = -1
	}
	for i := range p.targets {
		if local := p.local(i); len(local) > 0 {
			p.place(i, local)
		}
	}
	for i := range p.targets {
		if len(p.local(i)) == 0 {
			p.place(i, nil)
		}
	}
}

// replicas returns the owners of all replicas of the target's shard.
func (p *placement) replicas(i int) []int {
	first, end := i-p.ranks[i], i+1
	for end < len(p.targets) && p.ranks[end] > 0 {
		end++
	}
	return p.owner[first:end]
}

// place chooses the owner of one target.
func (p *placement) place(i int, local []int) {
	t := p.targets[i]
	taken := p.replicas(i)
	key := p.key(i)
	limit := p.room[t.DataCentre]
	for _, try := range []struct {
		from     []int
		limit    int
		replicas bool
	}{
		{local, limit, false},
		{local, len(p.targets), false},
		{p.all, p.roomAll, false},
		{p.all, len(p.targets), false},
		{local, len(p.targets), true},
		{p.all, len(p.targets), true},
	} {
		best, found := uint64(0), -1
		for _, m := range try.from {
			if p.load[m] >= try.limit || !try.replicas && slices.Contains(taken, m) {
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

// key returns the hash of what the order of preference of a target depends on.
func (p *placement) key(i int) uint64 {
	t := p.targets[i]
	var buffer [64]byte
	text := append(buffer[:0], t.Service...)
	text = append(text, '/')
	text = strconv.AppendInt(text, int64(t.Shard/blockSize), 10)
	text = append(text, '/')
	text = strconv.AppendInt(text, int64(p.ranks[i]), 10)
	return xxhash.Sum64(text)
}

// mix is the finaliser of MurmurHash3; it spreads the combination of the two
// hashes over all bits.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return h
}
