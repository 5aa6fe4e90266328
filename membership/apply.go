package membership

import (
	"slices"

	"github.com/gypsumford/gypsumford/fleet"
)

// applyAll takes claims into the table. It returns the members of which the node
// needs the full record, and an error if members were refused.
func (t *Table) applyAll(claims []claim) ([]reference, error) {
	var wanted []reference
	var refused error
	for i := range claims {
		c := &claims[i]
		if c.ref == t.self.who.ref {
			t.refute(c)
			continue
		}
		known, ok := t.members.get(c.ref)
		if ok {
			if t.update(&known, c) {
				wanted = append(wanted, c.ref)
			}
			continue
		}
		if c.full != nil {
			if err := t.join(c); err != nil {
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

// refute contradicts a claim about the node itself that is worse or newer than
// what it says of itself.
func (t *Table) refute(c *claim) {
	if t.self.health == left || c.incarnation < t.self.incarnation {
		return
	}
	if c.health == left {
		t.counters.EndedByOthers++
		return
	}
	if c.incarnation == t.self.incarnation && c.health == alive {
		return
	}
	t.counters.Refutations++
	t.self.incarnation = c.incarnation + 1
	t.announce(false)
}

// join adds a member that the table does not hold.
func (t *Table) join(c *claim) error {
	if c.health >= dead {
		return nil
	}
	if err := t.full(); err != nil {
		return err
	}
	r := record{who: c.full.who}
	t.adopt(&r, c)
	if t.takeAddress(&r) {
		t.store(nil, &r, true)
	}
	return nil
}

// takeAddress ends the instance that r replaces at its address. It returns false if
// r did not surely start after the one that is known there; clocks may have been
// set back, so that one is probed, and who answers decides.
func (t *Table) takeAddress(r *record) bool {
	other, ok := t.members.atAddress(r.who.address)
	if !ok || other.who.ref == r.who.ref {
		return true
	}
	if other.who.ref == t.self.who.ref {
		return false
	}
	if other.who.started >= r.who.started {
		t.doubt(&other)
		return false
	}
	t.end(&other)
	return true
}

// end marks a member as left because another instance has its address.
func (t *Table) end(r *record) {
	before := *r
	t.counters.Replaced++
	r.health = left
	r.since = t.now
	t.store(&before, r, false)
}

// update takes a claim about a member that the table holds. It returns whether
// the full record is needed.
func (t *Table) update(r *record, c *claim) bool {
	if (c.health == dead) != (r.health == dead) && c.incarnation == r.incarnation && c.health != left {
		t.doubt(r)
	}
	if c.health == dead {
		return false
	}
	before := *r
	described := c.full != nil && c.profile > r.profile
	if described {
		r.service = c.full.service
		r.slots = c.full.slots
		r.profile = c.profile
	}
	news := c.replaces(r)
	if news {
		t.adopt(r, c)
	}
	if news || described {
		t.store(&before, r, described)
	}
	return c.profile > r.profile && r.live()
}

// doubt has a member probed that is dead for another node and alive for this one,
// or the other way round. If it is alive it raises its incarnation, which settles
// the matter for both.
func (t *Table) doubt(r *record) {
	if r.health == left || len(t.doubts) >= maxDoubts || slices.Contains(t.doubts, r.who.ref) {
		return
	}
	t.doubts = append(t.doubts, r.who.ref)
}

// adopt copies a claim into a record.
func (t *Table) adopt(r *record, c *claim) {
	r.incarnation = c.incarnation
	r.announced = c.announced
	if c.full != nil {
		r.service = c.full.service
		r.slots = c.full.slots
		r.profile = c.profile
	}
	if c.health == suspect && r.health != suspect {
		r.deadline = t.now + max(minGrace, t.cfg.Suspicion-c.age)
	}
	if c.health != r.health {
		r.since = t.now
	}
	r.health = c.health
}

// store puts a record into the table and spreads it. before is nil for a member
// that the table did not hold.
func (t *Table) store(before, r *record, full bool) {
	t.members.put(*r)
	t.noteChange(before, r)
	if r.health == suspect && (before == nil || before.health != suspect) {
		t.suspects = append(t.suspects, r.who.ref)
	}
	if r.health == dead {
		t.dead = append(t.dead, r.who.ref)
		t.news.drop(r.who.ref)
		return
	}
	t.news.push(r.who.ref, full)
	recovered := before != nil && before.health > alive && r.health == alive
	if recovered || r.health != alive || r.announced == fleet.Draining {
		t.urgent = true
	}
}

// expireSuspicions declares members dead that did not object in time.
func (t *Table) expireSuspicions() {
	if len(t.suspects) == 0 {
		return
	}
	silent := t.isolated()
	t.suspects = slices.DeleteFunc(t.suspects, func(ref reference) bool {
		r, ok := t.members.get(ref)
		if !ok || r.health != suspect {
			return true
		}
		if silent || t.now < r.deadline {
			return false
		}
		before := r
		r.health = dead
		r.since = t.now
		t.counters.Deaths++
		t.store(&before, &r, false)
		return true
	})
}

// sweep forgets members that are dead or left since long ago.
func (t *Table) sweep() {
	if t.now-t.lastSweep < sweepInterval {
		return
	}
	t.lastSweep = t.now
	var old []reference
	t.members.eachEnded(func(r *record) {
		expired := r.health == left && t.now-r.since > leftRetention
		expired = expired || r.health == dead && t.now-r.since > deadRetention
		if expired && r.who.ref != t.self.who.ref {
			old = append(old, r.who.ref)
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
