package balance

import (
	"maps"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumford/gypsumford/roster"
	"github.com/gypsumford/gypsumford/spillover"
)

const (
	latencyRatioGain = 0.15 // weight of one response in a target's latency ratio
	reportedGain     = 0.5  // the same of a mean that the target's node reports
	meanLatencyGain  = 0.05 // weight of one response in a route's mean latency
	failureGain      = 0.15 // weight of one response or lost request in a target's share of failures
	minLatencyRatio  = 0.1  // lower bound of one observed latency ratio
	maxLatencyRatio  = 8.0  // upper bound, so that a straggler doesn't dominate the average

	meanBytesGain  = 0.05 // weight of one response in a route's mean bytes
	failurePenalty = 8.0  // factor of the score of a target that always fails
	refusalGain    = 0.1  // weight of one response or refusal in a target's share of refusals
	refusalPenalty = 12.0 // factor of the score of a target that always refuses
	untriedFactor  = 0.9  // below 1, so that a target without a response yet is tried
	coldFactor     = 2.0  // expected latency ratio of a target that has just started

	outlierFactor = 2.0  // multiple of the other targets' mean share of failures
	outlierMargin = 0.05 // share of requests that must fail beyond that multiple

	contentionThreshold = 0.6 // share of slots in use above which responses slow down
	contentionSlope     = 1.5 // slowdown per share of slots beyond contentionThreshold
	queueSlope          = 4.0 // further slowdown per share of slots beyond all slots

	// minBackoff is how long a target that a request didn't reach is chosen only if all
	// other candidates are unreachable, too. It doubles with each further such request.
	minBackoff = 400 * time.Millisecond
	// maxBackoff bounds the backoff of a target that stays unreachable.
	maxBackoff = 3 * time.Second
	// maxLoadAge is how long a reported load is used, and maxRateUseAge how long the
	// reported use of a rate limit is: a limit lasts, and a node that sends few requests
	// would otherwise forget it between two of them.
	maxLoadAge    = 1 * time.Second
	maxRateUseAge = 3 * time.Second
	// penaltyDecayTime is the time in which the effect of a target's latency ratio,
	// failures and refusals decays by two thirds while no request is sent there.
	penaltyDecayTime = 4 * time.Second
)

// Load is the load of a target, in requests, as its node reported it. Slots is the target's
// concurrency limit.
type Load struct {
	Running, Waiting, Slots int
	// RateUse is how much of the target's rate limit is in use, above 1 while requests
	// wait for it; 0 if the target states none.
	RateUse float64
	// ServiceTime is how long the target is expected to take for the next request of the
	// same route, as its node reports it; 0 if unknown.
	ServiceTime time.Duration
}

// UseSpillover makes a table of package spillover decide on leaving the failure domain, in
// place of a fixed factor.
func (t *Table) UseSpillover(s *spillover.Table) { t.spillover = s }

// Choice is the chosen target, with the data behind the choice for the log.
type Choice struct {
	Record     *roster.Record
	Score      float64
	Candidates int
	LoadAge    time.Duration // time since the target's load was last reported, if it was
	Spillover  spillover.Decision
}

// Table holds what the node has observed of targets and routes.
type Table struct {
	domain  string
	targets map[string]*targetState // by target ID
	routes  map[string]*routeMeans  // by route name
	random  *rand.Rand
	// spillover decides on leaving the failure domain; nil if a fixed factor does.
	spillover *spillover.Table
	// scored, views and sums belong to the current choice. They are kept to reuse their memory.
	scored []candidate
	views  []spillover.View
	sums   []viewSums
}

// routeMeans holds moving averages over the requests of a route.
type routeMeans struct {
	seconds float64 // latency
	bytes   float64 // of the request and the response together
}

// targetState holds what the node has observed of one target.
type targetState struct {
	inFlight     int
	latencyRatio float64 // moving average of latency over the route's mean latency
	failureShare float64 // moving average, 0 to 1
	refusalShare float64 // moving average, 0 to 1
	load         Load
	loadReceived time.Time
	lastActive   time.Time // when a request was last sent or ended
	backoffUntil time.Time
	backoff      time.Duration // length of the latest backoff
	responses    int           // that state no failure
	coldUntil    time.Time     // until then the target is slow after its start
	coldUntilSet bool
}

// NewTable returns a table for a node in the failure domain. The seed is that of its choices.
func NewTable(domain string) *Table {
	return NewSeededTable(domain, xxhash.Sum64String(domain))
}

// NewSeededTable is like NewTable. Nodes should have different seeds, so that they choose
// differently from the same data.
func NewSeededTable(domain string, seed uint64) *Table {
	return &Table{
		domain: domain, targets: map[string]*targetState{}, routes: map[string]*routeMeans{},
		random: rand.New(rand.NewPCG(seed, 0)),
	}
}

func newTargetState() *targetState { return &targetState{latencyRatio: 1} }

// target returns the state of the target, which it creates if there is none.
func (t *Table) target(id string) *targetState {
	state := t.targets[id]
	if state == nil {
		state = newTargetState()
		t.targets[id] = state
	}
	return state
}

// Request describes the request that a target is chosen for.
type Request struct {
	Route   string
	Service string
	// Awaited is set if other responses wait for the response to this request, as on a
	// connection with pipelined requests.
	Awaited bool
	// Restricted is set if the candidates aren't all targets of the service, so that they
	// don't tell how full their failure domains are.
	Restricted bool
}

// baseScore returns the expected latency of the next request at the target if it were idle,
// as a multiple of the route's mean latency and including the penalties.
func baseScore(now time.Time, state *targetState) float64 {
	fade := 1.0
	if quiet := now.Sub(state.lastActive); quiet > 0 && state.inFlight == 0 {
		fade = 1 / (1 + 2*quiet.Seconds()/penaltyDecayTime.Seconds())
	}
	score := 1 + (state.latencyRatio-1)*fade
	score *= 1 + (failurePenalty-1)*state.failureShare*fade
	score *= 1 + (refusalPenalty-1)*state.refusalShare*fade
	if now.Before(state.coldUntil) {
		score *= coldFactor
	}
	if state.responses == 0 {
		score *= untriedFactor
	}
	return score
}

// usedShare returns the share of the target's slots that one more request would use, and
// their number.
func usedShare(now time.Time, state *targetState, slots int) (used float64, usable int) {
	requests := state.inFlight
	if now.Sub(state.loadReceived) < maxLoadAge {
		requests = max(requests, state.load.Running+state.load.Waiting)
		if state.load.Slots > 0 {
			slots = state.load.Slots
		}
	}
	slots = max(slots, 1)
	used = float64(requests+1) / float64(slots)
	if now.Sub(state.loadReceived) < maxRateUseAge {
		used = max(used, state.load.RateUse)
	}
	return used, slots
}

// loadFactor returns the factor by which a target is expected to be slower than an idle
// one while the share of its slots is in use.
func loadFactor(used float64) float64 {
	return 1 + contentionSlope*max(used-contentionThreshold, 0) + queueSlope*max(used-1, 0)
}

// Sent records that a request is sent to the target.
func (t *Table) Sent(now time.Time, id string) {
	state := t.target(id)
	state.inFlight++
	state.lastActive = now
}

// Responded records a response of the target. bytes counts the request and the response;
// failed tells that the response states a failure.
func (t *Table) Responded(now time.Time, id, route string, took time.Duration, bytes int, load Load, failed bool) {
	state := t.target(id)
	t.recordEnd(now, state, load)
	state.backoff = 0
	state.backoffUntil = time.Time{}
	outcome := 0.0
	if failed {
		outcome = 1
	}
	state.failureShare += failureGain * (outcome - state.failureShare)
	state.refusalShare -= refusalGain * state.refusalShare
	if failed {
		return
	}
	state.responses++
	means := t.routes[route]
	if means == nil {
		means = &routeMeans{seconds: took.Seconds(), bytes: float64(bytes)}
		t.routes[route] = means
	}
	if means.seconds <= 0 {
		means.seconds = took.Seconds()
	}
	if means.seconds > 0 {
		expected, gain := took, latencyRatioGain
		if load.ServiceTime > 0 {
			expected, gain = load.ServiceTime, reportedGain
		}
		ratio := min(max(expected.Seconds()/means.seconds, minLatencyRatio), maxLatencyRatio)
		state.latencyRatio += gain * (ratio - state.latencyRatio)
	}
	means.seconds += meanLatencyGain * (took.Seconds() - means.seconds)
	means.bytes += meanBytesGain * (float64(bytes) - means.bytes)
}

// Refused records that a request was refused: by the target itself, or by its node
// before the request reached the target.
func (t *Table) Refused(now time.Time, id string, byTarget bool, load Load) {
	state := t.target(id)
	t.recordEnd(now, state, load)
	if byTarget {
		state.refusalShare += refusalGain * (1 - state.refusalShare)
	}
}

// Lost records that a request got no response. reached is false if the request didn't
// arrive at the target.
func (t *Table) Lost(now time.Time, id string, reached bool) {
	state := t.target(id)
	t.recordEnd(now, state, Load{})
	if reached {
		state.failureShare += failureGain * (1 - state.failureShare)
		return
	}
	state.backoff = min(max(2*state.backoff, minBackoff), maxBackoff)
	state.backoffUntil = now.Add(state.backoff)
}

// Cancelled records that the caller cancelled a request after the time took. The target
// would have taken at least as long, so this is a lower bound of its latency.
func (t *Table) Cancelled(now time.Time, id, route string, took time.Duration) {
	state := t.target(id)
	t.recordEnd(now, state, Load{})
	means := t.routes[route]
	if means == nil || means.seconds <= 0 {
		return
	}
	if ratio := min(took.Seconds()/means.seconds, maxLatencyRatio); ratio > state.latencyRatio {
		state.latencyRatio += latencyRatioGain * (ratio - state.latencyRatio)
	}
}

// recordEnd records the end of a request, and the load if the target reported one.
func (t *Table) recordEnd(now time.Time, state *targetState, load Load) {
	state.inFlight = max(state.inFlight-1, 0)
	state.lastActive = now
	if load.Slots > 0 {
		state.load, state.loadReceived = load, now
	}
}

// IsOutlier reports whether the target fails clearly more often than the other
// candidates do on average. If so, the fault is probably in the target itself rather than
// in a dependency that all of them share.
func (t *Table) IsOutlier(id string, candidates []*roster.Record) bool {
	others, count := 0.0, 0
	for _, r := range candidates {
		if state := t.targets[r.Target.ID]; state != nil && r.Target.ID != id {
			others += state.failureShare
			count++
		}
	}
	if count == 0 {
		return false
	}
	return t.target(id).failureShare > outlierFactor*others/float64(count)+outlierMargin
}

// RetainRoutes prunes the routes that are not listed.
func (t *Table) RetainRoutes(listed map[string]bool) {
	maps.DeleteFunc(t.routes, func(route string, _ *routeMeans) bool { return !listed[route] })
}

// RetainTargets prunes the targets that are not listed and have no request in flight.
func (t *Table) RetainTargets(listed map[string]bool) {
	for id, state := range t.targets {
		if !listed[id] && state.inFlight == 0 {
			delete(t.targets, id)
		}
	}
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}
