package timeline

import (
	"cmp"
	"slices"
)

// Merge puts the events of several nodes into one causal order: an event comes
// after all events that caused it. Events that are unrelated are ordered by
// Lamport clock, node and sequence number, so the order is the same every time.
// An event that stands in several lists is returned once.
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
