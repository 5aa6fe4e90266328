// Package loadshed decides at the entry whether a new request is let in.
//
// A request that is let in leads to calls of deeper services, so it is refused
// or admitted whole, by the fullest service on its way. For each service an entry
// keeps the fraction of the demand that it lets in, in terms of the time that
// requests take of the service's targets. The fraction follows the service's
// pressure, which answers carry back from there: an integral part moves it until
// the pressure is on target, and a proportional part cuts it at once when queues
// have formed. All entries see about the same pressure, so they move together
// and none needs to know the others.
//
// Within the fraction the more important requests come first: a priority is let
// in whole if the fraction exceeds what it and all more important ones demand.
// Of the priority that is let in partly, every n-th request is, evenly spaced.
package loadshed

import (
	"math"
	"time"
)

const (
	// TickInterval paces Tick.
	TickInterval = 100 * time.Millisecond
	// targetPressure is the share of the usable slots that is to be in use: below
	// it time is left idle, above it queues grow.
	targetPressure = 1.05
	pressureTime   = 150 * time.Millisecond // in which the pressure follows the answers
	pressureAge    = 1500 * time.Millisecond
	// growth and decline are the rates, a second, at which the fraction follows
	// the logarithm of the pressure over its target. A request works for about
	// half a second, so the effect of a change shows that late; faster rates
	// would overshoot.
	growth      = 1.2
	decline     = 1.5
	minFraction = 0.02
	// queuePressure is where the proportional part begins to cut, and
	// fullPressure where it lets nothing but the most important in.
	queuePressure = 1.25
	fullPressure  = 2.4
	// crisisPressure is where even the most important requests are held back: the
	// queues of the targets are so long that they would be served too late.
	crisisPressure = 3.0
	// demandTime is the time over which the mix of priorities is averaged.
	demandTime = 3 * time.Second
	// negligible is the share of a service's largest cost below which refusing a
	// request would spare the service next to nothing.
	negligible = 0.2
	// largestFade is how fast the largest cost is forgotten, a request.
	largestFade = 0.995
	// priorities is how many are told apart; less important ones count as the last.
	priorities = 8
)

// Charge is what a request costs one service.
type Charge struct {
	Service string
	Cost    time.Duration // time of the service's targets
}

// Table holds what one entry lets in.
type Table struct {
	services map[string]*service
}

type service struct {
	pressure float64
	heard    time.Time // of the pressure
	fraction float64   // of the demand that is let in
	ticked   time.Time
	largest  float64             // cost of one request, seconds
	asked    [priorities]float64 // slot seconds since the last tick, refused ones included
	demand   [priorities]float64 // slots
	share    [priorities]float64 // of the requests that are let in
	credit   [priorities]float64 // of the next request, it is let in at 1
}

// NewTable returns a table that admits everything.
func NewTable() *Table { return &Table{services: map[string]*service{}} }

func (t *Table) service(name string) *service {
	s := t.services[name]
	if s == nil {
		s = &service{fraction: 1}
		for p := range s.share {
			s.share[p] = 1
		}
		t.services[name] = s
	}
	return s
}

// Observe takes in a service's pressure: requests that run or wait at its
// targets over those that may run at once.
func (t *Table) Observe(now time.Time, name string, pressure float64) {
	s := t.service(name)
	if s.heard.IsZero() || now.Sub(s.heard) > pressureAge {
		s.pressure = pressure
	} else {
		const sampleTime = 5 * time.Millisecond // answers that come together count too
		gain := 1 - math.Exp(-float64(now.Sub(s.heard)+sampleTime)/float64(pressureTime))
		s.pressure += gain * (pressure - s.pressure)
	}
	s.heard = now
}

// Pressure returns the service's pressure, if it was heard lately.
func (t *Table) Pressure(now time.Time, name string) (float64, bool) {
	s := t.services[name]
	if s == nil || s.heard.IsZero() || now.Sub(s.heard) > pressureAge {
		return 0, false
	}
	return s.pressure, true
}

// Tick moves the fractions, every TickInterval.
func (t *Table) Tick(now time.Time) {
	for name, s := range t.services {
		dt := min(now.Sub(s.ticked).Seconds(), 1)
		if s.ticked.IsZero() {
			dt = TickInterval.Seconds()
		}
		s.ticked = now
		gain := 1 - math.Exp(-dt/demandTime.Seconds())
		for p := range s.demand {
			s.demand[p] += gain * (s.asked[p]/dt - s.demand[p])
			s.asked[p] = 0
		}
		pressure, known := t.Pressure(now, name)
		s.move(dt, pressure, known)
		s.deal(pressure, known)
	}
}

// move is the integral part.
func (s *service) move(dt, pressure float64, known bool) {
	excess := -1.0 // an unknown pressure counts as room
	if known {
		excess = math.Log(max(pressure, 0.1) / targetPressure)
	}
	rate := growth
	if excess > 0 {
		rate = decline
	}
	s.fraction *= math.Exp(-rate * dt * excess)
	lowest := minFraction
	if !known || pressure < crisisPressure {
		lowest = max(lowest, s.importantShare())
	}
	s.fraction = min(max(s.fraction, lowest), 1)
}

// importantShare is the part of the demand that the most important requests are.
func (s *service) importantShare() float64 {
	total := 0.0
	for _, d := range s.demand {
		total += d
	}
	if total <= 0 {
		return 0
	}
	return s.demand[0] / total
}

// deal divides the fraction among the priorities.
func (s *service) deal(pressure float64, known bool) {
	total := 0.0
	for _, d := range s.demand {
		total += d
	}
	left := s.fraction * total
	if known && pressure > queuePressure {
		cut := max((fullPressure-pressure)/(fullPressure-queuePressure), 0) // the proportional part
		if pressure < crisisPressure {
			left = max(left*cut, s.demand[0])
		} else {
			left *= cut
		}
	}
	for p, d := range s.demand {
		switch {
		case s.fraction >= 1 && left >= total || d <= 0:
			s.share[p] = 1
		default:
			s.share[p] = min(max(left/d, 0), 1)
		}
		left -= d
	}
}

// Verdict is what becomes of a request.
type Verdict struct {
	Admit    bool
	Service  string  // that decided, if refused
	Pressure float64 // of that service
	Share    float64 // of the priority's requests that the service lets in
}

// Admit decides on a request of the priority.
func (t *Table) Admit(now time.Time, priority int, charges []Charge) Verdict {
	priority = min(max(priority, 0), priorities-1)
	verdict := Verdict{Admit: true, Share: 1}
	var decider *service
	for _, c := range charges {
		s := t.service(c.Service)
		cost := c.Cost.Seconds()
		s.asked[priority] += cost
		s.largest = max(s.largest*largestFade, cost)
		if cost < negligible*s.largest {
			continue
		}
		if share := s.share[priority]; share < verdict.Share {
			decider = s
			pressure, _ := t.Pressure(now, c.Service)
			verdict.Service, verdict.Pressure, verdict.Share = c.Service, pressure, share
		}
	}
	if decider == nil {
		return verdict
	}
	credit := &decider.credit[priority]
	*credit = min(*credit+verdict.Share, 2)
	verdict.Admit = *credit >= 1
	if verdict.Admit {
		*credit--
	}
	return verdict
}

// State is what holds the requests for one service back.
type State struct {
	Service  string
	Pressure float64
	Known    bool    // the pressure was heard lately
	Fraction float64 // of the demand that is let in
	Demand   float64 // slots
}

// Restricted returns the services that hold requests back.
func (t *Table) Restricted(now time.Time) []State {
	var states []State
	for name, s := range t.services {
		pressure, known := t.Pressure(now, name)
		if s.fraction >= 1 && pressure < queuePressure {
			continue
		}
		state := State{Service: name, Pressure: pressure, Known: known, Fraction: s.fraction}
		for _, d := range s.demand {
			state.Demand += d
		}
		states = append(states, state)
	}
	return states
}
