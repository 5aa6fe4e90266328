package claim

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumford/gypsumford/fleet"
)

// Shards is the number of shards in the key space of each service. It is part
// of the meaning of the platform's objects and must never change.
const Shards = 8

// ObjectKey returns the key of the platform object that records the claims of
// one shard.
func ObjectKey(service string, shard int) string {
	return "claims/" + service + "/" + strconv.Itoa(shard)
}

// HomeOf returns the instance that decides on the keys of a shard, by
// rendezvous hash over the service's members; false if it has none. Members
// that disagree on the home cost refusals and unknown outcomes, never a second
// run.
func HomeOf(service string, shard int, instances []fleet.Instance) (fleet.Instance, bool) {
	homes := HomesOf(service, shard, instances, 1)
	if len(homes) == 0 {
		return fleet.Instance{}, false
	}
	return homes[0], true
}

// HomesOf returns up to count instances in the order in which they are home of
// the shard. A sender that can't connect to one of them may try the next.
// Draining members come after all that take calls.
func HomesOf(service string, shard int, instances []fleet.Instance, count int) []fleet.Instance {
	var candidates []candidate
	for _, instance := range instances {
		if instance.Service != service || !canBeHome(instance.State) {
			continue
		}
		candidates = append(candidates, candidate{instance, weightOf(shard, instance.ID)})
	}
	slices.SortFunc(candidates, candidate.compare)
	homes := make([]fleet.Instance, 0, min(count, len(candidates)))
	for _, c := range candidates[:min(count, len(candidates))] {
		homes = append(homes, c.instance)
	}
	return homes
}

type candidate struct {
	instance fleet.Instance
	weight   uint64
}

func (c candidate) compare(other candidate) int {
	if takes := c.instance.State.Takes(); takes != other.instance.State.Takes() {
		if takes {
			return -1
		}
		return 1
	}
	switch {
	case c.weight > other.weight:
		return -1
	case c.weight < other.weight:
		return 1
	}
	return 0
}

func canBeHome(state fleet.State) bool {
	return state.Takes() || state == fleet.Draining
}

func weightOf(shard int, id fleet.InstanceID) uint64 {
	return xxhash.Sum64String(strconv.Itoa(shard) + "/" + string(id))
}

// Claimant is the hash by which a claim names the instance that made it.
type Claimant uint64

// ClaimantOf returns the name of an instance in claims.
func ClaimantOf(id fleet.InstanceID) Claimant {
	return Claimant(xxhash.Sum64String(string(id)))
}

// InstanceOf returns the instance that is the claimant; false if it is not
// among them. It may still hold the answer of the run that it claimed.
func (c Claimant) InstanceOf(instances []fleet.Instance) (fleet.Instance, bool) {
	for _, instance := range instances {
		if ClaimantOf(instance.ID) == c {
			return instance, true
		}
	}
	return fleet.Instance{}, false
}
