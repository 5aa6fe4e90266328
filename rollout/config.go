package rollout

import "time"

const (
	pullRetry  = time.Second // after a pull that failed
	maxPeers   = 32          // peers that are remembered as having a newer version
	maxRefused = 256         // refused versions that are remembered
	maxTold    = 64          // versions that a starting node remembers to have been told
)

// Config holds what differs between fleets. A zero field takes its default.
type Config struct {
	// Watchers is the number of nodes of a failure domain that watch the platform;
	// default 3.
	Watchers int
	// PullSpread is the longest time that a node waits before it pulls a version
	// that it has heard of; default 200 ms.
	PullSpread time.Duration
	// PullTimeout is the time after which a pull without an answer counts as
	// failed; default 3 s.
	PullTimeout time.Duration
	// ConcurrentPulls is the most pulls at a time; default 1.
	ConcurrentPulls int
	// PullBytesPerSecond limits the documents that a node pulls over time; default
	// 3,500. While it is used up, versions that follow each other are taken as one.
	PullBytesPerSecond int
	// PullBurstBytes may be pulled without that limit after a quiet time; default
	// 256,000.
	PullBurstBytes int
	// PullDelayLimit is the longest time that the limit delays a version; default
	// 12 s.
	PullDelayLimit time.Duration
	// StartupPeers is the number of peers whose answers make a new node ready while
	// the platform doesn't answer; default 3. A fleet with fewer others needs all of them, see SetFleetSize.
	StartupPeers int
	// MaxDocumentBytes limits a document; default 1 MiB.
	MaxDocumentBytes int
}

func (c Config) withDefaults() Config {
	if c.Watchers <= 0 {
		c.Watchers = 3
	}
	if c.PullSpread <= 0 {
		c.PullSpread = 200 * time.Millisecond
	}
	if c.PullTimeout <= 0 {
		c.PullTimeout = 3 * time.Second
	}
	if c.ConcurrentPulls <= 0 {
		c.ConcurrentPulls = 1
	}
	if c.PullBytesPerSecond <= 0 {
		c.PullBytesPerSecond = 3_500
	}
	if c.PullBurstBytes <= 0 {
		c.PullBurstBytes = 256_000
	}
	if c.PullDelayLimit <= 0 {
		c.PullDelayLimit = 12 * time.Second
	}
	if c.StartupPeers <= 0 {
		c.StartupPeers = 3
	}
	if c.MaxDocumentBytes <= 0 {
		c.MaxDocumentBytes = 1 << 20
	}
	return c
}
