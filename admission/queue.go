package admission

import (
	"time"

	"github.com/gypsumford/gypsumford/call"
)

// Lanes of a queue.
const (
	laneShort = 0
	laneLong  = 1
)

// Queue decides when the calls for one target start, and which are refused.
type Queue struct {
	cfg          Config
	limit        limiter
	controller   levelController
	callers      callerTable
	serviceTimes serviceTimes

	tickets []ticket
	free    []int32
	index   map[TicketID]int32
	lanes   [2]lane

	waiting     classCounts
	running     int
	longRunning int
	draining    bool

	created         time.Time
	lastTick        time.Time
	lastBusy        time.Time
	busySeconds     float64 // running time summed over calls since the last tick
	completed       int     // calls completed since the last tick
	refusedOverload bool    // waiting calls were refused for overload since the last tick
	stats           Stats
}

// NewQueue returns an empty queue for a target that runs no calls yet.
func NewQueue(cfg Config, now time.Time) *Queue {
	cfg = cfg.withDefaults()
	return &Queue{
		cfg:          cfg,
		limit:        newLimiter(cfg.Slots),
		callers:      newCallerTable(cfg.Callers),
		serviceTimes: newServiceTimes(),
		index:        make(map[TicketID]int32),
		created:      now,
		lastTick:     now,
		lastBusy:     now,
	}
}

// Arrive adds a new call. It appends to out the verdict on the call, unless the
// call waits, and the verdicts on other calls that start or are refused with it. An
// id that is still in use is ignored.
func (q *Queue) Arrive(now time.Time, id TicketID, a Arrival, out []Verdict) []Verdict {
	if _, known := q.index[id]; known {
		q.stats.Duplicates++
		return out
	}
	q.stats.Arrived++
	caller := q.callers.find(a.Caller)
	caller.recordArrival(a.Priority)
	if q.draining {
		return q.refuse(now, id, a.Priority, call.ReasonDraining, out)
	}
	operation := q.serviceTimes.find(a.Operation)
	estimate := &q.serviceTimes.entries[operation]
	latest := latestStart(a.Deadline, estimate)
	if tooLate(now, latest) {
		return q.refuse(now, id, a.Priority, call.ReasonDeadline, out)
	}
	index := q.store(ticket{
		id: id, priority: a.Priority, caller: caller,
		startKey: q.startKey(now, a.Priority), refusalKey: caller.refusalKey(a.Priority),
		operation: operation, state: ticketQueued,
		long:    q.serviceTimes.isLong(operation, q.cfg.LongFactor),
		arrived: now, latestStart: latest,
		maxWait: max(q.cfg.MaxWait, estimate.allowedWait()),
	})
	if q.startsAtOnce(index) {
		return q.start(now, index, out)
	}
	q.enqueue(index)
	out = q.startReady(now, out)
	return q.displace(now, out)
}

// startsAtOnce reports whether a new call may start without waiting: a slot that it
// may take is free, and no other call waits.
func (q *Queue) startsAtOnce(index int32) bool {
	if q.queued() > 0 || q.running >= q.limit.limit() {
		return false
	}
	return !q.tickets[index].long || q.longRunning < q.longLimit()
}

// startKey returns the key by which waiting calls start, lowest first: the time of
// arrival in nanoseconds, plus classLead for each more important class. So important
// calls go first, but no call that the level admits is passed over for long.
func (q *Queue) startKey(now time.Time, p call.Priority) int64 {
	return int64(now.Sub(q.created)) + int64(p.Class())*int64(classLead)
}

// latestStart returns the time by which a call must start to meet its deadline, or
// the zero time if it has none.
func latestStart(deadline time.Time, estimate *serviceTime) time.Time {
	if deadline.IsZero() {
		return deadline
	}
	return deadline.Add(-estimate.lowEstimate())
}

// tooLate reports whether the latest start has passed.
func tooLate(now, latest time.Time) bool { return !latest.IsZero() && latest.Before(now) }

// Finish records that a running call ended, and appends to out the verdicts on
// the calls that may start or have become too late.
func (q *Queue) Finish(now time.Time, id TicketID, r Result, out []Verdict) []Verdict {
	index, known := q.index[id]
	if !known || q.tickets[index].state != ticketRunning {
		return out
	}
	t := &q.tickets[index]
	q.addBusy(now)
	if r == Shed {
		q.limit.onShed(now)
	}
	q.recordResult(now, t, r)
	q.running--
	if t.long {
		q.longRunning--
	}
	q.release(index)
	return q.startReady(now, out)
}

// recordResult updates the counts and the service time with a call that ended.
func (q *Queue) recordResult(now time.Time, t *ticket, r Result) {
	spent := now.Sub(t.started)
	switch r {
	case Completed:
		q.completed++
		q.limit.onCompleted(now)
		q.stats.Completed++
		q.serviceTimes.observe(now, t.operation, spent)
	case Shed:
		q.stats.Shed++
	case Failed:
		q.stats.Failed++
	case Abandoned:
		q.stats.Abandoned++
		// The call would have run longer, so its time can only raise the estimate.
		if spent.Seconds() > q.serviceTimes.entries[t.operation].mean {
			q.serviceTimes.observe(now, t.operation, spent)
		}
	}
}

// Cancel removes a waiting call whose caller disconnected or cancelled; there is no
// verdict on it. A running call stays until Finish.
func (q *Queue) Cancel(now time.Time, id TicketID, out []Verdict) []Verdict {
	index, known := q.index[id]
	if !known || q.tickets[index].state != ticketQueued {
		return out
	}
	q.stats.Cancelled++
	q.dequeue(index)
	q.release(index)
	return out
}

// Tick refuses calls that have waited too long, and updates the concurrency limit
// and the levels. It must be called every TickInterval.
func (q *Queue) Tick(now time.Time, out []Verdict) []Verdict {
	elapsed := now.Sub(q.lastTick)
	if elapsed <= 0 {
		return out
	}
	q.lastTick = now
	q.addBusy(now)
	out = q.expire(now, out)
	q.markLong(now)
	q.serviceTimes.decay(now)
	q.limit.tick(now, elapsed, q.completed, q.busySeconds)
	q.controller.observe(elapsed, q.completed, q.busySeconds)
	q.controller.observeIdle(elapsed, q.busySeconds, q.limit.limit(), q.queued())
	q.controller.updateQueueGoal(&q.cfg, q.limit.limit())
	for _, caller := range q.callers.entries {
		for class := range caller.flows {
			caller.flows[class].tick(elapsed.Seconds(), q.controller.slotsIdle())
		}
	}
	q.controller.updateLevels(now, &q.cfg, q.callers.entries, q.limit.limit(), &q.waiting, q.refusedOverload)
	q.completed = 0
	q.busySeconds = 0
	q.refusedOverload = false
	out = q.startReady(now, out)
	return q.displace(now, out)
}

// Level returns the level to report in the replies to calls of this caller.
func (q *Queue) Level(caller string) call.Level {
	return q.callers.find(caller).level
}

// SetConfig applies a new configuration. Waiting and running calls stay.
func (q *Queue) SetConfig(cfg Config) {
	q.cfg = cfg.withDefaults()
	q.limit.setSlots(q.cfg.Slots)
	q.callers.setShares(q.cfg.Callers)
}

// SetDraining starts or ends draining. While the queue drains it refuses waiting
// and new calls; running calls continue.
func (q *Queue) SetDraining(draining bool, out []Verdict) []Verdict {
	q.draining = draining
	if !draining {
		return out
	}
	for lane := range q.lanes {
		for q.lanes[lane].len() > 0 {
			index := q.lanes[lane].top(orderStart)
			out = q.drop(q.lastTick, index, call.ReasonDraining, out)
		}
	}
	return out
}

func (q *Queue) queued() int { return q.lanes[laneShort].len() + q.lanes[laneLong].len() }

func (q *Queue) laneOf(index int32) *lane {
	if q.tickets[index].long {
		return &q.lanes[laneLong]
	}
	return &q.lanes[laneShort]
}

// enqueue adds a call to its lane and to the counts of waiting calls.
func (q *Queue) enqueue(index int32) {
	q.laneOf(index).push(q.tickets, index)
	q.waiting[classIndex(q.tickets[index].priority)]++
}

// dequeue removes a call from its lane and from the counts of waiting calls.
func (q *Queue) dequeue(index int32) {
	q.laneOf(index).remove(q.tickets, index)
	q.waiting[classIndex(q.tickets[index].priority)]--
}

// maxQueueLength returns how many calls may wait: several times the queue length that
// the level controller aims at, so that the controller has time to act.
func (q *Queue) maxQueueLength() int {
	wanted := max(3*q.controller.queueGoal, float64(q.limit.limit()), 8)
	return min(int(wanted), MaxQueued)
}

// addBusy adds the time of all running calls since the last update.
func (q *Queue) addBusy(now time.Time) {
	if now.After(q.lastBusy) {
		q.busySeconds += now.Sub(q.lastBusy).Seconds() * float64(q.running)
		q.lastBusy = now
	}
}

// startReady starts waiting calls while slots are free for them. It refuses those
// that can no longer meet their deadline.
func (q *Queue) startReady(now time.Time, out []Verdict) []Verdict {
	for q.running < q.limit.limit() {
		index, ok := q.nextToStart()
		if !ok {
			return out
		}
		if tooLate(now, q.tickets[index].latestStart) {
			out = q.drop(now, index, call.ReasonDeadline, out)
			continue
		}
		q.dequeue(index)
		out = q.start(now, index, out)
	}
	return out
}

// nextToStart returns the first waiting call, in order of start, that may take a
// free slot.
func (q *Queue) nextToStart() (int32, bool) {
	short, long := &q.lanes[laneShort], &q.lanes[laneLong]
	longAllowed := long.len() > 0 && q.longRunning < q.longLimit()
	switch {
	case short.len() == 0 && !longAllowed:
		return 0, false
	case !longAllowed:
		return short.top(orderStart), true
	case short.len() == 0:
		return long.top(orderStart), true
	}
	a, b := short.top(orderStart), long.top(orderStart)
	if before(q.tickets, orderStart, a, b) {
		return a, true
	}
	return b, true
}

// longLimit returns the number of slots that long calls may take, at least 1.
func (q *Queue) longLimit() int {
	limit := q.limit.limit()
	return max(1, limit-limit*q.cfg.ReservedPercent/100)
}

// start records the call as running and appends its verdict. The call must not be
// in a lane.
func (q *Queue) start(now time.Time, index int32, out []Verdict) []Verdict {
	t := &q.tickets[index]
	q.addBusy(now)
	t.state = ticketRunning
	t.started = now
	q.running++
	if t.long {
		q.longRunning++
	}
	q.stats.Started++
	return append(out, Verdict{Ticket: t.id, Kind: Start})
}

// displace refuses the least important waiting calls until the others fit.
func (q *Queue) displace(now time.Time, out []Verdict) []Verdict {
	for q.queued() > q.maxQueueLength() {
		q.refusedOverload = true
		out = q.drop(now, q.nextToRefuse(), call.ReasonOverload, out)
	}
	return out
}

// nextToRefuse returns the least important waiting call; there must be one.
func (q *Queue) nextToRefuse() int32 {
	short, long := &q.lanes[laneShort], &q.lanes[laneLong]
	if short.len() == 0 {
		return long.top(orderRefusal)
	}
	if long.len() == 0 {
		return short.top(orderRefusal)
	}
	a, b := short.top(orderRefusal), long.top(orderRefusal)
	if before(q.tickets, orderRefusal, a, b) {
		return a
	}
	return b
}

// expire refuses the waiting calls that can no longer meet their deadline or have
// waited too long.
func (q *Queue) expire(now time.Time, out []Verdict) []Verdict {
	for lane := range q.lanes {
		heap := q.lanes[lane].heaps[orderStart]
		// A removal may move an unchecked call to an index already visited; the next tick checks it.
		for at := len(heap) - 1; at >= 0; at-- {
			index := heap[at]
			if reason := q.tickets[index].expiryReason(now); reason != call.NoReason {
				out = q.drop(now, index, reason, out)
			}
		}
	}
	return out
}

// markLong marks running calls as long once they exceed LongFactor times the
// median service time.
func (q *Queue) markLong(now time.Time) {
	bound := q.cfg.LongFactor * q.serviceTimes.median
	if bound == 0 {
		return
	}
	for i := range q.tickets {
		t := &q.tickets[i]
		if t.state == ticketRunning && !t.long && now.Sub(t.started).Seconds() > bound {
			t.long = true
			q.longRunning++
		}
	}
}

// drop refuses a waiting call.
func (q *Queue) drop(now time.Time, index int32, reason call.Reason, out []Verdict) []Verdict {
	t := q.tickets[index]
	q.dequeue(index)
	q.release(index)
	if reason == call.ReasonOverload {
		q.refusedOverload = true
	}
	return q.refuse(now, t.id, t.priority, reason, out)
}

// refuse counts a refusal and appends its verdict.
func (q *Queue) refuse(now time.Time, id TicketID, p call.Priority, reason call.Reason, out []Verdict) []Verdict {
	q.stats.count(reason)
	var overloadedFor time.Duration
	if q.controller.active {
		overloadedFor = now.Sub(q.controller.activeSince)
	}
	return append(out, Verdict{Ticket: id, Kind: Refuse, Reason: reason, RetryAfter: retryAfter(overloadedFor, p)})
}

// store adds a ticket and returns its index.
func (q *Queue) store(t ticket) int32 {
	var index int32
	if last := len(q.free) - 1; last >= 0 {
		index = q.free[last]
		q.free = q.free[:last]
		q.tickets[index] = t
	} else {
		index = int32(len(q.tickets))
		q.tickets = append(q.tickets, t)
	}
	q.index[t.id] = index
	return index
}

// release removes a ticket and frees its index.
func (q *Queue) release(index int32) {
	delete(q.index, q.tickets[index].id)
	q.tickets[index] = ticket{}
	q.free = append(q.free, index)
}
