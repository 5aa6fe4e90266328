package limiter

import (
	"math"
	"time"

	"github.com/gypsumford/gypsumford/loadshed"
)

const (
	// rateBurstTime is the time whose requests a rate-limited target may get at once after
	// a pause. It is well below the seconds over which targets measure their rate.
	rateBurstTime = 750 * time.Millisecond
	// minRateBurst is the number of requests that a target with a low limit may get at once.
	minRateBurst = 2
	// maxRateWait is the longest time for which a request is queued for a rate-limited
	// target. Beyond it, another target or an early refusal serves the caller better.
	maxRateWait = 250 * time.Millisecond
)

// rateLimit is a token bucket, as a level that each started request raises by 1 and that
// falls by rate per second. It is kept by priority, so that it states how much of the rate
// the requests of each priority use.
type rateLimit struct {
	rate  float64 // requests per second; 0 means that the rate isn't limited
	level [loadshed.Priorities]float64
	// excess counts the requests that were refused for the rate, and decays within
	// rateBurstTime. With the level it states the demand.
	excess  [loadshed.Priorities]float64
	updated time.Time
}

func (r *rateLimit) limited() bool { return r.rate > 0 }

// burst returns the level at which no more request may start.
func (r *rateLimit) burst() float64 { return max(r.rate*rateBurstTime.Seconds(), minRateBurst) }

func (r *rateLimit) total() float64 {
	sum := 0.0
	for _, level := range r.level {
		sum += level
	}
	return sum
}

// set changes the rate. A limit that holds from now on starts with a full bucket, as it is
// not known what the target got just before.
func (r *rateLimit) set(now time.Time, rate float64) {
	r.update(now)
	wasLimited := r.limited()
	free := max(r.burst()-r.total(), 0) // requests that may start at once
	r.rate = rate
	switch {
	case !r.limited():
		r.level, r.excess = [loadshed.Priorities]float64{}, [loadshed.Priorities]float64{}
	case !wasLimited:
		r.level[loadshed.Priorities-1] = r.burst()
	default:
		// A changed rate frees no requests: a lower one and then a higher one would.
		r.scaleTo(max(r.burst()-free, 0))
	}
}

// update lowers the level by what the rate allows since the last update.
func (r *rateLimit) update(now time.Time) {
	elapsed := max(now.Sub(r.updated), 0)
	if r.updated.IsZero() {
		elapsed = 0
	}
	r.updated = now
	if !r.limited() {
		return
	}
	r.scaleTo(max(r.total()-elapsed.Seconds()*r.rate, 0))
	decay := math.Exp(-elapsed.Seconds() / rateBurstTime.Seconds())
	for p := range r.excess {
		r.excess[p] *= decay
	}
}

// scaleTo changes the levels in proportion, so that their sum is total.
func (r *rateLimit) scaleTo(total float64) {
	sum := r.total()
	if sum <= 0 {
		r.level[loadshed.Priorities-1] = total
		return
	}
	for p := range r.level {
		r.level[p] *= total / sum
	}
}

// timeUntilFree returns how long no request may start. It is 0 if one may start now.
func (r *rateLimit) timeUntilFree(now time.Time) time.Duration {
	r.update(now)
	excess := r.total() + 1 - r.burst()
	if !r.limited() || excess <= 0 {
		return 0
	}
	return time.Duration(excess / r.rate * float64(time.Second))
}

// start records that a request starts.
func (r *rateLimit) start(priority int) {
	if r.limited() {
		r.level[loadshed.ClampPriority(priority)]++
	}
}

// refuse records that a request is refused for the rate.
func (r *rateLimit) refuse(priority int) { r.excess[loadshed.ClampPriority(priority)]++ }

// cancel records that a request that was to start doesn't reach the target.
func (r *rateLimit) cancel(priority int) {
	p := loadshed.ClampPriority(priority)
	r.level[p] = max(r.level[p]-1, 0)
}

// maxWaiting returns how many requests may wait because of the rate.
func (r *rateLimit) maxWaiting() int { return max(int(r.rate*maxRateWait.Seconds()), 1) }

// pressures returns the pressures by the rate: the requests that use it up, wait or were
// refused for it, of the priority and of more important ones, divided by the burst.
func (r *rateLimit) pressures(now time.Time, waiting queue) loadshed.Pressures {
	var p loadshed.Pressures
	if !r.limited() {
		return p
	}
	r.update(now)
	used := r.level
	for _, item := range waiting {
		used[loadshed.ClampPriority(item.Priority)]++
	}
	sum := 0.0
	for i := range used {
		sum += used[i] + r.excess[i]
		p[i] = sum / r.burst()
	}
	return p
}
