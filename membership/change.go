package membership

import (
	"cmp"

	"github.com/gypsumford/gypsumford/fleet"
)

// Change is one step of a member, as the node saw it.
type Change struct {
	Instance fleet.Instance // after the change
	Joined   bool           // the table did not hold the member before
	Previous fleet.State    // before the change, unless Joined
}

// Changes returns what has changed since the last call. The node's own changes
// are not among them.
func (t *Table) Changes() []Change {
	drained := t.changes
	t.changes = nil
	return drained
}

func (t *Table) noteChange(before *record, after *record) {
	if after.who.ref == t.self.who.ref || len(t.changes) >= maxChanges {
		return
	}
	change := Change{Instance: after.instance(), Joined: before == nil}
	if before != nil {
		change.Previous = before.state()
	}
	t.changes = append(t.changes, change)
}

func compareIDs(a, b fleet.Instance) int { return cmp.Compare(a.ID, b.ID) }
