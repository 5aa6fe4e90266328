package spillover

import (
	"math"
	"time"
)

const (
	// rampWidth is the gain beyond the cost of a crossing at which all requests leave.
	// Below, a share does. A narrow ramp is a switch: nodes that decide alike would swing.
	rampWidth = 4.0
	// gainHorizon is the time constant of the gain, several times the age of the loads that
	// it is computed of. With 2 s, demand that comes in pulses of 5 s was served late.
	gainHorizon = 1 * time.Second
	// A gain that few reports show is multiplied by reports/(reports+doubtfulReports): a probe
	// reaches one target, which may be idle by chance. With enoughReports no probe is needed.
	doubtfulReports = 0.5
	enoughReports   = 1.0
	// A node sends at most one probe of a service each minProbePause. The pause doubles up
	// to maxProbePause while probes show no gain. With 4 s and a pause for each domain, probes
	// were 0.02 of the requests where all domains are full, now 0.007.
	minProbePause, maxProbePause = 200 * time.Millisecond, 8 * time.Second
	// maxServices bounds the services that the table keeps state of. Requests of further
	// ones stay in their domain while it has targets.
	maxServices = 4096
)

// Table holds the gains of leaving by service and failure domain.
type Table struct {
	services map[string]*service
	weights  []float64 // of the domains in the current decision; kept to reuse its memory
}

// NewTable returns a table without state: all requests stay.
func NewTable() *Table { return &Table{services: map[string]*service{}} }

// service is the state of one service.
type service struct {
	gains     map[string]*gain // by failure domain
	share     float64          // moving average of the shares of the requests' decisions
	decidedAt time.Time
	leaving   bool          // as it was reported last
	probeAt   time.Time     // earliest time of the next probe
	pause     time.Duration // before it
}

// gain is the moving average of what a request gains in another failure domain.
type gain struct {
	value     float64
	potential float64 // moving average of the gain if the other domain had room
	used      float64 // share of slots in use there, as last observed
	updated   time.Time
}

// Decide decides where a request for the service goes. crossing is the cost of leaving, and
// draw a random number from 0 to 1.
func (t *Table) Decide(now time.Time, name string, crossing, draw float64, own *View, others []View) Decision {
	s := t.services[name]
	switch {
	case s != nil:
	case len(t.services) >= maxServices:
		s = newService() // isn't kept
	default:
		s = newService()
		t.services[name] = s
	}
	t.weights = append(t.weights[:0], make([]float64, len(others))...)
	var d Decision
	if own.Targets == 0 {
		d = s.leaveGone(now, crossing, draw, others, t.weights)
	} else {
		d = s.decide(now, crossing, draw, own, others, t.weights)
	}
	s.recordShare(now, d.Share)
	return d
}

func newService() *service { return &service{gains: map[string]*gain{}} }

// decide decides on a request while the own domain has targets. It uses weights for those of
// the domains.
func (s *service) decide(now time.Time, crossing, draw float64, own *View, others []View, weights []float64) Decision {
	total, share := 0.0, 0.0
	unknown := -1 // the domain with the fewest reports of those where room would pay
	for i := range others {
		other := &others[i]
		if other.Targets == 0 {
			continue
		}
		g := s.observe(now, own, other)
		weights[i] = min(max((g.value-crossing)/rampWidth, 0), 1)
		share = max(share, weights[i])
		weights[i] *= other.Capacity
		total += weights[i]
		if other.Reports < enoughReports && g.potential > crossing && (unknown < 0 || other.Reports < others[unknown].Reports) {
			unknown = i
		}
	}
	if share > 0 {
		s.pause = 0
	} else if unknown >= 0 && s.probe(now) {
		return Decision{Domain: others[unknown].Domain, Reason: Probe}
	}
	if draw >= share || total <= 0 {
		return Decision{Share: share}
	}
	return Decision{Domain: pick(others, weights, total*draw/share), Reason: OwnFull, Share: share}
}

// leaveGone decides on a request while the own domain has no target. All gains are set to
// their largest, so that requests return gradually to targets that have just started.
func (s *service) leaveGone(now time.Time, crossing, draw float64, others []View, weights []float64) Decision {
	total := 0.0
	for i := range others {
		if others[i].Targets > 0 {
			weights[i] = others[i].Capacity / max(others[i].costAt(others[i].Used), 1)
			total += weights[i]
			used := min(others[i].Used+remoteMargin, maxUsed)
			s.gains[others[i].Domain] = &gain{value: crossing + rampWidth, used: used, updated: now}
		}
	}
	if total <= 0 {
		return Decision{}
	}
	return Decision{Domain: pick(others, weights, total*draw), Reason: OwnGone, Share: 1}
}

// pick returns the domain at the position x in the sequence of weights.
func pick(views []View, weights []float64, x float64) string {
	last := ""
	for i, w := range weights {
		if w <= 0 {
			continue
		}
		last = views[i].Domain
		if x -= w; x < 0 {
			break
		}
	}
	return last
}

// observe updates the gain of a domain.
func (s *service) observe(now time.Time, own, other *View) *gain {
	g := s.gains[other.Domain]
	if g == nil {
		g = &gain{updated: now}
		s.gains[other.Domain] = g
	}
	observed, potential := 0.0, 0.0
	if own.Reports > 0 {
		potential = own.gainOf(other, assumedUsed)
	}
	if own.Reports > 0 && other.Reports > 0 {
		observed = own.gainOf(other, other.Used+remoteMargin) * other.Reports / (other.Reports + doubtfulReports)
	}
	weight := 1 - math.Exp(-max(now.Sub(g.updated), 0).Seconds()/gainHorizon.Seconds())
	g.used = min(other.Used+remoteMargin, maxUsed)
	g.value += weight * (observed - g.value)
	g.potential += weight * (potential - g.potential)
	g.updated = now
	return g
}

// probe reports whether a probe is due, and records that it is sent.
func (s *service) probe(now time.Time) bool {
	if now.Before(s.probeAt) {
		return false
	}
	s.pause = min(max(2*s.pause, minProbePause), maxProbePause)
	s.probeAt = now.Add(s.pause)
	return true
}
