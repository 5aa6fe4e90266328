package balance

import (
	"time"

	"github.com/gypsumford/gypsumford/roster"
	"github.com/gypsumford/gypsumford/spillover"
)

// Explained is what is known of a candidate, and how likely a request is to be sent there.
type Explained struct {
	Record      *roster.Record
	Score       float64 // expected latency as a multiple of the route's mean
	Latency     float64 // the same without load and penalties
	Failures    float64 // share of requests that fail
	Refusals    float64 // share of requests that the target refuses
	InFlight    int     // of this node
	Load        Load
	LoadAge     time.Duration // 0 if no load was reported
	Unreachable bool
	Cold        bool
	Chance      float64 // probability that the request is sent there first
}

// Explanation is how a request's target would be chosen.
type Explanation struct {
	Crossing float64 // cost of leaving the failure domain, as a multiple of the route's mean latency
	Domains  []spillover.Outlook
	Targets  []Explained
}

// Explain tells how a target would be chosen now, and changes nothing.
func (t *Table) Explain(now time.Time, r Request, candidates []*roster.Record) Explanation {
	// A table of its own holds the results of the assessment; the states are only read.
	view := &Table{domain: t.domain, routes: t.routes, spillover: t.spillover}
	for _, record := range candidates {
		state := t.targets[record.Target.ID]
		if state == nil {
			state = newTargetState()
		}
		if !state.coldUntilSet {
			unseen := *state
			unseen.coldUntil = now.Add(record.Target.ColdLeft)
			state = &unseen
		}
		view.scored = append(view.scored, assessState(now, state, record))
	}
	crossing := view.crossing(r)
	e := Explanation{Crossing: crossing, Targets: make([]Explained, len(view.scored))}
	chances := view.domainChances(now, r, crossing, t.spillover, &e)
	for i := range view.scored {
		c := &view.scored[i]
		e.Targets[i] = Explained{
			Record: c.record, Score: c.score, Latency: c.state.latencyRatio, Failures: c.state.failureShare,
			Refusals: c.state.refusalShare, InFlight: c.state.inFlight, Load: c.state.load,
			Unreachable: c.weight <= 0, Cold: now.Before(c.state.coldUntil), Chance: chances[i],
		}
		if !c.state.loadReceived.IsZero() {
			e.Targets[i].LoadAge = now.Sub(c.state.loadReceived)
		}
	}
	return e
}

// domainChances returns the probability of each candidate, and adds what is expected of the
// failure domains to the explanation.
func (t *Table) domainChances(now time.Time, r Request, crossing float64, s *spillover.Table, e *Explanation) []float64 {
	chances, left := make([]float64, len(t.scored)), 1.0
	hasOwn := t.lowestScore(t.domain) < unreachableScore
	if hasOwn && t.leavesByScore(r) {
		lowest := t.lowestScore(t.domain)
		for i, p := range t.drawChances(t.domain, false) {
			if t.scored[i].score*(1+crossing) < lowest {
				chances[i] += p
				left -= p
			}
		}
	}
	if s != nil {
		views := t.appendViews(nil, now)
		e.Domains = s.Outlooks(r.Service, crossing, &views[0], views[1:])
		rest := left
		for _, outlook := range e.Domains {
			for i, p := range t.drawChances(outlook.Domain, true) {
				chances[i] += rest * outlook.Share * p
				left -= rest * outlook.Share * p
			}
		}
	}
	for i, p := range t.drawChances(t.domain, hasOwn) {
		chances[i] += max(left, 0) * p
	}
	return chances
}

// drawChances returns the probabilities with which draw returns each candidate.
func (t *Table) drawChances(domain string, in bool) []float64 {
	chances, total := make([]float64, len(t.scored)), 0.0
	var members []int
	lowest := -1
	for i := range t.scored {
		c := &t.scored[i]
		if (c.record.Domain == domain) != in {
			continue
		}
		if lowest < 0 || c.score < t.scored[lowest].score {
			lowest = i
		}
		if c.weight > 0 {
			members = append(members, i)
			total += c.weight
		}
	}
	if len(members) < 2 {
		if lowest >= 0 {
			chances[lowest] = 1
		}
		return chances
	}
	for _, first := range members {
		p := t.scored[first].weight / total
		for _, second := range members {
			if second == first {
				continue
			}
			both := p * t.scored[second].weight / (total - t.scored[first].weight)
			if t.scored[second].score < t.scored[first].score {
				chances[second] += both
			} else {
				chances[first] += both
			}
		}
	}
	return chances
}
