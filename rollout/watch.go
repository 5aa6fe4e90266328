package rollout

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumford/gypsumford/fleet"
)

// SetDomainMembers sets the live members of the node's failure domain. The list
// need not contain the node itself.
func (t *Table) SetDomainMembers(now time.Time, domainMembers []fleet.InstanceID) {
	ownWeight := t.weight(t.self)
	heavier := 0
	for _, id := range domainMembers {
		if id == t.self {
			continue
		}
		if t.weight(id) > ownWeight {
			heavier++
		}
	}
	t.watches = heavier < t.cfg.Watchers
}

// Watches reports whether the node should watch the platform now.
func (t *Table) Watches() bool { return t.watches }

func (t *Table) weight(id fleet.InstanceID) uint64 {
	return xxhash.Sum64String(string(t.domain) + "/" + string(id))
}
