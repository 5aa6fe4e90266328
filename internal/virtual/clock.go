// Package virtual provides a clock with virtual time, on which the tests of decision
// packages run simulations.
package virtual

import (
	"container/heap"
	"time"
)

// Clock runs scheduled functions in the order of their times. Its time advances only
// from one function to the next.
type Clock struct {
	now   time.Time
	queue eventQueue
}

// NewClock returns a clock whose time is start.
func NewClock(start time.Time) *Clock { return &Clock{now: start} }

// Now returns the current virtual time: that of the function that runs now.
func (c *Clock) Now() time.Time { return c.now }

// After schedules run for the time d from now.
func (c *Clock) After(d time.Duration, run func()) {
	c.queue.sequence++
	heap.Push(&c.queue, event{c.now.Add(d), c.queue.sequence, run})
}

// RunUntil runs all functions that are due before end, including those that they
// schedule.
func (c *Clock) RunUntil(end time.Time) {
	for c.queue.Len() > 0 && c.queue.events[0].at.Before(end) {
		next := heap.Pop(&c.queue).(event)
		c.now = next.at
		next.run()
	}
}

type event struct {
	at       time.Time
	sequence uint64 // events at the same time run in the order in which they were scheduled
	run      func()
}

type eventQueue struct {
	events   []event
	sequence uint64
}

func (q *eventQueue) Len() int { return len(q.events) }
func (q *eventQueue) Less(i, j int) bool {
	if !q.events[i].at.Equal(q.events[j].at) {
		return q.events[i].at.Before(q.events[j].at)
	}
	return q.events[i].sequence < q.events[j].sequence
}
func (q *eventQueue) Swap(i, j int) { q.events[i], q.events[j] = q.events[j], q.events[i] }
func (q *eventQueue) Push(x any)    { q.events = append(q.events, x.(event)) }
func (q *eventQueue) Pop() any {
	last := len(q.events) - 1
	next := q.events[last]
	q.events = q.events[:last]
	return next
}
