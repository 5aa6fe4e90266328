package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumford/gypsumford/fleet"
)

// reference names a member in packets.
type reference uint64

func referenceOf(id fleet.InstanceID) reference {
	return reference(xxhash.Sum64String(string(id)))
}

// identity is what never changes of an instance.
type identity struct {
	ref     reference
	id      fleet.InstanceID
	address string
	domain  fleet.FailureDomain
	region  fleet.Region
	started int64 // milliseconds of Unix time by the instance's own clock
}

// health is how a table sees a member, from best to worst.
type health uint8

const (
	alive health = iota
	suspect
	dead
	left
)

// record is what a table holds of one member.
type record struct {
	who         *identity
	service     string
	slots       uint32
	profile     uint32 // grows when service or slots change
	incarnation uint64
	announced   fleet.State // starting, ready or draining
	health      health
	since       time.Duration // time of the table when the health changed
	deadline    time.Duration // of a suspicion
}

func (r *record) live() bool { return r.health <= suspect }

// state is the fleet's word for announced state and health together. A suspect
// member that announced no readiness is not shown as suspect, because senders
// may try a suspect one.
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
		ID:            r.who.id,
		PeerAddress:   r.who.address,
		FailureDomain: r.who.domain,
		Region:        r.who.region,
		Service:       r.service,
		Slots:         int(r.slots),
		State:         r.state(),
		Incarnation:   r.incarnation,
	}
}

// hash is the member's part of the digest. Suspicion passes, and the dead and the
// left are dropped at different times, so neither is part of it.
func (r *record) hash() uint32 {
	if !r.live() {
		return 0
	}
	h := uint64(r.who.ref) ^ (r.incarnation<<3 | uint64(r.announced)) ^ uint64(r.profile)<<48
	h *= 0x9e3779b97f4a7c15
	h ^= h >> 29
	h *= 0xbf58476d1ce4e5b9
	return uint32(h >> 32)
}
