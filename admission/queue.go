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

// Queue decides on the calls of one target.
type Queue struct {
	cfg        Config
	limit      limiter
	control    control
	callers    callers
	operations operations

	tickets []ticket
	free    []int32
	index   map[TicketID]int32
	lanes   [2]lane

	waiting     classCounts // by class
	running     int
	longRunning int
	draining    bool

	created   time.Time
	lastTick  time.Time
	lastBusy  time.Time
	busy      float64 // seconds of running calls since the last tick
	completed int     // calls completed since the last tick
	pressed   bool    // calls were refused for room since the last tick
	stats     Stats
}

// NewQueue returns the queue of a target that runs nothing yet.
func NewQueue(cfg Config, now time.Time) *Queue {
	cfg = cfg.withDefaults()
	return &Queue{
		cfg:        cfg,
		limit:      newLimiter(cfg.Slots),
		callers:    newCallers(cfg.Callers),
		operations: newOperations(),
		index:      make(map[TicketID]int32),
		created:    now,
		lastTick:   now,
		lastBusy:   now,
	}
}

// Arrive decides on a new call. It appends the verdict on it, unless the call
// waits, and the verdict on a call that it displaced.
func (q *Queue) Arrive(now time.Time, id TicketID, a Arrival, out []Verdict) []Verdict {
	if _, known := q.index[id]; known {
		q.stats.Duplicates++
		return out
	}
	q.stats.Arrived++
	caller := q.callers.find(a.Caller)
	caller.arrive(a.Priority)
	if q.draining {
		return q.refuse(now, id, a.Priority, call.ReasonDraining, out)
	}
	operation := q.operations.find(a.Operation)
	learned := &q.operations.list[operation]
	latest := latestStart(a.Deadline, learned)
	if late(now, latest) {
		return q.refuse(now, id, a.Priority, call.ReasonDeadline, out)
	}
	index := q.take(ticket{
		id: id, priority: a.Priority, caller: caller,
		start: q.startOrder(now, a.Priority), refuse: caller.refusalOrder(a.Priority),
		operation: operation, state: ticketQueued,
		long:    q.operations.long(operation, q.cfg.LongFactor),
		arrived: now, latest: latest,
		patience: max(q.cfg.MaxWait, learned.usualWait()),
	})
	if q.startsAtOnce(index) {
		return q.start(now, index, out)
	}
	q.enqueue(index)
	out = q.startReady(now, out)
	return q.displace(now, out)
}

// startsAtOnce reports whether a new call finds a free slot and nobody waiting.
func (q *Queue) startsAtOnce(index int32) bool {
	if q.queued() > 0 || q.running >= q.limit.limit() {
		return false
	}
	return !q.tickets[index].long || q.longRunning < q.longLimit()
}

// startOrder returns the call's place among the waiting calls: its time of
// arrival, put back by its class. So important calls go first, but no call that
// the level admits is passed over for long.
func (q *Queue) startOrder(now time.Time, p call.Priority) int64 {
	return int64(now.Sub(q.created)) + int64(p.Class())*int64(classLead)
}

// latestStart returns when a call must have been started to meet its deadline,
// or the zero time if it has none.
func latestStart(deadline time.Time, learned *operation) time.Time {
	if deadline.IsZero() {
		return deadline
	}
	return deadline.Add(-learned.least())
}

// late reports whether the latest start has passed.
func late(now, latest time.Time) bool { return !latest.IsZero() && latest.Before(now) }

// Finish takes note that a started call ended, and appends the verdicts on the
// calls that its slot lets start.
func (q *Queue) Finish(now time.Time, id TicketID, r Result, out []Verdict) []Verdict {
	index, known := q.index[id]
	if !known || q.tickets[index].state != ticketRunning {
		return out
	}
	t := &q.tickets[index]
	q.addBusy(now)
	if r == Shed {
		q.limit.shed(now)
	}
	q.learn(now, t, r)
	q.running--
	if t.long {
		q.longRunning--
	}
	q.release(index)
	return q.startReady(now, out)
}

// learn takes the service time of a call that ended.
func (q *Queue) learn(now time.Time, t *ticket, r Result) {
	spent := now.Sub(t.started)
	switch r {
	case Completed:
		q.completed++
		q.limit.completed(now)
		q.stats.Completed++
		q.operations.observe(now, t.operation, spent)
	case Shed:
		q.stats.Shed++
	case Failed:
		q.stats.Failed++
	case Abandoned:
		q.stats.Abandoned++
		// The call would have run for longer, so it counts only as a rise.
		if spent.Seconds() > q.operations.list[t.operation].mean {
			q.operations.observe(now, t.operation, spent)
		}
	}
}

// Cancel removes a waiting call whose caller went away; there is no verdict on
// it. A running call stays until Finish.
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

// Tick refuses what has waited too long and moves the limit and the levels. It
// is to be called every TickInterval.
func (q *Queue) Tick(now time.Time, out []Verdict) []Verdict {
	elapsed := now.Sub(q.lastTick)
	if elapsed <= 0 {
		return out
	}
	q.lastTick = now
	q.addBusy(now)
	out = q.expire(now, out)
	q.markLong(now)
	q.operations.fade(now)
	q.limit.tick(now, elapsed, q.completed, q.busy)
	q.control.observe(elapsed, q.completed, q.busy)
	q.control.observeIdle(elapsed, q.busy, q.limit.limit(), q.queued())
	q.control.aim(&q.cfg, q.limit.limit())
	for _, caller := range q.callers.list {
		for class := range caller.flows {
			caller.flows[class].tick(elapsed.Seconds(), q.control.idling())
		}
	}
	q.control.levels(now, &q.cfg, q.callers.list, q.limit.limit(), &q.waiting, q.pressed)
	q.completed = 0
	q.busy = 0
	q.pressed = false
	out = q.startReady(now, out)
	return q.displace(now, out)
}

// Level returns the level that the answers to this caller carry.
func (q *Queue) Level(caller string) call.Level {
	return q.callers.find(caller).level
}

// SetConfig puts a new configuration in force; waiting and running calls stay.
func (q *Queue) SetConfig(cfg Config) {
	q.cfg = cfg.withDefaults()
	q.limit.setSlots(q.cfg.Slots)
	q.callers.setShares(q.cfg.Callers)
}

// SetDraining refuses the waiting and all later calls while draining is true.
// Running calls go on.
func (q *Queue) SetDraining(draining bool, out []Verdict) []Verdict {
	q.draining = draining
	if !draining {
		return out
	}
	for lane := range q.lanes {
		for q.lanes[lane].len() > 0 {
			index := q.lanes[lane].top(sideBest)
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

// enqueue and dequeue keep the lanes and the counts of waiting calls in step.
func (q *Queue) enqueue(index int32) {
	q.laneOf(index).push(q.tickets, index)
	q.waiting[classOf(q.tickets[index].priority)]++
}

func (q *Queue) dequeue(index int32) {
	q.laneOf(index).remove(q.tickets, index)
	q.waiting[classOf(q.tickets[index].priority)]--
}

// capacity returns how many calls may wait: several times the queue that the
// level control aims at, so that it has time to act.
func (q *Queue) capacity() int {
	wanted := max(3*q.control.goal, float64(q.limit.limit()), 8)
	return min(int(wanted), MaxQueued)
}

// addBusy adds the running time of all running calls up to now.
func (q *Queue) addBusy(now time.Time) {
	if now.After(q.lastBusy) {
		q.busy += now.Sub(q.lastBusy).Seconds() * float64(q.running)
		q.lastBusy = now
	}
}

// startReady starts waiting calls while there are slots for them.
func (q *Queue) startReady(now time.Time, out []Verdict) []Verdict {
	for q.running < q.limit.limit() {
		index, ok := q.next()
		if !ok {
			return out
		}
		if late(now, q.tickets[index].latest) {
			out = q.drop(now, index, call.ReasonDeadline, out)
			continue
		}
		q.dequeue(index)
		out = q.start(now, index, out)
	}
	return out
}

// next returns the most important waiting call that may take a free slot.
func (q *Queue) next() (int32, bool) {
	short, long := &q.lanes[laneShort], &q.lanes[laneLong]
	longAllowed := long.len() > 0 && q.longRunning < q.longLimit()
	switch {
	case short.len() == 0 && !longAllowed:
		return 0, false
	case !longAllowed:
		return short.top(sideBest), true
	case short.len() == 0:
		return long.top(sideBest), true
	}
	a, b := short.top(sideBest), long.top(sideBest)
	if before(q.tickets, sideBest, a, b) {
		return a, true
	}
	return b, true
}

// longLimit returns the slots that long calls may take, at least 1.
func (q *Queue) longLimit() int {
	limit := q.limit.limit()
	return max(1, limit-limit*q.cfg.KeptPercent/100)
}

// start hands a call that is in no lane to the target.
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

// displace refuses the least important waiting calls until the rest fits.
func (q *Queue) displace(now time.Time, out []Verdict) []Verdict {
	for q.queued() > q.capacity() {
		q.pressed = true
		out = q.drop(now, q.worst(), call.ReasonOverload, out)
	}
	return out
}

// worst returns the least important waiting call; there must be one.
func (q *Queue) worst() int32 {
	short, long := &q.lanes[laneShort], &q.lanes[laneLong]
	if short.len() == 0 {
		return long.top(sideWorst)
	}
	if long.len() == 0 {
		return short.top(sideWorst)
	}
	a, b := short.top(sideWorst), long.top(sideWorst)
	if before(q.tickets, sideWorst, a, b) {
		return a
	}
	return b
}

// expire refuses the waiting calls that are late or have waited too long.
func (q *Queue) expire(now time.Time, out []Verdict) []Verdict {
	for lane := range q.lanes {
		heap := q.lanes[lane].heaps[sideBest]
		// A removal may move an unchecked call behind at; the next tick finds it.
		for at := len(heap) - 1; at >= 0; at-- {
			index := heap[at]
			if reason := q.tickets[index].lapsed(now); reason != call.NoReason {
				out = q.drop(now, index, reason, out)
			}
		}
	}
	return out
}

// markLong counts running calls that have outrun the usual service time as long.
func (q *Queue) markLong(now time.Time) {
	bound := q.cfg.LongFactor * q.operations.usual
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
		q.pressed = true
	}
	return q.refuse(now, t.id, t.priority, reason, out)
}

func (q *Queue) refuse(now time.Time, id TicketID, p call.Priority, reason call.Reason, out []Verdict) []Verdict {
	q.stats.count(reason)
	var lasted time.Duration
	if q.control.active {
		lasted = now.Sub(q.control.since)
	}
	return append(out, Verdict{Ticket: id, Kind: Refuse, Reason: reason, RetryAfter: retryAfter(lasted, p)})
}

// take stores a ticket and returns its index.
func (q *Queue) take(t ticket) int32 {
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

// release forgets a ticket.
func (q *Queue) release(index int32) {
	delete(q.index, q.tickets[index].id)
	q.tickets[index] = ticket{}
	q.free = append(q.free, index)
}
