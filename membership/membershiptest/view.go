package membershiptest

import (
	"github.com/gypsumford/gypsumford/epoch"
	"github.com/gypsumford/gypsumford/fleet"
)

// CountViews counts the active nodes, without the instance's own node, for which accept
// returns true and false. accept receives the instance as the node's table holds it;
// known is false if the table doesn't hold it.
func (f *Fleet) CountViews(id fleet.InstanceID, accept func(instance fleet.Instance, known bool) bool) (yes, no int) {
	for _, n := range f.Nodes {
		if !n.active() || n.Instance.ID == id {
			continue
		}
		instance, known := n.Members.Get(id)
		if accept(instance, known) {
			yes++
		} else {
			no++
		}
	}
	return yes, no
}

// NoNewCalls is an accept function for CountViews: no new calls are sent to the
// instance.
func NoNewCalls(instance fleet.Instance, known bool) bool {
	return !known || !instance.State.TakesCalls()
}

// Dead is an accept function for CountViews: the instance is dead, left or unknown.
func Dead(instance fleet.Instance, known bool) bool { return !known || instance.State >= fleet.Dead }

// Ready is an accept function for CountViews: the instance is alive and ready.
func Ready(instance fleet.Instance, known bool) bool { return known && instance.State == fleet.Ready }

// CountInForce counts the active nodes that have the version or a newer one in force,
// and the others.
func (f *Fleet) CountInForce(version epoch.Version) (yes, no int) {
	for _, n := range f.Nodes {
		if !n.active() {
			continue
		}
		if n.Rollout.Version() >= version {
			yes++
		} else {
			no++
		}
	}
	return yes, no
}

// Active returns the number of nodes that are running and not paused.
func (f *Fleet) Active() int {
	count := 0
	for _, n := range f.Nodes {
		if n.active() {
			count++
		}
	}
	return count
}

// CountWithLive counts the active nodes whose table has exactly that number of live
// members, and the others.
func (f *Fleet) CountWithLive(live int) (yes, no int) {
	for _, n := range f.Nodes {
		if !n.active() {
			continue
		}
		if n.Members.Len() == live {
			yes++
		} else {
			no++
		}
	}
	return yes, no
}
