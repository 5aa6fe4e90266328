// Package limiter holds back requests for a target that is full.
//
// A target that runs as many requests as it has slots slows down, and one that
// queues them does so in the order of arrival. So its node hands over no more
// than a share of the slots and keeps the rest in a queue of its own: the more
// important first and, among equals, the one that came first. Requests that
// would miss their deadline in the queue are refused at once as not run.
package limiter

import (
	"container/heap"
	"time"

	"github.com/gypsumford/gypsumford/loadshed"
)

const (
	// fullShare of the slots is used at most: beyond it targets slow down.
	fullShare = 0.95
	// timeGain is the weight of one request in the mean time that requests take.
	timeGain = 0.05
	// initialTime stands for the mean until a request has ended.
	initialTime = 50 * time.Millisecond
)

// Item is a request that wants to run.
type Item struct {
	Priority int // 0 is the most important
	Deadline time.Time
	sequence uint64
	index    int // in the heap, -1 once it has left
}

// Limiter decides which requests run.
type Limiter struct {
	slots    int
	running  int
	held     [loadshed.Priorities]int // that run or wait, by priority
	waiting  queue
	sequence uint64
	mean     float64 // seconds that a request takes
}

// New returns a limiter of a target with the number of slots.
func New(slots int) *Limiter { return &Limiter{slots: slots, mean: initialTime.Seconds()} }

// SetSlots changes the number of slots.
func (l *Limiter) SetSlots(slots int) { l.slots = slots }

// Limit is how many requests may run at once. A target that states no slots is
// not limited.
func (l *Limiter) Limit() int {
	if l.slots <= 0 {
		return 1 << 30
	}
	return max(int(float64(l.slots)*fullShare), 1)
}

// Running and Waiting return how many requests run and wait.
func (l *Limiter) Running() int { return l.running }

// Waiting returns how many requests wait.
func (l *Limiter) Waiting() int { return len(l.waiting) }

// Verdict is what becomes of a request that arrives.
type Verdict uint8

const (
	// Run it now.
	Run Verdict = iota
	// Wait until Next returns it.
	Wait
	// Refuse it: it would miss its deadline.
	Refuse
)

// Arrive takes in a request.
func (l *Limiter) Arrive(now time.Time, item *Item) Verdict {
	item.index = -1
	if l.running < l.Limit() && len(l.waiting) == 0 {
		l.running++
		l.held[loadshed.ClampPriority(item.Priority)]++
		return Run
	}
	ahead := 0
	for _, other := range l.waiting {
		if other.Priority <= item.Priority {
			ahead++
		}
	}
	wait := float64(ahead+1) * l.mean / float64(l.Limit())
	if now.Add(time.Duration((wait + l.mean) * float64(time.Second))).After(item.Deadline) {
		return Refuse
	}
	l.sequence++
	item.sequence = l.sequence
	heap.Push(&l.waiting, item)
	l.held[loadshed.ClampPriority(item.Priority)]++
	return Wait
}

// Leave takes a waiting request out. It reports whether the request was waiting.
func (l *Limiter) Leave(item *Item) bool {
	if item.index < 0 {
		return false
	}
	heap.Remove(&l.waiting, item.index)
	l.held[loadshed.ClampPriority(item.Priority)]--
	return true
}

// Done notes that a request has ended after it ran for the time.
func (l *Limiter) Done(item *Item, took time.Duration) {
	l.Cancel(item)
	l.mean += timeGain * (took.Seconds() - l.mean)
}

// Cancel notes that a request gave up its turn before it ran.
func (l *Limiter) Cancel(item *Item) {
	l.running--
	l.held[loadshed.ClampPriority(item.Priority)]--
}

// Pressures returns how full the target is, by priority.
func (l *Limiter) Pressures() loadshed.Pressures { return loadshed.PressuresOf(l.held, l.Limit()) }

// Next returns a waiting request that may run now, or nil.
func (l *Limiter) Next() *Item {
	if len(l.waiting) == 0 || l.running >= l.Limit() {
		return nil
	}
	l.running++
	return heap.Pop(&l.waiting).(*Item)
}

// queue orders requests by priority and arrival.
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
