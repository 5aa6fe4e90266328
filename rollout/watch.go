package rollout

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumford/gypsumford/fleet"
)

// SetMembers sets the live members of the node's failure domain; the node itself
// may be missing in it.
func (t *Table) SetMembers(now time.Time, domainMembers []fleet.InstanceID) {
	own := t.weight(t.self)
	heavier := 0
	for _, id := range domainMembers {
		if id == t.self {
			continue
		}
		if t.weight(id) > own {
			heavier++
		}
	}
	t.watches = heavier < t.cfg.Watchers
}

// Watches reports whether the node is one that watches the platform now.
func (t *Table) Watches() bool { return t.watches }

func (t *Table) weight(id fleet.InstanceID) uint64 {
	return xxhash.Sum64String(string(t.domain) + "/" + string(id))
}
