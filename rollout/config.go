package rollout

import "time"

const (
	pullRetryDelay      = time.Second            // delay after a failed pull from the same peer
	maxPeers            = 32                     // bound on the peers recorded as having a newer version
	maxRefusedVersions  = 256                    // bound on the refused versions recorded
	maxTickGap          = 500 * time.Millisecond // time between ticks that counts as search for others
	maxReportedVersions = 64                     // bound on the reported versions that a starting node records
)

// Config holds the parameters of a Table. A field of zero or less takes its default.
type Config struct {
	// Watchers is the number of nodes of a failure domain that watch the platform;
	// default 3.
	Watchers int
	// PullSpread is the longest random delay before a node pulls a version that a
	// peer has reported; default 200 ms.
	PullSpread time.Duration
	// PullTimeout is the time after which a pull without a response counts as
	// failed; default 3 s.
	PullTimeout time.Duration
	// ConcurrentPulls is the largest number of pulls in flight; default 1.
	ConcurrentPulls int
	// PullBytesPerSecond limits the average rate at which a node pulls documents;
	// default 3,500. While it is used up, the node pulls nothing and then skips to
	// the newest version.
	PullBytesPerSecond int
	// PullBurstBytes is the number of bytes that a node may pull at once after a
	// time without pulls; default 256,000.
	PullBurstBytes int
	// PullDelayLimit is the longest time for which PullBytesPerSecond delays a
	// version; default 12 s.
	PullDelayLimit time.Duration
	// StartupPeers is the number of peers that must respond before a new node is
	// ready while the platform is unavailable; default 3. In a fleet with fewer
	// peers all of them must respond, see SetFleetSize.
	StartupPeers int
	// CopyWait is how long a new node looks for peers if the platform's configuration
	// is from a copy; default 15 s. The others check every 5 s whether the platform
	// still has the seed objects, and write them again.
	CopyWait time.Duration
	// MaxDocumentBytes limits the size of a document; default 1 MiB.
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
	if c.CopyWait <= 0 {
		c.CopyWait = 15 * time.Second
	}
	if c.MaxDocumentBytes <= 0 {
		c.MaxDocumentBytes = 1 << 20
	}
	return c
}
