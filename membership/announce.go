package membership

import (
	"time"

	"github.com/gypsumford/gypsumford/fleet"
)

// SetTarget announces what the node's own target says of itself. The messages
// returned tell some members at once.
func (t *Table) SetTarget(now time.Time, service string, slots int, state fleet.State) []Message {
	t.clock(now)
	state = min(state, fleet.Draining)
	slots = max(0, slots)
	described := service != t.self.service || uint32(slots) != t.self.slots
	if t.self.health == left || (!described && state == t.self.announced) {
		return nil
	}
	t.self.incarnation++
	t.self.announced = state
	if described {
		t.self.service = service
		t.self.slots = uint32(slots)
		t.self.profile++
	}
	t.announce(described)
	return t.spread(nil)
}

// Leave announces that the node leaves for good. Keep calling Tick for a second
// before the process ends, so that the news survives lost packets.
func (t *Table) Leave(now time.Time) []Message {
	t.clock(now)
	if t.self.health == left {
		return nil
	}
	t.self.incarnation++
	t.self.health = left
	t.self.since = t.now
	t.announce(false)
	return t.spreadTo(nil, leaveFanout)
}

// announce stores the node's own record and spreads it at once.
func (t *Table) announce(full bool) {
	t.members.put(t.self)
	t.news.push(t.self.who.ref, full)
	t.urgent = true
}
