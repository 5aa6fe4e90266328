package timeline

import (
	"cmp"
	"slices"
)

// Merge merges the events of several nodes into one causal order, in which an
// event comes after all events that caused it. It sorts by Lamport clock, node and
// sequence number, so the result does not depend on the order of the lists. An
// event that is in several lists is returned once.
func Merge(lists ...[]Event) []Event {
	merged := slices.Concat(lists...)
	slices.SortFunc(merged, compare)
	return slices.CompactFunc(merged, func(a, b Event) bool { return compare(a, b) == 0 })
}

func compare(a, b Event) int {
	return cmp.Or(
		cmp.Compare(a.Lamport, b.Lamport),
		cmp.Compare(a.Node, b.Node),
		cmp.Compare(a.Sequence, b.Sequence),
	)
}
