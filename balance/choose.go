package balance

import (
	"math"
	"time"

	"github.com/gypsumford/gypsumford/roster"
	"github.com/gypsumford/gypsumford/spillover"
)

const (
	// unreachableScore is added to the score of a target that is in backoff.
	unreachableScore = 1e6
	// viewHorizon is the time constant with which a reported load loses weight in what is
	// known of a failure domain.
	viewHorizon = 1 * time.Second
	// minViewWeight is the least weight of reported loads with which the load of a domain
	// counts as known: one report that is 3 s old.
	minViewWeight = 0.05
	// awaitedCrossingShare is the part of the cost of a crossing that applies to a request
	// with Awaited set: other responses wait for its response.
	awaitedCrossingShare = 0.2
)

// candidate is a target that a request may be sent to, and what is expected of it.
type candidate struct {
	record   *roster.Record
	state    *targetState
	score    float64 // expected latency as a multiple of the route's mean
	base     float64 // the same if it were idle
	slots    int
	weight   float64 // what it completes, relative to other candidates; 0 if unreachable
	excluded bool    // for this request
}

// Choose returns the target to send a request to, among the candidates whose target ID isn't
// excluded. It returns false if there is none.
func (t *Table) Choose(now time.Time, r Request, candidates []*roster.Record, excluded []string) (Choice, bool) {
	t.scored = t.scored[:0]
	for _, record := range candidates {
		c := t.assess(now, record)
		c.excluded = contains(excluded, record.Target.ID)
		t.scored = append(t.scored, c)
	}
	best, decision := t.chooseDomain(now, r)
	if best == nil {
		return Choice{Candidates: len(candidates)}, false
	}
	return Choice{
		Record: best.record, Score: best.score, Candidates: len(candidates), LoadAge: now.Sub(best.state.loadReceived),
		Spillover: decision,
	}, true
}

// chooseDomain decides on leaving the failure domain and draws a candidate in the domain that
// the request goes to. It returns nil if there is none.
func (t *Table) chooseDomain(now time.Time, r Request) (*candidate, spillover.Decision) {
	own, crossing := t.draw(t.domain, true), t.crossing(r)
	other := t.draw(t.domain, false)
	if own != nil && other != nil && t.leavesByScore(r) && other.score*(1+crossing) < t.lowestScore(t.domain) {
		return other, spillover.Decision{Domain: other.record.Domain, Reason: spillover.LowerScore}
	}
	var decision spillover.Decision
	if t.spillover != nil && !r.Restricted {
		t.views = t.appendViews(t.views[:0], now)
		decision = t.spillover.Decide(now, r.Service, crossing, t.random.Float64(), &t.views[0], t.views[1:])
	}
	if decision.Domain != "" {
		if drawn := t.draw(decision.Domain, true); drawn != nil {
			return drawn, decision
		}
	}
	if own != nil {
		return own, spillover.Decision{Share: decision.Share}
	}
	if other == nil {
		return nil, decision
	}
	return other, spillover.Decision{Domain: other.record.Domain, Reason: spillover.OwnTried, Share: decision.Share}
}

// minSharedTargets is the number of own targets from which the share of the requests that leaves
// decides alone. Of fewer, one that turns slow shows in its score long before the share has grown.
const minSharedTargets = 3

// leavesByScore reports whether the request leaves the failure domain for any target elsewhere
// whose score is lower, the crossing included.
func (t *Table) leavesByScore(r Request) bool {
	if t.spillover == nil || r.Awaited || r.Restricted {
		return true
	}
	own := 0
	for i := range t.scored {
		if t.scored[i].record.Domain == t.domain {
			own++
		}
	}
	return own < minSharedTargets
}

// crossing returns the cost of sending a request to another failure domain, as a multiple of
// the route's mean latency.
func (t *Table) crossing(r Request) float64 {
	bytes := 0.0
	if means := t.routes[r.Route]; means != nil {
		bytes = means.bytes
	}
	cost := spillover.Crossing(bytes)
	if r.Awaited {
		cost *= awaitedCrossingShare
	}
	return cost
}

// assess returns what is expected of a target.
func (t *Table) assess(now time.Time, r *roster.Record) candidate {
	state := t.target(r.Target.ID)
	if !state.coldUntilSet {
		state.coldUntilSet = true
		state.coldUntil = now.Add(r.Target.ColdLeft)
	}
	return assessState(now, state, r)
}

func assessState(now time.Time, state *targetState, r *roster.Record) candidate {
	base := baseScore(now, state)
	used, slots := usedShare(now, state, r.Target.Slots)
	c := candidate{record: r, state: state, score: base * loadFactor(used), base: base, slots: slots, weight: float64(slots) / base}
	if now.Before(state.backoffUntil) {
		c.score += unreachableScore
		c.weight = 0
	}
	return c
}

// lowestScore returns the lowest score in a failure domain.
func (t *Table) lowestScore(domain string) float64 {
	lowest := math.Inf(1)
	for i := range t.scored {
		if c := &t.scored[i]; c.record.Domain == domain && !c.excluded {
			lowest = min(lowest, c.score)
		}
	}
	return lowest
}

// draw draws two candidates at random, by weight, and returns the one with the lower score.
// in tells whether they are in the failure domain or outside of it. If none of them is
// reachable, it returns the one with the lowest score. It returns nil if there is none.
func (t *Table) draw(domain string, in bool) *candidate {
	var lowest *candidate
	total := 0.0
	for i := range t.scored {
		if c := &t.scored[i]; (c.record.Domain == domain) == in && !c.excluded {
			total += c.weight
			if lowest == nil || c.score < lowest.score {
				lowest = c
			}
		}
	}
	first := t.drawOne(domain, in, total, nil)
	if first == nil {
		return lowest
	}
	second := t.drawOne(domain, in, total-first.weight, first)
	if second != nil && second.score < first.score {
		return second
	}
	return first
}

// drawOne draws one candidate, other than the given one. total is the sum of the weights.
func (t *Table) drawOne(domain string, in bool, total float64, other *candidate) *candidate {
	x := t.random.Float64() * total
	var drawn *candidate
	for i := range t.scored {
		c := &t.scored[i]
		if (c.record.Domain == domain) != in || c.excluded || c.weight <= 0 || c == other {
			continue
		}
		drawn = c
		if x -= c.weight; x < 0 {
			break
		}
	}
	return drawn
}

// appendViews appends what is known of each failure domain, the own one first.
func (t *Table) appendViews(views []spillover.View, now time.Time) []spillover.View {
	views = append(views, spillover.View{Domain: t.domain})
	t.sums = append(t.sums[:0], viewSums{})
	for i := range t.scored {
		c := &t.scored[i]
		if c.weight <= 0 {
			continue
		}
		at := 0
		for at < len(views) && views[at].Domain != c.record.Domain {
			at++
		}
		if at == len(views) {
			views = append(views, spillover.View{Domain: c.record.Domain})
			t.sums = append(t.sums, viewSums{})
		}
		views[at].Targets++
		views[at].Capacity += c.weight
		t.sums[at].add(now, c)
	}
	for i := range views {
		t.sums[i].complete(&views[i])
	}
	return views
}

// viewSums holds the sums that a view is computed of.
type viewSums struct {
	slots               float64 // of all targets
	known               float64 // weights of the loads that were reported recently
	knownSlots, inSlots float64 // slots of those targets, and requests there, by these weights
}

func (s *viewSums) add(now time.Time, c *candidate) {
	s.slots += float64(c.slots)
	if c.state.loadReceived.IsZero() {
		return
	}
	age := now.Sub(c.state.loadReceived)
	weight := math.Exp(-age.Seconds() / viewHorizon.Seconds())
	requests := max(c.state.load.Running+c.state.load.Waiting, c.state.inFlight)
	s.known += weight
	s.knownSlots += weight * float64(c.slots)
	s.inSlots += weight * max(float64(requests), c.state.load.RateUse*float64(c.slots))
}

// complete sets the fields of a view whose targets were added. The time of the domain is the
// mean of its targets', weighted by what they complete.
func (s *viewSums) complete(v *spillover.View) {
	if v.Capacity > 0 {
		v.Time = s.slots / v.Capacity
	}
	if s.known >= minViewWeight && s.knownSlots > 0 {
		v.Used, v.Reports = s.inSlots/s.knownSlots, s.known
	}
}
