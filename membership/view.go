package membership

import (
	"slices"

	"github.com/gypsumford/gypsumford/fleet"
)

// Instances returns the members whose target is of the service, in the order of
// their ids, with those that are dead or left while the table still holds them.
// It looks at all members of the service; call it on a Change, not per call.
func (t *Table) Instances(service string) []fleet.Instance {
	var found []fleet.Instance
	t.members.ofService(service, func(r *record) { found = append(found, r.instance()) })
	slices.SortFunc(found, compareIDs)
	return found
}

// All returns all members that the table holds, in no particular order.
func (t *Table) All() []fleet.Instance {
	all := make([]fleet.Instance, 0, t.members.len())
	t.members.each(func(r *record) { all = append(all, r.instance()) })
	return all
}

// DomainMembers returns the ids of the live members of the node's own failure
// domain, the node included, in the order of their ids.
func (t *Table) DomainMembers() []fleet.InstanceID {
	var ids []fleet.InstanceID
	t.members.ofDomain(t.self.who.domain, func(r *record) {
		if r.live() {
			ids = append(ids, r.who.id)
		}
	})
	slices.Sort(ids)
	return ids
}

// Get returns the member with the given id.
func (t *Table) Get(id fleet.InstanceID) (fleet.Instance, bool) {
	r, ok := t.members.get(referenceOf(id))
	if !ok {
		return fleet.Instance{}, false
	}
	return r.instance(), true
}

// Self returns the node's own instance as it announces it.
func (t *Table) Self() fleet.Instance { return t.self.instance() }

// Len returns the number of members that are neither dead nor left, the node
// itself included.
func (t *Table) Len() int { return t.members.live }

// Counters returns what the table has counted.
func (t *Table) Counters() Counters {
	c := t.counters
	c.Members = uint64(t.members.live)
	c.Suspects = uint64(len(t.suspects))
	c.Dead = uint64(len(t.dead))
	c.NewsWaiting = uint64(t.news.len())
	return c
}
