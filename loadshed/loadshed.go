// Package loadshed decides at the entry node whether a root request is admitted. Inputs
// are the request's priority, its cost at each service that its route leads to, in time
// of the service's targets, and the pressures of these services.
//
// An admitted request causes calls of deeper services. The decision is therefore made
// once, at the entry, for the request and all of its calls, and the service that admits
// the smallest share of the priority's requests decides. The load of a service is stated
// by its pressures: the pressure of a priority is the number of requests of that priority
// and of more important ones that run or wait at the service's targets, divided by their
// concurrency limits. Queues serve more important requests first, so requests are refused
// by the pressure of their own priority alone, and the least important requests are
// refused first.
//
// For each service and priority an entry keeps the admitted fraction of requests (the
// share), set by a proportional-integral controller: the integral part changes until the
// pressure is at its setpoint, and the proportional part reacts to a changed pressure at
// once. All entries receive about the same pressures, so their shares change together
// without coordination. Admitted requests of a priority are spaced evenly among those
// that arrive.
//
// Pressures travel with replies, from node to node. Each carries the time at which it was
// observed, and recent ones outweigh older ones: a node that rarely receives a service's
// pressures passes on the last ones, not an average with stale ones.
package loadshed

import (
	"math"
	"time"
)

// Priorities is the number of priorities. 0 is the most important; priorities above
// Priorities-1 count as Priorities-1.
const Priorities = 8

const (
	// TickInterval is the time between calls of Table.Tick.
	TickInterval = 100 * time.Millisecond
	// pressureSetpoint is the pressure that the controller aims at: below it targets
	// idle, above it queues grow.
	pressureSetpoint = 1.1
	// directTimeConstant is the time constant of the moving average over pressures from
	// the service's targets, of which each reports only its own; relayedTimeConstant
	// is that for pressures that another node passed on.
	directTimeConstant  = 100 * time.Millisecond
	relayedTimeConstant = 30 * time.Millisecond
	// pressureMaxAge is the age at which a pressure becomes stale.
	pressureMaxAge = 1500 * time.Millisecond
	// integralRate is the rate, per second, at which the logarithm of the share changes
	// for each unit of excess, and proportionalGain the gain of the proportional part.
	// A changed share shows in the pressure after about a third of a second, since an
	// admitted request works that long before; larger gains would overshoot.
	integralRate     = 1.5
	proportionalGain = 1.0
	// minPressure is the smallest pressure that the controller uses. It bounds how fast
	// the share of an idle service grows.
	minPressure = 0.5
	minShare    = 0.02 // lower bound of a share
	// fullPressure is the pressure from which a service has no room for work in vain.
	fullPressure = 0.9
	// negligibleShare is the fraction of a service's largest cost below which the
	// service doesn't decide on a request: refusing it would hardly relieve the service.
	negligibleShare = 0.2
	// largestCostDecay is the factor by which the largest cost decays with each request.
	largestCostDecay = 0.995
)

// ServiceCost is the cost of a request at one service.
type ServiceCost struct {
	Service  string
	Time     time.Duration // time of the service's targets
	Requests float64       // number of requests that the service receives
}

// Pressures are a service's pressures by priority. None is smaller than that of a more
// important priority.
type Pressures [Priorities]float64

// Uniform returns pressures that are the same for all priorities.
func Uniform(pressure float64) Pressures {
	var p Pressures
	for i := range p {
		p[i] = pressure
	}
	return p
}

// PressuresOf returns the pressures of a target with the given requests in flight, by
// priority, and a concurrency limit of slots.
func PressuresOf(inFlight [Priorities]int, slots int) Pressures {
	var p Pressures
	if slots <= 0 {
		return p
	}
	sum := 0
	for i, count := range inFlight {
		sum += count
		p[i] = float64(sum) / float64(slots)
	}
	return p
}

// Source states where a pressure comes from.
type Source uint8

const (
	// Direct pressures are those that the node beside a target measured there.
	Direct Source = iota
	// Relayed pressures are those that a node received from others and passed on.
	Relayed
)

// Table holds the pressures and shares of services that one entry decides by.
type Table struct {
	services map[string]*service
}

// service is the state of one service.
type service struct {
	pressures   Pressures
	observedAt  time.Time // when the pressures were observed at the targets
	tickedAt    time.Time
	largestCost float64             // of one request, in seconds; decays
	share       [Priorities]float64 // integral part of the admitted fraction
	credit      [Priorities]float64 // accumulated shares of requests; an admitted one uses 1
}

// NewTable returns a table without pressures, which admits all requests.
func NewTable() *Table { return &Table{services: map[string]*service{}} }

// service returns the state of the service, which it creates if there is none.
func (t *Table) service(name string) *service {
	s := t.services[name]
	if s == nil {
		s = &service{}
		for p := range s.share {
			s.share[p] = 1
		}
		t.services[name] = s
	}
	return s
}

// Observe updates the pressures of a service with those that were observed at its
// targets at the time observedAt. Older ones than the recorded ones are ignored.
func (t *Table) Observe(now time.Time, name string, observedAt time.Time, pressures Pressures, from Source) {
	s := t.service(name)
	newerBy := observedAt.Sub(s.observedAt)
	if now.Sub(s.observedAt) > pressureMaxAge {
		s.pressures, s.observedAt = pressures, observedAt
		return
	}
	if newerBy < 0 || newerBy == 0 && from == Relayed {
		return
	}
	timeConstant := directTimeConstant
	if from == Relayed {
		timeConstant = relayedTimeConstant
	}
	const sampleTime = 5 * time.Millisecond // gives weight to pressures that are observed at the same time
	gain := 1 - math.Exp(-float64(newerBy+sampleTime)/float64(timeConstant))
	for p := range s.pressures {
		s.pressures[p] += gain * (pressures[p] - s.pressures[p])
	}
	s.observedAt = observedAt
}

// Refused records that all targets of the service refused a request of the priority
// because less important requests fill them. It raises the pressures of this and less
// important priorities, but not that of the most important one, whose requests are never
// refused for this reason.
func (t *Table) Refused(now time.Time, name string, priority int) {
	const refusedPressure = 2.5 // assumed for targets that refuse
	pressures, _, _ := t.Pressures(now, name)
	for p := max(ClampPriority(priority), 1); p < Priorities; p++ {
		pressures[p] = max(pressures[p], refusedPressure)
	}
	t.Observe(now, name, now, pressures, Direct)
}

// Pressures returns the service's pressures and the time at which they were observed.
// It returns zero values if they aren't fresh.
func (t *Table) Pressures(now time.Time, name string) (pressures Pressures, observedAt time.Time, fresh bool) {
	s := t.services[name]
	if s == nil || !s.isFresh(now) {
		return Pressures{}, time.Time{}, false
	}
	return s.pressures, s.observedAt, true
}

// IsFull reports whether the requests of all priorities together fill the targets of the service, so
// that work in vain there takes room from others.
func (t *Table) IsFull(now time.Time, name string) bool {
	pressures, _, fresh := t.Pressures(now, name)
	return fresh && pressures[Priorities-1] >= fullPressure
}

// isFresh reports whether the pressures are recent enough to decide by.
func (s *service) isFresh(now time.Time) bool { return now.Sub(s.observedAt) <= pressureMaxAge }

// Tick updates the integral parts of all shares. It is called every TickInterval.
func (t *Table) Tick(now time.Time) {
	for _, s := range t.services {
		dt := min(now.Sub(s.tickedAt).Seconds(), 1)
		if s.tickedAt.IsZero() {
			dt = TickInterval.Seconds()
		}
		s.tickedAt = now
		for p := range s.share {
			s.share[p] *= math.Exp(-integralRate * dt * s.excess(now, p))
			s.share[p] = min(max(s.share[p], minShare), 1)
		}
	}
}

// excess returns the logarithm of the ratio of the pressure to its setpoint, the error
// that the controller acts on. A service with stale pressures counts as idle.
func (s *service) excess(now time.Time, priority int) float64 {
	if !s.isFresh(now) {
		return math.Log(minPressure / pressureSetpoint)
	}
	return math.Log(max(s.pressures[priority], minPressure) / pressureSetpoint)
}

// admittedShare returns the fraction of the priority's requests that the service admits
// now: the integral and the proportional part.
func (s *service) admittedShare(now time.Time, priority int) float64 {
	share := s.share[priority] * math.Exp(-proportionalGain*s.excess(now, priority))
	return min(max(share, minShare), 1)
}

// ClampPriority returns the priority within the range 0 to Priorities-1.
func ClampPriority(priority int) int { return min(max(priority, 0), Priorities-1) }

// Decision states whether a request is admitted, and why not.
type Decision struct {
	Admit    bool
	Service  string        // with the smallest share; empty if none restricts the request
	Pressure float64       // of that service, for the request's priority
	Age      time.Duration // of the pressure
	Share    float64       // admitted fraction of the priority's requests
}

// Admit decides on a request of the priority by its costs at services. Services where
// the request's cost is negligible don't count.
func (t *Table) Admit(now time.Time, priority int, costs []ServiceCost) Decision {
	priority = ClampPriority(priority)
	decision, limiting := t.limit(now, priority, costs)
	if limiting == nil {
		return decision
	}
	credit := &limiting.credit[priority]
	*credit = min(*credit+decision.Share, 2)
	decision.Admit = *credit >= 1
	if decision.Admit {
		*credit--
	}
	return decision
}

// limit returns the service that admits the smallest share of the priority's requests, nil if
// none restricts them, and the decision without its Admit.
func (t *Table) limit(now time.Time, priority int, costs []ServiceCost) (decision Decision, limiting *service) {
	decision = Decision{Admit: true, Share: 1}
	for _, c := range costs {
		s := t.service(c.Service)
		cost := c.Time.Seconds()
		s.largestCost = max(s.largestCost*largestCostDecay, cost)
		if cost < negligibleShare*s.largestCost {
			continue
		}
		if share := s.admittedShare(now, priority); share < decision.Share {
			limiting = s
			decision.Service, decision.Share = c.Service, share
			decision.Pressure, decision.Age = s.pressures[priority], now.Sub(s.observedAt)
		}
	}
	return decision, limiting
}

// Restriction states why and how far requests are refused for one service.
type Restriction struct {
	Service  string
	Pressure float64       // of the least important priority, which counts all requests
	Age      time.Duration // of the pressure
	Fresh    bool          // the pressure is recent enough to decide by
	Priority int           // the most important one whose requests are refused
	Share    float64       // admitted fraction of its requests
}

// Restrictions returns the services for which requests are refused.
func (t *Table) Restrictions(now time.Time) []Restriction {
	var restrictions []Restriction
	for name, s := range t.services {
		for p := range s.share {
			if share := s.admittedShare(now, p); share < 1 {
				restrictions = append(restrictions, Restriction{
					Service: name, Pressure: s.pressures[Priorities-1], Age: now.Sub(s.observedAt),
					Fresh: s.isFresh(now), Priority: p, Share: share,
				})
				break
			}
		}
	}
	return restrictions
}
