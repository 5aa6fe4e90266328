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
	nextProbe time.Time
}

func (o *outage) failed(now time.Time) {
	if !o.active {
		o.active = true
		o.since = now
	}
	interval := now.Sub(o.since) / probeShare
	o.nextProbe = now.Add(min(max(interval, minProbeInterval), maxProbeInterval))
}

func (o *outage) ended() { o.active = false }

// blocks reports whether the platform should not be asked now.
func (o *outage) blocks(now time.Time) bool {
	return o.active && now.Before(o.nextProbe)
}

// probing moves the next probe away while one is under way.
func (o *outage) probing(now time.Time) {
	if o.active {
		o.nextProbe = now.Add(maxProbeInterval)
	}
}

// retryAfter is when a refused caller should ask again.
func (o *outage) retryAfter(now time.Time) time.Duration {
	return max(o.nextProbe.Sub(now), minProbeInterval)
}
