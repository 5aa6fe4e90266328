package membership

import (
	"time"

	"github.com/gypsumford/gypsumford/fleet"
)

// claim is what a node says of a member.
type claim struct {
	ref         reference
	incarnation uint64
	announced   fleet.State
	health      health
	age         time.Duration // of a suspicion
	profile     uint32
	full        *fullClaim // unset in the short form
}

// fullClaim is what a claim adds for those who don't know the member.
type fullClaim struct {
	who     *identity
	service string
	slots   uint32
}

// The status of a claim on the wire, from the lowest bit: 2 bits of announced
// state, 2 bits of health, 6 bits of age, then the profile.
const (
	ageUnit      = 100 * time.Millisecond
	maxAgeUnits  = 63
	twoBits      = 3
	healthShift  = 2
	ageShift     = 4
	profileShift = 10
)

func (c *claim) status() uint64 {
	age := min(uint64(c.age/ageUnit), maxAgeUnits)
	return uint64(c.announced) | uint64(c.health)<<healthShift | age<<ageShift | uint64(c.profile)<<profileShift
}

func (c *claim) setStatus(status uint64) bool {
	c.announced = fleet.State(status & twoBits)
	c.health = health(status >> healthShift & twoBits)
	c.age = time.Duration(status>>ageShift&maxAgeUnits) * ageUnit
	c.profile = uint32(status >> profileShift)
	return c.announced <= fleet.Draining && status>>profileShift <= 1<<32-1
}

// replaces reports whether the claim is news to a table that holds r. It orders
// claims by left, then incarnation, then health.
func (c *claim) replaces(r *record) bool {
	if r.health == left {
		return false
	}
	if c.health == left || c.incarnation > r.incarnation {
		return true
	}
	return c.incarnation == r.incarnation && c.health > r.health
}

func claimOf(r *record, now time.Duration, suspicion time.Duration) claim {
	c := claim{
		ref:         r.who.ref,
		incarnation: r.incarnation,
		announced:   r.announced,
		health:      r.health,
		profile:     r.profile,
	}
	if r.health == suspect {
		c.age = max(0, suspicion-(r.deadline-now))
	}
	return c
}

func fullClaimOf(r *record, now time.Duration, suspicion time.Duration) claim {
	c := claimOf(r, now, suspicion)
	c.full = &fullClaim{who: r.who, service: r.service, slots: r.slots}
	return c
}
