package membership

import (
	"cmp"
	"slices"

	"github.com/gypsumford/gypsumford/fleet"
)

// Base is the immutable part of a table: members in the order of their
// references. A table holds later changes separately and merges both into a new
// Base when there are many. Tables of one process may share a Base.
type Base struct {
	records   []record // ordered by reference
	byAddress map[string]reference
	byService map[string][]int32              // positions in records
	byDomain  map[fleet.FailureDomain][]int32 // positions in records
	sums      []uint32                        // one for each leaf of the digest
	live      int
}

// NewBase returns a Base of the given instances. Each is alive and announces its
// State.
func NewBase(instances []fleet.Instance) *Base {
	records := make([]record, 0, len(instances))
	for _, instance := range instances {
		records = append(records, recordOf(instance, 0))
	}
	return newBase(records)
}

func recordOf(instance fleet.Instance, started int64) record {
	identity := &identity{
		ref:     referenceOf(instance.ID),
		id:      instance.ID,
		address: instance.PeerAddress,
		domain:  instance.FailureDomain,
		region:  instance.Region,
		started: started,
	}
	return record{
		identity:    identity,
		service:     instance.Service,
		slots:       uint32(max(0, instance.Slots)),
		incarnation: instance.Incarnation,
		announced:   min(instance.State, fleet.Draining),
	}
}

func newBase(records []record) *Base {
	slices.SortFunc(records, func(a, b record) int { return cmp.Compare(a.identity.ref, b.identity.ref) })
	b := &Base{
		records:   records,
		byAddress: make(map[string]reference, len(records)),
		byService: make(map[string][]int32),
		byDomain:  make(map[fleet.FailureDomain][]int32),
		sums:      make([]uint32, leaves),
	}
	for i := range records {
		r := &records[i]
		b.sums[leafOf(r.identity.ref)] += r.hash()
		b.byService[r.service] = append(b.byService[r.service], int32(i))
		b.byDomain[r.identity.domain] = append(b.byDomain[r.identity.domain], int32(i))
		if r.live() {
			b.live++
			b.byAddress[r.identity.address] = r.identity.ref
		}
	}
	return b
}

func (b *Base) position(ref reference) (int, bool) {
	return slices.BinarySearchFunc(b.records, ref, func(r record, ref reference) int {
		return cmp.Compare(r.identity.ref, ref)
	})
}
