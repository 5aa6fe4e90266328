// Package retrybudget bounds how many requests are sent once more.
//
// Operators allow a service, over all nodes and in any window, a share of its
// requests plus a fixed number of repeats. No node knows what the others spend,
// so each keeps to the share of its own requests and to its part of the fixed
// number. A repeat also repeats the calls that it leads to, so it is charged at
// each service by the number of requests that arrive there for it.
package retrybudget

import "time"

const (
	buckets = 10
	// ratioShare of the allowed ratio is spent: windows of different nodes don't
	// coincide.
	ratioShare = 0.6
	// slackShare of a node's part of the fixed number is spent: nodes may know
	// fewer peers than there are.
	slackShare = 0.6
)

// Config is what operators allow.
type Config struct {
	Ratio  float64       // repeats for each request
	Slack  float64       // repeats beyond that, over all nodes
	Window time.Duration // in which both hold
}

// Budget counts requests and repeats by service.
type Budget struct {
	config   Config
	services map[string]*counter
}

type counter struct {
	requests, repeats [buckets]float64
	slot              int64 // number of the newest bucket since the epoch
}

// New returns a budget that has seen nothing.
func New(config Config) *Budget {
	return &Budget{config: config, services: map[string]*counter{}}
}

// Configure changes what operators allow.
func (b *Budget) Configure(config Config) {
	if config.Window != b.config.Window {
		b.services = map[string]*counter{} // buckets of another length
	}
	b.config = config
}

func (b *Budget) counter(now time.Time, service string) *counter {
	c := b.services[service]
	if c == nil {
		c = &counter{}
		b.services[service] = c
	}
	slot := now.UnixNano() / max(int64(b.config.Window)/buckets, 1)
	for c.slot < slot {
		c.slot = max(c.slot+1, slot-buckets)
		c.requests[c.slot%buckets], c.repeats[c.slot%buckets] = 0, 0
	}
	return c
}

// Request notes a request for the service.
func (b *Budget) Request(now time.Time, service string) {
	c := b.counter(now, service)
	c.requests[c.slot%buckets]++
}

// Charge is what a repeat costs at one service.
type Charge struct {
	Service string
	Count   float64
}

// Repeat takes the charges, if all services have room for them, on a node that
// is one of nodes.
func (b *Budget) Repeat(now time.Time, nodes int, charges []Charge) bool {
	for _, charge := range charges {
		c := b.counter(now, charge.Service)
		allowed := b.config.Ratio*ratioShare*sum(&c.requests) + b.config.Slack*slackShare/float64(max(nodes, 1))
		if sum(&c.repeats)+charge.Count > allowed {
			return false
		}
	}
	for _, charge := range charges {
		c := b.counter(now, charge.Service)
		c.repeats[c.slot%buckets] += charge.Count
	}
	return true
}

func sum(values *[buckets]float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}
