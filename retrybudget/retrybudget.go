// Package retrybudget limits the number of retries by service, grants them to the most
// important root requests first, and admits at the entry only root requests that can get all
// that they need. Inputs are the requests and retries that arrive at each service, the share
// that its targets reject, and what a root request causes there.
//
// Operators allow a service, over all nodes and in any window, a ratio of its requests plus
// a fixed number of retries (the slack). The requests are those of that window, of the one
// before it or of the one half a window before it, whichever has most. No node knows what the
// others spend, so each keeps to the ratio of the requests that it counts and to its part of
// the slack. Nodes beside the targets of a service count and grant: all arrivals pass them, so
// they are few, and retries that one caller doesn't need go to others. Divided among the nodes
// that call, requests of one call were whole in 57 of 100 cases and those of eight in 28,
// with ten targets that grant in 94 and 29 (TestWholeRequestsUnderRejection).
//
// If a service refuses half of its requests, a root request that needs eight calls of it
// hardly ever succeeds without retries, and there are too few retries for all. Granted
// first come, first served, most would go to root requests that fail nevertheless. So they
// are granted by importance: the priority of the root request, and its rank among those of
// the same priority, which all of its calls share. A retry is granted only from what more
// important ones, granted or not, leave of the budget.
//
// Work that is done before a retry is refused is wasted, so the entry chooses by the same
// order (Admission): it knows what its root requests would cause, and replies tell which share
// is rejected (Rejections). A share p needs p/(1-p) retries a call.
package retrybudget

import "time"

const (
	// ratioShare is the fraction of the allowed ratio that is spent. The rest covers that
	// requests move from one node to another: each counts its own best window.
	ratioShare = 0.95
	// estimateMargin multiplies charges that are estimates: 1.5 requests were received for
	// each that was charged.
	estimateMargin = 1.5
	// slackShare is the fraction of a node's part of the slack that is spent: nodes may
	// know fewer peers than there are, and so overestimate their part.
	slackShare = 0.6
	// startSlackShare is the fraction of its part of the slack that a process spends in its
	// first window. With none, calls that were lost just after a start aren't repeated.
	startSlackShare = 0.25
	// recentShare is the fraction of a window's retries that may be spent in 0.4 of it
	// (recentBuckets). Without a bound, less important requests spend all at the begin of a
	// trouble; with a tighter one, chance refuses retries that admitted requests need.
	recentShare = 0.9

	// A level is a step of importance; 0 is the most important.
	priorities = 8
	ranks      = 16 // levels within a priority
	levels     = priorities * ranks
)

// Config states the retries that operators allow for each service.
type Config struct {
	Ratio  float64       // retries per request
	Slack  float64       // number of retries beyond that, over all nodes
	Window time.Duration // sliding window in which both limits hold
}

// Importance is the importance of the root request that a retry belongs to.
type Importance struct {
	Priority int   // 0 is the most important
	Rank     uint8 // among those of the priority, 0 first
}

// level returns the level of the importance, from 0 to levels-1.
func (i Importance) level() int {
	const width = 256 / ranks
	return i.priority()*ranks + int(i.Rank)/width
}

func (i Importance) priority() int { return min(max(i.Priority, 0), priorities-1) }

// Budget counts requests and retries by service.
type Budget struct {
	config    Config
	services  map[string]*counter
	slackFrom time.Time // until then a fraction of the slack is spent
}

// New returns a budget without recorded requests.
func New(config Config) *Budget {
	return &Budget{config: config, services: map[string]*counter{}}
}

// Configure replaces the configuration. The counts are lost if the window changes.
func (b *Budget) Configure(config Config) {
	if config.Window != b.config.Window {
		b.services = map[string]*counter{} // the buckets have another length now
	}
	b.config = config
}

// WithholdSlack records when the process started. It doesn't know what an earlier one of the
// instance has spent, so for one window it spends only a fraction of its part of the slack.
func (b *Budget) WithholdSlack(started time.Time) { b.slackFrom = started.Add(b.config.Window) }

// slack returns the part of the slack that each of the nodes may spend now.
func (b *Budget) slack(now time.Time, nodes int) float64 {
	if now.Before(b.slackFrom) {
		return startSlackShare * b.config.partOfSlack(nodes)
	}
	return b.config.partOfSlack(nodes)
}

// counter returns the counter of the service, which it creates if there is none, and starts
// new buckets up to now.
func (b *Budget) counter(now time.Time, service string) *counter {
	c := b.services[service]
	if c == nil {
		c = &counter{}
		b.services[service] = c
	}
	c.advance(now, b.config.Window)
	return c
}

// RecordRequest records a request for the service.
func (b *Budget) RecordRequest(now time.Time, service string) { b.RecordRequests(now, service, 1) }

// RecordRequests records a number of requests for the service.
func (b *Budget) RecordRequests(now time.Time, service string, count float64) {
	b.counter(now, service).newest().requests += count
}

// Charge is the number of requests that one service receives for a retry.
type Charge struct {
	Service   string
	Requests  float64
	Estimated bool // the service may receive more
}

// cost returns the number of requests that is spent for the charge.
func (c *Charge) cost() float64 {
	if c.Estimated {
		return estimateMargin * c.Requests
	}
	return c.Requests
}

// AllowRetry reports whether the budgets of all charged services allow a retry, and spends
// the charges if so. nodes is the number of nodes that share the slack.
func (b *Budget) AllowRetry(now time.Time, nodes int, importance Importance, charges []Charge) bool {
	level := importance.level()
	granted := true
	for i := range charges {
		c := b.counter(now, charges[i].Service)
		cost := charges[i].cost()
		remaining, whole := c.headroom(b.config.Ratio*ratioShare, b.slack(now, nodes))
		if cost > remaining || c.reserved(level)+cost > max(recentShare*whole, min(whole, 1)) {
			granted = false
		}
		c.want(level, cost)
	}
	if !granted {
		return false
	}
	for i := range charges {
		b.Spend(now, importance, charges[i])
	}
	return true
}

// Spend records a retry that isn't asked for, such as a call of a run that is repeated.
func (b *Budget) Spend(now time.Time, importance Importance, charge Charge) {
	b.counter(now, charge.Service).grant(importance.level(), charge.cost())
}

// Refund gives back the charge of a retry that was spent at the time at and didn't reach a
// target.
func (b *Budget) Refund(now, at time.Time, charge Charge) {
	if t := b.counter(now, charge.Service).at(at, b.config.Window); t != nil {
		t.granted -= charge.cost()
	}
}

// CancelRequest removes a request that was recorded at the time at and didn't reach a target.
func (b *Budget) CancelRequest(now, at time.Time, service string) {
	if t := b.counter(now, service).at(at, b.config.Window); t != nil {
		t.requests--
	}
}

// partOfSlack returns the part of the slack that each of the nodes may spend.
func (c *Config) partOfSlack(nodes int) float64 {
	return c.Slack * slackShare / float64(max(nodes, 1))
}
