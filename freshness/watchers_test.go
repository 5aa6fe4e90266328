package freshness

import (
	"fmt"
	"testing"
)

// Guards against failure domains without a node that waits for changes, and against fleets in
// which all do.
func TestSomeNodesOfEachDomainWatch(t *testing.T) {
	for size := range 40 {
		var all []Instance
		for i := range size {
			all = append(all, Instance{Name: fmt.Sprintf("node-%d", i), Domain: fmt.Sprintf("domain-%d", i%3)})
		}
		watchers, members := map[string]int{}, map[string]int{}
		for _, self := range all {
			members[self.Domain]++
			if IsWatcher(self, all) {
				watchers[self.Domain]++
			}
		}
		for domain, n := range members {
			if watchers[domain] != min(n, watchersPerDomain) {
				t.Errorf("%d of the %d nodes in %s watch", watchers[domain], n, domain)
			}
		}
	}
}
