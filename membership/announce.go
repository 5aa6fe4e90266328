package membership

import (
	"time"

	"github.com/gypsumford/gypsumford/fleet"
)

// SetTarget announces the service, slots and state that the local target reported.
// It returns messages that send the update to some members at once, or none if
// nothing changed.
func (t *Table) SetTarget(now time.Time, service string, slots int, state fleet.State) []Message {
	t.setNow(now)
	state = min(state, fleet.Draining)
	slots = max(0, slots)
	profileChanged := service != t.self.service || uint32(slots) != t.self.slots
	if t.self.health == left || (!profileChanged && state == t.self.announced) {
		return nil
	}
	t.self.incarnation++
	t.self.announced = state
	if profileChanged {
		t.self.service = service
		t.self.slots = uint32(slots)
		t.self.profileVersion++
	}
	t.announce(profileChanged)
	return t.sendUpdates(nil)
}

// Leave announces that the node leaves the fleet for good. Keep calling Tick for a
// second before the process ends, so that the update is sent several times, in case
// packets are lost.
func (t *Table) Leave(now time.Time) []Message {
	t.setNow(now)
	if t.self.health == left {
		return nil
	}
	t.self.incarnation++
	t.self.health = left
	t.self.healthSince = t.now
	t.announce(false)
	return t.sendUpdatesTo(nil, leaveFanout)
}

// announce stores the node's own record and queues it as an urgent update. full
// includes the identity, service and slots.
func (t *Table) announce(full bool) {
	t.members.put(t.self)
	t.updates.push(t.self.identity.ref, full)
	t.urgent = true
}
