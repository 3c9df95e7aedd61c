package merger

import "jujubegate.example/jujubegate"

// rangeTree is a treap of disjoint key ranges, ordered by their start. An insertion
// takes logarithmic time and does not allocate once the node slice has grown. A
// sorted slice would move half of its elements on each of 1,100 insertions.
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

// insert adds a range and returns -1. If the range overlaps another one, it adds
// nothing and returns the shard of that range.
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
		keys: keys, left: noNode, right: noNode, priority: mix32(uint32(added)), shard: int32(shard),
	})
	t.root = t.insertAt(t.root, added)
	return -1
}

// insertAt inserts a node into the subtree and returns the root of the subtree after
// the rotations that restore the order of the priorities.
func (t *rangeTree) insertAt(at, added int32) int32 {
	if at == noNode {
		return added
	}
	node := &t.nodes[at]
	if t.nodes[added].keys.Start < node.keys.Start {
		node.left = t.insertAt(node.left, added)
		if child := node.left; t.nodes[child].priority > node.priority {
			node.left, t.nodes[child].right = t.nodes[child].right, at
			return child
		}
		return at
	}
	node.right = t.insertAt(node.right, added)
	if child := node.right; t.nodes[child].priority > node.priority {
		node.right, t.nodes[child].left = t.nodes[child].left, at
		return child
	}
	return at
}

// visitOverlapping calls visit for each shard in the subtree whose range overlaps
// the given one.
func (t *rangeTree) visitOverlapping(at int32, keys jujubegate.KeyRange, visit func(shard int)) {
	if at == noNode {
		return
	}
	node := &t.nodes[at]
	if keys.Start < node.keys.Start {
		t.visitOverlapping(node.left, keys, visit)
	}
	if keys.Start < node.keys.End && node.keys.Start < keys.End {
		visit(int(node.shard))
	}
	if keys.End > node.keys.End {
		t.visitOverlapping(node.right, keys, visit)
	}
}

// visitInOrder calls visit for each range in the subtree, in key order.
func (t *rangeTree) visitInOrder(at int32, visit func(shard int, keys jujubegate.KeyRange)) {
	if at == noNode {
		return
	}
	t.visitInOrder(t.nodes[at].left, visit)
	visit(int(t.nodes[at].shard), t.nodes[at].keys)
	t.visitInOrder(t.nodes[at].right, visit)
}

// mix32 maps consecutive numbers to evenly spread priorities with the finalizer of
// MurmurHash3. This keeps the treap balanced without a random source.
func mix32(n uint32) uint32 {
	n = (n + 1) * 0x9e3779b1
	n ^= n >> 16
	n *= 0x85ebca6b
	n ^= n >> 13
	n *= 0xc2b2ae35
	return n ^ n>>16
}
