package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumford/gypsumford/fleet"
)

// reference identifies a member in packets: a hash of its instance id.
type reference uint64

func referenceOf(id fleet.InstanceID) reference {
	return reference(xxhash.Sum64String(string(id)))
}

// identity holds the properties of an instance that never change.
type identity struct {
	ref     reference
	id      fleet.InstanceID
	address string
	domain  fleet.FailureDomain
	region  fleet.Region
	started int64 // Unix time in milliseconds, by the instance's own clock
}

// health is the liveness of a member in a table, ordered from best to worst.
type health uint8

const (
	alive health = iota
	suspect
	dead
	left
)

// record is the entry of a table for one member.
type record struct {
	identity       *identity
	service        string
	slots          uint32
	profileVersion uint32 // increases when service or slots change
	incarnation    uint64
	announced      fleet.State // starting, ready or draining
	health         health
	healthSince    time.Duration // table time of the last change of health
	suspicionEnd   time.Duration // table time at which a suspect member is declared dead
}

func (r *record) live() bool { return r.health <= suspect }

// state combines announced state and health. A suspect member is shown as suspect
// only if it announced that it is ready, because fleet.Suspect lets senders call it.
func (r *record) state() fleet.State {
	switch r.health {
	case left:
		return fleet.Left
	case dead:
		return fleet.Dead
	case suspect:
		if r.announced == fleet.Ready {
			return fleet.Suspect
		}
	}
	return r.announced
}

func (r *record) instance() fleet.Instance {
	return fleet.Instance{
		ID:            r.identity.id,
		PeerAddress:   r.identity.address,
		FailureDomain: r.identity.domain,
		Region:        r.identity.region,
		Service:       r.service,
		Slots:         int(r.slots),
		State:         r.state(),
		Incarnation:   r.incarnation,
	}
}

// hash returns the member's part of the digest. Suspicions are not part of it because
// they are temporary, and dead and left members aren't because tables remove them at
// different times.
func (r *record) hash() uint32 {
	if !r.live() {
		return 0
	}
	h := uint64(r.identity.ref) ^ (r.incarnation<<3 | uint64(r.announced)) ^ uint64(r.profileVersion)<<48
	h *= 0x9e3779b97f4a7c15
	h ^= h >> 29
	h *= 0xbf58476d1ce4e5b9
	return uint32(h >> 32)
}
