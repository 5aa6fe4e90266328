package admission

import (
	"time"

	"github.com/gypsumford/gypsumford/call"
)

// Stats is the current state of a queue, followed by counts since its creation.
// Completed, Failed, Shed and Abandoned count the results of started calls;
// Cancelled counts waiting calls.
type Stats struct {
	Limit      int
	Running    int
	Queued     int
	QueueDelay time.Duration // estimated time until all waiting calls have started
	Overloaded bool          // the level controller is active

	Arrived    uint64
	Started    uint64
	Completed  uint64
	Failed     uint64
	Shed       uint64
	Abandoned  uint64
	Cancelled  uint64
	Duplicates uint64 // arrivals under an id that is still in use

	RefusedOverload uint64
	RefusedDeadline uint64
	RefusedDraining uint64
}

// count counts a refusal under its reason.
func (s *Stats) count(reason call.Reason) {
	switch reason {
	case call.ReasonDeadline:
		s.RefusedDeadline++
	case call.ReasonDraining:
		s.RefusedDraining++
	default:
		s.RefusedOverload++
	}
}

// Stats returns the current state and counts.
func (q *Queue) Stats() Stats {
	s := q.stats
	s.Limit = q.limit.limit()
	s.Running = q.running
	s.Queued = q.queued()
	s.Overloaded = q.controller.active
	if capacity := q.controller.capacity(s.Limit); capacity > 0 {
		s.QueueDelay = time.Duration(float64(s.Queued) / capacity * float64(time.Second))
	}
	return s
}
