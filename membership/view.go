package membership

import (
	"slices"

	"github.com/gypsumford/gypsumford/fleet"
)

// Instances returns the members whose target belongs to the service, ordered by id.
// They include dead members and members that left, while the table holds them. The
// cost grows with the members of the service, so use it on a Change and not for each
// call.
func (t *Table) Instances(service string) []fleet.Instance {
	var found []fleet.Instance
	t.members.eachOfService(service, func(r *record) { found = append(found, r.instance()) })
	slices.SortFunc(found, compareIDs)
	return found
}

// All returns all members that the table holds, in no particular order.
func (t *Table) All() []fleet.Instance {
	all := make([]fleet.Instance, 0, t.members.len())
	t.members.each(func(r *record) { all = append(all, r.instance()) })
	return all
}

// DomainMembers returns the ids of the live members of the node's failure domain,
// including the node itself, in order.
func (t *Table) DomainMembers() []fleet.InstanceID {
	var ids []fleet.InstanceID
	t.members.eachInDomain(t.self.identity.domain, func(r *record) {
		if r.live() {
			ids = append(ids, r.identity.id)
		}
	})
	slices.Sort(ids)
	return ids
}

// Get returns the member with the given id, and whether the table holds it.
func (t *Table) Get(id fleet.InstanceID) (fleet.Instance, bool) {
	r, ok := t.members.get(referenceOf(id))
	if !ok {
		return fleet.Instance{}, false
	}
	return r.instance(), true
}

// Self returns the node's own instance as it announces it.
func (t *Table) Self() fleet.Instance { return t.self.instance() }

// Len returns the number of members that are neither dead nor left, including the
// node itself.
func (t *Table) Len() int { return t.members.live }

// Counters returns the table's counters.
func (t *Table) Counters() Counters {
	c := t.counters
	c.Members = uint64(t.members.live)
	c.Suspects = uint64(len(t.suspects))
	c.Dead = uint64(len(t.dead))
	c.UpdatesQueued = uint64(t.updates.len())
	return c
}
