package membership

import (
	"cmp"

	"github.com/gypsumford/gypsumford/fleet"
)

// Change is one change of a member's record in the table of a node.
type Change struct {
	Instance fleet.Instance // after the change
	Joined   bool           // the table did not hold the member before
	Previous fleet.State    // before the change, unless Joined
}

// Changes returns the changes since the last call, without those of the node's own
// record.
func (t *Table) Changes() []Change {
	changes := t.changes
	t.changes = nil
	return changes
}

func (t *Table) recordChange(before *record, after *record) {
	if after.identity.ref == t.self.identity.ref || len(t.changes) >= maxChanges {
		return
	}
	change := Change{Instance: after.instance(), Joined: before == nil}
	if before != nil {
		change.Previous = before.state()
	}
	t.changes = append(t.changes, change)
}

func compareIDs(a, b fleet.Instance) int { return cmp.Compare(a.ID, b.ID) }
