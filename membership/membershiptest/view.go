package membershiptest

import (
	"github.com/gypsumford/gypsumford/fleet"
)

// Seen counts the active nodes, beside the instance's own, whose tables satisfy
// accept for the instance; known is false for one that the table doesn't hold.
func (f *Fleet) Seen(id fleet.InstanceID, accept func(instance fleet.Instance, known bool) bool) (yes, no int) {
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

// Gone is an accept for Seen: the instance is given no new calls.
func Gone(instance fleet.Instance, known bool) bool { return !known || !instance.State.TakesCalls() }

// Dead is an accept for Seen: the instance is dead or left.
func Dead(instance fleet.Instance, known bool) bool { return !known || instance.State >= fleet.Dead }

// Ready is an accept for Seen: the instance is alive and ready.
func Ready(instance fleet.Instance, known bool) bool { return known && instance.State == fleet.Ready }

// InForce counts the active nodes that have the version or a newer one.
func (f *Fleet) InForce(version uint64) (yes, no int) {
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

// Active returns the number of nodes that run and are not paused.
func (f *Fleet) Active() int {
	count := 0
	for _, n := range f.Nodes {
		if n.active() {
			count++
		}
	}
	return count
}

// Knowing counts the active nodes that hold exactly live members for live.
func (f *Fleet) Knowing(live int) (yes, no int) {
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
