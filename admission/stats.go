package admission

import (
	"time"

	"github.com/gypsumford/gypsumford/call"
)

// Stats is what a queue counts; counts only grow.
type Stats struct {
	Limit      int
	Running    int
	Queued     int
	QueueDelay time.Duration // time that the waiting calls take to be started
	Overloaded bool          // the level control is active

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

// Stats returns the queue's state and counts.
func (q *Queue) Stats() Stats {
	s := q.stats
	s.Limit = q.limit.limit()
	s.Running = q.running
	s.Queued = q.queued()
	s.Overloaded = q.control.active
	if capacity := q.control.capacity(s.Limit); capacity > 0 {
		s.QueueDelay = time.Duration(float64(s.Queued) / capacity * float64(time.Second))
	}
	return s
}
