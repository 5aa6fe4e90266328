// Package loadshed decides at the entry whether a new request is let in.
//
// A request that is let in leads to calls of deeper services, so it is refused
// or admitted whole, by what it costs the fullest service on its way. Each entry
// keeps an allowance for each service: the time of the service's targets that
// its requests may take a second. The allowance follows the service's pressure,
// which answers carry back from there: it grows while the service has room and
// shrinks while it is overfull. All entries see about the same pressure, so they
// move together, and none needs to know the others.
//
// Requests are paid for from the allowance. The more important ones may
// overdraw it, which the less important ones then wait for: so these are refused
// first.
package loadshed

import (
	"math"
	"time"
)

const (
	// TickInterval paces Tick.
	TickInterval = 100 * time.Millisecond
	// targetPressure is the share of the slots that is to be in use: below it
	// time is left idle, above it queues grow.
	targetPressure = 0.9
	pressureTime   = 200 * time.Millisecond // in which the pressure follows the answers
	pressureAge    = 1500 * time.Millisecond
	growth         = 1.0 // of the allowance, a second and unit of room
	decline        = 3.0 // of the allowance, a second and unit of excess
	headroom       = 1.4 // the allowance is at most this much above the demand
	demandTime     = 1 * time.Second
	burstTime      = 600 * time.Millisecond // of the allowance can be saved up
	burstRequests  = 2.0                    // of the largest cost can be saved up
	minAllowance   = 0.02                   // slots
	// overdraft, by priority, is how many bursts a request may overdraw.
	importantOverdraft = 4.0
	middleOverdraft    = 1.0
	// crisisPressure is where even the most important requests are refused: the
	// targets' queues can't hold them.
	crisisPressure = 3.0
)

// Charge is what a request costs one service.
type Charge struct {
	Service string
	Cost    time.Duration // time of the service's targets
}

// Table holds the allowances of one entry.
type Table struct {
	services map[string]*service
}

type service struct {
	pressure  float64
	heard     time.Time // of the pressure
	allowance float64   // slots
	tokens    float64   // slot seconds
	demand    float64   // slots that all requests would take, those refused included
	asked     float64   // slot seconds since the last tick
	largest   float64   // cost of one request, slot seconds
	ticked    time.Time
}

// NewTable returns a table that admits everything.
func NewTable() *Table { return &Table{services: map[string]*service{}} }

func (t *Table) service(name string) *service {
	s := t.services[name]
	if s == nil {
		s = &service{allowance: math.Inf(1)}
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
		gain := 1 - math.Exp(-float64(now.Sub(s.heard)+5*time.Millisecond)/float64(pressureTime))
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

// Tick moves the allowances, every TickInterval.
func (t *Table) Tick(now time.Time) {
	for name, s := range t.services {
		dt := now.Sub(s.ticked).Seconds()
		if s.ticked.IsZero() || dt > 1 {
			dt = TickInterval.Seconds()
		}
		s.ticked = now
		s.demand += (1 - math.Exp(-dt/demandTime.Seconds())) * (s.asked/dt - s.demand)
		s.asked = 0
		pressure, known := t.Pressure(now, name)
		s.move(dt, pressure, known)
		s.tokens = min(s.tokens+s.allowance*dt, s.burst())
	}
}

func (s *service) move(dt, pressure float64, known bool) {
	highest := max(headroom*s.demand, minAllowance)
	if math.IsInf(s.allowance, 1) {
		if !known || pressure < targetPressure {
			return
		}
		s.allowance = highest
	}
	room := 1.0
	if known {
		room = (targetPressure - pressure) / targetPressure
	}
	rate := growth
	if room < 0 {
		rate = decline
	}
	s.allowance *= 1 + rate*dt*max(room, -1)
	s.allowance = min(max(s.allowance, minAllowance), highest)
}

// burst is how much of the allowance can be saved up, in slot seconds.
func (s *service) burst() float64 {
	if math.IsInf(s.allowance, 1) {
		return s.largest * burstRequests
	}
	return max(s.allowance*burstTime.Seconds(), s.largest*burstRequests)
}

// Verdict is what becomes of a request.
type Verdict struct {
	Admit      bool
	RetryAfter time.Duration // if refused: when there is room again
	Service    string        // that decided, if refused
	Pressure   float64       // of that service
	Allowance  float64       // for that service, in slots
}

// Admit decides on a request of the priority and charges it if it is let in.
func (t *Table) Admit(now time.Time, priority int, charges []Charge) Verdict {
	verdict := Verdict{Admit: true}
	for _, c := range charges {
		s := t.service(c.Service)
		cost := c.Cost.Seconds()
		s.asked += cost
		s.largest = max(s.largest*0.999, cost)
		if math.IsInf(s.allowance, 1) {
			continue
		}
		pressure, known := t.Pressure(now, c.Service)
		floor := -overdraft(priority) * s.burst()
		crisis := known && pressure > crisisPressure && priority == 0
		if s.tokens-cost*entryShare(priority) >= floor && !crisis {
			continue
		}
		wait := time.Duration((floor + cost - s.tokens) / s.allowance * float64(time.Second))
		if verdict.Admit || wait > verdict.RetryAfter {
			verdict = Verdict{RetryAfter: wait, Service: c.Service, Pressure: pressure, Allowance: s.allowance}
		}
	}
	if verdict.Admit {
		for _, c := range charges {
			t.service(c.Service).tokens -= c.Cost.Seconds()
		}
	}
	return verdict
}

func overdraft(priority int) float64 {
	switch priority {
	case 0:
		return importantOverdraft
	case 1:
		return middleOverdraft
	}
	return 0
}

// entryShare of the cost must be there: the least important requests wait for
// all of it.
func entryShare(priority int) float64 {
	if priority <= 1 {
		return 0
	}
	return 1
}
