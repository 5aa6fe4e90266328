// Package limiter limits the number of requests that run at a target at the same time, and
// queues further ones at the target's node. Inputs are the number of the target's slots,
// the priorities and deadlines of requests, and the time that they run for.
//
// A target that runs as many requests as it has slots slows down, and its own queue is in
// order of arrival. So the node sends it requests only for a fraction of the slots, the
// concurrency limit, and queues the others by priority and, within a priority, by arrival.
// Requests that would miss their deadline in the queue are refused at once, as not run.
package limiter

import (
	"container/heap"
	"time"

	"github.com/gypsumford/gypsumford/loadshed"
)

const (
	// usableShare is the fraction of the slots that is used at most: beyond it targets
	// slow down.
	usableShare = 0.95
	// timeGain is the weight of one request in the moving average of the time that
	// requests run for.
	timeGain = 0.05
	// initialMean is the moving average before any request has ended.
	initialMean = 50 * time.Millisecond
)

// Item is a request in the limiter.
type Item struct {
	Priority int // 0 is the most important
	Deadline time.Time
	sequence uint64 // order of arrival in the queue
	index    int    // in the heap, -1 if not in the queue
}

// Limiter decides which requests run at one target.
type Limiter struct {
	slots       int
	running     int
	inFlight    [loadshed.Priorities]int // requests that run or wait, by priority
	waiting     queue
	sequence    uint64
	meanSeconds float64 // moving average of the time that a request runs for
}

// New returns a limiter for a target with the number of slots.
func New(slots int) *Limiter { return &Limiter{slots: slots, meanSeconds: initialMean.Seconds()} }

// SetSlots changes the number of slots.
func (l *Limiter) SetSlots(slots int) { l.slots = slots }

// Limit returns the concurrency limit. A target that reports no slots isn't limited.
func (l *Limiter) Limit() int {
	if l.slots <= 0 {
		return 1 << 30
	}
	return max(int(float64(l.slots)*usableShare), 1)
}

// Running returns how many requests run.
func (l *Limiter) Running() int { return l.running }

// Waiting returns how many requests wait.
func (l *Limiter) Waiting() int { return len(l.waiting) }

// Decision states what to do with a request that arrives.
type Decision uint8

const (
	// Run means that the request may run now.
	Run Decision = iota
	// Wait means that the request is queued until Next returns it.
	Wait
	// Refuse means that the request would miss its deadline and must not run.
	Refuse
)

// Arrive decides on a request and records that it runs or waits, unless it is refused.
func (l *Limiter) Arrive(now time.Time, item *Item) Decision {
	item.index = -1
	if l.running < l.Limit() && len(l.waiting) == 0 {
		l.running++
		l.inFlight[loadshed.ClampPriority(item.Priority)]++
		return Run
	}
	ahead := 0
	for _, other := range l.waiting {
		if other.Priority <= item.Priority {
			ahead++
		}
	}
	wait := float64(ahead+1) * l.meanSeconds / float64(l.Limit())
	if now.Add(time.Duration((wait + l.meanSeconds) * float64(time.Second))).After(item.Deadline) {
		return Refuse
	}
	l.sequence++
	item.sequence = l.sequence
	heap.Push(&l.waiting, item)
	l.inFlight[loadshed.ClampPriority(item.Priority)]++
	return Wait
}

// Remove removes a request from the queue. It reports whether the request was waiting.
func (l *Limiter) Remove(item *Item) bool {
	if item.index < 0 {
		return false
	}
	heap.Remove(&l.waiting, item.index)
	l.inFlight[loadshed.ClampPriority(item.Priority)]--
	return true
}

// Done frees the slot of a request that has ended, and records how long it ran.
func (l *Limiter) Done(item *Item, took time.Duration) {
	l.Release(item)
	l.meanSeconds += timeGain * (took.Seconds() - l.meanSeconds)
}

// Release frees the slot of a request that doesn't run after all.
func (l *Limiter) Release(item *Item) {
	l.running--
	l.inFlight[loadshed.ClampPriority(item.Priority)]--
}

// Pressures returns the target's pressures by priority.
func (l *Limiter) Pressures() loadshed.Pressures { return loadshed.PressuresOf(l.inFlight, l.Limit()) }

// Next removes the first request from the queue and returns it if it may run now. Otherwise
// it returns nil.
func (l *Limiter) Next() *Item {
	if len(l.waiting) == 0 || l.running >= l.Limit() {
		return nil
	}
	l.running++
	return heap.Pop(&l.waiting).(*Item)
}

// queue is a heap of requests, by priority and arrival.
type queue []*Item

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if q[i].Priority != q[j].Priority {
		return q[i].Priority < q[j].Priority
	}
	return q[i].sequence < q[j].sequence
}
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}
func (q *queue) Push(x any) {
	item := x.(*Item)
	item.index = len(*q)
	*q = append(*q, item)
}
func (q *queue) Pop() any {
	last := len(*q) - 1
	item := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	item.index = -1
	return item
}
