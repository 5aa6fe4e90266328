package membership

import (
	"slices"

	"github.com/gypsumford/gypsumford/fleet"
)

// applyAll applies claims to the table. It returns the members whose full record
// the node needs, and an error if the table is full and members were refused.
func (t *Table) applyAll(claims []claim) ([]reference, error) {
	var wanted []reference
	var refused error
	for i := range claims {
		c := &claims[i]
		if c.ref == t.self.identity.ref {
			t.refute(c)
			continue
		}
		held, ok := t.members.get(c.ref)
		if ok {
			if t.updateMember(&held, c) {
				wanted = append(wanted, c.ref)
			}
			continue
		}
		if c.full != nil {
			if err := t.addMember(c); err != nil {
				refused = err
			}
			continue
		}
		if c.health <= suspect {
			wanted = append(wanted, c.ref)
		}
	}
	return wanted, refused
}

// refute announces a higher incarnation if a claim about the node itself is worse or
// newer than its own record. A claim that the node has left is only counted, because
// left is final.
func (t *Table) refute(c *claim) {
	if t.self.health == left || c.incarnation < t.self.incarnation {
		return
	}
	if c.health == left {
		t.counters.SelfLeftClaims++
		return
	}
	if c.incarnation == t.self.incarnation && c.health == alive {
		return
	}
	t.counters.Refutations++
	t.self.incarnation = c.incarnation + 1
	t.announce(false)
}

// addMember adds a member that the table does not hold.
func (t *Table) addMember(c *claim) error {
	if c.health >= dead {
		return nil
	}
	if err := t.checkCapacity(); err != nil {
		return err
	}
	r := record{identity: c.full.identity}
	t.copyClaim(&r, c)
	if t.replaceAtAddress(&r) {
		t.store(nil, &r, true)
	}
	return nil
}

// replaceAtAddress marks the instance that r replaces at its address as left. It
// returns false, and r isn't stored, unless r started later than that instance.
// Start times may be wrong because clocks may have been set back, so in this case the
// known instance is probed, and the instance that replies stays in the table.
func (t *Table) replaceAtAddress(r *record) bool {
	other, ok := t.members.atAddress(r.identity.address)
	if !ok || other.identity.ref == r.identity.ref {
		return true
	}
	if other.identity.ref == t.self.identity.ref {
		return false
	}
	if other.identity.started >= r.identity.started {
		t.markDisputed(&other)
		return false
	}
	t.markLeft(&other)
	return true
}

// markLeft marks a member as left because another instance has its address.
func (t *Table) markLeft(r *record) {
	before := *r
	t.counters.ReplacedMembers++
	r.health = left
	r.healthSince = t.now
	t.store(&before, r, false)
}

// updateMember applies a claim about a member that the table holds. It returns
// whether the full record is needed, because the claim names a newer profile
// without including it.
func (t *Table) updateMember(r *record, c *claim) bool {
	if (c.health == dead) != (r.health == dead) && c.incarnation == r.incarnation && c.health != left {
		t.markDisputed(r)
	}
	if c.health == dead {
		return false
	}
	before := *r
	newProfile := c.full != nil && c.profileVersion > r.profileVersion
	if newProfile {
		r.service = c.full.service
		r.slots = c.full.slots
		r.profileVersion = c.profileVersion
	}
	newer := c.replaces(r)
	if newer {
		t.copyClaim(r, c)
	}
	if newer || newProfile {
		t.store(&before, r, newProfile)
	}
	return c.profileVersion > r.profileVersion && r.live()
}

// markDisputed schedules a probe of a member that is dead in another node's table
// and live in this one, or the reverse, or whose address another instance claims. A
// member that is alive raises its incarnation in reply, which both tables accept.
func (t *Table) markDisputed(r *record) {
	if r.health == left || len(t.disputed) >= maxDisputed || slices.Contains(t.disputed, r.identity.ref) {
		return
	}
	t.disputed = append(t.disputed, r.identity.ref)
}

// copyClaim copies a claim into a record. A suspicion ends at the time at which it
// ends for the sender, but not before minSuspicion has passed here.
func (t *Table) copyClaim(r *record, c *claim) {
	r.incarnation = c.incarnation
	r.announced = c.announced
	if c.full != nil {
		r.service = c.full.service
		r.slots = c.full.slots
		r.profileVersion = c.profileVersion
	}
	if c.health == suspect && r.health != suspect {
		r.suspicionEnd = t.now + max(minSuspicion, t.cfg.SuspicionTimeout-c.suspicionAge)
	}
	if c.health != r.health {
		r.healthSince = t.now
	}
	r.health = c.health
}

// store puts a record into the table and queues it as an update, unless the member
// is dead: each node decides that for itself. before is nil for a member that the
// table did not hold.
func (t *Table) store(before, r *record, full bool) {
	t.members.put(*r)
	t.recordChange(before, r)
	if r.health == suspect && (before == nil || before.health != suspect) {
		t.suspects = append(t.suspects, r.identity.ref)
	}
	if r.health == dead {
		t.dead = append(t.dead, r.identity.ref)
		t.updates.remove(r.identity.ref)
		return
	}
	t.updates.push(r.identity.ref, full)
	recovered := before != nil && before.health > alive && r.health == alive
	if recovered || r.health != alive || r.announced == fleet.Draining {
		t.urgent = true
	}
}

// expireSuspicions declares suspect members dead that did not refute the suspicion
// in time. While the node is isolated it declares nobody dead.
func (t *Table) expireSuspicions() {
	if len(t.suspects) == 0 {
		return
	}
	isolated := t.isolated()
	t.suspects = slices.DeleteFunc(t.suspects, func(ref reference) bool {
		r, ok := t.members.get(ref)
		if !ok || r.health != suspect {
			return true
		}
		if isolated || t.now < r.suspicionEnd {
			return false
		}
		before := r
		r.health = dead
		r.healthSince = t.now
		t.counters.Deaths++
		t.store(&before, &r, false)
		return true
	})
}

// prune removes members that have been dead for deadRetention or left for
// leftRetention.
func (t *Table) prune() {
	if t.now-t.lastPrune < pruneInterval {
		return
	}
	t.lastPrune = t.now
	var old []reference
	t.members.eachEnded(func(r *record) {
		expired := r.health == left && t.now-r.healthSince > leftRetention
		expired = expired || r.health == dead && t.now-r.healthSince > deadRetention
		if expired && r.identity.ref != t.self.identity.ref {
			old = append(old, r.identity.ref)
		}
	})
	for _, ref := range old {
		t.members.remove(ref)
	}
	slices.Sort(t.dead)
	t.dead = slices.Compact(t.dead)
	t.dead = slices.DeleteFunc(t.dead, func(ref reference) bool {
		r, ok := t.members.get(ref)
		return !ok || r.health != dead
	})
}
