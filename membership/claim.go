package membership

import (
	"time"

	"github.com/gypsumford/gypsumford/fleet"
)

// claim is the state of a member in the table of the node that sends it.
type claim struct {
	ref            reference
	incarnation    uint64
	announced      fleet.State
	health         health
	suspicionAge   time.Duration // how long ago the suspicion began, if health is suspect
	profileVersion uint32
	full           *fullClaim // nil in the short form
}

// fullClaim is what the full form of a claim adds, for nodes that don't know the
// member or its current profile.
type fullClaim struct {
	identity *identity
	service  string
	slots    uint32
}

// On the wire, the status of a claim is one number. From the lowest bit: 2 bits of
// announced state, 2 bits of health, 6 bits of suspicion age in units of ageUnit,
// then the profile version.
const (
	ageUnit      = 100 * time.Millisecond
	maxAgeUnits  = 63
	twoBitMask   = 3
	healthShift  = 2
	ageShift     = 4
	profileShift = 10
)

func (c *claim) status() uint64 {
	age := min(uint64(c.suspicionAge/ageUnit), maxAgeUnits)
	return uint64(c.announced) | uint64(c.health)<<healthShift | age<<ageShift | uint64(c.profileVersion)<<profileShift
}

func (c *claim) setStatus(status uint64) bool {
	c.announced = fleet.State(status & twoBitMask)
	c.health = health(status >> healthShift & twoBitMask)
	c.suspicionAge = time.Duration(status>>ageShift&maxAgeUnits) * ageUnit
	c.profileVersion = uint32(status >> profileShift)
	return c.announced <= fleet.Draining && status>>profileShift <= 1<<32-1
}

// replaces reports whether the claim is newer than r and replaces it. Left is
// final; then the higher incarnation wins, then the worse health.
func (c *claim) replaces(r *record) bool {
	if r.health == left {
		return false
	}
	if c.health == left || c.incarnation > r.incarnation {
		return true
	}
	return c.incarnation == r.incarnation && c.health > r.health
}

func claimOf(r *record, now time.Duration, suspicionTimeout time.Duration) claim {
	c := claim{
		ref:            r.identity.ref,
		incarnation:    r.incarnation,
		announced:      r.announced,
		health:         r.health,
		profileVersion: r.profileVersion,
	}
	if r.health == suspect {
		c.suspicionAge = max(0, suspicionTimeout-(r.suspicionEnd-now))
	}
	return c
}

func fullClaimOf(r *record, now time.Duration, suspicionTimeout time.Duration) claim {
	c := claimOf(r, now, suspicionTimeout)
	c.full = &fullClaim{identity: r.identity, service: r.service, slots: r.slots}
	return c
}
