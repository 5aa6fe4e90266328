package agent

import (
	"sync"

	"github.com/gypsumford/gypsumford/fleet"
)

// fleetView copies the lists of the services' instances from the membership table to
// the routing table. Changes arrive in several goroutines, so a list is read and used
// under one lock: an older list never replaces a newer one.
type fleetView struct {
	mu   sync.Mutex // held over read and use; acquired before the locks of their tables
	read func(service string) []fleet.Instance
	use  func(service string, list []fleet.Instance)
}

func (v *fleetView) refresh(services []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, service := range services {
		v.use(service, v.read(service))
	}
}
