package admission

import (
	"math"
	"time"

	"github.com/gypsumford/gypsumford/call"
)

// Parameters of the level controller. Fractions are between 0 and 1.
const (
	maxRiseFactor          = 1.5                    // largest factor by which an admitted fraction grows in one tick
	minRise                = 0.02                   // added to the bound by maxRiseFactor, so that a closed class opens again
	releaseTicks           = 5                      // consecutive ticks in which all demand must fit before the controller becomes inactive
	minCapacityFraction    = 0.1                    // fraction of the capacity that is admitted however long the queue is
	recentRateTime         = 150 * time.Millisecond // time constant of the recent completion rate
	slotRateTime           = 200 * time.Millisecond // shortest time constant of the completion rate
	queueDeviations        = 1.5                    // standard deviations of the arrivals that the queue absorbs
	minQueueGoal           = 2                      // calls
	correctionServiceTimes = 2                      // service times over which the queue length is corrected, if longer than Config.CorrectionTime
	idleUtilization        = 0.9                    // fraction of the limit in use below which slots count as idle
	minIdleTicks           = 2                      // consecutive ticks with idle slots from which the admitted rate is boosted
	idleBoostPerTick       = 1.3                    // factor by which the boost grows with each tick
	maxIdleBoostTicks      = 20                     // ticks for which the boost grows
)

// classCounts is a number of calls for each class.
type classCounts [call.MaxClasses]int

// total returns the number of calls in all classes.
func (c *classCounts) total() int {
	sum := 0
	for _, count := range c {
		sum += count
	}
	return sum
}

// classRates is a rate in calls per second for each class.
type classRates [call.MaxClasses]float64

// levelController derives the levels of a queue's callers.
type levelController struct {
	active         bool      // demand exceeds the target's capacity
	activeSince    time.Time // start of the current overload
	fittingTicks   int       // consecutive ticks in which all demand fitted
	slotRate       rate      // completions per second of a busy slot
	recentSlotRate rate      // completions per second of a busy slot, over a shorter time than slotRate
	queueGoal      float64   // queue length that the controller aims at, in calls
	idleTicks      int       // consecutive ticks in which slots were idle
}

// capacity returns completions per second with all slots busy, 0 if unknown.
func (c *levelController) capacity(limit int) float64 { return c.slotRate.value() * float64(limit) }

// observe records the completions and the busy time since the last tick. The
// estimate rises at once when the target has become faster. It falls slowly: a
// target that completes little may just be running longer calls, which don't count
// until they complete.
func (c *levelController) observe(elapsed time.Duration, completed int, busySeconds float64) {
	events := float64(completed)
	c.recentSlotRate.add(events, busySeconds, math.Exp(-elapsed.Seconds()/recentRateTime.Seconds()))
	timeConstant := slotRateTime.Seconds()
	if perSecond := c.slotRate.value(); perSecond > 0 {
		timeConstant = min(max(timeConstant, 4/perSecond), 2)
	}
	c.slotRate.add(events, busySeconds, math.Exp(-elapsed.Seconds()/timeConstant))
	if c.recentSlotRate.exceeds(c.slotRate) {
		c.slotRate = c.recentSlotRate
	}
}

// updateQueueGoal computes the queue length that keeps the slots busy.
func (c *levelController) updateQueueGoal(cfg *Config, limit int) {
	capacity := c.capacity(limit)
	spread := queueDeviations * math.Sqrt(capacity*cfg.CorrectionTime.Seconds())
	c.queueGoal = max(capacity*cfg.QueueDelayGoal.Seconds(), spread, minQueueGoal)
}

// observeIdle records whether slots were idle since the last tick. Idle slots
// mean that the level is too strict, whatever the estimates are.
func (c *levelController) observeIdle(elapsed time.Duration, busySeconds float64, limit, queued int) {
	inUse := busySeconds / elapsed.Seconds()
	if queued > 0 || inUse >= idleUtilization*float64(limit) {
		c.idleTicks = 0
		return
	}
	c.idleTicks++
}

// admissibleRates returns for each class the rate that the level should admit of
// it and all more important classes together. Waiting calls of less important
// classes don't count, since they are refused if they take up the room.
func (c *levelController) admissibleRates(cfg *Config, capacity float64, waiting *classCounts) classRates {
	var rates classRates
	ahead := 0
	correction := max(cfg.CorrectionTime.Seconds(), correctionServiceTimes/c.slotRate.value())
	for class, count := range waiting {
		ahead += count
		admissible := capacity + (c.queueGoal-float64(ahead))/correction
		rates[class] = max(admissible, minCapacityFraction*capacity) * c.idleBoost()
	}
	return rates
}

// slotsIdle reports whether slots have been idle for minIdleTicks.
func (c *levelController) slotsIdle() bool { return c.idleTicks >= minIdleTicks }

// idleBoost returns the factor on the admitted rates, above 1 while slots are idle.
func (c *levelController) idleBoost() float64 {
	if !c.slotsIdle() {
		return 1
	}
	return math.Pow(idleBoostPerTick, float64(min(c.idleTicks-minIdleTicks+1, maxIdleBoostTicks)))
}

// updateLevels updates the level of each caller. refused reports whether calls
// were refused for overload since the last tick.
func (c *levelController) updateLevels(now time.Time, cfg *Config, callers []*caller, limit int, waiting *classCounts, refused bool) {
	queued := waiting.total()
	capacity := c.capacity(limit)
	if capacity == 0 {
		return
	}
	if !c.active && !refused && float64(queued) < c.queueGoal {
		return
	}
	if !c.active {
		c.active = true
		c.activeSince = now
	}
	fits := allocate(callers, c.admissibleRates(cfg, capacity, waiting))
	c.updateActive(callers, fits && !refused && float64(queued) <= c.queueGoal)
	for _, caller := range callers {
		caller.level = caller.deriveLevel()
	}
}

// updateActive makes the controller inactive after all demand has fitted for
// releaseTicks.
func (c *levelController) updateActive(callers []*caller, fits bool) {
	if !fits {
		c.fittingTicks = 0
		return
	}
	c.fittingTicks++
	if c.fittingTicks >= releaseTicks {
		c.active = false
		c.fittingTicks = 0
	}
}

// allocate divides the admissible rates between classes in order of importance,
// and within a class between callers by weighted max-min fairness. It reports
// whether every flow is fully admitted.
func allocate(callers []*caller, admissible classRates) bool {
	open := true
	admitted := 0.0
	for class := range call.MaxClasses {
		if !open {
			closeClass(callers, class)
			continue
		}
		demand := totalDemand(callers, class)
		available := max(admissible[class]-admitted, 0)
		if demand <= available {
			admitted += demand
			open = applyShare(callers, class, math.Inf(1))
			continue
		}
		applyShare(callers, class, fairShare(callers, class, available))
		open = false
	}
	return open
}

// totalDemand returns the demand of all callers in a class, in calls per second.
func totalDemand(callers []*caller, class int) float64 {
	sum := 0.0
	for _, caller := range callers {
		sum += caller.flows[class].demand.value()
	}
	return sum
}

// closeClass admits no call of the class.
func closeClass(callers []*caller, class int) {
	for _, caller := range callers {
		caller.flows[class].setAdmittedFraction(0)
	}
}

// applyShare sets the admitted fraction of each flow of a class to what the share,
// in calls per second per unit of weight, allows. A fraction falls at once. Its rise
// is bounded, since the calls that it admits arrive only later. applyShare reports
// whether all flows of the class are fully admitted.
func applyShare(callers []*caller, class int, share float64) bool {
	allAdmitted := true
	for _, caller := range callers {
		f := &caller.flows[class]
		wanted := 1.0
		if demand := f.demand.value(); demand > 0 {
			wanted = min(1, share*caller.weight/demand)
		}
		bound := f.admittedFraction*maxRiseFactor + minRise
		f.setAdmittedFraction(min(wanted, bound))
		if f.admittedFraction < 1 {
			allAdmitted = false
		}
	}
	return allAdmitted
}

// fairShare returns the rate per unit of weight at which the demands of a class,
// each cut to its weighted share, add up to the available rate.
func fairShare(callers []*caller, class int, available float64) float64 {
	share := 0.0
	for range callers {
		remaining := available
		weight := 0.0
		for _, caller := range callers {
			demand := caller.flows[class].demand.value()
			if demand <= share*caller.weight {
				remaining -= demand
				continue
			}
			weight += caller.weight
		}
		if weight == 0 {
			return share
		}
		next := remaining / weight
		if next <= share {
			return share
		}
		share = next
	}
	return share
}

// deriveLevel returns the level that corresponds to the caller's admitted fractions.
func (c *caller) deriveLevel() call.Level {
	for class := range c.flows {
		admitted := c.flows[class].admittedFraction
		if admitted >= 1 {
			continue
		}
		rank := call.Rank(admitted * rankCount)
		return call.Level(call.PriorityOf(call.Class(class), rank))
	}
	return call.AdmitAll
}
