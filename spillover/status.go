package spillover

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// A service is reported as leaving its domain from a share of leavingShare on, until the
	// share has fallen to stayingShare, so that a share that varies causes few reports.
	leavingShare, stayingShare = 0.05, 0.01
	// shareHorizon is the time constant of the share that is reported.
	shareHorizon = 2 * time.Second
)

// Status is the share of the requests for a service that leaves the node's failure domain.
type Status struct {
	Service string
	Share   float64
	Leaving bool
}

func (s *service) recordShare(now time.Time, share float64) {
	s.share += (1 - decay(now.Sub(s.decidedAt))) * (share - s.share)
	s.decidedAt = now
}

// decay returns the factor of the share after a time without requests.
func decay(elapsed time.Duration) float64 {
	return math.Exp(-max(elapsed, 0).Seconds() / shareHorizon.Seconds())
}

// Statuses returns the status of each service, by name.
func (t *Table) Statuses(now time.Time) []Status {
	list := make([]Status, 0, len(t.services))
	for _, name := range slices.Sorted(maps.Keys(t.services)) {
		s := t.services[name]
		list = append(list, Status{Service: name, Share: s.share * decay(now.Sub(s.decidedAt)), Leaving: s.leaving})
	}
	return list
}

// Changes returns the status of the services whose requests began or ended to leave the
// failure domain since the last call.
func (t *Table) Changes(now time.Time) []Status {
	var changes []Status
	for _, status := range t.Statuses(now) {
		leaving := status.Share >= leavingShare || status.Leaving && status.Share > stayingShare
		if leaving == status.Leaving {
			continue
		}
		t.services[status.Service].leaving, status.Leaving = leaving, leaving
		changes = append(changes, status)
	}
	return changes
}

// RetainServices prunes the services that are not listed.
func (t *Table) RetainServices(listed map[string]bool) {
	maps.DeleteFunc(t.services, func(name string, _ *service) bool { return !listed[name] })
}
