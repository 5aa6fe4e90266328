// Package limiter limits the number of requests that run at a target at the same time, and
// their rate, and queues further ones at the target's node. Inputs are the number of the
// target's slots, the rate limit that the target states, the priorities and deadlines of
// requests, and the time that they run for.
//
// A target that runs as many requests as it has slots slows down, and its own queue is in
// order of arrival. So the node sends it requests only for a fraction of the slots, the
// concurrency limit, and queues the others by priority and, within a priority, in turns by
// client account, or by arrival where there are none.
// Requests that would miss their deadline in the queue are refused at once, as not run.
//
// A target in need states how many requests per second it takes from all nodes together.
// All of its requests pass the node beside it, so that node alone keeps the limit, with a
// token bucket. The queue for the rate is short: what doesn't fit is refused, the least
// important first, and its sender tries another target.
//
// A node that restarts doesn't know what its target stated to the earlier process. Until
// the target's first response it therefore starts few requests at once, and more with time.
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
	// slowStartRequests is the concurrency limit at the begin of a slow start. It doubles
	// every slowStartDoublingTime, so that a target that responds late isn't left idle.
	slowStartRequests     = 4
	slowStartDoublingTime = 250 * time.Millisecond
)

// Item is a request in the limiter.
type Item struct {
	Priority int // 0 is the most important
	Deadline time.Time
	Account  string  // of the client, "" without one
	Weight   float64 // of the account
	tag      float64 // order among the requests of the priority
	sequence uint64  // order of arrival in the queue
	index    int     // in the heap, -1 if not in the queue
}

// Limiter decides which requests run at one target.
type Limiter struct {
	slots       int
	running     int
	inFlight    [loadshed.Priorities]int // requests that run or wait, by priority
	waiting     queue
	order       [loadshed.Priorities]fairOrder
	sequence    uint64
	meanSeconds float64 // moving average of the time that a request runs for
	rate        rateLimit
	slowStart   time.Time // when the slow start began; zero if there is none
}

// New returns a limiter for a target with the number of slots.
func New(slots int) *Limiter { return &Limiter{slots: slots, meanSeconds: initialMean.Seconds()} }

// SetSlots changes the number of slots.
func (l *Limiter) SetSlots(slots int) { l.slots = slots }

// SetRateLimit changes the rate limit, in requests per second; 0 means that there is none.
func (l *Limiter) SetRateLimit(now time.Time, rate float64) {
	if rate != l.rate.rate {
		l.rate.set(now, rate)
	}
}

// StartSlowly limits the concurrency to few requests, and more with time, until
// EndSlowStart.
func (l *Limiter) StartSlowly(now time.Time) { l.slowStart = now }

// EndSlowStart ends a slow start.
func (l *Limiter) EndSlowStart() { l.slowStart = time.Time{} }

// startLimit returns the number of requests that may run now, which a slow start restricts.
func (l *Limiter) startLimit(now time.Time) int {
	if l.slowStart.IsZero() {
		return l.Limit()
	}
	const maxDoublings = 16
	doublings := min(max(now.Sub(l.slowStart)/slowStartDoublingTime, 0), maxDoublings)
	return min(slowStartRequests<<doublings, l.Limit())
}

// mayStart reports whether one more request may run now.
func (l *Limiter) mayStart(now time.Time) bool {
	return l.running < l.startLimit(now) && l.rate.timeUntilFree(now) == 0
}

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
	// RefuseRate means that the target's rate limit leaves no room for the request, which
	// must not run.
	RefuseRate
)

// Arrive decides on a request and records that it runs or waits, unless it is refused.
func (l *Limiter) Arrive(now time.Time, item *Item) Decision {
	item.index = -1
	if len(l.waiting) == 0 && l.mayStart(now) {
		l.running++
		l.rate.start(item.Priority)
		l.inFlight[loadshed.ClampPriority(item.Priority)]++
		return Run
	}
	item.sequence = l.sequence + 1
	order := &l.order[loadshed.ClampPriority(item.Priority)]
	item.tag = order.next(item)
	ahead := 0
	for _, other := range l.waiting {
		if before(other, item) {
			ahead++
		}
	}
	if l.rate.limited() && ahead >= l.rate.maxWaiting() {
		l.rate.refuse(item.Priority)
		return RefuseRate
	}
	wait := float64(ahead+1) * l.meanSeconds / float64(l.Limit())
	if l.rate.limited() {
		wait = max(wait, l.rate.timeUntilFree(now).Seconds()+float64(ahead)/l.rate.rate)
	}
	if now.Add(time.Duration((wait + l.meanSeconds) * float64(time.Second))).After(item.Deadline) {
		return Refuse
	}
	l.sequence++
	order.joined(item)
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
	l.order[loadshed.ClampPriority(item.Priority)].removed(item, l.waiting)
	l.inFlight[loadshed.ClampPriority(item.Priority)]--
	return true
}

// Done frees the slot of a request that has ended, and records how long it ran.
func (l *Limiter) Done(item *Item, took time.Duration) {
	l.free(item)
	l.meanSeconds += timeGain * (took.Seconds() - l.meanSeconds)
}

// Release frees the slot of a request that doesn't run after all, and its part of the rate.
func (l *Limiter) Release(item *Item) {
	l.rate.cancel(item.Priority)
	l.free(item)
}

func (l *Limiter) free(item *Item) {
	l.running--
	l.inFlight[loadshed.ClampPriority(item.Priority)]--
}

// Pressures returns the target's pressures by priority: those of the concurrency limit or
// of the rate limit, whichever are higher.
func (l *Limiter) Pressures(now time.Time) loadshed.Pressures {
	pressures := loadshed.PressuresOf(l.inFlight, l.Limit())
	for p, byRate := range l.rate.pressures(now, l.waiting) {
		pressures[p] = max(pressures[p], byRate)
	}
	return pressures
}

// RateUse returns how much of the rate limit is in use, above 1 while requests wait for it.
// It is 0 if there is none.
func (l *Limiter) RateUse(now time.Time) float64 {
	return l.rate.pressures(now, l.waiting)[loadshed.Priorities-1]
}

// Next removes the first request from the queue and returns it if it may run now. Otherwise
// it returns nil.
func (l *Limiter) Next(now time.Time) *Item {
	if len(l.waiting) == 0 || !l.mayStart(now) {
		return nil
	}
	l.running++
	item := heap.Pop(&l.waiting).(*Item)
	l.order[loadshed.ClampPriority(item.Priority)].started(item)
	l.rate.start(item.Priority)
	return item
}

// Evict removes the least important request from the queue, and of those the latest, if
// more requests wait than the rate limit allows. Otherwise it returns nil.
func (l *Limiter) Evict() *Item {
	if !l.rate.limited() || len(l.waiting) <= l.rate.maxWaiting() {
		return nil
	}
	last := l.waiting[0]
	for i, item := range l.waiting {
		if l.waiting.Less(last.index, i) {
			last = item
		}
	}
	l.Remove(last)
	l.rate.refuse(last.Priority)
	return last
}

// NextIn returns the time after which Next may return a request although none ends, and
// false if there is no such time.
func (l *Limiter) NextIn(now time.Time) (time.Duration, bool) {
	if len(l.waiting) == 0 {
		return 0, false
	}
	wait := l.rate.timeUntilFree(now)
	if !l.slowStart.IsZero() && l.running >= l.startLimit(now) {
		passed := now.Sub(l.slowStart) % slowStartDoublingTime
		wait = max(wait, slowStartDoublingTime-passed)
	}
	return wait, wait > 0
}

// before reports whether a request is earlier in the queue than another one.
func before(a, b *Item) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if a.tag != b.tag {
		return a.tag < b.tag
	}
	return a.sequence < b.sequence
}

// queue is a heap of requests.
type queue []*Item

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return before(q[i], q[j]) }
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
