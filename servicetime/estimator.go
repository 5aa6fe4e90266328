// Package servicetime estimates how long the local target takes for the next request of a
// route.
//
// Targets of a service differ in speed by a factor of 2 to 3 and change within seconds. An
// entry node sends each of them about one request a second, so its own samples are few and
// old. The node beside the target sees all requests of the target; it keeps a moving average
// of their durations by route and reports it with each reply.
//
// A target may also state how long work takes on its instance at present, as a multiple of the
// usual time. That figure is newer than the average but may be wrong, so it only scales the
// average, by its present value over its mean in the time that the average covers: a figure
// that is constantly too high or too low changes nothing. How long a change of the figure lasts
// differs between targets; the correction is reduced to the part of earlier changes that was
// left when the next requests came.
package servicetime

import (
	"math"
	"time"
)

const (
	// horizon is the time constant of the average duration of a route. A target that
	// becomes four times slower is known to be so after about a second.
	horizon = 1 * time.Second
	// minGain and maxGain bound the weight of one request: a target with many requests
	// averages over some of them, and one that is seldom used doesn't follow a straggler.
	minGain, maxGain = 0.05, 0.3
	// statedHorizon is the time constant of the present slowdown.
	statedHorizon = 100 * time.Millisecond
	// maxStatedAge is how long a stated slowdown is used.
	maxStatedAge = 2 * time.Second
	// minStated and maxStated bound a stated slowdown, and maxCorrection the factor by
	// which it changes the average.
	minStated, maxStated = 0.2, 5.0
	maxCorrection        = 2.0
)

// Estimator holds the averages of one target.
type Estimator struct {
	routes   map[string]*routeMeans
	stated   float64 // present slowdown, 0 before the first statement
	statedAt time.Time
	trend    trend
}

// routeMeans holds moving averages over the requests of a route.
type routeMeans struct {
	seconds float64
	stated  float64 // slowdown that was stated with the same requests
	updated time.Time
}

// New returns an estimator without any observations.
func New() *Estimator { return &Estimator{routes: map[string]*routeMeans{}, trend: newTrend()} }

// Reset drops all observations, as for a new target.
func (e *Estimator) Reset() { *e = *New() }

// State records the slowdown that the target states, as a multiple of the usual time.
func (e *Estimator) State(now time.Time, slowdown float64) {
	slowdown = min(max(slowdown, minStated), maxStated)
	if e.stated == 0 || now.Sub(e.statedAt) > maxStatedAge {
		e.stated = slowdown
	} else {
		e.stated += gain(now.Sub(e.statedAt), statedHorizon) * (slowdown - e.stated)
	}
	e.trend.observe(now, e.stated)
	e.statedAt = now
}

// Record records that a request of the route took the time.
func (e *Estimator) Record(now time.Time, route string, took time.Duration) {
	if took <= 0 {
		return
	}
	m := e.routes[route]
	if m == nil {
		e.routes[route] = &routeMeans{seconds: took.Seconds(), stated: e.present(now), updated: now}
		return
	}
	weight := gain(now.Sub(m.updated), horizon)
	m.seconds += weight * (took.Seconds() - m.seconds)
	m.stated += weight * (e.present(now) - m.stated)
	m.updated = now
}

// Expect returns the expected duration of the next request of the route, 0 if unknown.
func (e *Estimator) Expect(now time.Time, route string) time.Duration {
	m := e.routes[route]
	if m == nil {
		return 0
	}
	correction := math.Pow(e.present(now)/m.stated, e.trend.persistence())
	correction = min(max(correction, 1/maxCorrection), maxCorrection)
	return time.Duration(m.seconds * correction * float64(time.Second))
}

// Slowdown returns the slowdown that the target states at present, 1 if it states none.
func (e *Estimator) Slowdown(now time.Time) float64 { return e.present(now) }

func (e *Estimator) present(now time.Time) float64 {
	if e.stated == 0 || now.Sub(e.statedAt) > maxStatedAge {
		return 1
	}
	return e.stated
}

// RetainRoutes prunes the routes that are not listed.
func (e *Estimator) RetainRoutes(listed map[string]bool) {
	for route := range e.routes {
		if !listed[route] {
			delete(e.routes, route)
		}
	}
}

// gain returns the weight of an observation that comes the time after the one before it.
func gain(after, horizon time.Duration) float64 {
	return min(max(1-math.Exp(-after.Seconds()/horizon.Seconds()), minGain), maxGain)
}
