package claim

import "time"

const (
	minProbeInterval = 100 * time.Millisecond
	maxProbeInterval = 5 * time.Second
	// probeShare divides the length of an outage: probes are that much apart.
	probeShare = 10
)

// outage remembers whether the platform failed to answer, and paces the reads
// that find out whether it is back. The probes of many homes spread because
// each home's follow the times of its own calls.
type outage struct {
	active    bool
	since     time.Time
	underWay  bool // a probe is in flight
	nextProbe time.Time
}

func (o *outage) failed(now time.Time) {
	if !o.active {
		o.active = true
		o.since = now
	}
	o.underWay = false
	o.nextProbe = now.Add(o.interval(now))
}

// unanswered notes a write without an answer: it prolongs an outage, but a read
// has to tell whether it begins one.
func (o *outage) unanswered(now time.Time) {
	if o.active {
		o.failed(now)
	}
}

func (o *outage) ended() { *o = outage{} }

// interval returns the time between two probes.
func (o *outage) interval(now time.Time) time.Duration {
	return min(max(now.Sub(o.since)/probeShare, minProbeInterval), maxProbeInterval)
}

// tolerated reports whether calls wait for the platform to come back, since it
// has not been out for long.
func (o *outage) tolerated(now time.Time, tolerance time.Duration) bool {
	return o.active && now.Before(o.since.Add(tolerance))
}

// blocks reports whether the platform should not be asked now.
func (o *outage) blocks(now time.Time) bool {
	return o.active && (o.underWay || now.Before(o.nextProbe))
}

// probing notes that a platform call starts.
func (o *outage) probing() { o.underWay = o.active }

// retryAfter is when a refused caller should ask again: after the next probe,
// and not more often than there are probes.
func (o *outage) retryAfter(now time.Time) time.Duration {
	return max(o.nextProbe.Sub(now), o.interval(now))
}
