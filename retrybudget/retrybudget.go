// Package retrybudget limits the number of retries by service and grants them to the most
// important root requests first. Inputs are the requests for each service that the node
// counts in a sliding window, the number of nodes, and what a retry is charged at each
// service, in requests that the service receives for it.
//
// Operators allow a service, over all nodes and in any window, a ratio of its requests plus
// a fixed number of retries (the slack). No node knows what the others spend, so each keeps
// to the ratio of its own requests and to its part of the slack. The calls that a request
// causes are made again with a retry, so each service that receives them is charged, too.
//
// If a service refuses half of its requests, a root request that needs eight calls of it
// hardly ever succeeds without retries, and there are too few retries for all. Granted
// first come, first served, most would go to root requests that fail nevertheless. So they
// are granted by importance: the priority of the root request, and its rank among those of
// the same priority, which all of its calls share. A retry is granted only from what more
// important ones, granted or not, leave of the window's budget. That way few root requests
// get all the retries that they need, rather than many a part of them.
package retrybudget

import "time"

const (
	bucketsPerWindow = 10
	// ratioShare is the fraction of the allowed ratio that is spent: windows of different
	// nodes don't coincide, and the calls that a retry causes are an estimate.
	ratioShare = 0.6
	// slackShare is the fraction of a node's part of the slack that is spent: nodes may
	// know fewer peers than there are, and so overestimate their part.
	slackShare = 0.6

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
	return min(max(i.Priority, 0), priorities-1)*ranks + int(i.Rank)/width
}

// Budget counts requests and retries by service.
type Budget struct {
	config   Config
	services map[string]*counter
}

// bucket holds the counts of one part of the window. Retries are counted by level, as the
// sum of their charges.
type bucket struct {
	requests float64
	granted  [levels]float64
	wanted   [levels]float64 // requested, granted or not
}

// counter holds the window of one service.
type counter struct {
	buckets      [bucketsPerWindow]bucket
	newestNumber int64 // number of the newest bucket since the epoch
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

// counter returns the counter of the service, which it creates if there is none, and starts
// new buckets up to now.
func (b *Budget) counter(now time.Time, service string) *counter {
	c := b.services[service]
	if c == nil {
		c = &counter{}
		b.services[service] = c
	}
	number := now.UnixNano() / max(int64(b.config.Window)/bucketsPerWindow, 1)
	for c.newestNumber < number {
		c.newestNumber = max(c.newestNumber+1, number-bucketsPerWindow)
		*c.newest() = bucket{}
	}
	return c
}

func (c *counter) newest() *bucket { return &c.buckets[c.newestNumber%bucketsPerWindow] }

// RecordRequest records a request for the service.
func (b *Budget) RecordRequest(now time.Time, service string) {
	b.counter(now, service).newest().requests++
}

// Charge is the number of requests that one service receives for a retry.
type Charge struct {
	Service  string
	Requests float64
}

// AllowRetry reports whether the budgets of all charged services allow a retry, and spends
// the charges if so. nodes is the number of nodes that share the slack.
func (b *Budget) AllowRetry(now time.Time, nodes int, importance Importance, charges []Charge) bool {
	level := importance.level()
	granted := true
	for _, charge := range charges {
		c := b.counter(now, charge.Service)
		requests, spent, reserved := c.sums(level)
		allowed := b.config.Ratio*ratioShare*requests + b.config.Slack*slackShare/float64(max(nodes, 1))
		if max(spent, reserved)+charge.Requests > allowed {
			granted = false
		}
		c.newest().wanted[level] += charge.Requests
	}
	if !granted {
		return false
	}
	for _, charge := range charges {
		b.counter(now, charge.Service).newest().granted[level] += charge.Requests
	}
	return true
}

// sums returns the window's requests, the retries that were granted, and those that the
// level may not use: what more important levels requested, and what this and less
// important levels were granted.
func (c *counter) sums(level int) (requests, spent, reserved float64) {
	for i := range c.buckets {
		b := &c.buckets[i]
		requests += b.requests
		for l := range levels {
			spent += b.granted[l]
			if l < level {
				reserved += b.wanted[l]
			} else {
				reserved += b.granted[l]
			}
		}
	}
	return requests, spent, reserved
}
