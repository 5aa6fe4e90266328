package membership

import "time"

// TickInterval is the time between two calls of Table.Tick.
const TickInterval = 100 * time.Millisecond

// MonitoredSuccessors is the number of successors on the ring that a node probes in
// each ProbeInterval.
const MonitoredSuccessors = 3

const (
	directTimeout    = 300 * time.Millisecond // time from a ping until other members are requested to ping, too
	probeTimeout     = 900 * time.Millisecond // time from a ping until a member that did not reply is suspect
	minSuspicion     = time.Second            // shortest time for a refutation to arrive
	pauseLimit       = 2 * time.Second        // gap between ticks above which the process was paused
	isolationLimit   = 2 * time.Second        // time without packets after which the node declares nobody dead
	syncInterval     = 2 * time.Second        // shortest time between two table comparisons that a node starts
	syncMaxDelay     = 10 * time.Second       // time since the last comparison after which queued updates no longer delay the next one
	catchUpRetry     = 500 * time.Millisecond // time between two comparisons while the node catches up after a pause
	relayLifetime    = 2 * time.Second        // how long a relayed ping waits for its ack
	pruneInterval    = 10 * time.Second       // time between two removals of old records
	deadRetention    = 2 * time.Hour          // time for which dead members are retained and probed
	leftRetention    = 10 * time.Minute       // time for which members that left are retained
	exchangeInterval = 10 * time.Second       // shortest time between two whole-table exchanges
)

const (
	fanout            = 3       // members that updates are sent to with each tick
	leaveFanout       = 12      // members to which a stopping node sends that it leaves
	transmissions     = 15      // times that a node sends one update
	transmissionsFull = 4       // transmissions of one update in the full form; members that miss all of them request it
	transmissionsBulk = 6       // replaces transmissions while more than bulkQueue updates are queued
	bulkQueue         = 200     // queued updates above which each is sent less often
	packetsPerTick    = 8       // limit of gossip packets in one tick
	indirectProbes    = 4       // members that are requested to ping one that did not reply
	maxRelays         = 256     // relayed pings without an ack yet
	maxDisputed       = 1024    // members that wait for a probe because two tables disagree on them
	disputedPerTick   = 4       // disputed members that are probed in one tick
	repliesPerTick    = 16      // limit of packets that mayReply allows in one tick
	deadProbeEvery    = 8       // one random probe in this many goes to a dead member
	maxConfigPeers    = 16      // peers not yet returned by NewerConfigPeers
	maxProbes         = 256     // probes without an ack yet
	maxChanges        = 100_000 // changes not yet returned by Changes
	isolationMembers  = 3       // with at most this many live members, silence doesn't mean isolation
)

const (
	maxPacketBytes    = 1200    // size of the largest packet that a node sends
	maxAcceptedBytes  = 1500    // size of the largest packet that a node accepts
	headerBytes       = 64      // upper bound of a packet's size without its claims
	maxNameBytes      = 64      // length of the longest id, address or name
	maxWantedInPacket = 32      // members whose full records one packet requests
	maxIncarnation    = 1 << 62 // a claim with a higher incarnation is malformed
)

// Config holds the parameters of a Table. A field of zero or less takes its default.
type Config struct {
	// ProbeInterval is the time in which a node probes each of its monitored
	// successors and one random member once; default 1 s.
	ProbeInterval time.Duration
	// SuspicionTimeout is the time that a suspect member has to refute the
	// suspicion; default 2 s.
	SuspicionTimeout time.Duration
	// GossipBytesPerSecond limits the mean rate of gossip that a node sends; default
	// 8,000. Probes and table comparisons are not counted, the updates on probes are.
	GossipBytesPerSecond int
	// GossipBurstBytes is the most gossip that is sent at once after a time without
	// any; default 64,000.
	GossipBurstBytes int
	// MaxMembers limits the table; default 65,536. Further members are refused
	// and counted.
	MaxMembers int
}

func (c Config) withDefaults() Config {
	if c.ProbeInterval <= 0 {
		c.ProbeInterval = time.Second
	}
	if c.SuspicionTimeout <= 0 {
		c.SuspicionTimeout = 2 * time.Second
	}
	if c.GossipBytesPerSecond <= 0 {
		c.GossipBytesPerSecond = 8_000
	}
	if c.GossipBurstBytes <= 0 {
		c.GossipBurstBytes = 64_000
	}
	if c.MaxMembers <= 0 {
		c.MaxMembers = 65_536
	}
	return c
}
