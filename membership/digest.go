package membership

import "slices"

// The digest sums the live members over leaves, and the leaves over groups, so
// two tables find where they differ in two steps.
const (
	groups         = 64
	leavesPerGroup = 64
	leaves         = groups * leavesPerGroup
	leafShift      = 64 - 12 // a leaf takes the references' highest 12 bits
)

func leafOf(ref reference) int { return int(ref >> leafShift) }

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

// inLeaf calls visit with each record whose reference lies in the leaf.
func (d *directory) inLeaf(leaf int, visit func(r *record)) {
	first := reference(leaf) << leafShift
	i, _ := d.base.position(first)
	for ; i < len(d.base.records) && leafOf(d.base.records[i].who.ref) == leaf; i++ {
		if r, ok := d.get(d.base.records[i].who.ref); ok {
			visit(&r)
		}
	}
	i, _ = slices.BinarySearch(d.added, first)
	for ; i < len(d.added) && leafOf(d.added[i]) == leaf; i++ {
		r := d.changed[d.added[i]]
		visit(&r)
	}
}
