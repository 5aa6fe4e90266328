package retrybudget

import (
	"math"
	"time"
)

const (
	// minRetriesPerCall is the number of retries a call below which a service doesn't
	// restrict admission. The ratio carries more than that.
	minRetriesPerCall = 0.05
	// demandTimeConstant is the time constant of the moving average of the calls that the
	// requests of a priority would cause. An entry sees few requests, so a short one would
	// admit other shares at each entry, and so requests of other ranks than the retries go to.
	demandTimeConstant = 5 * time.Second
	// negligibleShare is the fraction of the most calls that a request makes of a service below
	// which the service doesn't decide on a request: estimates credit some calls to the wrong
	// route, and refusing it would spare the service hardly any retry.
	negligibleShare = 0.2
	// mostCallsDecay is the factor by which the most calls decay with each request.
	mostCallsDecay = 0.995
	// spendTime is the fraction of the window in which the retries of a window are spent: a
	// service that rejects for that long gets all of them, at an even pace.
	spendTime = float64(spendBuckets) / bucketsPerWindow
	// admittedShare is the fraction of the retries that admitted requests may need on average.
	// The rest is for what is in flight when a service begins to reject, and for chance. With
	// all of them, important requests lack retries at the end of 8 s (0.84 whole, with 0.85 of them 0.90).
	admittedShare = 0.85
)

// Admission decides at an entry which root requests can get all the retries that they need:
// the most important priorities, and of the last one that can get some those of the lowest
// ranks. It counts the calls that the entry's requests cause, and what of them the ratio
// carries. The calls of all entries together are the requests that the nodes which make them
// count, so no node has to tell another what it may spend.
type Admission struct {
	config     Config
	rejections *Rejections
	services   map[string]*demand
}

// demand is what the root requests of an entry cause at one service.
type demand struct {
	counter                     // requests are the calls of admitted root requests
	perS    [priorities]float64 // calls per second that all root requests would cause, by priority
	most    float64             // calls of one request; decays
	started time.Time           // when the first request arrived
	updated time.Time
}

// Calls is the number of requests that one service receives for a root request.
type Calls struct {
	Service  string
	Requests float64
	Direct   bool // the root request itself is sent to the service
}

// Carried is why a root request is refused.
type Carried struct {
	Service        string  // whose retries don't suffice, empty if they do everywhere
	Share          float64 // fraction of the priority's requests that they suffice for
	RetriesPerCall float64
}

// NewAdmission returns an admission that uses the rejected shares.
func NewAdmission(config Config, rejections *Rejections) *Admission {
	return &Admission{config: config, rejections: rejections, services: map[string]*demand{}}
}

// Configure replaces the configuration.
func (a *Admission) Configure(config Config) {
	if config.Window != a.config.Window {
		clear(a.services)
	}
	a.config = config
}

// Arrive records a root request that arrives, and returns the smallest fraction of its
// priority that the retries carry. nodes is the number of nodes that share the slack. excess, at
// least 1, is by which factor the request's account sends too much: its demand counts less, and
// less of it is carried.
func (a *Admission) Arrive(now time.Time, nodes int, importance Importance, excess float64, calls []Calls) Carried {
	excess = max(excess, 1)
	carried := Carried{Share: 1}
	for _, c := range calls {
		d := a.services[c.Service]
		if d == nil {
			d = &demand{}
			a.services[c.Service] = d
		}
		d.advance(now, a.config.Window)
		if d.most = max(d.most*mostCallsDecay, c.Requests); c.Requests < negligibleShare*d.most && !c.Direct {
			continue
		}
		d.arrive(now, importance.priority(), c.Requests/excess)
		perCall := a.rejections.RetriesPerCall(now, c.Service)
		if perCall < minRetriesPerCall {
			continue
		}
		if share := d.share(a.config, nodes, importance.priority(), perCall) / excess; share < carried.Share {
			carried = Carried{Service: c.Service, Share: share, RetriesPerCall: perCall}
		}
	}
	return carried
}

// Admits reports whether the request is among those that are carried.
func (c *Carried) Admits(importance Importance) bool {
	return float64(importance.Rank) < c.Share*(math.MaxUint8+1)
}

// Admitted records that a root request was admitted.
func (a *Admission) Admitted(now time.Time, calls []Calls) {
	for _, c := range calls {
		if d := a.services[c.Service]; d != nil {
			d.newest().requests += c.Requests
		}
	}
}

// arrive updates the demand with a request that would cause a number of calls.
func (d *demand) arrive(now time.Time, priority int, calls float64) {
	if d.started.IsZero() {
		d.started, d.updated = now, now
	}
	fade := fadeOver(now.Sub(d.updated))
	for p := range d.perS {
		d.perS[p] *= fade
	}
	d.perS[priority] += calls / demandTimeConstant.Seconds()
	d.updated = now
}

// fadeOver returns the factor by which the moving average of the demand falls in the time.
func fadeOver(elapsed time.Duration) float64 {
	return math.Exp(-float64(max(elapsed, 0)) / float64(demandTimeConstant))
}

// share returns the fraction of the priority's requests that the retries suffice for, after
// those of more important ones.
func (d *demand) share(config Config, nodes, priority int, perCall float64) float64 {
	_, whole := d.headroom(config.Ratio*ratioShare, config.partOfSlack(nodes))
	const minKnown = 0.1 // of the time constant, so that the first requests don't state the demand
	perCall /= max(1-fadeOver(d.updated.Sub(d.started)), minKnown)
	left := admittedShare * whole / (spendTime * config.Window.Seconds()) // retries per second
	for p := range priority {
		left -= d.perS[p] * perCall
	}
	needed := d.perS[priority] * perCall
	if left >= needed {
		return 1
	}
	return max(left, 0) / needed
}
