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
	speedMemory  = 200 * time.Millisecond
	queueSpread  = 1.5 // standard deviations of arrivals that the queue evens out
	minQueueGoal = 2   // calls
)

// control derives the levels of a queue's callers.
type control struct {
	active  bool      // the target has more demand than it can bear
	since   time.Time // start of the present overload
	fitting int       // ticks in a row in which all demand fitted
	speed   rate      // completions per second of a busy slot
	goal    float64   // length of the queue that is aimed at
}

// capacity returns completions per second with all slots busy, 0 if unknown.
func (c *control) capacity(limit int) float64 { return c.speed.value() * float64(limit) }

// observe adds the completions and the busy time since the last tick.
func (c *control) observe(elapsed time.Duration, completed int, busySeconds float64) {
	memory := speedMemory.Seconds()
	if speed := c.speed.value(); speed > 0 {
		memory = min(max(memory, 4/speed), 2)
	}
	c.speed.add(float64(completed), busySeconds, math.Exp(-elapsed.Seconds()/memory))
}

// aim sets the length of the queue that keeps the slots busy.
func (c *control) aim(cfg *Config, limit int) {
	capacity := c.capacity(limit)
	spread := queueSpread * math.Sqrt(capacity*cfg.Horizon.Seconds())
	c.goal = max(capacity*cfg.TargetDelay.Seconds(), spread, minQueueGoal)
}

// levels moves the level of each caller. Pressed tells that calls were refused
// for room since the last tick.
func (c *control) levels(now time.Time, cfg *Config, list []*caller, limit, queued int, pressed bool) {
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
	room := capacity + (c.goal-float64(queued))/cfg.Horizon.Seconds()
	fits := fill(list, max(room, minRoomPart*capacity))
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

// fill divides the room, in calls per second, over classes in order of
// importance and over callers by max-min fairness. It reports whether every
// flow is admitted whole.
func fill(list []*caller, room float64) bool {
	open := true
	for class := range call.MaxClasses {
		if !open {
			closeClass(list, class)
			continue
		}
		demand := demandOf(list, class)
		if demand <= room {
			room -= demand
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
