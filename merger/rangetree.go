package merger

import "jujubegate.example/jujubegate"

// rangeTree is a treap of disjoint key ranges. An insertion takes logarithmic
// time and, once the node slice has grown, no allocation; a sorted slice would
// move half of its elements for each of 1,100 insertions.
type rangeTree struct {
	nodes []rangeNode
	root  int32
}

type rangeNode struct {
	keys        jujubegate.KeyRange
	left, right int32
	priority    uint32
	shard       int32
}

const noNode int32 = -1

func (t *rangeTree) reset() {
	t.nodes = t.nodes[:0]
	t.root = noNode
}

// insert adds the range and returns -1, or returns the shard whose range it
// overlaps and changes nothing.
func (t *rangeTree) insert(shard int, keys jujubegate.KeyRange) int {
	for n := t.root; n != noNode; {
		node := &t.nodes[n]
		switch {
		case keys.End <= node.keys.Start:
			n = node.left
		case keys.Start >= node.keys.End:
			n = node.right
		default:
			return int(node.shard)
		}
	}
	added := int32(len(t.nodes))
	t.nodes = append(t.nodes, rangeNode{
		keys: keys, left: noNode, right: noNode, priority: scramble(uint32(added)), shard: int32(shard),
	})
	t.root = t.place(t.root, added)
	return -1
}

func (t *rangeTree) place(at, added int32) int32 {
	if at == noNode {
		return added
	}
	node := &t.nodes[at]
	if t.nodes[added].keys.Start < node.keys.Start {
		node.left = t.place(node.left, added)
		if child := node.left; t.nodes[child].priority > node.priority {
			node.left, t.nodes[child].right = t.nodes[child].right, at
			return child
		}
		return at
	}
	node.right = t.place(node.right, added)
	if child := node.right; t.nodes[child].priority > node.priority {
		node.right, t.nodes[child].left = t.nodes[child].left, at
		return child
	}
	return at
}

// overlapping calls found for the shard of every range that shares a key with
// the given one.
func (t *rangeTree) overlapping(at int32, keys jujubegate.KeyRange, found func(shard int)) {
	if at == noNode {
		return
	}
	node := &t.nodes[at]
	if keys.Start < node.keys.Start {
		t.overlapping(node.left, keys, found)
	}
	if keys.Start < node.keys.End && node.keys.Start < keys.End {
		found(int(node.shard))
	}
	if keys.End > node.keys.End {
		t.overlapping(node.right, keys, found)
	}
}

// each visits the ranges in key order.
func (t *rangeTree) each(at int32, visit func(shard int, keys jujubegate.KeyRange)) {
	if at == noNode {
		return
	}
	t.each(t.nodes[at].left, visit)
	visit(int(t.nodes[at].shard), t.nodes[at].keys)
	t.each(t.nodes[at].right, visit)
}

// scramble spreads consecutive numbers over 32 bits (finalizer of MurmurHash3),
// which keeps the treap balanced without a random source.
func scramble(n uint32) uint32 {
	n = (n + 1) * 0x9e3779b1
	n ^= n >> 16
	n *= 0x85ebca6b
	n ^= n >> 13
	n *= 0xc2b2ae35
	return n ^ n>>16
}
