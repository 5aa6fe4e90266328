package admission

import (
	"math"
	"time"

	"github.com/gypsumford/gypsumford/call"
)

// Parameters of the level control.
const (
	riseFactor   = 1.5  // most by which an admitted fraction grows in one tick
	riseFloor    = 0.02 // and at least by this, so a closed class opens again
	openTicks    = 5    // ticks for which all demand must fit before control ends
	minRoomPart  = 0.1  // part of the capacity that is admitted however long the queue is
	latelyMemory = 150 * time.Millisecond
	speedMemory  = 200 * time.Millisecond
	queueSpread  = 1.5 // standard deviations of arrivals that the queue evens out
	minQueueGoal = 2   // calls
	horizonRuns  = 2   // service times in which the queue's length is corrected, if longer
	idlePart     = 0.9 // part of the slots in use below which slots are idle
	idleTicks    = 2   // ticks with idle slots after which more is admitted
	idleGrowth   = 1.3 // factor on what is admitted, for each further tick
	idleMost     = 20  // ticks for which it grows
)

// classCounts holds a number of calls for each class.
type classCounts [call.MaxClasses]int

// total returns the calls of all classes.
func (c *classCounts) total() int {
	sum := 0
	for _, count := range c {
		sum += count
	}
	return sum
}

// classRates holds calls per second for each class.
type classRates [call.MaxClasses]float64

// control derives the levels of a queue's callers.
type control struct {
	active  bool      // the target has more demand than it can bear
	since   time.Time // start of the present overload
	fitting int       // ticks in a row in which all demand fitted
	speed   rate      // completions per second of a busy slot
	lately  rate      // the same over a short time
	goal    float64   // length of the queue that is aimed at
	idle    int       // ticks in a row in which slots were idle
}

// capacity returns completions per second with all slots busy, 0 if unknown.
func (c *control) capacity(limit int) float64 { return c.speed.value() * float64(limit) }

// observe adds the completions and the busy time since the last tick. A target
// that has become faster is believed at once. One that completes little may only
// run longer calls, which show after their time, so the estimate falls slowly.
func (c *control) observe(elapsed time.Duration, completed int, busySeconds float64) {
	events := float64(completed)
	c.lately.add(events, busySeconds, math.Exp(-elapsed.Seconds()/latelyMemory.Seconds()))
	memory := speedMemory.Seconds()
	if speed := c.speed.value(); speed > 0 {
		memory = min(max(memory, 4/speed), 2)
	}
	c.speed.add(events, busySeconds, math.Exp(-elapsed.Seconds()/memory))
	if c.lately.exceeds(c.speed) {
		c.speed = c.lately
	}
}

// aim sets the length of the queue that keeps the slots busy.
func (c *control) aim(cfg *Config, limit int) {
	capacity := c.capacity(limit)
	spread := queueSpread * math.Sqrt(capacity*cfg.Horizon.Seconds())
	c.goal = max(capacity*cfg.TargetDelay.Seconds(), spread, minQueueGoal)
}

// observeIdle takes note of whether slots were idle since the last tick. When
// they are, the level is too strict, whatever the estimates say.
func (c *control) observeIdle(elapsed time.Duration, busySeconds float64, limit, queued int) {
	inUse := busySeconds / elapsed.Seconds()
	if queued > 0 || inUse >= idlePart*float64(limit) {
		c.idle = 0
		return
	}
	c.idle++
}

// rooms returns, for each class, the calls per second of it and of the more
// important classes that the level should admit. Only calls that are not less
// important count as waiting: the others are refused if they are in the way.
func (c *control) rooms(cfg *Config, capacity float64, waiting *classCounts) classRates {
	var rooms classRates
	ahead := 0
	horizon := max(cfg.Horizon.Seconds(), horizonRuns/c.speed.value())
	for class, count := range waiting {
		ahead += count
		room := capacity + (c.goal-float64(ahead))/horizon
		rooms[class] = max(room, minRoomPart*capacity) * c.boost()
	}
	return rooms
}

// idling reports whether slots have been idle for more than a moment.
func (c *control) idling() bool { return c.idle >= idleTicks }

// boost returns the factor on what is admitted while slots are idle.
func (c *control) boost() float64 {
	if !c.idling() {
		return 1
	}
	return math.Pow(idleGrowth, float64(min(c.idle-idleTicks+1, idleMost)))
}

// levels moves the level of each caller. Pressed tells that calls were refused
// for room since the last tick.
func (c *control) levels(now time.Time, cfg *Config, list []*caller, limit int, waiting *classCounts, pressed bool) {
	queued := waiting.total()
	capacity := c.capacity(limit)
	if capacity == 0 {
		return
	}
	if !c.active && !pressed && float64(queued) < c.goal {
		return
	}
	if !c.active {
		c.active = true
		c.since = now
	}
	fits := fill(list, c.rooms(cfg, capacity, waiting))
	c.settle(list, fits && !pressed && float64(queued) <= c.goal)
	for _, caller := range list {
		caller.level = caller.levelOf()
	}
}

// settle ends control after all demand has fitted for a while.
func (c *control) settle(list []*caller, fits bool) {
	if !fits {
		c.fitting = 0
		return
	}
	c.fitting++
	if c.fitting >= openTicks {
		c.active = false
		c.fitting = 0
	}
}

// fill divides the rooms, in calls per second, over classes in order of
// importance and over callers by max-min fairness. It reports whether every
// flow is admitted whole.
func fill(list []*caller, rooms classRates) bool {
	open := true
	admitted := 0.0
	for class := range call.MaxClasses {
		if !open {
			closeClass(list, class)
			continue
		}
		demand := demandOf(list, class)
		room := max(rooms[class]-admitted, 0)
		if demand <= room {
			admitted += demand
			open = raise(list, class, math.Inf(1))
			continue
		}
		raise(list, class, fairShare(list, class, room))
		open = false
	}
	return open
}

func demandOf(list []*caller, class int) float64 {
	sum := 0.0
	for _, caller := range list {
		sum += caller.flows[class].demand.value()
	}
	return sum
}

func closeClass(list []*caller, class int) {
	for _, caller := range list {
		caller.flows[class].admit(0)
	}
}

// raise admits of each flow what share, in calls per second and weight, allows.
// Cuts are made at once; a rise is bounded, since what it lets in is seen later.
// It reports whether all flows of the class are admitted whole.
func raise(list []*caller, class int, share float64) bool {
	whole := true
	for _, caller := range list {
		f := &caller.flows[class]
		wanted := 1.0
		if demand := f.demand.value(); demand > 0 {
			wanted = min(1, share*caller.weight/demand)
		}
		bound := f.admitted*riseFactor + riseFloor
		f.admit(min(wanted, bound))
		if f.admitted < 1 {
			whole = false
		}
	}
	return whole
}

// fairShare returns the rate per weight at which the demands of a class, each
// cut to its weighted share, add up to the room.
func fairShare(list []*caller, class int, room float64) float64 {
	share := 0.0
	for range list {
		left := room
		weight := 0.0
		for _, caller := range list {
			demand := caller.flows[class].demand.value()
			if demand <= share*caller.weight {
				left -= demand
				continue
			}
			weight += caller.weight
		}
		if weight == 0 {
			return share
		}
		next := left / weight
		if next <= share {
			return share
		}
		share = next
	}
	return share
}

// levelOf returns the level that the admitted fractions of the caller mean.
func (c *caller) levelOf() call.Level {
	for class := range c.flows {
		admitted := c.flows[class].admitted
		if admitted >= 1 {
			continue
		}
		rank := call.Rank(admitted * rankSpan)
		return call.Level(call.PriorityOf(call.Class(class), rank))
	}
	return call.AdmitAll
}
