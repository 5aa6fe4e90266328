package membership

import "slices"

// The digest is a tree of sums over the live members: members are summed in leaves,
// leaves in groups, and groups in one number. Two tables with different digests find
// the leaves in which they differ in two steps.
const (
	groups         = 64
	leavesPerGroup = 64
	leaves         = groups * leavesPerGroup
	leafShift      = 64 - 12 // the highest 12 bits of a reference are the number of its leaf
)

func leafOf(ref reference) int { return int(ref >> leafShift) }

// leafDigest returns the part of a leaf in the sum of its group or in the digest.
// It mixes the bits, so that differences in two leaves don't cancel out.
func leafDigest(leaf int, sum uint32) uint64 {
	if sum == 0 {
		return 0
	}
	h := (uint64(leaf)<<32 | uint64(sum)) * 0x9e3779b97f4a7c15
	h ^= h >> 32
	return h * 0xd6e8feb86659fd93
}

// groupSums returns one sum for each group.
func (d *directory) groupSums() []uint32 {
	sums := make([]uint32, groups)
	for group := range sums {
		var sum uint64
		for i, leafSum := range d.groupLeaves(group) {
			sum += leafDigest(i, leafSum)
		}
		sums[group] = uint32(sum >> 32)
	}
	return sums
}

// groupLeaves returns the sums of the leaves of a group.
func (d *directory) groupLeaves(group int) []uint32 {
	return d.sums[group*leavesPerGroup : (group+1)*leavesPerGroup]
}

// eachInLeaf calls visit with each record whose reference lies in the leaf.
func (d *directory) eachInLeaf(leaf int, visit func(r *record)) {
	first := reference(leaf) << leafShift
	i, _ := d.base.position(first)
	for ; i < len(d.base.records) && leafOf(d.base.records[i].identity.ref) == leaf; i++ {
		if r, ok := d.get(d.base.records[i].identity.ref); ok {
			visit(&r)
		}
	}
	i, _ = slices.BinarySearch(d.added, first)
	for ; i < len(d.added) && leafOf(d.added[i]) == leaf; i++ {
		r := d.changed[d.added[i]]
		visit(&r)
	}
}
