package freshness

import "github.com/cespare/xxhash/v2"

// watchersPerDomain is the number of nodes of a failure domain that wait for changes of the
// configuration at the store. Two, so that one may be down.
const watchersPerDomain = 2

// Instance is an instance of the fleet.
type Instance struct{ Name, Domain string }

// IsWatcher reports whether the instance is one of those of its failure domain that wait for
// changes of the configuration. All nodes that know the same others choose the same ones.
func IsWatcher(self Instance, others []Instance) bool {
	own, before := xxhash.Sum64String(self.Name), 0
	for _, o := range others {
		if o.Domain == self.Domain && o.Name != self.Name && xxhash.Sum64String(o.Name) < own {
			before++
		}
	}
	return before < watchersPerDomain
}
